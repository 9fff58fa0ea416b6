// Finds and replaces a key in plain and encoded form.
#include "requests/keyredactor.h"

#include "core/json.h"
#include "requests/textforms.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_replace.h>

#include <algorithm>

namespace currantlug::requests {

namespace {

constexpr int MaxNesting = 3; ///< Encodings within encodings that are searched.
constexpr const char *Replacement = "[key]";
constexpr const char *Withheld = "[text withheld because it holds the key]";

bool occurs(std::string_view text, std::string_view key, int nesting)
{
    if (text.find(key) != std::string_view::npos) {
        return true;
    }
    if (nesting == 0 || text.size() < key.size()) {
        return false;
    }
    // Text without an encoding decodes to itself and is not searched again.
    const auto search = [&](const std::string &decoded) {
        return decoded != text && occurs(decoded, key, nesting - 1);
    };
    const bool percent = text.find('%') != std::string_view::npos;
    const bool escaped = text.find('\\') != std::string_view::npos;
    return (percent && search(percentDecode(text))) || (escaped && search(jsonUnescape(text)))
        || search(base64DecodeRuns(text, key.size()));
}

} // namespace

KeyRedactor::KeyRedactor(std::string key)
    : key_(std::move(key))
{
    const std::string percent = percentEncode(key_);
    const std::string json = Json(key_).dump(-1, ' ', false, Json::error_handler_t::replace);
    forms_ = {key_,
              percent,
              absl::AsciiStrToLower(percent),
              json.substr(1, json.size() - 2),
              absl::Base64Escape(key_),
              absl::WebSafeBase64Escape(key_)};
    std::sort(forms_.begin(), forms_.end(),
              [](const std::string &a, const std::string &b) { return a.size() > b.size(); });
}

bool KeyRedactor::occursIn(std::string_view text) const
{
    return !key_.empty() && occurs(text, key_, MaxNesting);
}

std::string KeyRedactor::redact(std::string_view text) const
{
    std::string redacted(text);
    if (key_.empty()) {
        return redacted;
    }
    for (const std::string &form : forms_) {
        absl::StrReplaceAll({{form, Replacement}}, &redacted);
    }
    return occursIn(redacted) ? Withheld : redacted;
}

} // namespace currantlug::requests
