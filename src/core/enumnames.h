// Names of enum values: each enum that is printed, parsed or sent has one table here or beside its definition.
#ifndef CURRANTLUG_CORE_ENUMNAMES_H
#define CURRANTLUG_CORE_ENUMNAMES_H

#include <array>
#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>

namespace currantlug {

/// Specialise with a member `static constexpr std::array<std::pair<E, std::string_view>, N> Table`.
template<class E>
struct EnumNames;

template<class E>
concept NamedEnum = std::is_enum_v<E> && requires
{
    EnumNames<E>::Table.size();
};

/// The name of a value, or "unknown" for a value outside the table.
template<NamedEnum E>
constexpr std::string_view nameOf(E value)
{
    for (const auto &[candidate, name] : EnumNames<E>::Table) {
        if (candidate == value) {
            return name;
        }
    }
    return "unknown";
}

/// The value with this name, if there is one.
template<NamedEnum E>
constexpr std::optional<E> parseEnum(std::string_view text)
{
    for (const auto &[candidate, name] : EnumNames<E>::Table) {
        if (name == text) {
            return candidate;
        }
    }
    return std::nullopt;
}

} // namespace currantlug

#endif
