// Turns of connections that have used much processor time. They run one at a time, each after a pause as long as the
// turn before it took, so that new and ordinary connections have at least half of the event loop's time.
#ifndef CURRANTLUG_NET_DEFERREDTURNS_H
#define CURRANTLUG_NET_DEFERREDTURNS_H

#include "net/eventloop.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

namespace currantlug::net {

/// Must outlive the run of the loop.
class DeferredTurns
{
public:
    explicit DeferredTurns(Loop &loop)
        : loop_(loop)
    {
    }
    DeferredTurns(const DeferredTurns &) = delete;
    DeferredTurns &operator=(const DeferredTurns &) = delete;

    /// Runs the turn from the loop, after those that wait already.
    void add(std::function<void()> turn);
    std::size_t waiting() const { return turns_.size(); }
    std::uint64_t deferred() const { return deferred_; }

private:
    void schedule();
    void runNext();

    Loop &loop_;
    std::deque<std::function<void()>> turns_;
    Instant notBefore_; ///< End of the present pause.
    bool scheduled_ = false;
    std::uint64_t deferred_ = 0; ///< Turns since the start.
};

} // namespace currantlug::net

#endif
