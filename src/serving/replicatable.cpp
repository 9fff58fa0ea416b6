// Choice among replicas.
#include "serving/replicatable.h"

#include <algorithm>
#include <tuple>

namespace currantlug::serving {

namespace {

// Replicas of a service differ in speed. Up to the first factor they count as equal, since the measure is noisy; from
// the second on something is wrong with them.
constexpr double EqualFactor = 1.15;
constexpr double SlowFactor = 1.8;

int speedClass(absl::Duration gap, absl::Duration best)
{
    if (best == absl::ZeroDuration() || gap <= best * EqualFactor) {
        return 0;
    }
    return gap <= best * SlowFactor ? 1 : 2;
}

} // namespace

void ReplicaTable::update(ReplicaEntry entry)
{
    const auto found = replicas_.find(entry.id);
    if (found == replicas_.end()) {
        Replica &replica = replicas_[entry.id];
        replica.entry = std::move(entry);
        return;
    }
    Replica &replica = found->second;
    if (entry.bornMs != replica.entry.bornMs || entry.address != replica.entry.address) {
        // Another incarnation: nothing learnt of the former one holds.
        const int inFlight = replica.inFlight;
        replica = Replica{};
        replica.inFlight = inFlight;
    }
    replica.entry = std::move(entry);
    replica.gone = Instant(absl::InfiniteDuration());
}

void ReplicaTable::remove(const std::string &id, bool registryUnsteady, Instant now)
{
    const auto found = replicas_.find(id);
    if (found != replicas_.end()) {
        found->second.gone = registryUnsteady ? now + settings_.returnGrace : now;
    }
}

void ReplicaTable::expire(Instant now)
{
    for (auto &[id, replica] : replicas_) {
        if (replica.eventGap > absl::ZeroDuration() && now - replica.lastEventAt > settings_.gapMemory) {
            replica.eventGap = absl::ZeroDuration();
        }
    }
    for (auto it = replicas_.begin(); it != replicas_.end();) {
        it = it->second.gone <= now && it->second.inFlight == 0 ? replicas_.erase(it) : std::next(it);
    }
}

Replica *ReplicaTable::find(const std::string &id)
{
    const auto found = replicas_.find(id);
    return found == replicas_.end() ? nullptr : &found->second;
}

int ReplicaTable::distance(const Replica &replica) const
{
    if (replica.entry.availabilityZone == settings_.availabilityZone) {
        return 0;
    }
    const auto found = settings_.regionOfZone.find(replica.entry.availabilityZone);
    return found != settings_.regionOfZone.end() && found->second == settings_.region ? 1 : 2;
}

Replica *ReplicaTable::chooseForRequest(std::string_view service, const std::set<std::string> &tried, Instant now)
{
    Replica *best = nullptr;
    std::tuple<bool, bool, int, int> bestRank;
    for (auto &[id, replica] : replicas_) {
        if (replica.entry.service != service || replica.entry.draining || replica.gone <= now || tried.contains(id)) {
            continue;
        }
        const std::tuple<bool, bool, int, int> rank{replica.avoidUntil > now, replica.inFlight >= replica.entry.slots,
                                                    replica.inFlight / 2 + distance(replica), replica.inFlight};
        if (best == nullptr || rank < bestRank) {
            best = &replica;
            bestRank = rank;
        }
    }
    return best;
}

bool ReplicaTable::canRun(const Replica &replica, const ItemNeed &need) const
{
    if (replica.entry.service != need.service || replica.entry.draining) {
        return false;
    }
    const auto version = replica.entry.weightVersions.find(need.model);
    if (version == replica.entry.weightVersions.end()) {
        return false;
    }
    return version->second >= need.minVersion && (need.exactVersion == 0 || version->second == need.exactVersion);
}

Replica *ReplicaTable::chooseForItem(const ItemNeed &need, const std::set<std::string> &avoid, Instant now)
{
    const absl::Duration bestGap = bestEventGap(need);
    Replica *best = nullptr;
    std::tuple<int, bool, bool, bool, int, int> bestRank;
    for (auto &[id, replica] : replicas_) {
        if (!canRun(replica, need) || replica.gone <= now || replica.avoidUntil > now
            || replica.inFlight >= replica.entry.slots || avoid.contains(id)) {
            continue;
        }
        bool planned = true;
        if (need.plan != nullptr && !need.plan->empty()) {
            const auto found = need.plan->find(id);
            planned = found != need.plan->end() && found->second == need.model;
        }
        // The group's replica is preferred over an emptier one until it is half full.
        const bool elsewhere = id != need.preferred || replica.inFlight * 2 > replica.entry.slots;
        const std::tuple<int, bool, bool, bool, int, int> rank{speedClass(replica.eventGap, bestGap),
                                                               !planned,
                                                               replica.entry.spot,
                                                               elsewhere,
                                                               replica.inFlight,
                                                               distance(replica)};
        if (best == nullptr || rank < bestRank) {
            best = &replica;
            bestRank = rank;
        }
    }
    return best;
}

absl::Duration ReplicaTable::bestEventGap(const ItemNeed &need) const
{
    absl::Duration best;
    for (const auto &[id, replica] : replicas_) {
        if (canRun(replica, need) && replica.eventGap > absl::ZeroDuration()
            && (best == absl::ZeroDuration() || replica.eventGap < best)) {
            best = replica.eventGap;
        }
    }
    return best;
}

void ReplicaTable::succeeded(Replica &replica)
{
    replica.failures = 0;
    replica.avoidUntil = Instant();
}

void ReplicaTable::failed(Replica &replica, Instant now)
{
    if (replica.avoidUntil > now) {
        return; // Requests that fail together are one failure.
    }
    const absl::Duration avoid =
        std::min(settings_.lastAvoid, settings_.firstAvoid * (1 << std::min(replica.failures, 6)));
    ++replica.failures;
    replica.avoidUntil = now + avoid;
}

void ReplicaTable::refused(Replica &replica, const std::optional<ReplicaLoad> &load, Instant now)
{
    const bool full = !load || load->waiting > 0 || load->running >= load->slots;
    replica.avoidUntil = std::max(replica.avoidUntil, now + (full ? settings_.fullAvoid : settings_.loadingAvoid));
}

} // namespace currantlug::serving
