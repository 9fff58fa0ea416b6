#include "routing/dispatcherimpl.h"

#include <algorithm>
#include <cassert>

namespace currantlug::routing {

using detail::Attempt;
using detail::Pool;
using detail::Work;

namespace {

// Hedge candidates are looked for at most this often, as the search visits every running attempt.
constexpr absl::Duration HedgeInterval = absl::Milliseconds(200);
// A response longer than expected still occupies its endpoint; this much is assumed to be left.
constexpr double OverrunTokens = 16;
// A stream's rate is measured each time it has produced this many tokens: slow endpoints show before they finish
// anything.
constexpr double RatedTokens = 32;

} // namespace

double Dispatcher::Impl::costLeft(const Work &work)
{
    return std::max(expectedCost(work.item) - work.produced, OverrunTokens);
}

// Admission

std::optional<Admission> Dispatcher::Impl::refuseByLimits(const WorkItem &item, double cost, Instant now)
{
    const auto refused = [](absl::Duration wait, RefusalReason reason) {
        return Admission{.retryAfter = std::max(wait, absl::Milliseconds(100)), .reason = reason};
    };
    if (!item.key.empty()) {
        const absl::Duration wait = limits_.rateWait(limitName(item.key), cost, now);
        if (wait > absl::ZeroDuration()) {
            return refused(wait, RefusalReason::KeyLimit);
        }
    }
    if (item.deadline && item.step == 0) {
        const absl::Duration wait = limits_.rateWait(limitName(item.workspace), cost, now);
        if (now + wait > *item.deadline) {
            return refused(wait, RefusalReason::WorkspaceLimit);
        }
    }
    return std::nullopt;
}

std::optional<Admission> Dispatcher::Impl::refuseByQueue(const WorkItem &item, double cost, Instant now)
{
    // A step's samples are useful however late, and its owner would only submit them again.
    if (item.step != 0 || !settings_.admission.enabled) {
        return std::nullopt;
    }
    if (item.deadline && *item.deadline <= now) {
        return Admission{.retryAfter = absl::ZeroDuration(), .reason = RefusalReason::DeadlinePassed};
    }
    Pool &target = pool(item.pool);
    target.admission.observe(0, target.queue.size() > 0, now);
    const double ahead = target.queue.size() == 0 ? 0 : target.queue.costAhead(item.workspace, cost);
    const double rate = hedges_.medianRate();
    const absl::Duration service = rate > 0 ? absl::Seconds(item.expectedTokens / rate) : absl::ZeroDuration();
    if (const auto wait = target.admission.refuse(ahead, service, item.deadline, now)) {
        return Admission{.retryAfter = *wait, .reason = RefusalReason::QueueTooLong};
    }
    return std::nullopt;
}

Admission Dispatcher::Impl::submit(WorkItem item, Instant now)
{
    if (table_.inPool(item.pool).empty()) {
        return {.retryAfter = settings_.admission.minRetryAfter, .reason = RefusalReason::UnknownPool};
    }
    const double cost = expectedCost(item);
    if (const auto refusal = refuseByLimits(item, cost, now)) {
        return *refusal;
    }
    if (const auto refusal = refuseByQueue(item, cost, now)) {
        return *refusal;
    }
    if (!item.key.empty()) {
        limits_.takeRate(limitName(item.key), cost, now);
    }
    const WorkId id = ++lastId_;
    Work work{.item = std::move(item)};
    work.order = {.deadline = work.item.deadline.value_or(Instant(absl::InfiniteDuration())), .sequence = id};
    if (work.item.group != 0) {
        work.order.groupRemaining = work.item.groupRemaining;
        groups_[{work.item.workspace, work.item.group}].push_back(id);
    }
    if (work.item.deadline && work.item.step == 0) {
        expiry_.emplace(*work.item.deadline, id);
    }
    enqueue(id, works_.emplace(id, std::move(work)).first->second);
    ++queued_;
    return {.queued = true, .work = id};
}

void Dispatcher::Impl::enqueue(WorkId id, Work &work)
{
    work.queued = true;
    work.resumeAt.reset();
    pool(work.item.pool).queue.push(work.item.workspace, work.order, costLeft(work), id);
}

void Dispatcher::Impl::unqueue(WorkId id, Work &work)
{
    if (work.queued) {
        const bool removed = pool(work.item.pool).queue.remove(work.item.workspace, work.order);
        assert(removed);
        (void)removed;
        work.queued = false;
    }
    (void)id;
}

// Assignment

void Dispatcher::Impl::releaseDelayed(Instant now)
{
    while (!delayed_.empty() && delayed_.begin()->first <= now) {
        const WorkId id = delayed_.begin()->second;
        delayed_.erase(delayed_.begin());
        const auto found = works_.find(id);
        if (found != works_.end() && found->second.resumeAt && *found->second.resumeAt <= now) {
            enqueue(id, found->second);
        }
    }
}

bool Dispatcher::Impl::limitsAllow(const Work &work, double cost, Instant now) const
{
    const std::string workspace = limitName(work.item.workspace);
    return limits_.hasSlot(workspace) && (work.item.key.empty() || limits_.hasSlot(limitName(work.item.key)))
        && limits_.rateWait(workspace, cost, now) == absl::ZeroDuration();
}

std::optional<EndpointIndex> Dispatcher::Impl::place(const Work &work, Instant now)
{
    std::vector<EndpointId> excluded = work.failedOn;
    for (const EndpointIndex row : table_.inPool(work.item.pool)) {
        if (endpointLimits_ && !endpointAllows(row)) {
            excluded.push_back(table_.at(row).info.id);
        }
    }
    auto row = chooser_.choose(work.item, table_, prefixes_, excluded, now);
    if (!row && !work.failedOn.empty() && work.attempts.empty()) {
        // Better the endpoint that failed than none, for instance in a pool of one.
        excluded.erase(excluded.begin(), excluded.begin() + static_cast<std::ptrdiff_t>(work.failedOn.size()));
        row = chooser_.choose(work.item, table_, prefixes_, excluded, now);
    }
    return row;
}

std::optional<Assignment> Dispatcher::Impl::nextQueued(Pool &pool, Instant now)
{
    std::optional<EndpointIndex> row;
    absl::flat_hash_map<WorkId, EndpointIndex> placed;
    const auto id = pool.queue.pop([&](WorkId candidate) {
        const Work &work = works_.at(candidate);
        if (limitsAllow(work, costLeft(work), now)) {
            if (const auto chosen = place(work, now)) {
                placed[candidate] = *chosen;
                return true;
            }
        }
        return false;
    });
    if (!id) {
        return std::nullopt;
    }
    Work &work = works_.at(*id);
    work.queued = false;
    --queued_;
    return openAttempt(*id, work, placed.at(*id), false, now);
}

std::optional<Assignment> Dispatcher::Impl::nextHedge(Instant now)
{
    if (now < hedgesCheckedAt_ + HedgeInterval) {
        return std::nullopt;
    }
    for (auto &[id, work] : works_) {
        if (work.attempts.size() != 1
            || !hedges_.shouldHedge(work.item, work.item.groupRemaining, work.attempts.front().progress,
                                    runningAttempts_, runningHedges_, now)
            || !limitsAllow(work, costLeft(work), now)) {
            continue;
        }
        work.failedOn.push_back(work.attempts.front().endpoint);
        const auto row = place(work, now);
        work.failedOn.pop_back();
        if (row) {
            return openAttempt(id, work, *row, true, now);
        }
    }
    hedgesCheckedAt_ = now;
    return std::nullopt;
}

std::optional<Assignment> Dispatcher::Impl::next(Instant now)
{
    releaseDelayed(now);
    for (std::size_t step = 0; step < pools_.size(); ++step) {
        auto &[id, pool] = *std::next(pools_.begin(), static_cast<std::ptrdiff_t>((lastPool_ + step) % pools_.size()));
        pool.admission.observe(0, pool.queue.size() > 0, now);
        if (pool.queue.size() == 0 || !chooser_.anyRoom(id, table_, now)) {
            continue;
        }
        if (auto assignment = nextQueued(pool, now)) {
            lastPool_ = (lastPool_ + step + 1) % pools_.size();
            return assignment;
        }
    }
    return nextHedge(now);
}

Assignment Dispatcher::Impl::openAttempt(WorkId id, Work &work, EndpointIndex row, bool hedge, Instant now)
{
    const double cost = costLeft(work);
    const EndpointId endpoint = table_.at(row).info.id;
    work.attempts.push_back({.row = row,
                             .endpoint = endpoint,
                             .hedge = hedge,
                             .progress = {.startedAt = now, .lastTokenAt = now},
                             .tokensLeft = cost,
                             .ratedAt = now});
    table_.open(row, cost);
    prefixes_.placed(row, work.item.promptBlocks, now);
    limits_.takeRate(limitName(work.item.workspace), cost, now);
    limits_.takeSlot(limitName(work.item.workspace));
    limits_.takeSlot(limitName(endpoint));
    if (!work.item.key.empty()) {
        limits_.takeSlot(limitName(work.item.key));
    }
    ++runningAttempts_;
    runningHedges_ += hedge ? 1 : 0;
    return {.work = id, .endpoint = endpoint, .hedge = hedge};
}

// Progress and end of attempts

Attempt *Dispatcher::Impl::findAttempt(WorkId id, const EndpointId &endpoint)
{
    const auto found = works_.find(id);
    if (found == works_.end()) {
        return nullptr;
    }
    for (Attempt &attempt : found->second.attempts) {
        if (attempt.endpoint == endpoint) {
            return &attempt;
        }
    }
    return nullptr;
}

void Dispatcher::Impl::countTokens(Work &work, Attempt &attempt, std::uint32_t count, Instant now)
{
    attempt.progress.started = true;
    attempt.progress.lastTokenAt = now;
    attempt.progress.tokens += count;
    if (attempt.progress.tokens - attempt.ratedTokens >= RatedTokens) {
        const double elapsed = absl::ToDoubleSeconds(now - attempt.ratedAt);
        if (elapsed > 0) {
            table_.observeRate(attempt.row, (attempt.progress.tokens - attempt.ratedTokens) / elapsed);
        }
        attempt.ratedTokens = attempt.progress.tokens;
        attempt.ratedAt = now;
    }
    const double used = std::min<double>(count, std::max(0.0, attempt.tokensLeft - OverrunTokens));
    attempt.tokensLeft -= used;
    table_.progress(attempt.row, used);
    pool(work.item.pool).admission.observe(count, pool(work.item.pool).queue.size() > 0, now);
}

void Dispatcher::Impl::closeAttempt(Work &work, std::size_t position)
{
    const Attempt attempt = work.attempts[position];
    work.attempts.erase(work.attempts.begin() + static_cast<std::ptrdiff_t>(position));
    work.produced = std::max(work.produced, attempt.progress.tokens);
    table_.close(attempt.row, attempt.tokensLeft);
    limits_.freeSlot(limitName(work.item.workspace));
    limits_.freeSlot(limitName(attempt.endpoint));
    if (!work.item.key.empty()) {
        limits_.freeSlot(limitName(work.item.key));
    }
    --runningAttempts_;
    runningHedges_ -= attempt.hedge ? 1 : 0;
}

std::vector<EndpointId> Dispatcher::Impl::closeAll(Work &work, const EndpointId &except)
{
    std::vector<EndpointId> closed;
    while (!work.attempts.empty()) {
        const EndpointId endpoint = work.attempts.back().endpoint;
        closeAttempt(work, work.attempts.size() - 1);
        if (endpoint != except) {
            closed.push_back(endpoint);
        }
    }
    return closed;
}

void Dispatcher::Impl::eraseWork(WorkId id)
{
    const auto found = works_.find(id);
    assert(found != works_.end() && found->second.attempts.empty());
    const WorkItem &item = found->second.item;
    if (item.group != 0) {
        const auto group = groups_.find({item.workspace, item.group});
        std::erase(group->second, id);
        if (group->second.empty()) {
            groups_.erase(group);
        }
    }
    works_.erase(found);
}

std::vector<EndpointId> Dispatcher::Impl::finished(WorkId id, const EndpointId &endpoint, Instant now)
{
    Attempt *attempt = findAttempt(id, endpoint);
    if (attempt == nullptr) {
        return {};
    }
    Work &work = works_.at(id);
    const double seconds = absl::ToDoubleSeconds(now - attempt->progress.startedAt);
    if (seconds > 0 && attempt->progress.tokens > 0) {
        hedges_.observeRate(attempt->progress.tokens / seconds);
    }
    table_.succeeded(attempt->row);
    retries_.succeeded();
    const double difference = attempt->progress.tokens - work.item.expectedTokens;
    if (attempt->progress.tokens > 0 && work.produced == 0) {
        pool(work.item.pool).queue.charge(work.item.workspace, difference);
    }
    std::vector<EndpointId> losers = closeAll(work, endpoint);
    eraseWork(id);
    return losers;
}

AfterFailure Dispatcher::Impl::failed(WorkId id, const EndpointId &endpoint, FailureCause cause, Instant now)
{
    const Attempt *attempt = findAttempt(id, endpoint);
    if (attempt == nullptr) {
        return works_.contains(id) ? AfterFailure::OtherAttemptRuns : AfterFailure::GivenUp;
    }
    Work &work = works_.at(id);
    if (cause == FailureCause::ConnectFailed || cause == FailureCause::Cut) {
        table_.connectionFailed(attempt->row, now);
    }
    closeAttempt(work, static_cast<std::size_t>(attempt - work.attempts.data()));
    if (!work.attempts.empty()) {
        return AfterFailure::OtherAttemptRuns;
    }
    std::optional<absl::Duration> delay;
    if (work.item.repeatable) {
        delay = cause == FailureCause::Moved ? absl::ZeroDuration() : retries_.retryDelay(++work.failures);
    }
    const bool tooLate = delay && work.item.step == 0 && work.item.deadline && now + *delay >= *work.item.deadline;
    if (!delay || tooLate) {
        eraseWork(id);
        return AfterFailure::GivenUp;
    }
    if (cause == FailureCause::Unusable) {
        work.produced = 0;
    }
    work.failedOn = {endpoint};
    work.resumeAt = now + *delay;
    delayed_.emplace(*work.resumeAt, id);
    ++queued_;
    return AfterFailure::Requeued;
}

std::vector<EndpointId> Dispatcher::Impl::cancel(WorkId id, Instant)
{
    const auto found = works_.find(id);
    if (found == works_.end()) {
        return {};
    }
    Work &work = found->second;
    queued_ -= work.attempts.empty() ? 1 : 0;
    unqueue(id, work);
    std::vector<EndpointId> closed = closeAll(work, EndpointId());
    eraseWork(id);
    return closed;
}

std::vector<WorkId> Dispatcher::Impl::takeExpired(Instant now)
{
    std::vector<WorkId> expired;
    while (!expiry_.empty() && expiry_.begin()->first <= now) {
        const WorkId id = expiry_.begin()->second;
        expiry_.erase(expiry_.begin());
        const auto found = works_.find(id);
        if (found != works_.end() && found->second.attempts.empty()) {
            cancel(id, now);
            expired.push_back(id);
        }
    }
    return expired;
}

void Dispatcher::Impl::setGroupRemaining(const WorkspaceId &workspace, std::uint64_t group, std::uint32_t remaining)
{
    const auto found = groups_.find({workspace, group});
    if (found == groups_.end()) {
        return;
    }
    for (const WorkId id : found->second) {
        Work &work = works_.at(id);
        const bool queued = work.queued;
        unqueue(id, work);
        work.item.groupRemaining = remaining;
        work.order.groupRemaining = remaining;
        if (queued) {
            enqueue(id, work);
        }
    }
}

} // namespace currantlug::routing
