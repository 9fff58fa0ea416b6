// Hooks run under the flag's lock, so that a removed hook is certain not to run.
#include "endpoints/cancelflag.h"

#include <utility>

namespace currantlug::endpoints {

void CancelFlag::cancel()
{
    const std::lock_guard lock(mutex_);
    if (std::exchange(cancelled_, true)) {
        return;
    }
    for (const auto &[id, hook] : hooks_) {
        hook();
    }
}

bool CancelFlag::cancelled() const
{
    const std::lock_guard lock(mutex_);
    return cancelled_;
}

std::uint64_t CancelFlag::addHook(std::function<void()> hook)
{
    const std::lock_guard lock(mutex_);
    if (cancelled_) {
        hook();
    }
    hooks_.emplace(nextHook_, std::move(hook));
    return nextHook_++;
}

void CancelFlag::removeHook(std::uint64_t id)
{
    const std::lock_guard lock(mutex_);
    hooks_.erase(id);
}

} // namespace currantlug::endpoints
