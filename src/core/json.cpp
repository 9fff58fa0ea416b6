// Checked reading of JSON.
#include "core/json.h"

#include "core/jsonsax.h"
#include "core/jsonscan.h"

namespace currantlug {

namespace {

/// Checks the bounds on depth and number of values, without recursion. Sets `values` to the number of values up to the
/// one that exceeds a bound, or to that of the whole text.
std::optional<JsonError> checkBounds(std::string_view text, const JsonLimits &limits, std::size_t &values)
{
    std::size_t depth = 0;
    values = 1;
    for (std::size_t at = 0; at < text.size();) {
        const char c = text[at];
        if (c == '"') {
            at = detail::jsonStringEnd(text, at).value_or(text.size());
            continue;
        }
        if (c == ',' || c == ':' || c == '[' || c == '{') {
            ++values;
        }
        if (values > limits.values) {
            return JsonError{JsonFault::TooManyValues, at};
        }
        if (c == '[' || c == '{') {
            if (++depth > limits.depth) {
                return JsonError{JsonFault::TooDeep, at};
            }
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
        ++at;
    }
    return std::nullopt;
}

/// Keeps nothing of a text but where and why it isn't JSON.
class ErrorFinder final : public detail::ValueSkipper
{
public:
    bool parse_error(std::size_t position, const std::string &, const nlohmann::detail::exception &reason) override
    {
        const bool isRange = dynamic_cast<const nlohmann::detail::out_of_range *>(&reason) != nullptr;
        error = {isRange ? JsonFault::NumberRange : JsonFault::Syntax, position};
        return false;
    }

    JsonError error;
};

} // namespace

std::optional<JsonError> jsonErrorOf(std::string_view text, const JsonLimits &limits)
{
    std::size_t values = 0;
    if (const auto outOfBounds = checkBounds(text, limits, values)) {
        return outOfBounds;
    }
    ErrorFinder finder;
    return Json::sax_parse(text.begin(), text.end(), &finder) ? std::nullopt : std::optional(finder.error);
}

std::optional<Json> parseJson(std::string_view text, const JsonLimits &limits, std::size_t *values)
{
    std::size_t count = 0;
    if (checkBounds(text, limits, count)) {
        return std::nullopt;
    }
    if (values != nullptr) {
        *values = count;
    }
    Json value = Json::parse(text.begin(), text.end(), nullptr, false);
    if (value.is_discarded()) {
        return std::nullopt;
    }
    return value;
}

} // namespace currantlug
