// Counts the requests that replicas began, by time window of the wall clock and by workspace.
//
// Each node counts its own requests; the UsageReporter of the lease holder sums the counts of all nodes.
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
using CountsByWindow = std::map<std::uint64_t, WindowCounts>; ///< By window number.

/// JSON form of counts in the store and in messages. The parse functions return std::nullopt if any part is invalid.
std::optional<WindowCounts> parseWindowCounts(const Json &value);
Json toJson(const CountsByWindow &windows);
std::optional<CountsByWindow> parseCountsByWindow(const Json &value);

/// Window k begins k window lengths after the Unix epoch.
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
    /// All retained windows.
    const CountsByWindow &all() const { return windows_; }
    WindowCounts countsOf(std::uint64_t window) const
    {
        const auto found = windows_.find(window);
        return found == windows_.end() ? WindowCounts{} : found->second;
    }

private:
    static constexpr std::size_t MaxWindows = 24; ///< Two minutes of five-second windows; reports are due in seconds.

    absl::Duration windowLength_;
    CountsByWindow windows_;
};

} // namespace currantlug::control

#endif
