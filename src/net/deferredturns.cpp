// Pauses between turns.
#include "net/deferredturns.h"

#include <algorithm>
#include <utility>

namespace currantlug::net {

void DeferredTurns::add(std::function<void()> turn)
{
    ++deferred_;
    turns_.push_back(std::move(turn));
    schedule();
}

void DeferredTurns::schedule()
{
    if (scheduled_ || turns_.empty()) {
        return;
    }
    scheduled_ = true;
    runAfter(loop_, std::max(absl::ZeroDuration(), notBefore_ - loopNow()), [this] {
        scheduled_ = false;
        runNext();
    });
}

void DeferredTurns::runNext()
{
    const auto turn = std::move(turns_.front());
    turns_.pop_front();
    const Instant begin = loopNow();
    try {
        turn();
    } catch (...) {
        schedule();
        throw;
    }
    const Instant end = loopNow();
    notBefore_ = end + (end - begin);
    schedule();
}

} // namespace currantlug::net
