// Load balancing among replicas.
#include "serving/replicatable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace currantlug::serving {

namespace {

// Event gaps relative to that of the fast replicas. Up to the first factor replicas count as equally fast, since the
// measurement is noisy. Above the second factor a replica is considered faulty.
constexpr double EqualGapFactor = 1.15;
constexpr double SlowGapFactor = 1.8;
// A single gap above this factor belongs to a slow spell: single gaps of sound replicas differ by an eighth.
constexpr double SpellGapFactor = 1.5;
constexpr double EventGapSmoothing = 0.15; // Weight of the newest gap.
// One in this many slots of a replica is kept free of background calls.
constexpr int ReservedSlotsDivisor = 3;

void wantPermits(const std::vector<Replica *> &replicas)
{
    for (Replica *replica : replicas) {
        replica->permitWanted = true;
    }
}

int slownessRank(absl::Duration gap, absl::Duration fastGap)
{
    if (fastGap == absl::ZeroDuration() || gap <= fastGap * EqualGapFactor) {
        return 0;
    }
    return gap <= fastGap * SlowGapFactor ? 1 : 2;
}

} // namespace

void ReplicaTable::update(ReplicaEntry entry, Instant now)
{
    const auto found = replicas_.find(entry.id);
    if (found == replicas_.end()) {
        Replica &replica = replicas_[entry.id];
        replica.entry = std::move(entry);
        replica.firstSeenAt = now;
        updateColdState(replica, now);
        return;
    }
    Replica &replica = found->second;
    if (incarnationOf(entry) != incarnationOf(replica.entry)) {
        // Another incarnation: measurements and failures of the previous one do not apply.
        const int inFlight = replica.inFlight;
        replica = Replica{};
        replica.inFlight = inFlight;
        replica.firstSeenAt = now;
    }
    replica.entry = std::move(entry);
    replica.removeAt = Instant(absl::InfiniteDuration());
    updateColdState(replica, now);
}

const ColdRule *ReplicaTable::coldRule(const Replica &replica) const
{
    const auto found = coldRules_.find(replica.entry.service);
    return found == coldRules_.end() ? nullptr : &found->second;
}

void ReplicaTable::updateColdState(Replica &replica, Instant now) const
{
    const ColdRule *rule = coldRule(replica);
    const bool isNewRule = rule != nullptr && replica.coldLimit == 0;
    replica.coldLimit = rule == nullptr ? 0 : rule->requestsPerSecond;
    if (rule == nullptr) {
        replica.coldUntil = Instant(-absl::InfiniteDuration());
        return;
    }
    const Instant statedEnd = now + replica.entry.coldLeft.value_or(absl::ZeroDuration());
    if (replica.coldUntil == Instant(absl::InfiniteDuration())) {
        // The registration may be older than the failure, so it can't say that the replica is warm.
        replica.coldUntil = std::max(now + rule->duration, statedEnd);
    } else if (isNewRule && !replica.entry.coldLeft) {
        replica.coldUntil = replica.firstSeenAt + rule->duration;
    } else {
        replica.coldUntil = std::max(replica.coldUntil, statedEnd);
    }
}

void ReplicaTable::setColdRules(std::map<std::string, ColdRule> rules)
{
    coldRules_ = std::move(rules);
    for (auto &[id, replica] : replicas_) {
        const ColdRule *rule = coldRule(replica);
        const bool isNewRule = rule != nullptr && replica.coldLimit == 0;
        replica.coldLimit = rule == nullptr ? 0 : rule->requestsPerSecond;
        if (isNewRule) {
            replica.coldUntil = replica.firstSeenAt + replica.entry.coldLeft.value_or(rule->duration);
        }
    }
}

void ReplicaTable::setEvacuated(const std::string &availabilityZone, bool evacuated, Instant now)
{
    if (evacuated) {
        evacuatedZones_.insert(availabilityZone);
        return;
    }
    evacuatedZones_.erase(availabilityZone);
    for (auto &[id, replica] : replicas_) {
        const ColdRule *rule = coldRule(replica);
        if (rule != nullptr && replica.entry.availabilityZone == availabilityZone) {
            replica.coldUntil = std::max(replica.coldUntil, now + rule->duration);
        }
    }
}

void ReplicaTable::remove(const std::string &id, bool registryUnstable, Instant now)
{
    const auto found = replicas_.find(id);
    if (found != replicas_.end()) {
        found->second.removeAt = registryUnstable ? now + settings_.removalGrace : now;
    }
}

bool ReplicaTable::recordLeaving(const ReplicaIncarnation &incarnation)
{
    Replica *replica = find(incarnation);
    return replica != nullptr && !std::exchange(replica->leaving, true);
}

bool ReplicaTable::recordLimit(const LimitStatement &statement, bool heardHere)
{
    Replica *known = find(statement.replica);
    if (known == nullptr) {
        return false;
    }
    Replica &replica = *known;
    const bool wasNeverLimited = !replica.requestLimit && !statement.requestLimit;
    if (wasNeverLimited || statement.statedAt <= replica.limitStatedAt) {
        return false;
    }
    replica.limitStatedAt = statement.statedAt;
    replica.limitStatedHere = heardHere;
    if (!statement.requestLimit) {
        replica.permits.clear();
        replica.permitWanted = false;
    }
    return std::exchange(replica.requestLimit, statement.requestLimit) != statement.requestLimit;
}

std::vector<LimitStatement> ReplicaTable::limitStatements(Instant now) const
{
    std::vector<LimitStatement> statements;
    for (const auto &[id, replica] : replicas_) {
        if (replica.limitStatedHere
            && (replica.requestLimit || now - replica.limitStatedAt < settings_.liftedLimitTtl)) {
            statements.push_back({incarnationOf(replica.entry), replica.requestLimit, replica.limitStatedAt});
        }
    }
    return statements;
}

std::vector<ReplicaIncarnation> ReplicaTable::leavingReplicas() const
{
    std::vector<ReplicaIncarnation> leaving;
    for (const auto &[id, replica] : replicas_) {
        if (replica.leaving) {
            leaving.push_back(incarnationOf(replica.entry));
        }
    }
    return leaving;
}

void ReplicaTable::expire(Instant now)
{
    for (auto &[id, replica] : replicas_) {
        if (replica.eventGap > absl::ZeroDuration() && now - replica.lastEventAt > settings_.eventGapTtl) {
            replica.eventGap = absl::ZeroDuration();
            replica.lastGap = absl::ZeroDuration();
        }
    }
    for (auto it = replicas_.begin(); it != replicas_.end();) {
        it = it->second.removeAt <= now && it->second.inFlight == 0 ? replicas_.erase(it) : std::next(it);
    }
}

Replica *ReplicaTable::find(const std::string &id)
{
    const auto found = replicas_.find(id);
    return found == replicas_.end() ? nullptr : &found->second;
}

Replica *ReplicaTable::find(const ReplicaIncarnation &incarnation)
{
    Replica *replica = find(incarnation.id);
    return replica != nullptr && incarnationOf(replica->entry) == incarnation ? replica : nullptr;
}

std::string_view ReplicaTable::regionOf(const Replica &replica) const
{
    const auto found = settings_.regionOfZone.find(replica.entry.availabilityZone);
    return found == settings_.regionOfZone.end() ? std::string_view() : std::string_view(found->second);
}

bool ReplicaTable::isEligible(const Replica &replica, const RegionSet &regions, Instant now) const
{
    return replica.acceptsRequests() && !isEvacuated(replica) && replica.removeAt > now
        && regions.allows(regionOf(replica));
}

int ReplicaTable::zoneDistance(const Replica &replica) const
{
    if (replica.entry.availabilityZone == settings_.availabilityZone) {
        return 0;
    }
    const std::string_view region = regionOf(replica);
    return !region.empty() && region == settings_.region ? 1 : 2;
}

Replica *ReplicaTable::chooseForRequest(std::string_view service, const std::set<std::string> &tried, Instant now,
                                        const LimitedReplicas &limited, const RegionSet &regions)
{
    Replica *best = nullptr;
    std::tuple<bool, bool, bool, absl::Duration, int, int> bestRank;
    for (auto &[id, replica] : replicas_) {
        if (replica.entry.service != service || !isEligible(replica, regions, now) || tried.contains(id)) {
            continue;
        }
        absl::Duration permitWait;
        const bool isLimited = replica.limitAt(now).has_value();
        if (isLimited && !hasPermit(replica, now)) {
            permitWait = std::max(absl::ZeroDuration(), replica.nextPermitAt - now);
        }
        if (isLimited && (!limited.allowed || permitWait > limited.maxPermitWait)) {
            continue;
        }
        const std::tuple<bool, bool, bool, absl::Duration, int, int> rank{replica.backoffUntil > now,
                                                                          replica.inFlight >= replica.entry.slots,
                                                                          isLimited,
                                                                          permitWait,
                                                                          replica.inFlight / 2 + zoneDistance(replica),
                                                                          replica.inFlight};
        if (best == nullptr || rank < bestRank) {
            best = &replica;
            bestRank = rank;
        }
    }
    return best;
}

bool ReplicaTable::hasPermit(const Replica &replica, Instant now)
{
    return !replica.limitAt(now)
        || std::any_of(replica.permits.begin(), replica.permits.end(),
                       [now](const Permit &permit) { return permit.usableAt <= now && now < permit.expiresAt; });
}

void ReplicaTable::usePermit(Replica &replica, Instant now)
{
    std::erase_if(replica.permits, [now](const Permit &permit) { return permit.expiresAt <= now; });
    if (replica.limitAt(now) && !replica.permits.empty()) {
        replica.permits.pop_front();
    }
}

void ReplicaTable::addPermits(Replica &replica, const PermitReply &reply, Instant now) const
{
    const absl::Duration ttl = replica.isCold(now) ? settings_.coldPermitTtl : settings_.permitTtl;
    for (const absl::Duration delay : reply.delays) {
        replica.permits.push_back({now + delay, now + delay + ttl});
    }
    std::sort(replica.permits.begin(), replica.permits.end(),
              [](const Permit &one, const Permit &other) { return one.usableAt < other.usableAt; });
    replica.nextPermitAt = now + reply.nextIn;
    replica.permitRequested = false;
}

std::optional<absl::Duration> ReplicaTable::nextPermitIn(std::string_view service, Instant now,
                                                         const RegionSet &regions) const
{
    std::optional<absl::Duration> next;
    for (const auto &[id, replica] : replicas_) {
        if (replica.entry.service == service && replica.limitAt(now) && isEligible(replica, regions, now)) {
            next = std::min(next.value_or(absl::InfiniteDuration()),
                            std::max(absl::ZeroDuration(), replica.nextPermitAt - now));
        }
    }
    return next;
}

std::vector<Replica *> ReplicaTable::takePermitsWanted(Instant now)
{
    std::vector<Replica *> wanted;
    for (auto &[id, replica] : replicas_) {
        if (replica.permitWanted && !replica.permitRequested && replica.limitAt(now)
            && replica.nextPermitAt - now <= settings_.itemPermitWait) {
            replica.permitWanted = false;
            replica.permitRequested = true;
            wanted.push_back(&replica);
        }
    }
    return wanted;
}

int ReplicaTable::knownLoad(const Replica &replica, Instant now) const
{
    if (now - replica.loadAt > settings_.loadTtl) {
        return replica.inFlight;
    }
    return std::max(replica.inFlight, replica.load.running + replica.load.waiting);
}

Replica *ReplicaTable::chooseForBackground(std::string_view service, const std::set<std::string> &tried, Instant now,
                                           const RegionSet &regions)
{
    Replica *best = nullptr;
    std::tuple<bool, int, int> bestRank;
    std::vector<Replica *> withoutPermit;
    for (auto &[id, replica] : replicas_) {
        if (replica.entry.service != service || !isEligible(replica, regions, now) || replica.backoffUntil > now
            || tried.contains(id)) {
            continue;
        }
        const int load = knownLoad(replica, now);
        if (load >= replica.entry.slots - replica.entry.slots / ReservedSlotsDivisor) {
            continue;
        }
        if (!hasPermit(replica, now)) {
            withoutPermit.push_back(&replica);
            continue;
        }
        const std::tuple<bool, int, int> rank{replica.limitAt(now).has_value(), load / 2 + zoneDistance(replica), load};
        if (best == nullptr || rank < bestRank) {
            best = &replica;
            bestRank = rank;
        }
    }
    if (best == nullptr) {
        wantPermits(withoutPermit);
    }
    return best;
}

bool ReplicaTable::canRun(const Replica &replica, const ItemRequirements &requirements) const
{
    if (replica.entry.service != requirements.service || !replica.acceptsRequests() || isEvacuated(replica)
        || !requirements.regions.allows(regionOf(replica))) {
        return false;
    }
    const auto version = replica.entry.weightVersions.find(requirements.model);
    if (version == replica.entry.weightVersions.end()) {
        return false;
    }
    return version->second >= requirements.minVersion
        && (requirements.exactVersion == 0 || version->second == requirements.exactVersion);
}

Replica *ReplicaTable::chooseForItem(const ItemRequirements &requirements, const std::set<std::string> &excluded,
                                     Instant now)
{
    const absl::Duration fastGap = fastEventGap(requirements);
    Replica *best = nullptr;
    std::tuple<bool, int, bool, bool, bool, int, int> bestRank;
    std::vector<Replica *> withoutPermit;
    for (auto &[id, replica] : replicas_) {
        if (!canRun(replica, requirements) || replica.removeAt <= now || replica.backoffUntil > now
            || replica.inFlight >= replica.entry.slots || excluded.contains(id)) {
            continue;
        }
        if (!hasPermit(replica, now)) {
            withoutPermit.push_back(&replica);
            continue;
        }
        bool planned = true;
        if (requirements.plan != nullptr && !requirements.plan->empty()) {
            const auto found = requirements.plan->find(id);
            planned = found != requirements.plan->end() && found->second == requirements.model;
        }
        // The preferred replica is chosen over less loaded ones until more than half of its slots are taken.
        const bool notPreferred = id != requirements.preferred || replica.inFlight * 2 > replica.entry.slots;
        const std::tuple<bool, int, bool, bool, bool, int, int> rank{
            replica.limitAt(now).has_value(),
            slownessRank(presentGap(replica, fastGap, now), fastGap),
            !planned,
            replica.entry.spot,
            notPreferred,
            replica.inFlight,
            zoneDistance(replica)};
        if (best == nullptr || rank < bestRank) {
            best = &replica;
            bestRank = rank;
        }
    }
    if (best == nullptr) {
        wantPermits(withoutPermit);
    }
    return best;
}

absl::Duration ReplicaTable::fastEventGap(const ItemRequirements &requirements) const
{
    std::vector<absl::Duration> gaps;
    for (const auto &[id, replica] : replicas_) {
        if (replica.eventGap > absl::ZeroDuration() && canRun(replica, requirements)) {
            gaps.push_back(replica.eventGap);
        }
    }
    if (gaps.empty()) {
        return absl::ZeroDuration();
    }
    const std::size_t rank = std::max<std::size_t>(gaps.size(), 2) - 2;
    const auto third = gaps.begin() + static_cast<std::ptrdiff_t>(rank / 3);
    std::nth_element(gaps.begin(), third, gaps.end());
    return *third;
}

void ReplicaTable::recordEventGap(Replica &replica, absl::Duration gap, absl::Duration fastGap, Instant now)
{
    const bool wasSlow = replica.lastGap > fastGap * SpellGapFactor;
    if (!wasSlow && gap > fastGap * SpellGapFactor) {
        replica.slowSince = now - gap;
    }
    replica.lastGap = gap;
    replica.eventGap = replica.eventGap == absl::ZeroDuration()
        ? gap
        : replica.eventGap * (1 - EventGapSmoothing) + gap * EventGapSmoothing;
    replica.lastEventAt = now;
}

absl::Duration ReplicaTable::presentGap(const Replica &replica, absl::Duration fastGap, Instant now) const
{
    if (fastGap > absl::ZeroDuration() && replica.loadAt > replica.lastEventAt
        && now - replica.loadAt <= settings_.loadTtl && replica.load.slowdown != 1) {
        return fastGap * replica.load.slowdown;
    }
    if (replica.lastGap == absl::ZeroDuration()) {
        return replica.eventGap;
    }
    if (replica.lastGap <= fastGap * SpellGapFactor) {
        return std::min(replica.lastGap, replica.eventGap);
    }
    const absl::Duration seen = replica.lastEventAt - replica.slowSince;
    return now - replica.lastEventAt <= seen ? replica.lastGap : absl::ZeroDuration();
}

void ReplicaTable::recordLoad(Replica &replica, const std::optional<ReplicaLoad> &load, Instant now)
{
    if (load) {
        replica.load = *load;
        replica.loadAt = now;
    }
}

void ReplicaTable::recordSuccess(Replica &replica, Instant now)
{
    replica.failures = 0;
    replica.backoffUntil = Instant();
    const ColdRule *rule = coldRule(replica);
    if (rule != nullptr && replica.coldUntil == Instant(absl::InfiniteDuration())) {
        replica.coldUntil = now + rule->duration;
    }
}

void ReplicaTable::recordFailure(Replica &replica, Instant now)
{
    if (replica.coldLimit > 0) {
        replica.coldUntil = Instant(absl::InfiniteDuration()); // It may have ended, and be cold when it returns.
    }
    if (replica.backoffUntil > now) {
        return; // Requests that fail at the same time count as one failure.
    }
    const absl::Duration backoff =
        std::min(settings_.maxBackoff, settings_.initialBackoff * (1 << std::min(replica.failures, 6)));
    ++replica.failures;
    replica.backoffUntil = now + backoff;
}

void ReplicaTable::recordRefusal(Replica &replica, const std::optional<ReplicaLoad> &load, Instant now)
{
    const bool full = !load || load->waiting > 0 || load->running >= load->slots;
    replica.backoffUntil =
        std::max(replica.backoffUntil, now + (full ? settings_.fullBackoff : settings_.loadingBackoff));
}

} // namespace currantlug::serving
