// The threads that serve HTTP connections. cpp-httplib holds one thread per open connection.
#ifndef CURRANTLUG_SERVER_CONNECTIONTHREADS_H
#define CURRANTLUG_SERVER_CONNECTIONTHREADS_H

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace currantlug::server {

/// Grows on demand up to a limit; connections above the limit wait for a free thread. Idle threads are kept, because a
/// thread per new connection would cost a stack mapping each time.
class ConnectionThreads : public httplib::TaskQueue
{
public:
    explicit ConnectionThreads(std::size_t maxThreads);
    ~ConnectionThreads() override;

    void enqueue(std::function<void()> connection) override;
    void shutdown() override;

private:
    void run();

    const std::size_t maxThreads_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::function<void()>> waiting_;
    std::vector<std::thread> threads_;
    std::size_t idle_ = 0; ///< Threads blocked in wake_; never more than threads_.size().
    bool stopping_ = false;
};

} // namespace currantlug::server

#endif
