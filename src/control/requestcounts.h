// Requests that replicas began, by window of the wall clock and workspace.
#ifndef CURRANTLUG_CONTROL_REQUESTCOUNTS_H
#define CURRANTLUG_CONTROL_REQUESTCOUNTS_H

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace currantlug::control {

using WindowCounts = std::map<std::string, std::uint64_t>; ///< By workspace.

/// Window k begins k times the window's length after the start of 1970.
class RequestCounts
{
public:
    explicit RequestCounts(absl::Duration window)
        : window_(window)
    {
    }

    std::uint64_t windowAt(absl::Time at) const
    {
        return static_cast<std::uint64_t>((at - absl::UnixEpoch()) / window_);
    }
    absl::Time endOf(std::uint64_t window) const
    {
        return absl::UnixEpoch() + window_ * static_cast<std::int64_t>(window + 1);
    }
    void add(const std::string &workspace, absl::Time at) { add(workspace, windowAt(at), 1); }
    void add(const std::string &workspace, std::uint64_t window, std::uint64_t requests)
    {
        windows_[window][workspace] += requests;
        while (windows_.size() > KeptWindows) {
            windows_.erase(windows_.begin());
        }
    }
    /// All windows that are kept, by number.
    const std::map<std::uint64_t, WindowCounts> &all() const { return windows_; }
    WindowCounts of(std::uint64_t window) const
    {
        const auto found = windows_.find(window);
        return found == windows_.end() ? WindowCounts{} : found->second;
    }

private:
    static constexpr std::size_t KeptWindows = 24; ///< Two minutes of five-second windows; a report is due in seconds.

    absl::Duration window_;
    std::map<std::uint64_t, WindowCounts> windows_;
};

} // namespace currantlug::control

#endif
