// Thread pool for connections that grows on demand.
#include "server/connectionthreads.h"

#include <utility>

namespace currantlug::server {

ConnectionThreads::ConnectionThreads(std::size_t maxThreads)
    : maxThreads_(maxThreads)
{
}

ConnectionThreads::~ConnectionThreads()
{
    ConnectionThreads::shutdown();
}

void ConnectionThreads::enqueue(std::function<void()> connection)
{
    const std::lock_guard lock(mutex_);
    waiting_.push_back(std::move(connection));
    if (waiting_.size() > idle_ && threads_.size() < maxThreads_) {
        threads_.emplace_back([this] { run(); });
    }
    wake_.notify_one();
}

void ConnectionThreads::shutdown()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        threads.swap(threads_);
    }
    wake_.notify_all();
    for (std::thread &thread : threads) {
        thread.join();
    }
}

void ConnectionThreads::run()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        ++idle_;
        wake_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
        --idle_;
        if (waiting_.empty()) {
            return;
        }
        const std::function<void()> connection = std::move(waiting_.front());
        waiting_.pop_front();
        lock.unlock();
        connection();
        lock.lock();
    }
}

} // namespace currantlug::server
