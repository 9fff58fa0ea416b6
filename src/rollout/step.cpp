// State of the slots of one step.
#include "rollout/step.h"

#include "core/hash.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <tuple>

namespace currantlug::rollout {

namespace {

constexpr std::size_t index(SlotState state)
{
    return static_cast<std::size_t>(state);
}

std::size_t bytesOf(const Sample &sample)
{
    return sizeof(Sample) + sample.text.size() + sample.segments.size() * sizeof(Segment);
}

// Size in the JSON of an answer, escapes not counted.
std::size_t answerBytes(const Sample &sample)
{
    constexpr std::size_t FieldNames = 160;
    constexpr std::size_t SegmentFields = 48;
    return FieldNames + sample.text.size() + sample.sampleId.size() + sample.segments.size() * SegmentFields;
}

std::size_t bytesOf(const PartialAnswer &partial)
{
    return partial.text.size() + partial.segments.size() * sizeof(Segment);
}

// The groups with slots in a state, in the order in which a step works on them: started groups first, then those that
// miss least.
template<class StartedFunction, class MissingFunction>
std::vector<std::uint32_t> orderedGroups(const std::vector<std::array<std::uint32_t, 4>> &groups, SlotState state,
                                         const StartedFunction &started, const MissingFunction &missing)
{
    std::vector<std::tuple<bool, std::uint32_t, std::uint32_t>> keys;
    for (std::uint32_t group = 0; group < groups.size(); ++group) {
        if (groups[group][index(state)] > 0) {
            keys.emplace_back(!started(group), missing(group), group);
        }
    }
    std::sort(keys.begin(), keys.end());
    std::vector<std::uint32_t> order;
    order.reserve(keys.size());
    for (const auto &key : keys) {
        order.push_back(std::get<2>(key));
    }
    return order;
}

} // namespace

Step::Step(StepDefinition definition, Instant now, StepSettings settings)
    : definition_(std::move(definition))
    , settings_(settings)
    , deadline_(now + definition_.deadline)
    , trainerVersion_(definition_.trainerVersion)
    , slots_(definition_.slotCount)
    , groups_(definition_.groups.size())
    , definitionBytes_(sizeof(Step) + definition_.slotCount * sizeof(Slot))
{
    for (std::uint32_t group = 0; group < groups_.size(); ++group) {
        const GroupDefinition &from = definition_.groups[group];
        for (SlotNumber slot = from.firstSlot; slot < from.firstSlot + from.samples; ++slot) {
            slots_[slot].group = group;
        }
        groups_[group][index(SlotState::Waiting)] = from.samples;
        definitionBytes_ += sizeof(GroupDefinition) + from.id.size() + from.prompt.size();
    }
    counts_[index(SlotState::Waiting)] = definition_.slotCount;
}

void Step::noteTrainerVersion(WeightVersion version)
{
    trainerVersion_ = std::max(trainerVersion_, version);
}

bool Step::tooOld(const std::vector<Segment> &segments, WeightVersion trainerVersion) const
{
    const WeightVersion oldest = endpoints::oldestVersion(segments);
    return trainerVersion > oldest && trainerVersion - oldest > definition_.stalenessBound;
}

std::uint32_t Step::missing(std::uint32_t group) const
{
    return groups_[group][index(SlotState::Waiting)] + groups_[group][index(SlotState::Running)];
}

std::uint32_t Step::count(SlotState state) const
{
    return counts_[index(state)];
}

void Step::setState(Slot &slot, SlotState state)
{
    for (StateCounts *counts : {&counts_, &groups_[slot.group]}) {
        --(*counts)[index(slot.state)];
        ++(*counts)[index(state)];
    }
    slot.state = state;
}

void Step::setSample(Slot &slot, std::optional<Sample> sample)
{
    sampleBytes_ -= slot.sample ? bytesOf(*slot.sample) : 0;
    slot.sample = std::move(sample);
    sampleBytes_ += slot.sample ? bytesOf(*slot.sample) : 0;
}

void Step::setPartial(Slot &slot, PartialAnswer partial)
{
    sampleBytes_ -= bytesOf(slot.partial);
    slot.partial = std::move(partial);
    sampleBytes_ += bytesOf(slot.partial);
}

// The slot needs a sample again; an attempt that still runs may bring it.
void Step::reopen(Slot &slot)
{
    setSample(slot, std::nullopt);
    if (slot.attempts > 0) {
        setState(slot, SlotState::Running);
    } else {
        setState(slot, SlotState::Waiting);
        slot.since = Instant();
    }
}

std::vector<SlotNumber> Step::nextSlots(std::size_t limit, Instant now) const
{
    const auto started = [this](std::uint32_t group) {
        return groups_[group][index(SlotState::Waiting)] < definition_.groups[group].samples;
    };
    std::vector<SlotNumber> next;
    if (limit == 0) {
        return next;
    }
    for (const std::uint32_t group :
         orderedGroups(groups_, SlotState::Waiting, started, [this](std::uint32_t at) { return missing(at); })) {
        const GroupDefinition &from = definition_.groups[group];
        for (SlotNumber slot = from.firstSlot; slot < from.firstSlot + from.samples; ++slot) {
            if (slots_[slot].state == SlotState::Waiting && slots_[slot].since <= now) {
                next.push_back(slot);
                if (next.size() == limit) {
                    return next;
                }
            }
        }
    }
    return next;
}

std::optional<Instant> Step::nextReady() const
{
    std::optional<Instant> ready;
    if (count(SlotState::Waiting) == 0) {
        return ready;
    }
    for (const Slot &slot : slots_) {
        if (slot.state == SlotState::Waiting && (!ready || slot.since < *ready)) {
            ready = slot.since;
        }
    }
    return ready;
}

PartialAnswer Step::slotStarted(SlotNumber number, Instant now)
{
    Slot &slot = slots_[number];
    assert(slot.state == SlotState::Waiting || slot.state == SlotState::Running);
    ++slot.attempts;
    slot.since = now;
    PartialAnswer partial;
    if (slot.state == SlotState::Waiting) {
        setState(slot, SlotState::Running);
        partial = slot.partial;
        setPartial(slot, {});
    }
    if (tooOld(partial.segments, trainerVersion_)) {
        partial = {};
    }
    slot.resumedTokens = endpoints::countTokens(partial.segments);
    return partial;
}

bool Step::slotFinished(SlotNumber number, Sample sample, Instant now)
{
    Slot &slot = slots_[number];
    if (sample.segments.empty()) {
        slotFailed(number, {}, now);
        return false;
    }
    slot.attempts -= slot.attempts > 0 ? 1 : 0;
    if (slot.state != SlotState::Waiting && slot.state != SlotState::Running) {
        return false;
    }
    if (slot.state == SlotState::Running) {
        if (durations_.size() < settings_.keptDurations) {
            durations_.push_back(now - slot.since);
        } else {
            durations_[finished_ % settings_.keptDurations] = now - slot.since;
        }
    }
    ++finished_;
    slot.failures = 0;
    setPartial(slot, {});
    setSample(slot, std::move(sample));
    setState(slot, SlotState::Held);
    return true;
}

absl::Duration Step::backoff(SlotNumber slot, std::uint32_t failures) const
{
    constexpr std::uint32_t MaxDoublings = 20; // keeps the factor finite; maxBackoff is reached long before
    const absl::Duration full = std::min(
        settings_.minBackoff * static_cast<double>(1U << std::min(failures, MaxDoublings)), settings_.maxBackoff);
    // Slots that fail together, as when an engine dies, must not all return at the same moment.
    constexpr std::uint64_t Parts = 1024;
    const std::uint64_t part = stableHash(definition_.digest, (std::uint64_t{slot} << 32U) | failures) % Parts;
    return full * (0.5 + 0.5 * static_cast<double>(part) / Parts);
}

void Step::slotFailed(SlotNumber number, PartialAnswer partial, Instant now)
{
    Slot &slot = slots_[number];
    const bool progress = endpoints::countTokens(partial.segments) > slot.resumedTokens;
    slot.failures = progress ? 1 : slot.failures + 1;
    slotReturned(number, slot.failures >= settings_.fruitlessResumes ? PartialAnswer() : std::move(partial));
    if (slot.state == SlotState::Waiting) {
        slot.since = now + backoff(number, slot.failures - 1);
    }
}

void Step::slotReturned(SlotNumber number, PartialAnswer partial)
{
    Slot &slot = slots_[number];
    slot.attempts -= slot.attempts > 0 ? 1 : 0;
    if (slot.state != SlotState::Running || slot.attempts > 0) {
        return;
    }
    setPartial(slot, std::move(partial));
    setState(slot, SlotState::Waiting);
    slot.since = Instant();
}

void Step::applyCursor(const SlotSet &have)
{
    for (SlotNumber number = 0; number < slots_.size(); ++number) {
        Slot &slot = slots_[number];
        if (have.contains(number)) {
            setSample(slot, std::nullopt);
            setPartial(slot, {});
            setState(slot, SlotState::Delivered);
        } else if (slot.state == SlotState::Delivered) {
            // A trainer that went back to an older cursor, as from a checkpoint, needs the sample again.
            reopen(slot);
        }
    }
}

std::uint32_t Step::dropStale(WeightVersion trainerVersion)
{
    std::uint32_t dropped = 0;
    for (Slot &slot : slots_) {
        if (slot.state == SlotState::Held && tooOld(slot.sample->segments, trainerVersion)) {
            reopen(slot);
            ++dropped;
        }
    }
    droppedStale_ += dropped;
    return dropped;
}

// The held slots: groups that the trainer has begun first, then those that miss least. Only valid after applyCursor.
std::vector<SlotNumber> Step::deliveryOrder() const
{
    const auto begun = [this](std::uint32_t group) { return groups_[group][index(SlotState::Delivered)] > 0; };
    std::vector<SlotNumber> order;
    for (const std::uint32_t group :
         orderedGroups(groups_, SlotState::Held, begun, [this](std::uint32_t at) { return missing(at); })) {
        const GroupDefinition &from = definition_.groups[group];
        for (SlotNumber slot = from.firstSlot; slot < from.firstSlot + from.samples; ++slot) {
            if (slots_[slot].state == SlotState::Held) {
                order.push_back(slot);
            }
        }
    }
    return order;
}

absl::StatusOr<PullAnswer> Step::pull(std::string_view cursorText, WeightVersion trainerVersion, std::size_t maxSamples)
{
    auto cursor = Cursor::decode(cursorText, definition_.digest, definition_.slotCount);
    if (!cursor.ok()) {
        return cursor.status();
    }
    noteTrainerVersion(trainerVersion);
    applyCursor(cursor->slots);
    PullAnswer answer;
    answer.droppedStale = dropStale(trainerVersion);
    std::size_t bytes = 0;
    for (const SlotNumber slot : deliveryOrder()) {
        bytes += answerBytes(*slots_[slot].sample);
        const bool full = answer.samples.size() >= maxSamples || bytes > settings_.maxAnswerBytes;
        if (full && !(answer.samples.empty() && maxSamples > 0)) {
            break;
        }
        const GroupDefinition &group = definition_.groups[slots_[slot].group];
        answer.samples.push_back({slot, group.id, slot - group.firstSlot, *slots_[slot].sample});
        cursor->slots.add(slot);
    }
    answer.cursor = cursor->encode();
    answer.remaining = definition_.slotCount - cursor->slots.count();
    return answer;
}

std::vector<SlotNumber> Step::stragglers(Instant now) const
{
    constexpr std::uint64_t EnoughFinished = 8;
    constexpr std::uint32_t EnoughShare = 4;
    const std::uint64_t enough = std::clamp<std::uint64_t>(slots_.size() / EnoughShare, 1, EnoughFinished);
    if (count(SlotState::Waiting) > 0 || finished_ < enough || durations_.empty()) {
        return {};
    }
    std::vector<absl::Duration> sorted = durations_;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    const absl::Duration limit = *middle * settings_.stragglerFactor;
    std::vector<SlotNumber> late;
    for (SlotNumber slot = 0; slot < slots_.size(); ++slot) {
        if (slots_[slot].state == SlotState::Running && slots_[slot].attempts == 1
            && now - slots_[slot].since > limit) {
            late.push_back(slot);
        }
    }
    std::sort(late.begin(), late.end(),
              [this](SlotNumber a, SlotNumber b) { return slots_[a].since < slots_[b].since; });
    return late;
}

} // namespace currantlug::rollout
