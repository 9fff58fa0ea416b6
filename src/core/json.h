// JSON access with checked types. nlohmann json also encodes CBOR for messages between daemons.
#ifndef CURRANTLUG_CORE_JSON_H
#define CURRANTLUG_CORE_JSON_H

#include "core/enumnames.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace currantlug {

using Json = nlohmann::json;

/// Number of levels of arrays and objects that are read from outside. The copy, the destruction and the output of a
/// value recurse once per level, so that deeper ones could exhaust the stack.
inline constexpr std::size_t MaxJsonDepth = 64;

/// Number of values that are read from outside in one text, names of fields included. Each takes some 100 bytes,
/// however short its text is.
inline constexpr std::size_t MaxJsonValues = 1 << 18;

/// Why a text isn't read.
enum class JsonFault {
    Syntax, ///< Not JSON, or a string that isn't UTF-8.
    NumberRange, ///< A number that overflows a double.
    TooDeep, ///< Nested deeper than the reader takes.
    TooManyValues, ///< More values than the reader takes.
    Structure, ///< JSON, but a part that the reader needs is missing or has another type.
};

template<>
struct EnumNames<JsonFault>
{
    static constexpr std::array<std::pair<JsonFault, std::string_view>, 5> Table{{
        {JsonFault::Syntax, "syntax"},
        {JsonFault::NumberRange, "number_range"},
        {JsonFault::TooDeep, "too_deep"},
        {JsonFault::TooManyValues, "too_many_values"},
        {JsonFault::Structure, "structure"},
    }};
};

struct JsonError
{
    JsonFault fault = JsonFault::Syntax;
    std::size_t position = 0; ///< Byte of the text up to which it was read.
};

/// What is read of one text.
struct JsonLimits
{
    std::size_t depth = MaxJsonDepth;
    std::size_t values = MaxJsonValues;
};

/// Parses text; nullopt where it is not JSON or exceeds the limits. Never throws. If `values` is given, it is set to
/// the number of values of a text that was parsed.
std::optional<Json> parseJson(std::string_view text, const JsonLimits &limits = {}, std::size_t *values = nullptr);

/// The reason why parseJson() refuses this text; nullopt if it doesn't. As costly as the parse.
std::optional<JsonError> jsonErrorOf(std::string_view text, const JsonLimits &limits = {});

/// The value as a T; nullopt if it has another type or is out of T's range.
template<class T>
std::optional<T> valueAs(const Json &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        return value.is_boolean() ? std::optional(value.get<bool>()) : std::nullopt;
    } else if constexpr (std::is_integral_v<T>) {
        if (value.is_number_unsigned()) {
            const auto number = value.get<std::uint64_t>();
            return std::in_range<T>(number) ? std::optional(static_cast<T>(number)) : std::nullopt;
        }
        if (value.is_number_integer()) {
            const auto number = value.get<std::int64_t>();
            return std::in_range<T>(number) ? std::optional(static_cast<T>(number)) : std::nullopt;
        }
        return std::nullopt;
    } else if constexpr (std::is_floating_point_v<T>) {
        const T number = value.is_number() ? value.get<T>() : std::numeric_limits<T>::infinity();
        return std::isfinite(number) ? std::optional(number) : std::nullopt; // CBOR has infinite numbers.
    } else {
        return value.is_string() ? std::optional(value.get<std::string>()) : std::nullopt;
    }
}

/// The field's value if the object has it and it is a T, else the fallback.
template<class T>
T fieldOr(const Json &object, const char *name, T fallback)
{
    if (!object.is_object()) {
        return fallback;
    }
    const auto found = object.find(name);
    return found == object.end() ? fallback : valueAs<T>(*found).value_or(fallback);
}

/// The field's value; null where the value is no object or has no such field.
inline Json fieldOrNull(const Json &object, const char *name)
{
    return object.is_object() && object.contains(name) ? object[name] : Json();
}

} // namespace currantlug

#endif
