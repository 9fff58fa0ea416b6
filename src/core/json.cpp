// Checked reading of JSON.
#include "core/json.h"

#include <cstring>

namespace currantlug {

namespace {

/// Returns the position after the string literal whose opening quotation mark is at `from`.
std::size_t skipString(std::string_view text, std::size_t from)
{
    std::size_t at = from + 1;
    while (at < text.size()) {
        const void *found = std::memchr(text.data() + at, '"', text.size() - at);
        if (found == nullptr) {
            break;
        }
        const auto quote = static_cast<std::size_t>(static_cast<const char *>(found) - text.data());
        std::size_t backslashes = 0;
        while (quote - backslashes > at && text[quote - backslashes - 1] == '\\') {
            ++backslashes;
        }
        at = quote + 1;
        if (backslashes % 2 == 0) {
            return at;
        }
    }
    return text.size();
}

bool isTooLarge(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t values = 1;
    for (std::size_t at = 0; at < text.size();) {
        const char c = text[at];
        if (c == '"') {
            at = skipString(text, at);
            continue;
        }
        if (c == ',' || c == ':' || c == '[' || c == '{') {
            ++values;
        }
        if (values > MaxJsonValues) {
            return true;
        }
        if (c == '[' || c == '{') {
            if (++depth > MaxJsonDepth) {
                return true;
            }
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
        ++at;
    }
    return false;
}

} // namespace

std::optional<Json> parseJson(std::string_view text)
{
    if (isTooLarge(text)) {
        return std::nullopt;
    }
    Json value = Json::parse(text.begin(), text.end(), nullptr, false);
    if (value.is_discarded()) {
        return std::nullopt;
    }
    return value;
}

} // namespace currantlug
