// Helpers that run an event loop until a condition holds or for a given time.
#ifndef CURRANTLUG_TESTS_FAKES_RUNLOOP_H
#define CURRANTLUG_TESTS_FAKES_RUNLOOP_H

#include "net/eventloop.h"

#include <chrono>
#include <functional>

namespace currantlug::tests {

/// Returns false if the condition does not hold within the limit, which only a failing test reaches.
inline bool runUntil(net::Loop &loop, const std::function<bool()> &condition,
                     std::chrono::milliseconds limit = std::chrono::seconds(20))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(10));
    }
    return true;
}

/// Runs the loop for the given time, to check that something does not happen.
inline void runFor(net::Loop &loop, std::chrono::milliseconds time)
{
    loop.restart();
    loop.run_for(time);
}

} // namespace currantlug::tests

#endif
