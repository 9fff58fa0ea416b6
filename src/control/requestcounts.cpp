// The stored form of counts.
#include "control/requestcounts.h"

#include <absl/strings/numbers.h>

namespace currantlug::control {

std::optional<WindowCounts> parseCounts(const Json &value)
{
    if (!value.is_object()) {
        return std::nullopt;
    }
    WindowCounts counts;
    for (const auto &[workspace, count] : value.items()) {
        if (!count.is_number_unsigned()) {
            return std::nullopt;
        }
        counts[workspace] = count.get<std::uint64_t>();
    }
    return counts;
}

Json toJson(const CountsByWindow &windows)
{
    Json value = Json::object();
    for (const auto &[number, counts] : windows) {
        value[std::to_string(number)] = counts;
    }
    return value;
}

std::optional<CountsByWindow> parseWindows(const Json &value)
{
    if (!value.is_object()) {
        return std::nullopt;
    }
    CountsByWindow windows;
    for (const auto &[key, entry] : value.items()) {
        std::uint64_t number = 0;
        auto counts = parseCounts(entry);
        if (!absl::SimpleAtoi(key, &number) || !counts) {
            return std::nullopt;
        }
        windows[number] = std::move(*counts);
    }
    return windows;
}

} // namespace currantlug::control
