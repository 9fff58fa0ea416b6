// Sending of items to replicas, and collection of their events.
#include "jobs/jobrunner.h"

#include "scheduling/finishestimate.h"
#include "telemetry/log.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <set>

namespace currantlug::jobs {

using telemetry::Level;

namespace {

// Longer gaps are pauses, such as loading weights, and say nothing about the replica's speed.
constexpr absl::Duration MaxMeasuredGap = absl::Milliseconds(500);
// Gaps above that of the fast replicas by this factor belong to a slow spell. The machines of a service differ in speed
// by up to a third, for good, and moving items off the slower ones only fills the others.
constexpr double SpellGapFactor = 1.5;
constexpr absl::Duration FastGapTtl = absl::Milliseconds(100); // Computed from all replicas; too costly for each event.
// Only items with at least this share of the events that the longest item of the job still makes are moved: the others
// end earlier anyway. Hints are off by a factor of up to three.
constexpr double LongItemShare = 0.3;
constexpr std::size_t JudgedEvents = 10; // Events after a move that decide whether it gained time.
constexpr int MaxMoveCandidates = 3;
// A busy replica without an event for this multiple of the usual gap pauses, for example to load weights.
constexpr double PausedGapFactor = 3;
constexpr absl::Duration RefusalRetryDelay = absl::Milliseconds(50);

} // namespace

JobRunner::JobRunner(JobContext &context, RewardCaller &rewards, JobSpec spec, std::int64_t submittedMs, ResultLog log,
                     Hooks hooks)
    : context_(context)
    , rewards_(rewards)
    , spec_(std::move(spec))
    , tracker_(takeItems(spec_))
    , log_(std::move(log))
    , hooks_(std::move(hooks))
    , acceptedAt_(net::loopNow())
    , ageAtAccept_(std::max(absl::ZeroDuration(), absl::Now() - absl::FromUnixMillis(submittedMs)))
{
    for (const ItemResult &result : log_.results()) {
        if (const auto index = tracker_.find(result.id)) {
            tracker_.markStored(*index);
        }
    }
}

const serving::Route *JobRunner::route() const
{
    const serving::GatewayConfig *config = context_.config();
    return config == nullptr ? nullptr : config->findRoute(spec_.host, spec_.path);
}

const serving::RegionSet &JobRunner::regions()
{
    const serving::GatewayConfig *config = context_.config();
    if (config != nullptr && (regionsRevision_ == 0 || config->revision != regionsRevision_)) {
        regionsRevision_ = config->revision;
        regions_ = {};
        std::set<std::string_view> routes; // An item may be on a longer prefix than its job.
        for (const Item &item : tracker_.items()) {
            const serving::Route *route = config->findRoute(spec_.host, net::pathOf(item.spec.path));
            if (route != nullptr && routes.insert(route->pathPrefix).second) {
                regions_ = regions_.intersect(config->allowedRegions(*route, spec_.workspace));
            }
        }
    }
    return regions_;
}

bool JobRunner::singleVersion() const
{
    const serving::Route *route = this->route();
    return route != nullptr && route->singleVersion;
}

bool JobRunner::wouldMixVersions(const Item &item, std::uint64_t version) const
{
    return singleVersion() && !item.text.empty() && item.text.versions.front() != version;
}

void JobRunner::abandonUnsendableItems()
{
    for (std::size_t index = 0; index < tracker_.items().size(); ++index) {
        const Item &item = tracker_.items()[index];
        const std::string_view part = unsendablePart(item.spec);
        if (item.state == ItemState::Waiting && !part.empty()) {
            telemetry::log(Level::Warning, "item", "unsendable",
                           {telemetry::requestId(item.spec.id), {"job", spec_.id}, {"part", part}});
            finishItem(index, ResultState::Abandoned);
        }
    }
}

void JobRunner::holdItems(absl::Duration duration)
{
    heldUntil_ = net::loopNow() + duration;
}

void JobRunner::releaseItems()
{
    heldUntil_ = Instant();
    sendWaitingItems();
}

void JobRunner::sendWaitingItems()
{
    const serving::Route *route = this->route();
    const Instant now = net::loopNow();
    if (stopped_ || sendingSuspended_ || route == nullptr || now < heldUntil_) {
        return;
    }
    std::set<std::string> servicesWithoutRoom;
    for (const std::size_t index : tracker_.sendOrder(now)) {
        if (servicesWithoutRoom.size() == route->services.size()) {
            break;
        }
        Item &item = tracker_.items()[index];
        if (item.waitingSince == Instant()) {
            item.waitingSince = now;
        }
        const std::string &chosen = serving::GatewayConfig::pickService(*route, item.spec.id);
        serving::Replica *replica = nullptr;
        if (!servicesWithoutRoom.contains(chosen)) {
            replica = chooseReplica(item, chosen, *route, now);
        }
        if (replica == nullptr) {
            servicesWithoutRoom.insert(chosen);
        }
        if (replica == nullptr && now - item.waitingSince >= context_.settings.serviceWait) {
            for (const serving::WeightedService &other : route->services) {
                if (replica == nullptr && !servicesWithoutRoom.contains(other.service)) {
                    replica = chooseReplica(item, other.service, *route, now);
                    if (replica == nullptr) {
                        servicesWithoutRoom.insert(other.service);
                    }
                }
            }
        }
        if (replica != nullptr) {
            startAttempt(index, *replica);
        }
    }
}

serving::Replica *JobRunner::chooseReplica(Item &item, const std::string &service, const serving::Route &route,
                                           Instant now)
{
    serving::ReplicaTable::ItemRequirements need;
    need.service = service;
    need.model = spec_.model;
    need.minVersion = spec_.minVersion;
    need.plan = &context_.modelPlan();
    need.regions = regions();
    if (const auto found = groupReplica_.find(item.spec.group); found != groupReplica_.end()) {
        need.preferred = found->second;
    }
    if (route.singleVersion && !item.text.empty()) {
        need.exactVersion = item.text.versions.front();
    }
    serving::Replica *replica = context_.replicas.chooseForItem(need, item.excludedReplicas, now);
    if (replica == nullptr && need.exactVersion != 0) {
        // No suitable replica with a free slot has this weight version: discard the text and start over.
        item.text = {};
        need.exactVersion = 0;
        replica = context_.replicas.chooseForItem(need, item.excludedReplicas, now);
    }
    if (replica == nullptr && !item.excludedReplicas.empty()) {
        item.excludedReplicas.clear();
        replica = context_.replicas.chooseForItem(need, item.excludedReplicas, now);
    }
    return replica;
}

void JobRunner::queryLoadingReplicas(LoadWatch &watch)
{
    const serving::Route *route = this->route();
    const Instant now = net::loopNow();
    if (stopped_ || route == nullptr || !context_.queryVersions || tracker_.sendOrder(now).empty()) {
        return;
    }
    for (const serving::WeightedService &choice : route->services) {
        serving::ReplicaTable::ItemRequirements need;
        need.service = choice.service;
        need.model = spec_.model;
        need.minVersion = spec_.minVersion;
        need.plan = &context_.modelPlan();
        need.regions = regions();
        for (const std::string &id : watch.replicasToQuery(context_.replicas, need, now)) {
            const serving::Replica *replica = context_.replicas.find(id);
            context_.queryVersions(
                *replica,
                [weak = weak_from_this(), id, startedAtMs = replica->entry.startedAtMs](const auto &versions) {
                    const auto self = weak.lock();
                    serving::Replica *known = self == nullptr ? nullptr : self->context_.replicas.find(id);
                    const auto reported = versions.find(self == nullptr ? std::string() : self->spec_.model);
                    if (known == nullptr || known->entry.startedAtMs != startedAtMs || reported == versions.end()) {
                        return;
                    }
                    std::uint64_t &version = known->entry.weightVersions[self->spec_.model];
                    if (reported->second > version) {
                        version = reported->second;
                        self->sendWaitingItems();
                    }
                });
        }
    }
}

void JobRunner::startAttempt(std::size_t index, serving::Replica &replica)
{
    Item &item = tracker_.items()[index];
    const std::uint64_t attempt = ++lastAttempt_;
    const Instant now = net::loopNow();
    item.state = ItemState::Running;
    item.replica = replica.entry.id;
    item.waitingSince = Instant();
    item.attempt = attempt;
    item.startedAt = now;
    item.lastEventAt = now;
    item.headSeen = false;
    item.attemptBytes = 0;
    item.attemptEvents = 0;
    item.slowEvents = 0;
    groupReplica_[item.spec.group] = replica.entry.id;
    ++replica.inFlight;
    serving::ReplicaTable::usePermit(replica, now);

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
    limits.connect = context_.settings.connectTimeout;
    limits.total = absl::InfiniteDuration();
    const std::weak_ptr<JobRunner> weak = weak_from_this();
    serving::EventHandlers handlers;
    handlers.onHead = [weak, index, attempt](const serving::ReplicaHead &head) {
        if (const auto self = weak.lock()) {
            self->onHead(index, attempt, head);
        }
    };
    handlers.onEvent = [weak, index, attempt](serving::StreamEvent event) {
        if (const auto self = weak.lock()) {
            self->onEvent(index, attempt, std::move(event));
        }
    };
    handlers.onDone = [weak, index, attempt](const serving::ReplicaHead &head, const absl::Status &status) {
        if (const auto self = weak.lock()) {
            self->onDone(index, attempt, head, status);
        }
    };
    callsByAttempt_[attempt] = context_.replicaPort.generate(replica, outbound, limits, std::move(handlers));
}

void JobRunner::releaseReplica(std::size_t index)
{
    Item &item = tracker_.items()[index];
    if (serving::Replica *replica = context_.replicas.find(item.replica)) {
        replica->inFlight = std::max(0, replica->inFlight - 1);
    }
    callsByAttempt_.erase(item.attempt);
    attemptVersions_.erase(item.attempt);
    item.attempt = 0;
}

void JobRunner::requeue(std::size_t index, std::string_view reason, absl::Duration delay)
{
    Item &item = tracker_.items()[index];
    telemetry::log(Level::Info, "item", "requeued",
                   {telemetry::requestId(item.spec.id),
                    {"job", spec_.id},
                    {"replica", item.replica},
                    {"reason", reason},
                    {"events", item.text.events.size()}});
    if (const auto call = callsByAttempt_.find(item.attempt); call != callsByAttempt_.end()) {
        context_.replicaPort.cancel(call->second);
    }
    releaseReplica(index);
    item.state = ItemState::Waiting;
    item.notBefore = net::loopNow() + delay;
}

void JobRunner::onHead(std::size_t index, std::uint64_t attempt, const serving::ReplicaHead &head)
{
    Item &item = tracker_.items()[index];
    if (item.attempt != attempt || head.status != 200 || head.requestMismatch) {
        return;
    }
    item.headSeen = true;
    item.lastEventAt = net::loopNow();
    serving::Replica *replica = context_.replicas.find(item.replica);
    if (replica != nullptr) {
        if (head.load && head.load->slowdown != 1) {
            serving::ReplicaTable::recordLoad(*replica, head.load, item.lastEventAt);
        }
        context_.ratesByService[replica->entry.service].recordHead(item.lastEventAt - item.startedAt);
    }
    if (!head.weightVersion) {
        item.excludedReplicas.insert(item.replica);
        requeue(index, "response has no weight version", context_.settings.itemRetryDelay);
        return;
    }
    if (replica != nullptr) {
        replica->entry.weightVersions[spec_.model] = *head.weightVersion;
    }
    if (*head.weightVersion < spec_.minVersion) {
        // The table now knows the replica's version, so it isn't chosen again.
        requeue(index, "weight version too old", absl::ZeroDuration());
        sendWaitingItems();
        return;
    }
    if (wouldMixVersions(item, *head.weightVersion)) {
        item.text = {};
        requeue(index, "weight version differs from that of the text", absl::ZeroDuration());
        sendWaitingItems();
        return;
    }
    attemptVersions_[attempt] = *head.weightVersion;
}

serving::ReplicaTable::ItemRequirements JobRunner::requirementsOf(const Item &item, const std::string &service)
{
    serving::ReplicaTable::ItemRequirements need;
    need.service = service;
    need.model = spec_.model;
    need.minVersion = spec_.minVersion;
    need.regions = regions();
    need.exactVersion = singleVersion() && !item.text.empty() ? item.text.versions.front() : 0;
    return need;
}

absl::Duration JobRunner::fastEventGap(const Item &item, const std::string &service, Instant now)
{
    const std::uint64_t version = singleVersion() && !item.text.empty() ? item.text.versions.front() : 0;
    KnownGap &known = fastGaps_[{service, version}];
    if (known.at == Instant() || now - known.at > FastGapTtl) {
        known = {context_.replicas.fastEventGap(requirementsOf(item, service)), now};
    }
    return known.gap;
}

double JobRunner::eventsLeft(const Item &item, const std::string &service) const
{
    const auto rates = context_.ratesByService.find(service);
    const double tokensPerEvent = rates == context_.ratesByService.end() ? 0 : rates->second.tokensPerEvent();
    const double expected = tokensPerEvent > 0 ? item.spec.lengthHint / tokensPerEvent : 0;
    return scheduling::eventsLeft(expected, static_cast<double>(item.text.events.size()));
}

void JobRunner::updateEventGap(Item &item, Instant now)
{
    const absl::Duration gap = now - item.lastEventAt;
    const Instant previous = std::exchange(item.lastEventAt, now);
    serving::Replica *replica = context_.replicas.find(item.replica);
    if (replica == nullptr) {
        return;
    }
    // The first event of an attempt comes after reading the prompt and the text.
    if (++item.attemptEvents == 1) {
        scheduling::LearnedRates &rates = context_.ratesByService[replica->entry.service];
        rates.recordFirstEvent(static_cast<double>(item.text.events.size()) * rates.tokensPerEvent(),
                               now - item.startedAt, replica->eventGap);
        return;
    }
    if (gap > MaxMeasuredGap) {
        item.slowEvents = 0;
        return;
    }
    const absl::Duration fastGap = fastEventGap(item, replica->entry.service, now);
    if (fastGap == absl::ZeroDuration() || gap <= fastGap * SpellGapFactor) {
        item.slowEvents = 0;
    } else if (item.slowEvents++ == 0) {
        item.slowSince = previous;
    }
    serving::ReplicaTable::recordEventGap(*replica, gap, fastGap, now);
}

bool JobRunner::moveIfSooner(std::size_t index, Instant now)
{
    Item &item = tracker_.items()[index];
    const serving::Replica *replica = context_.replicas.find(item.replica);
    const absl::Duration silence = now - item.lastEventAt;
    if (replica == nullptr || item.attemptEvents < 2 || silence > MaxMeasuredGap || sendingSuspended_
        || now < heldUntil_ || now - item.startedAt < context_.settings.minTimeBeforeMove) {
        return false;
    }
    const std::string service = replica->entry.service;
    const absl::Duration fastGap = fastEventGap(item, service, now);
    if (fastGap == absl::ZeroDuration() || (item.slowEvents == 0 && silence <= fastGap * SpellGapFactor)) {
        return false;
    }
    std::erase_if(item.movedAt, [&](Instant at) { return now - at > context_.settings.moveWindow; });
    const double left = eventsLeft(item, service);
    if (static_cast<int>(item.movedAt.size()) >= context_.settings.maxMoves || left < mostEventsLeft_ * LongItemShare) {
        return false;
    }
    const scheduling::LearnedRates &rates = context_.ratesByService[service];
    const Instant slowSince = item.slowEvents > 0 ? item.slowSince : item.lastEventAt;
    scheduling::ReplicaPace here;
    here.usualGap = fastGap;
    here.presentGap = silence;
    if (item.slowEvents > 0) {
        here.presentGap =
            std::max(silence, (item.lastEventAt - slowSince) / static_cast<std::int64_t>(item.slowEvents));
    }
    here.slowFor = now - slowSince;
    scheduling::ReplicaPace there;
    there.usualGap = fastGap;
    there.distance = rates.connectTime();
    there.readRate = rates.readRate();
    const double textTokens = static_cast<double>(item.text.events.size()) * rates.tokensPerEvent();
    const scheduling::MoveEstimate estimate = scheduling::estimateMove({textTokens, left}, here, there);
    if (!estimate.pays()) {
        return false;
    }
    std::set<std::string> excluded = item.excludedReplicas;
    excluded.insert(item.replica);
    serving::ReplicaTable::ItemRequirements need = requirementsOf(item, service);
    need.plan = &context_.modelPlan();
    for (int tried = 0; tried < MaxMoveCandidates; ++tried) {
        serving::Replica *other = context_.replicas.chooseForItem(need, excluded, now);
        if (other == nullptr) {
            return false;
        }
        const bool paused = other->inFlight > 0 && now - other->lastEventAt > fastGap * PausedGapFactor;
        const bool slow = context_.replicas.presentGap(*other, fastGap, now) > fastGap * SpellGapFactor;
        if (other->eventGap == absl::ZeroDuration() || paused || slow) {
            excluded.insert(other->entry.id);
            continue;
        }
        telemetry::log(Level::Info, "item", "moved",
                       {telemetry::requestId(item.spec.id),
                        {"job", spec_.id},
                        {"replica", item.replica},
                        {"to", other->entry.id},
                        {"events_left", static_cast<std::int64_t>(left)},
                        {"gap_ms", absl::ToInt64Milliseconds(here.presentGap)},
                        {"fast_gap_ms", absl::ToInt64Milliseconds(fastGap)},
                        {"slow_for_ms", absl::ToInt64Milliseconds(here.slowFor)},
                        {"stay_ms", absl::ToInt64Milliseconds(estimate.stay)},
                        {"move_ms", absl::ToInt64Milliseconds(estimate.move)}});
        judgeMove(item, true, now);
        item.movedAt.push_back(now);
        item.lastMove = RecentMove{now, here.presentGap, item.text.events.size()};
        requeue(index, "slow replica", absl::ZeroDuration());
        startAttempt(index, *other);
        return true;
    }
    return false;
}

void JobRunner::judgeMove(Item &item, bool ended, Instant now)
{
    if (!item.lastMove) {
        return;
    }
    // Text that was discarded since says nothing about the replicas.
    const std::size_t made = item.text.events.size();
    const std::size_t events = made > item.lastMove->eventsBefore ? made - item.lastMove->eventsBefore : 0;
    if (events < JudgedEvents && !ended) {
        return;
    }
    const absl::Duration taken = now - item.lastMove->at;
    const bool won = taken < item.lastMove->gapBefore * static_cast<std::int64_t>(events);
    telemetry::log(Level::Info, "item", won ? "move_won" : "move_lost",
                   {telemetry::requestId(item.spec.id),
                    {"job", spec_.id},
                    {"replica", item.replica},
                    {"events", events},
                    {"took_ms", absl::ToInt64Milliseconds(taken)},
                    {"gap_before_ms", absl::ToInt64Milliseconds(item.lastMove->gapBefore)}});
    item.lastMove.reset();
}

void JobRunner::onEvent(std::size_t index, std::uint64_t attempt, serving::StreamEvent event)
{
    Item &item = tracker_.items()[index];
    if (item.attempt != attempt) {
        return;
    }
    if (event.weightVersion) {
        attemptVersions_[attempt] = *event.weightVersion;
        if (serving::Replica *replica = context_.replicas.find(item.replica)) {
            replica->entry.weightVersions[spec_.model] = *event.weightVersion;
        }
    }
    const auto version = attemptVersions_.find(attempt);
    if (version == attemptVersions_.end()) {
        return;
    }
    if (!item.text.empty() && event.id != item.text.lastEventId + 1) {
        item.excludedReplicas.insert(item.replica);
        requeue(index, "event id out of sequence", context_.settings.itemRetryDelay);
        return;
    }
    if (wouldMixVersions(item, version->second)) {
        item.text = {};
        requeue(index, "weight version changed during the attempt", absl::ZeroDuration());
        sendWaitingItems();
        return;
    }
    item.attemptBytes += event.data.size();
    if (item.attemptBytes > context_.settings.maxAttemptBytes) {
        item.text = {};
        item.excludedReplicas.insert(item.replica);
        requeue(index, "text too long", context_.settings.itemRetryDelay);
        return;
    }
    updateEventGap(item, net::loopNow());
    item.text.lastEventId = event.id;
    item.text.addVersion(version->second);
    item.text.events.push_back(std::move(event.data));
    judgeMove(item, false, item.lastEventAt);
    if (item.slowEvents > 0) {
        moveIfSooner(index, item.lastEventAt); // Between two events the least is lost.
    }
}

void JobRunner::onDone(std::size_t index, std::uint64_t attempt, const serving::ReplicaHead &head,
                       const absl::Status &status)
{
    Item &item = tracker_.items()[index];
    if (item.attempt != attempt) {
        return;
    }
    const Instant now = net::loopNow();
    serving::Replica *replica = context_.replicas.find(item.replica);
    callsByAttempt_.erase(attempt);
    if (!status.ok() || head.requestMismatch) {
        if (replica != nullptr) {
            context_.replicas.recordFailure(*replica, now);
        }
        requeue(index, status.ok() ? "response belongs to another request" : describeError(status),
                absl::ZeroDuration());
    } else if (head.notRun) {
        if (replica != nullptr) {
            head.instanceMismatch ? context_.replicas.recordFailure(*replica, now)
                                  : context_.replicas.recordRefusal(*replica, head.load, now);
        }
        // It may be loading weights for a second: the others are tried first, at once if it said that it has free
        // slots.
        item.excludedReplicas.insert(item.replica);
        const bool loading = replica != nullptr && head.load && head.load->waiting == 0
            && head.load->running < head.load->slots && !head.instanceMismatch;
        requeue(index, "not run", loading ? absl::ZeroDuration() : RefusalRetryDelay);
    } else if (head.status == 200 && !item.text.empty()) {
        if (replica != nullptr) {
            context_.replicas.recordSuccess(*replica, now);
            context_.ratesByService[replica->entry.service].recordItem(item.spec.lengthHint,
                                                                       static_cast<double>(item.text.events.size()));
        }
        judgeMove(item, true, now);
        releaseReplica(index);
        onTextComplete(index);
    } else if (head.status == 422) {
        releaseReplica(index);
        finishItem(index, ResultState::Abandoned);
    } else {
        const serving::Route *route = this->route();
        ++item.failures;
        item.excludedReplicas.insert(item.replica);
        if (route != nullptr && item.failures >= route->maxAttempts && head.status == 500) {
            releaseReplica(index);
            finishItem(index, ResultState::Abandoned);
        } else {
            requeue(index, "failed", context_.settings.itemRetryDelay);
        }
    }
    sendWaitingItems();
}

void JobRunner::finishItem(std::size_t index, ResultState state)
{
    Item &item = tracker_.items()[index];
    item.state = ItemState::Finished;
    item.finishedAt = net::loopNow();
    if (state == ResultState::Abandoned) {
        item.text = {};
        telemetry::log(Level::Warning, "item", "abandoned",
                       {telemetry::requestId(item.spec.id),
                        {"job", spec_.id},
                        {"failures", item.failures},
                        {"reward_failures", item.rewardFailures}});
    }
    flushIfDue();
}

void JobRunner::reuseText(const std::string &textKey, const ItemText &text)
{
    const auto index = tracker_.findByTextKey(textKey);
    if (index && tracker_.reuseText(*index, text, spec_.minVersion, singleVersion())) {
        telemetry::log(Level::Info, "item", "text_reused",
                       {telemetry::requestId(tracker_.items()[*index].spec.id),
                        {"job", spec_.id},
                        {"events", text.events.size()},
                        {"complete", text.complete}});
        if (text.complete) {
            onTextComplete(*index);
        }
    }
}

void JobRunner::reuseResult(const std::string &textKey, const ItemResult &result, std::string_view scoreKey)
{
    const auto index = tracker_.findByTextKey(textKey);
    if (!index || result.state != ResultState::Completed
        || !versionsAllowed(result.versions, spec_.minVersion, singleVersion())
        || tracker_.items()[*index].state != ItemState::Waiting) {
        return;
    }
    Item &item = tracker_.items()[*index];
    item.text.events = {result.text};
    item.text.versions = result.versions;
    const bool scored = item.spec.reward && jobs::scoreKey(item.spec) == scoreKey && !result.score.empty();
    telemetry::log(Level::Info, "item", "result_reused",
                   {telemetry::requestId(item.spec.id), {"job", spec_.id}, {"scored", scored}});
    if (scored) {
        item.score = result.score;
        finishItem(*index, ResultState::Completed);
    } else {
        onTextComplete(*index);
    }
}

void JobRunner::tick()
{
    if (stopped_) {
        return;
    }
    const Instant now = net::loopNow();
    const serving::Route *route = this->route();
    const bool expired = route != nullptr && timeLeft(*route, now) < absl::ZeroDuration();
    double mostEventsLeft = 0;
    for (std::size_t index = 0; index < tracker_.items().size(); ++index) {
        Item &item = tracker_.items()[index];
        const bool open =
            item.state == ItemState::Waiting || item.state == ItemState::Running || item.state == ItemState::Scoring;
        if (expired && open) {
            if (item.state == ItemState::Running) {
                requeue(index, "expired", absl::ZeroDuration());
            }
            cancelRewardCall(item);
            finishItem(index, ResultState::Abandoned);
            continue;
        }
        if (item.state != ItemState::Running) {
            continue;
        }
        serving::Replica *replica = context_.replicas.find(item.replica);
        if (replica != nullptr && context_.replicas.isEvacuated(*replica)) {
            requeue(index, "evacuated", absl::ZeroDuration());
            continue;
        }
        if (now - item.lastEventAt > context_.settings.eventTimeout) {
            if (replica != nullptr) {
                context_.replicas.recordFailure(*replica, now);
            }
            item.excludedReplicas.insert(item.replica);
            requeue(index, "silent", absl::ZeroDuration());
            continue;
        }
        if (replica != nullptr) {
            mostEventsLeft = std::max(mostEventsLeft, eventsLeft(item, replica->entry.service));
        }
        moveIfSooner(index, now);
    }
    mostEventsLeft_ = mostEventsLeft;
    flushIfDue();
    sendWaitingItems();
    sendRewardCalls();
}

void JobRunner::stop(std::string_view reason)
{
    if (std::exchange(stopped_, true)) {
        return;
    }
    telemetry::log(
        Level::Info, "job", "stopped",
        {{"job", spec_.id}, {"reason", reason}, {"listed", log_.size()}, {"running", callsByAttempt_.size()}});
    for (std::size_t index = 0; index < tracker_.items().size(); ++index) {
        Item &item = tracker_.items()[index];
        cancelRewardCall(item);
        if (item.state == ItemState::Running) {
            if (const auto call = callsByAttempt_.find(item.attempt); call != callsByAttempt_.end()) {
                context_.replicaPort.cancel(call->second);
            }
            releaseReplica(index);
            item.state = ItemState::Waiting;
        }
    }
}

} // namespace currantlug::jobs
