// Sending items and collecting their events.
#include "jobs/jobrunner.h"

#include "telemetry/log.h"

#include <absl/time/clock.h>

#include <algorithm>

namespace currantlug::jobs {

using telemetry::Level;

namespace {

constexpr double GapSmoothing = 0.15; // Weight of the newest gap.
// Longer gaps are pauses (weights being loaded), not the replica's speed.
constexpr absl::Duration LongestMeasuredGap = absl::Milliseconds(500);
// A run moves off a replica that is slower than the best by this factor; a long run by the smaller one, since a step
// waits for it and a move costs about the time of one event.
constexpr double SlowFactor = 1.8;
constexpr double LongRunFactor = 1.2;
constexpr std::size_t LongRunEvents = 30;
constexpr absl::Duration VersionPause = absl::Milliseconds(50);

} // namespace

JobRunner::JobRunner(JobContext &context, JobSpec spec, std::int64_t submittedMs, ResultLog log, Hooks hooks)
    : context_(context)
    , spec_(std::move(spec))
    , tracker_(spec_)
    , log_(std::move(log))
    , hooks_(std::move(hooks))
    , acceptedAt_(net::loopNow())
    , ageAtAccept_(std::max(absl::ZeroDuration(), absl::Now() - absl::FromUnixMillis(submittedMs)))
{
    for (const ItemResult &result : log_.results()) {
        if (const auto index = tracker_.find(result.id)) {
            tracker_.markListed(*index);
        }
    }
}

const serving::Route *JobRunner::route() const
{
    const serving::GatewayConfig *config = context_.config();
    return config == nullptr ? nullptr : config->findRoute(spec_.host, spec_.path);
}

bool JobRunner::singleVersion() const
{
    const serving::Route *route = this->route();
    return route != nullptr && route->singleVersion;
}

bool JobRunner::wouldMix(const Item &item, std::uint64_t version) const
{
    return singleVersion() && !item.text.empty() && item.text.versions.front() != version;
}

void JobRunner::pump()
{
    const serving::Route *route = this->route();
    if (stopped_ || route == nullptr) {
        return;
    }
    const Instant now = net::loopNow();
    for (const std::size_t index : tracker_.sendOrder(now)) {
        Item &item = tracker_.items()[index];
        serving::ReplicaTable::ItemRequirements need;
        need.service = serving::GatewayConfig::pickService(*route, item.spec.id);
        need.model = spec_.model;
        need.minVersion = spec_.minVersion;
        need.plan = &context_.modelPlan();
        if (const auto found = groupReplica_.find(item.spec.group); found != groupReplica_.end()) {
            need.preferred = found->second;
        }
        if (route->singleVersion && !item.text.empty()) {
            need.exactVersion = item.text.versions.front();
        }
        serving::Replica *replica = context_.replicas.chooseForItem(need, item.avoid, now);
        if (replica == nullptr && need.exactVersion != 0) {
            // No replica has these weights any more.
            item.text = {};
            need.exactVersion = 0;
            replica = context_.replicas.chooseForItem(need, item.avoid, now);
        }
        if (replica == nullptr && !item.avoid.empty()) {
            item.avoid.clear();
            replica = context_.replicas.chooseForItem(need, item.avoid, now);
        }
        if (replica == nullptr) {
            break;
        }
        start(index, *replica);
    }
}

void JobRunner::start(std::size_t index, serving::Replica &replica)
{
    Item &item = tracker_.items()[index];
    const std::uint64_t run = ++lastRun_;
    const Instant now = net::loopNow();
    item.state = ItemState::Running;
    item.replica = replica.entry.id;
    item.run = run;
    item.startedAt = now;
    item.lastEventAt = now;
    item.headSeen = false;
    groupReplica_[item.spec.group] = replica.entry.id;
    ++replica.inFlight;

    serving::OutboundRequest outbound;
    outbound.id = item.spec.id;
    outbound.method = "POST";
    outbound.target = item.spec.path;
    outbound.host = spec_.host;
    outbound.workspace = spec_.workspace;
    outbound.headers = item.spec.headers;
    outbound.body = item.spec.body;
    if (!item.text.empty()) {
        outbound.resumeAfter = item.text.lastEventId;
    }
    net::ClientLimits limits;
    limits.connect = context_.settings.connect;
    limits.total = absl::InfiniteDuration();
    const std::weak_ptr<JobRunner> weak = weak_from_this();
    serving::EventHandlers handlers;
    handlers.onHead = [weak, index, run](const serving::ReplicaHead &head) {
        if (const auto self = weak.lock()) {
            self->onHead(index, run, head);
        }
    };
    handlers.onEvent = [weak, index, run](serving::StreamEvent event) {
        if (const auto self = weak.lock()) {
            self->onEvent(index, run, std::move(event));
        }
    };
    handlers.onDone = [weak, index, run](const serving::ReplicaHead &head, const absl::Status &status) {
        if (const auto self = weak.lock()) {
            self->onDone(index, run, head, status);
        }
    };
    calls_[run] = context_.port.generate(replica, outbound, limits, std::move(handlers));
}

void JobRunner::leaveReplica(std::size_t index)
{
    Item &item = tracker_.items()[index];
    if (serving::Replica *replica = context_.replicas.find(item.replica)) {
        replica->inFlight = std::max(0, replica->inFlight - 1);
    }
    calls_.erase(item.run);
    runVersion_.erase(item.run);
    item.run = 0;
}

void JobRunner::requeue(std::size_t index, std::string_view reason, absl::Duration pause)
{
    Item &item = tracker_.items()[index];
    telemetry::log(Level::Info, "item", "requeued",
                   {telemetry::requestId(item.spec.id),
                    {"job", spec_.id},
                    {"replica", item.replica},
                    {"reason", reason},
                    {"events", item.text.events.size()}});
    if (const auto call = calls_.find(item.run); call != calls_.end()) {
        context_.port.cancel(call->second);
    }
    leaveReplica(index);
    item.state = ItemState::Waiting;
    item.notBefore = net::loopNow() + pause;
}

void JobRunner::onHead(std::size_t index, std::uint64_t run, const serving::ReplicaHead &head)
{
    Item &item = tracker_.items()[index];
    if (item.run != run || head.status != 200 || head.requestMismatch) {
        return;
    }
    item.headSeen = true;
    item.lastEventAt = net::loopNow();
    serving::Replica *replica = context_.replicas.find(item.replica);
    if (!head.weightVersion) {
        item.avoid.insert(item.replica);
        requeue(index, "no weight version", context_.settings.failurePause);
        return;
    }
    if (replica != nullptr) {
        replica->entry.weightVersions[spec_.model] = *head.weightVersion;
    }
    if (*head.weightVersion < spec_.minVersion) {
        requeue(index, "weights too old", VersionPause);
        return;
    }
    if (wouldMix(item, *head.weightVersion)) {
        item.text = {};
        requeue(index, "other weights than its text", VersionPause);
        return;
    }
    runVersion_[run] = *head.weightVersion;
}

void JobRunner::measureGap(Item &item, Instant now)
{
    const absl::Duration gap = now - item.lastEventAt;
    item.lastEventAt = now;
    serving::Replica *replica = context_.replicas.find(item.replica);
    if (replica == nullptr || item.text.empty() || gap > LongestMeasuredGap) {
        return;
    }
    replica->eventGap =
        replica->eventGap == absl::ZeroDuration() ? gap : replica->eventGap * (1 - GapSmoothing) + gap * GapSmoothing;
    replica->lastEventAt = now;
}

void JobRunner::onEvent(std::size_t index, std::uint64_t run, serving::StreamEvent event)
{
    Item &item = tracker_.items()[index];
    if (item.run != run) {
        return;
    }
    if (event.weightVersion) {
        runVersion_[run] = *event.weightVersion;
        if (serving::Replica *replica = context_.replicas.find(item.replica)) {
            replica->entry.weightVersions[spec_.model] = *event.weightVersion;
        }
    }
    const auto version = runVersion_.find(run);
    if (version == runVersion_.end()) {
        return;
    }
    if (!item.text.empty() && event.id != item.text.lastEventId + 1) {
        item.avoid.insert(item.replica);
        requeue(index, "event out of order", context_.settings.failurePause);
        return;
    }
    if (wouldMix(item, version->second)) {
        item.text = {};
        requeue(index, "weights changed", VersionPause);
        return;
    }
    measureGap(item, net::loopNow());
    item.text.lastEventId = event.id;
    item.text.addVersion(version->second);
    item.text.events.push_back(std::move(event.data));
}

void JobRunner::onDone(std::size_t index, std::uint64_t run, const serving::ReplicaHead &head,
                       const absl::Status &status)
{
    Item &item = tracker_.items()[index];
    if (item.run != run) {
        return;
    }
    const Instant now = net::loopNow();
    serving::Replica *replica = context_.replicas.find(item.replica);
    calls_.erase(run);
    if (!status.ok() || head.requestMismatch) {
        if (replica != nullptr) {
            context_.replicas.recordFailure(*replica, now);
        }
        requeue(index, status.ok() ? "answer to another request" : describeError(status), absl::ZeroDuration());
    } else if (head.notRun) {
        if (replica != nullptr) {
            head.instanceMismatch ? context_.replicas.recordFailure(*replica, now)
                                  : context_.replicas.recordRefusal(*replica, head.load, now);
        }
        requeue(index, "not run", VersionPause);
    } else if (head.status == 200 && !item.text.empty()) {
        if (replica != nullptr) {
            context_.replicas.recordSuccess(*replica);
        }
        leaveReplica(index);
        finish(index, ResultState::Completed);
    } else if (head.status == 422) {
        leaveReplica(index);
        finish(index, ResultState::Abandoned);
    } else {
        const serving::Route *route = this->route();
        ++item.failures;
        item.avoid.insert(item.replica);
        if (route != nullptr && item.failures >= route->maxAttempts && head.status == 500) {
            leaveReplica(index);
            finish(index, ResultState::Abandoned);
        } else {
            requeue(index, "failed", context_.settings.failurePause);
        }
    }
    pump();
}

void JobRunner::finish(std::size_t index, ResultState state)
{
    Item &item = tracker_.items()[index];
    item.state = ItemState::Finished;
    item.finishedAt = net::loopNow();
    if (state == ResultState::Abandoned) {
        item.text = {};
        telemetry::log(Level::Warning, "item", "abandoned",
                       {telemetry::requestId(item.spec.id), {"job", spec_.id}, {"failures", item.failures}});
    }
    flushIfDue();
}

void JobRunner::reuseText(const std::string &itemId, const ItemText &text)
{
    const auto index = tracker_.find(itemId);
    if (index && tracker_.reuse(*index, text, spec_.minVersion, singleVersion())) {
        telemetry::log(Level::Info, "item", "text_reused",
                       {telemetry::requestId(itemId), {"job", spec_.id}, {"events", text.events.size()}});
    }
}

void JobRunner::reuseResult(const ItemResult &result)
{
    const auto index = tracker_.find(result.id);
    if (!index || result.state != ResultState::Completed
        || !versionsFit(result.versions, spec_.minVersion, singleVersion())
        || tracker_.items()[*index].state != ItemState::Waiting) {
        return;
    }
    Item &item = tracker_.items()[*index];
    item.text.events = {result.text};
    item.text.versions = result.versions;
    telemetry::log(Level::Info, "item", "result_reused", {telemetry::requestId(result.id), {"job", spec_.id}});
    finish(*index, ResultState::Completed);
}

void JobRunner::tick()
{
    if (stopped_) {
        return;
    }
    const Instant now = net::loopNow();
    const serving::Route *route = this->route();
    const bool expired =
        route != nullptr && now - acceptedAt_ + ageAtAccept_ > route->queueTtl + context_.settings.ttlMargin;
    for (std::size_t index = 0; index < tracker_.items().size(); ++index) {
        Item &item = tracker_.items()[index];
        if (expired && (item.state == ItemState::Waiting || item.state == ItemState::Running)) {
            if (item.state == ItemState::Running) {
                requeue(index, "expired", absl::ZeroDuration());
            }
            finish(index, ResultState::Abandoned);
            continue;
        }
        if (item.state != ItemState::Running) {
            continue;
        }
        serving::Replica *replica = context_.replicas.find(item.replica);
        if (now - item.lastEventAt > context_.settings.silence) {
            if (replica != nullptr) {
                context_.replicas.recordFailure(*replica, now);
            }
            item.avoid.insert(item.replica);
            requeue(index, "silent", absl::ZeroDuration());
            continue;
        }
        if (replica == nullptr || item.moves >= context_.settings.movesPerItem
            || now - item.startedAt < context_.settings.moveAfter) {
            continue;
        }
        serving::ReplicaTable::ItemRequirements need;
        need.service = replica->entry.service;
        need.model = spec_.model;
        need.minVersion = spec_.minVersion;
        if (route != nullptr && route->singleVersion && !item.text.empty()) {
            need.exactVersion = item.text.versions.front();
        }
        const absl::Duration best = context_.replicas.shortestEventGap(need);
        const double factor = item.text.events.size() >= LongRunEvents ? LongRunFactor : SlowFactor;
        if (best == absl::ZeroDuration() || replica->eventGap <= best * factor) {
            continue;
        }
        const serving::Replica *other = context_.replicas.chooseForItem(need, {item.replica}, now);
        if (other != nullptr && other->eventGap > absl::ZeroDuration()
            && other->eventGap * factor < replica->eventGap) {
            ++item.moves;
            requeue(index, "slow replica", absl::ZeroDuration());
        }
    }
    flushIfDue();
    pump();
}

void JobRunner::stop(std::string_view reason)
{
    if (std::exchange(stopped_, true)) {
        return;
    }
    telemetry::log(Level::Info, "job", "stopped",
                   {{"job", spec_.id}, {"reason", reason}, {"listed", log_.size()}, {"running", calls_.size()}});
    for (std::size_t index = 0; index < tracker_.items().size(); ++index) {
        Item &item = tracker_.items()[index];
        if (item.state == ItemState::Running) {
            if (const auto call = calls_.find(item.run); call != calls_.end()) {
                context_.port.cancel(call->second);
            }
            leaveReplica(index);
            item.state = ItemState::Waiting;
        }
    }
}

} // namespace currantlug::jobs
