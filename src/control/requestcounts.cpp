// Conversion of request counts from and to JSON.
#include "control/requestcounts.h"

#include <absl/strings/numbers.h>

namespace currantlug::control {

std::optional<WindowCounts> parseWindowCounts(const Json &value)
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
    for (const auto &[window, counts] : windows) {
        value[std::to_string(window)] = counts;
    }
    return value;
}

std::optional<CountsByWindow> parseCountsByWindow(const Json &value)
{
    if (!value.is_object()) {
        return std::nullopt;
    }
    CountsByWindow windows;
    for (const auto &[key, entry] : value.items()) {
        std::uint64_t window = 0;
        auto counts = parseWindowCounts(entry);
        if (!absl::SimpleAtoi(key, &window) || !counts) {
            return std::nullopt;
        }
        windows[window] = std::move(*counts);
    }
    return windows;
}

} // namespace currantlug::control
