// Locking, lookup and limits around the pure steps.
#include "rollout/stepbook.h"

#include "core/error.h"
#include "core/hash.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace currantlug::rollout {

namespace {

absl::Status unknownStep()
{
    return makeError(absl::StatusCode::kNotFound, currantlug::Step::Deliver, "", Outcome::NotRun,
                     "unknown step: send its definition again");
}

SlotTask makeTask(const Step &step, StepId id, SlotNumber slot)
{
    const StepDefinition &definition = step.definition();
    const GroupDefinition &group = definition.groupOf(slot);
    SlotTask task;
    task.stepId = id;
    task.slot = slot;
    task.trainer = definition.trainer;
    task.step = definition.step;
    task.route = definition.route;
    task.group = group.id;
    task.index = slot - group.firstSlot;
    task.prompt = group.prompt;
    task.maxTokens = group.maxTokens;
    task.stalenessBound = definition.stalenessBound;
    task.trainerVersion = step.trainerVersion();
    task.deadline = step.deadline();
    task.seed = stableHash(definition.digest, slot);
    task.lastOfGroup = step.missingInGroupOf(slot) == 1;
    return task;
}

} // namespace

StepBook::Entry *StepBook::findEntry(const TrainerId &trainer, std::string_view step)
{
    const auto found = names_.find(Name(trainer, step));
    return found == names_.end() ? nullptr : steps_.find(found->second);
}

const StepBook::Entry *StepBook::findEntry(const TrainerId &trainer, std::string_view step) const
{
    const auto found = names_.find(Name(trainer, step));
    return found == names_.end() ? nullptr : steps_.find(found->second);
}

StepBook::Entry *StepBook::findEntry(StepId id)
{
    return steps_.find({id.index, id.generation});
}

std::size_t StepBook::memoryLocked() const
{
    std::size_t bytes = 0;
    for (const auto &[name, id] : names_) {
        bytes += steps_.find(id)->step.memoryBytes();
    }
    return bytes;
}

void StepBook::changed()
{
    ++changes_;
    condition_.notify_all();
}

absl::Status StepBook::put(StepDefinition definition, Instant now)
{
    const auto refuse = [](absl::StatusCode code, std::string_view message) {
        return makeError(code, currantlug::Step::ReadRequest, "", Outcome::NotRun, message);
    };
    const std::lock_guard lock(mutex_);
    if (Entry *entry = findEntry(definition.trainer, definition.step); entry != nullptr) {
        if (entry->step.definition().digest != definition.digest) {
            return refuse(absl::StatusCode::kAlreadyExists, "the step exists with another definition");
        }
        entry->lastUse = now;
        entry->step.noteTrainerVersion(definition.trainerVersion);
        return absl::OkStatus();
    }
    if (names_.size() >= settings_.maxSteps) {
        return refuse(absl::StatusCode::kResourceExhausted, "this daemon holds as many steps as it may");
    }
    Name name(definition.trainer, definition.step);
    Step step(std::move(definition), now, settings_.step);
    if (memoryLocked() + step.memoryBytes() > settings_.maxMemoryBytes) {
        return refuse(absl::StatusCode::kResourceExhausted, "the steps of this daemon use all their memory");
    }
    names_.emplace(std::move(name), steps_.insert({std::move(step), now}));
    changed();
    return absl::OkStatus();
}

absl::StatusOr<PullAnswer> StepBook::pull(const TrainerId &trainer, std::string_view step, std::string_view cursor,
                                          WeightVersion trainerVersion, std::size_t maxSamples, Instant now)
{
    const std::lock_guard lock(mutex_);
    Entry *entry = findEntry(trainer, step);
    if (entry == nullptr) {
        return unknownStep();
    }
    entry->lastUse = now;
    const std::uint32_t waiting = entry->step.count(SlotState::Waiting);
    auto answer = entry->step.pull(cursor, trainerVersion, maxSamples);
    if (entry->step.count(SlotState::Waiting) != waiting) {
        changed();
    }
    return answer;
}

absl::StatusOr<PullAnswer> StepBook::pullWaiting(const TrainerId &trainer, std::string_view step,
                                                 std::string_view cursor, WeightVersion trainerVersion,
                                                 std::size_t maxSamples, absl::Duration maxWait)
{
    const Instant end = monotonicNow() + maxWait;
    std::uint32_t dropped = 0;
    for (;;) {
        const std::uint64_t seen = changes();
        const Instant now = monotonicNow();
        auto answer = pull(trainer, step, cursor, trainerVersion, maxSamples, now);
        if (!answer.ok()) {
            return answer;
        }
        dropped += answer->droppedStale;
        answer->droppedStale = dropped;
        if (!answer->samples.empty() || answer->complete() || maxSamples == 0 || now >= end || awake()) {
            return answer;
        }
        waitForChange(seen, end - now);
    }
}

bool StepBook::remove(const TrainerId &trainer, std::string_view step)
{
    const std::lock_guard lock(mutex_);
    const auto found = names_.find(Name(trainer, step));
    if (found == names_.end()) {
        return false;
    }
    steps_.erase(found->second);
    names_.erase(found);
    changed();
    return true;
}

std::size_t StepBook::removeIdle(Instant now)
{
    const std::lock_guard lock(mutex_);
    const std::size_t removed = std::erase_if(names_, [&](const auto &named) {
        const bool idle = now - steps_.find(named.second)->lastUse > settings_.idleLimit;
        return idle && steps_.erase(named.second);
    });
    if (removed > 0) {
        changed();
    }
    return removed;
}

std::vector<SlotTask> StepBook::startSlots(std::size_t limit, Instant now)
{
    const std::lock_guard lock(mutex_);
    std::vector<SlotTask> tasks;
    if (names_.empty() || memoryLocked() >= settings_.maxMemoryBytes) {
        return tasks;
    }
    std::vector<std::pair<Instant, SlotId<Entry>>> order;
    for (const auto &[name, id] : names_) {
        order.emplace_back(steps_.find(id)->step.deadline(), id);
    }
    std::sort(order.begin(), order.end());
    for (const auto &[deadline, id] : order) {
        Step &step = steps_.find(id)->step;
        for (const SlotNumber slot : step.nextSlots(limit - tasks.size(), now)) {
            SlotTask task = makeTask(step, {id.index, id.generation}, slot);
            task.partial = step.slotStarted(slot, now);
            tasks.push_back(std::move(task));
        }
    }
    return tasks;
}

std::vector<SlotTask> StepBook::startHedges(std::size_t limit, Instant now)
{
    const std::lock_guard lock(mutex_);
    std::vector<SlotTask> tasks;
    for (const auto &[name, id] : names_) {
        Step &step = steps_.find(id)->step;
        for (const SlotNumber slot : step.stragglers(now)) {
            if (tasks.size() == limit) {
                return tasks;
            }
            tasks.push_back(makeTask(step, {id.index, id.generation}, slot));
            tasks.back().hedge = true;
            step.slotStarted(slot, now);
        }
    }
    return tasks;
}

std::optional<Instant> StepBook::nextReady() const
{
    const std::lock_guard lock(mutex_);
    std::optional<Instant> ready;
    for (const auto &[name, id] : names_) {
        const auto next = steps_.find(id)->step.nextReady();
        if (next && (!ready || *next < *ready)) {
            ready = next;
        }
    }
    return ready;
}

bool StepBook::finishSlot(StepId step, SlotNumber slot, Sample sample, Instant now)
{
    const std::lock_guard lock(mutex_);
    Entry *entry = findEntry(step);
    const bool kept = entry != nullptr && entry->step.slotFinished(slot, std::move(sample), now);
    changed();
    return kept;
}

void StepBook::failSlot(StepId step, SlotNumber slot, PartialAnswer partial, Instant now)
{
    const std::lock_guard lock(mutex_);
    if (Entry *entry = findEntry(step); entry != nullptr) {
        entry->step.slotFailed(slot, std::move(partial), now);
    }
    changed();
}

void StepBook::returnSlot(StepId step, SlotNumber slot, PartialAnswer partial)
{
    const std::lock_guard lock(mutex_);
    if (Entry *entry = findEntry(step); entry != nullptr) {
        entry->step.slotReturned(slot, std::move(partial));
    }
    changed();
}

bool StepBook::wanted(StepId step, SlotNumber slot) const
{
    const std::lock_guard lock(mutex_);
    const Entry *entry = steps_.find({step.index, step.generation});
    return entry != nullptr && entry->step.state(slot) == SlotState::Running;
}

std::optional<StepId> StepBook::find(const TrainerId &trainer, std::string_view step) const
{
    const std::lock_guard lock(mutex_);
    const auto found = names_.find(Name(trainer, step));
    if (found == names_.end()) {
        return std::nullopt;
    }
    return StepId{found->second.index, found->second.generation};
}

std::optional<StepStatus> StepBook::status(const TrainerId &trainer, std::string_view step) const
{
    const std::lock_guard lock(mutex_);
    const Entry *entry = findEntry(trainer, step);
    if (entry == nullptr) {
        return std::nullopt;
    }
    StepStatus status;
    for (const auto &[state, name] : EnumNames<SlotState>::Table) {
        status.counts[static_cast<std::size_t>(state)] = entry->step.count(state);
    }
    status.droppedStale = entry->step.droppedStale();
    status.memoryBytes = entry->step.memoryBytes();
    return status;
}

std::size_t StepBook::size() const
{
    const std::lock_guard lock(mutex_);
    return names_.size();
}

std::size_t StepBook::memoryBytes() const
{
    const std::lock_guard lock(mutex_);
    return memoryLocked();
}

std::uint64_t StepBook::changes() const
{
    const std::lock_guard lock(mutex_);
    return changes_;
}

void StepBook::waitForChange(std::uint64_t seen, absl::Duration maxWait) const
{
    std::unique_lock lock(mutex_);
    condition_.wait_for(lock, absl::ToChronoMicroseconds(maxWait), [&] { return changes_ != seen || awake_; });
}

void StepBook::nudge()
{
    const std::lock_guard lock(mutex_);
    changed();
}

void StepBook::wakeAll()
{
    const std::lock_guard lock(mutex_);
    awake_ = true;
    changed();
}

bool StepBook::awake() const
{
    const std::lock_guard lock(mutex_);
    return awake_;
}

} // namespace currantlug::rollout
