// Binding in order, with retries.
#include "net/listenergroup.h"

namespace currantlug::net {

void ListenerGroup::start(std::function<void()> onBound, std::function<void(const absl::Status &)> onError)
{
    onBound_ = std::move(onBound);
    onError_ = std::move(onError);
    bindNext();
}

void ListenerGroup::bindNext()
{
    while (next_ < listeners_.size()) {
        const absl::Status status = listeners_[next_].server->listen(listeners_[next_].endpoint);
        if (status.ok()) {
            ++next_;
            continue;
        }
        if (status.code() != absl::StatusCode::kUnavailable) {
            onError_(status);
            return;
        }
        if (const Instant now = loopNow(); now - reportedAt_ >= settings_.reportPeriod) {
            reportedAt_ = now;
            report_(status);
        }
        runAfter(loop_, settings_.retryDelay, [this] { bindNext(); });
        return;
    }
    onBound_();
}

} // namespace currantlug::net
