// A fixed number of threads that run jobs from a bounded queue.
#ifndef CURRANTLUG_MESH_WORKERPOOL_H
#define CURRANTLUG_MESH_WORKERPOOL_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace currantlug::mesh {

/// Thread-safe.
class WorkerPool
{
public:
    /// Starts no thread yet.
    explicit WorkerPool(std::size_t maxQueued);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    void start(int threads);

    /// False if the queue is full or the pool does not run; the job is then dropped.
    bool submit(std::function<void()> job);

    /// Drops queued jobs and waits for running ones. Not from a job.
    void stop();

private:
    void run();

    const std::size_t maxQueued_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::function<void()>> queue_;
    bool running_ = false;
    std::vector<std::thread> threads_;
};

} // namespace currantlug::mesh

#endif
