// Keeps the slots of all steps running, up to a limit, and resumes partial work after failures.
#ifndef CURRANTLUG_ROLLOUT_SAMPLERUNNER_H
#define CURRANTLUG_ROLLOUT_SAMPLERUNNER_H

#include "endpoints/cancelflag.h"
#include "rollout/stepbook.h"

#include <absl/status/statusor.h>

#include <algorithm>
#include <concepts>
#include <condition_variable>
#include <deque>
#include <list>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace currantlug::rollout {

/// Generates one sample; called from many threads at once. It blocks until it has a sample or has failed, and returns
/// soon after `cancel` is set. `partial` holds earlier labelled work to resume; on failure the generator leaves there
/// what can be resumed next time. A returned sample has complete labels, those of the resumed part included.
template<class G>
concept SampleGenerator = requires(G &generator, const SlotTask &slot, const std::string &prompt,
                                   std::uint64_t maxTokens, PartialAnswer &partial, endpoints::CancelFlag &cancel)
{
    {
        generator.generate(slot, prompt, maxTokens, partial, cancel)
        } -> std::same_as<absl::StatusOr<Sample>>;
};

struct SampleRunnerSettings
{
    std::size_t maxRunning = 256; ///< Slots generated at once, one thread each.
    std::size_t maxHedges = 0; ///< Second attempts at stragglers at once, within maxRunning; 0 for none.
    absl::Duration sweepInterval = absl::Milliseconds(200); ///< Between checks for work that is no longer wanted.
};

struct SampleRunnerCounts
{
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t hedges = 0; ///< Of those started.
};

/// Driver of StepBook. The book and the generator must outlive it. start() and stop() are called from one thread.
template<SampleGenerator Generator>
class SampleRunner
{
public:
    SampleRunner(StepBook &book, Generator &generator, SampleRunnerSettings settings = {})
        : book_(book)
        , generator_(generator)
        , settings_(settings)
    {
    }
    ~SampleRunner() { stop(); }
    SampleRunner(const SampleRunner &) = delete;
    SampleRunner &operator=(const SampleRunner &) = delete;

    /// Starts the dispatching thread. Worker threads start with the work.
    void start()
    {
        dispatcher_ = std::thread([this] { dispatch(); });
    }

    /// Cancels running work, returns its slots to their steps with their partial work, and joins all threads.
    void stop();

    SampleRunnerCounts counts() const
    {
        const std::lock_guard lock(mutex_);
        return counts_;
    }

private:
    struct Job
    {
        SlotTask task;
        endpoints::CancelFlag cancel;
    };

    void dispatch();
    void enqueue(std::vector<SlotTask> &&tasks);
    std::size_t runningHedges() const;
    void sweep();
    void work();
    void report(Job &job, absl::StatusOr<Sample> result);

    StepBook &book_;
    Generator &generator_;
    SampleRunnerSettings settings_;
    mutable std::mutex mutex_;
    std::condition_variable jobReady_;
    std::deque<std::shared_ptr<Job>> queue_;
    std::list<std::shared_ptr<Job>> running_;
    std::vector<std::thread> workers_;
    Instant lastSweep_;
    SampleRunnerCounts counts_;
    bool stopping_ = false;
    std::thread dispatcher_;
};

template<SampleGenerator Generator>
void SampleRunner<Generator>::stop()
{
    std::vector<std::thread> workers;
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        for (const auto &job : running_) {
            job->cancel.cancel();
        }
        for (const auto &job : queue_) {
            job->cancel.cancel();
        }
    }
    jobReady_.notify_all();
    book_.nudge();
    if (dispatcher_.joinable()) {
        dispatcher_.join();
    }
    {
        // The dispatcher is gone, so no worker starts any more.
        const std::lock_guard lock(mutex_);
        workers.swap(workers_);
    }
    for (std::thread &worker : workers) {
        worker.join();
    }
    for (const auto &job : queue_) {
        book_.returnSlot(job->task.stepId, job->task.slot, std::move(job->task.partial));
    }
    queue_.clear();
}

template<SampleGenerator Generator>
void SampleRunner<Generator>::dispatch()
{
    for (;;) {
        const std::uint64_t seen = book_.changes();
        std::size_t free = 0;
        {
            const std::lock_guard lock(mutex_);
            if (stopping_) {
                return;
            }
            free = settings_.maxRunning - std::min(settings_.maxRunning, running_.size() + queue_.size());
        }
        const Instant now = monotonicNow();
        if (free > 0) {
            std::vector<SlotTask> tasks = book_.startSlots(free, now);
            const std::size_t hedges = std::min(free - tasks.size(), settings_.maxHedges - runningHedges());
            enqueue(std::move(tasks));
            if (hedges > 0) {
                enqueue(book_.startHedges(hedges, now));
            }
        }
        sweep();
        absl::Duration wait = settings_.sweepInterval;
        // A slot that is ready now and was not started waits for a free place or for memory, both of which are changes.
        if (const auto ready = book_.nextReady(); ready && *ready > now) {
            wait = std::min(wait, *ready - now);
        }
        book_.waitForChange(seen, wait);
    }
}

template<SampleGenerator Generator>
void SampleRunner<Generator>::enqueue(std::vector<SlotTask> &&tasks)
{
    const std::lock_guard lock(mutex_);
    for (SlotTask &task : tasks) {
        ++counts_.started;
        counts_.hedges += task.hedge ? 1 : 0;
        auto job = std::make_shared<Job>();
        job->task = std::move(task);
        queue_.push_back(std::move(job));
    }
    // A thread start can lag behind, so workers are counted from their creation on.
    while (workers_.size() < std::min(settings_.maxRunning, running_.size() + queue_.size())) {
        workers_.emplace_back([this] { work(); });
    }
    jobReady_.notify_all();
}

template<SampleGenerator Generator>
std::size_t SampleRunner<Generator>::runningHedges() const
{
    const std::lock_guard lock(mutex_);
    const auto isHedge = [](const auto &job) { return job->task.hedge; };
    return static_cast<std::size_t>(std::count_if(running_.begin(), running_.end(), isHedge)
                                    + std::count_if(queue_.begin(), queue_.end(), isHedge));
}

// Cancels work whose step is gone or whose slot the trainer has got otherwise.
template<SampleGenerator Generator>
void SampleRunner<Generator>::sweep()
{
    std::vector<std::shared_ptr<Job>> jobs;
    {
        const std::lock_guard lock(mutex_);
        const Instant now = monotonicNow();
        if (now - lastSweep_ < settings_.sweepInterval) {
            return;
        }
        lastSweep_ = now;
        jobs.assign(running_.begin(), running_.end());
    }
    for (const auto &job : jobs) {
        if (!book_.wanted(job->task.stepId, job->task.slot)) {
            job->cancel.cancel();
        }
    }
}

template<SampleGenerator Generator>
void SampleRunner<Generator>::work()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        jobReady_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
        if (stopping_) {
            return;
        }
        running_.push_back(std::move(queue_.front()));
        queue_.pop_front();
        const auto place = std::prev(running_.end());
        const std::shared_ptr<Job> job = *place;
        lock.unlock();
        auto result =
            generator_.generate(job->task, job->task.prompt, job->task.maxTokens, job->task.partial, job->cancel);
        lock.lock();
        running_.erase(place);
        lock.unlock();
        report(*job, std::move(result));
        lock.lock();
    }
}

template<SampleGenerator Generator>
void SampleRunner<Generator>::report(Job &job, absl::StatusOr<Sample> result)
{
    const SlotTask &task = job.task;
    std::uint64_t SampleRunnerCounts::*counter = &SampleRunnerCounts::failed;
    if (result.ok()) {
        counter = &SampleRunnerCounts::finished;
        book_.finishSlot(task.stepId, task.slot, *std::move(result), monotonicNow());
    } else if (job.cancel.cancelled()) {
        counter = &SampleRunnerCounts::cancelled;
        book_.returnSlot(task.stepId, task.slot, std::move(job.task.partial));
    } else {
        book_.failSlot(task.stepId, task.slot, std::move(job.task.partial), monotonicNow());
    }
    const std::lock_guard lock(mutex_);
    ++(counts_.*counter);
}

} // namespace currantlug::rollout

#endif
