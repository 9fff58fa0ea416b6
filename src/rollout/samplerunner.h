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
    absl::Duration sweepInterval = absl::Milliseconds(200); ///< Between checks for work that is no longer wanted.
};

struct SampleRunnerCounts
{
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
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
    void enqueue(std::vector<SlotTask> tasks);
    void sweep();
    void work();
    void runJob(Job &job);
    std::size_t freePlaces() const;

    StepBook &book_;
    Generator &generator_;
    SampleRunnerSettings settings_;
    mutable std::mutex mutex_;
    std::condition_variable jobReady_;
    std::deque<std::shared_ptr<Job>> queue_;
    std::list<std::shared_ptr<Job>> running_;
    std::vector<std::thread> workers_;
    std::size_t idleWorkers_ = 0;
    SampleRunnerCounts counts_;
    bool stopping_ = false;
    std::thread dispatcher_;
};

} // namespace currantlug::rollout

#endif
