// Cancellation of a running call from another thread.
#ifndef CURRANTLUG_ENDPOINTS_CANCELFLAG_H
#define CURRANTLUG_ENDPOINTS_CANCELFLAG_H

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace currantlug::endpoints {

/// Thread-safe. A call registers a hook that interrupts its waiting, so that cancelling needs no polling.
class CancelFlag
{
public:
    CancelFlag() = default;
    CancelFlag(const CancelFlag &) = delete;
    CancelFlag &operator=(const CancelFlag &) = delete;

    /// Sets the flag and runs all hooks. The flag is never cleared.
    void cancel();
    bool cancelled() const;

    /// Registers a hook, or runs it at once when the flag is set. The hook must not call the flag.
    std::uint64_t addHook(std::function<void()> hook);

    /// Removes a hook. On return it is not running and will not run.
    void removeHook(std::uint64_t id);

private:
    mutable std::mutex mutex_;
    std::map<std::uint64_t, std::function<void()>> hooks_;
    std::uint64_t nextHook_ = 1;
    bool cancelled_ = false;
};

} // namespace currantlug::endpoints

#endif
