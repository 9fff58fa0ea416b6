// Requests that replicas began, by window of the wall clock and workspace.
#ifndef CURRANTLUG_CONTROL_REQUESTCOUNTS_H
#define CURRANTLUG_CONTROL_REQUESTCOUNTS_H

#include "core/json.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace currantlug::control {

using WindowCounts = std::map<std::string, std::uint64_t>; ///< By workspace.
using CountsByWindow = std::map<std::uint64_t, WindowCounts>; ///< By number of the window.

/// Counts as they are stored and passed on; nothing if a part can't be read.
std::optional<WindowCounts> parseWindowCounts(const Json &value);
Json toJson(const CountsByWindow &windows);
std::optional<CountsByWindow> parseCountsByWindow(const Json &value);

/// Window k begins k times the window's length after the start of 1970.
class RequestCounts
{
public:
    explicit RequestCounts(absl::Duration windowLength)
        : windowLength_(windowLength)
    {
    }

    std::uint64_t windowAt(absl::Time at) const
    {
        return static_cast<std::uint64_t>((at - absl::UnixEpoch()) / windowLength_);
    }
    absl::Time windowEnd(std::uint64_t window) const
    {
        return absl::UnixEpoch() + windowLength_ * static_cast<std::int64_t>(window + 1);
    }
    void add(const std::string &workspace, absl::Time at) { add(workspace, windowAt(at), 1); }
    void add(const std::string &workspace, std::uint64_t window, std::uint64_t requests)
    {
        windows_[window][workspace] += requests;
        while (windows_.size() > MaxWindows) {
            windows_.erase(windows_.begin());
        }
    }
    void add(const CountsByWindow &windows)
    {
        for (const auto &[window, counts] : windows) {
            for (const auto &[workspace, requests] : counts) {
                add(workspace, window, requests);
            }
        }
    }
    /// All windows that are kept.
    const CountsByWindow &all() const { return windows_; }
    WindowCounts countsOf(std::uint64_t window) const
    {
        const auto found = windows_.find(window);
        return found == windows_.end() ? WindowCounts{} : found->second;
    }

private:
    static constexpr std::size_t MaxWindows = 24; ///< Two minutes of five-second windows; a report is due in seconds.

    absl::Duration windowLength_;
    CountsByWindow windows_;
};

} // namespace currantlug::control

#endif
