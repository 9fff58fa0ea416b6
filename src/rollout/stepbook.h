// All steps that this daemon holds.
#ifndef CURRANTLUG_ROLLOUT_STEPBOOK_H
#define CURRANTLUG_ROLLOUT_STEPBOOK_H

#include "core/slotmap.h"
#include "rollout/step.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace currantlug::rollout {

using StepId = SlotId<Step>;

struct StepBookSettings
{
    std::size_t maxSteps = 64;
    std::size_t maxMemoryBytes = 512 << 20; ///< Prompts, held samples and partial work of all steps.
    absl::Duration idleLimit = absl::Minutes(10); ///< A step without a PUT or pull for this long is removed.
    StepSettings step;
};

/// One slot to generate, copied out of its step so that the work needs no lock.
struct SlotTask
{
    StepId stepId;
    SlotNumber slot = 0;
    TrainerId trainer;
    std::string step;
    RouteId route;
    std::string group;
    std::uint32_t index = 0; ///< Within the group.
    std::string prompt;
    std::uint64_t maxTokens = 0;
    std::uint64_t stalenessBound = 0;
    WeightVersion trainerVersion = 0;
    Instant deadline;
    /// The same for all attempts at the slot, so that a hedge does not prefer short samples where engines are
    /// deterministic, and different within a group.
    std::uint64_t seed = 0;
    bool hedge = false; ///< A second attempt at a slot whose first one takes long.
    bool lastOfGroup = false; ///< At most one slot of the group is missing, so the work goes first.
    PartialAnswer partial;
};

struct StepStatus
{
    std::array<std::uint32_t, 4> counts{}; ///< By SlotState.
    std::uint64_t droppedStale = 0;
    std::size_t memoryBytes = 0;
};

/// Thread-safe container of steps by trainer and name.
class StepBook
{
public:
    explicit StepBook(StepBookSettings settings = {})
        : settings_(settings)
    {
    }

    /// Adds a step. With the same digest as the step that is there it only updates the trainer's version. Errors:
    /// kAlreadyExists for another digest, kResourceExhausted where the book is full; none has an effect.
    absl::Status put(StepDefinition definition, Instant now);

    /// Answers a pull. Errors: kNotFound ("unknown step") where the trainer must send the definition again, and those
    /// of Step::pull.
    absl::StatusOr<PullAnswer> pull(const TrainerId &trainer, std::string_view step, std::string_view cursor,
                                    WeightVersion trainerVersion, std::size_t maxSamples, Instant now);

    /// Like pull, but waits up to `maxWait` for the first sample or for the end of the step. The trainer's version is
    /// the one in the request, so a trainer that goes on training must wait no longer than its bound allows.
    absl::StatusOr<PullAnswer> pullWaiting(const TrainerId &trainer, std::string_view step, std::string_view cursor,
                                           WeightVersion trainerVersion, std::size_t maxSamples,
                                           absl::Duration maxWait);

    /// Removes a step; false if there was none.
    bool remove(const TrainerId &trainer, std::string_view step);

    /// Removes the steps that nobody has asked for within the idle limit; returns their number.
    std::size_t removeIdle(Instant now);

    /// Starts up to `limit` waiting slots and returns them, steps with the nearest deadline first. None while the
    /// memory is used up; pulls free it.
    std::vector<SlotTask> startSlots(std::size_t limit, Instant now);

    /// Starts second attempts for up to `limit` stragglers.
    std::vector<SlotTask> startHedges(std::size_t limit, Instant now);

    /// When a waiting slot next leaves its backoff; nullopt where none waits.
    std::optional<Instant> nextReady() const;

    /// Results of started slots. They have no effect where the step is gone.
    bool finishSlot(StepId step, SlotNumber slot, Sample sample, Instant now);
    void failSlot(StepId step, SlotNumber slot, PartialAnswer partial, Instant now);
    void returnSlot(StepId step, SlotNumber slot, PartialAnswer partial);

    /// False where the step was removed or the slot needs no sample any more, so running work can stop.
    bool wanted(StepId step, SlotNumber slot) const;

    std::optional<StepId> find(const TrainerId &trainer, std::string_view step) const;
    std::optional<StepStatus> status(const TrainerId &trainer, std::string_view step) const;
    std::size_t size() const;
    std::size_t memoryBytes() const;

    /// Number of changes so far that may give work to a runner or an answer to a pull.
    std::uint64_t changes() const;

    /// Waits until changes() differs from `seen` or the time is over.
    void waitForChange(std::uint64_t seen, absl::Duration maxWait) const;

    /// Counts a change, so that everyone who waits looks again.
    void nudge();

    /// Ends all waiting, now and later; pulls then answer with what is there.
    void wakeAll();

private:
    struct Entry
    {
        Step step;
        Instant lastUse;
    };
    using Name = std::pair<TrainerId, std::string>;

    Entry *findEntry(const TrainerId &trainer, std::string_view step);
    const Entry *findEntry(const TrainerId &trainer, std::string_view step) const;
    Entry *findEntry(StepId id);
    std::size_t memoryLocked() const;
    void changed();
    bool awake() const;

    StepBookSettings settings_;
    mutable std::mutex mutex_;
    mutable std::condition_variable condition_;
    SlotMap<Entry> steps_;
    std::map<Name, SlotId<Entry>> names_;
    std::uint64_t changes_ = 0;
    bool awake_ = false;
};

} // namespace currantlug::rollout

#endif
