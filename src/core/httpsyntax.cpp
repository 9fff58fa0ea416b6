#include "core/httpsyntax.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <cctype>

namespace currantlug {

namespace {

constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;
constexpr int SwitchingProtocols = 101;

bool isControl(char c)
{
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7F;
}

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase({a.data(), a.size()}, {b.data(), b.size()});
}

} // namespace

bool isToken(std::string_view text)
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [Marks](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || Marks.find(c) != std::string_view::npos;
    });
}

bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return isControl(c) && c != '\t'; });
}

std::string_view responseStatusFlaw(int status)
{
    if (status < MinStatus || status > MaxStatus) {
        return "status out of range";
    }
    return status == SwitchingProtocols ? "protocol switched without a request" : std::string_view();
}

std::string_view responseFieldFlaw(std::string_view name, std::string_view value)
{
    if (!isToken(name)) {
        return "name of a field is not a token";
    }
    if (!isFieldValue(value)) {
        return "value of a field has control characters";
    }
    const bool undecodable = equalsIgnoreCase(name, "Transfer-Encoding") && !equalsIgnoreCase(value, "chunked");
    return undecodable ? "unknown transfer coding" : std::string_view();
}

} // namespace currantlug
