// Decision code of one step: which slots to generate next, and which samples answer a pull.
#ifndef CURRANTLUG_ROLLOUT_STEP_H
#define CURRANTLUG_ROLLOUT_STEP_H

#include "core/enumnames.h"
#include "core/instant.h"
#include "rollout/cursor.h"
#include "rollout/stepdefinition.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::rollout {

/// A finished answer with complete and consistent labels.
struct Sample
{
    std::string text;
    std::vector<Segment> segments;
    std::string sampleId; ///< Unique per generated sample; the id of the request that finished it.
    std::string finishReason;
};

enum class SlotState {
    Waiting, ///< To be generated.
    Running, ///< Being generated.
    Held, ///< Generated and kept until a cursor contains the slot.
    Delivered, ///< In the trainer's cursor; its sample is freed.
};

} // namespace currantlug::rollout

template<>
struct currantlug::EnumNames<currantlug::rollout::SlotState>
{
    using SlotState = rollout::SlotState;
    static constexpr std::array<std::pair<SlotState, std::string_view>, 4> Table{{
        {SlotState::Waiting, "waiting"},
        {SlotState::Running, "running"},
        {SlotState::Held, "held"},
        {SlotState::Delivered, "delivered"},
    }};
};

namespace currantlug::rollout {

struct StepSettings
{
    absl::Duration minBackoff = absl::Milliseconds(100); ///< Before a slot is tried again after its first failure.
    absl::Duration maxBackoff = absl::Seconds(10);
    double stragglerFactor = 2.0; ///< A slot running this many times the median is a straggler.
    std::size_t keptDurations = 64; ///< For the median.
    std::uint32_t fruitlessResumes = 3; ///< Failures without progress after which partial work is given up.
    std::size_t maxAnswerBytes = 512 << 10; ///< Of one pull's answer; fits a mesh message with JSON escapes.
};

struct DeliveredSample
{
    SlotNumber slot = 0;
    std::string group;
    std::uint32_t index = 0; ///< Within the group.
    Sample sample;
};

struct PullAnswer
{
    std::string cursor; ///< The request's cursor with the slots of `samples` added.
    std::vector<DeliveredSample> samples;
    std::uint32_t remaining = 0; ///< Slots outside `cursor`.
    std::uint32_t droppedStale = 0; ///< Samples that this pull dropped as too old.
    bool complete() const { return remaining == 0; }
};

/// One step. Pure; not thread-safe. Invariant: a slot has a sample exactly while it is Held.
class Step
{
public:
    Step(StepDefinition definition, Instant now, StepSettings settings = {});

    const StepDefinition &definition() const { return definition_; }
    SlotState state(SlotNumber slot) const { return slots_[slot].state; }
    Instant deadline() const { return deadline_; }

    /// The newest trainer version seen in a pull or definition; used to give up partial work early.
    WeightVersion trainerVersion() const { return trainerVersion_; }
    void noteTrainerVersion(WeightVersion version);

    /// Waiting slots whose backoff is over, at most `limit`: slots of started groups first, fewest missing first.
    std::vector<SlotNumber> nextSlots(std::size_t limit, Instant now) const;

    /// When the next waiting slot leaves its backoff; nullopt where none waits.
    std::optional<Instant> nextReady() const;

    /// Begins an attempt for a slot that waits, or a hedge for one that runs. Returns the partial work, which is empty
    /// for a hedge and where it is too old to resume. Each attempt ends in one of the next three calls.
    PartialAnswer slotStarted(SlotNumber slot, Instant now);

    /// Takes a sample; true if it is kept. A late sample for a slot that already has one is ignored, and one without
    /// segments counts as a failure.
    bool slotFinished(SlotNumber slot, Sample sample, Instant now);

    /// Puts the slot back to waiting with a backoff, where no other attempt runs, and keeps the partial work.
    void slotFailed(SlotNumber slot, PartialAnswer partial, Instant now);

    /// Like slotFailed, but without a backoff: for attempts that were stopped from here.
    void slotReturned(SlotNumber slot, PartialAnswer partial);

    /// Answers a pull. Samples older than `trainerVersion` minus the bound are dropped and their slots wait again; held
    /// samples that the cursor contains are freed. Errors are those of Cursor::decode.
    absl::StatusOr<PullAnswer> pull(std::string_view cursor, WeightVersion trainerVersion, std::size_t maxSamples);

    /// Running slots that have taken much longer than the median of the finished ones, longest first, and only while no
    /// slot waits and for slots with a single attempt. Empty until a quarter of the slots or eight have finished.
    std::vector<SlotNumber> stragglers(Instant now) const;

    std::uint32_t count(SlotState state) const;

    /// Slots of the group without a sample.
    std::uint32_t missingInGroupOf(SlotNumber slot) const { return missing(slots_[slot].group); }
    std::uint64_t droppedStale() const { return droppedStale_; }

    /// Bytes of prompts, held samples and partial work.
    std::size_t memoryBytes() const { return definitionBytes_ + sampleBytes_; }

private:
    using StateCounts = std::array<std::uint32_t, 4>; ///< Slots by SlotState.
    struct Slot
    {
        SlotState state = SlotState::Waiting;
        std::uint32_t group = 0;
        std::uint32_t attempts = 0; ///< Started and not yet ended, hedges and unwanted ones included.
        std::uint32_t failures = 0; ///< Since the last sample.
        std::uint64_t resumedTokens = 0; ///< With which the newest attempt began.
        Instant since; ///< Start of the newest attempt, or the end of the backoff while waiting.
        std::optional<Sample> sample;
        PartialAnswer partial;
    };

    bool tooOld(const std::vector<Segment> &segments, WeightVersion trainerVersion) const;
    std::uint32_t missing(std::uint32_t group) const;
    void setState(Slot &slot, SlotState state);
    void setSample(Slot &slot, std::optional<Sample> sample);
    void setPartial(Slot &slot, PartialAnswer partial);
    void reopen(Slot &slot);
    void applyCursor(const SlotSet &have);
    std::uint32_t dropStale(WeightVersion trainerVersion);
    std::vector<SlotNumber> deliveryOrder() const;
    absl::Duration backoff(SlotNumber slot, std::uint32_t failures) const;

    StepDefinition definition_;
    StepSettings settings_;
    Instant deadline_;
    WeightVersion trainerVersion_ = 0;
    std::vector<Slot> slots_;
    std::vector<StateCounts> groups_;
    StateCounts counts_{};
    std::vector<absl::Duration> durations_; ///< Ring of the last generation times.
    std::uint64_t finished_ = 0;
    std::uint64_t droppedStale_ = 0;
    std::size_t definitionBytes_ = 0;
    std::size_t sampleBytes_ = 0;
};

} // namespace currantlug::rollout

#endif
