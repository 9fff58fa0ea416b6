// The connection threads: growth up to the limit, and shutdown with work waiting.
#include "server/connectionthreads.h"

#include <catch2/catch.hpp>

#include <atomic>

using currantlug::server::ConnectionThreads;

TEST_CASE("a blocked connection does not keep the next one waiting", "[server]")
{
    // Guards against one slow stream holding up all callers.
    ConnectionThreads threads(2);
    std::mutex mutex;
    std::condition_variable changed;
    bool second = false;
    threads.enqueue([&] {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return second; });
    });
    threads.enqueue([&] {
        const std::lock_guard lock(mutex);
        second = true;
        changed.notify_all();
    });
    threads.shutdown();
    CHECK(second);
}

TEST_CASE("connections above the limit run when a thread is free, and shutdown runs them all", "[server]")
{
    std::atomic<int> ran{0};
    {
        ConnectionThreads threads(3);
        for (int i = 0; i < 100; ++i) {
            threads.enqueue([&] { ++ran; });
        }
    }
    CHECK(ran == 100);
}
