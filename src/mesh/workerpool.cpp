// Worker threads that run request handlers away from the io thread.
#include "mesh/workerpool.h"

namespace currantlug::mesh {

WorkerPool::WorkerPool(std::size_t maxQueued)
    : maxQueued_(maxQueued)
{
}

WorkerPool::~WorkerPool()
{
    stop();
}

void WorkerPool::start(int threads)
{
    const std::lock_guard lock(mutex_);
    running_ = true;
    for (int i = 0; i < threads; ++i) {
        threads_.emplace_back([this] { run(); });
    }
}

bool WorkerPool::submit(std::function<void()> job)
{
    {
        const std::lock_guard lock(mutex_);
        if (!running_ || queue_.size() >= maxQueued_) {
            return false;
        }
        queue_.push_back(std::move(job));
    }
    wake_.notify_one();
    return true;
}

void WorkerPool::stop()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(mutex_);
        running_ = false;
        queue_.clear();
        threads.swap(threads_);
    }
    wake_.notify_all();
    for (std::thread &thread : threads) {
        thread.join();
    }
}

void WorkerPool::run()
{
    std::unique_lock lock(mutex_);
    while (true) {
        wake_.wait(lock, [this] { return !running_ || !queue_.empty(); });
        if (!running_) {
            return;
        }
        const std::function<void()> job = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

} // namespace currantlug::mesh
