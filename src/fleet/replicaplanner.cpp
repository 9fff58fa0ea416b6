#include "fleet/replicaplanner.h"

#include <algorithm>
#include <cmath>

namespace currantlug::fleet {

namespace {

std::uint32_t replicasFor(double tokensPerSecond, double perReplica)
{
    return perReplica <= 0 ? 0 : static_cast<std::uint32_t>(std::ceil(tokensPerSecond / perReplica - 1e-9));
}

double neededRate(const PoolDemand &demand)
{
    const double seconds = absl::ToDoubleSeconds(demand.untilDeadline);
    // A deadline that is nearly reached cannot be met by any order, so it does not multiply the demand without bound.
    constexpr double MinSeconds = 10;
    const double due = std::isfinite(seconds) ? demand.outstandingTokens / std::max(seconds, MinSeconds) : 0;
    return std::max(demand.arrivingTokensPerSecond, due);
}

struct Mix
{
    std::uint32_t lasting = 0;
    std::uint32_t cheap = 0;
};

double priceOf(const Mix &mix, const PoolDemand &demand)
{
    return mix.lasting * demand.lastingPrice + mix.cheap * demand.cheapPrice;
}

/// The most cheap replicas of `total` so that losing those of one zone leaves `needed` replicas.
Mix mixFor(std::uint32_t total, std::uint32_t needed, std::uint32_t lastingFloor, std::uint32_t cheapZones)
{
    Mix mix{total, 0};
    while (cheapZones > 0 && mix.lasting > lastingFloor) {
        const std::uint32_t cheap = mix.cheap + 1;
        const std::uint32_t lost = (cheap + cheapZones - 1) / cheapZones;
        if (total - lost < std::min(needed, total)) {
            break;
        }
        mix = {total - cheap, cheap};
    }
    return mix;
}

/// Spreads `count` over the zones that are allowed, keeping existing replicas where the spread permits.
void spread(std::uint32_t count, const std::vector<bool> &allowed, const std::vector<std::uint32_t> &existing,
            std::vector<std::uint32_t> &out)
{
    for (; count > 0; --count) {
        std::size_t best = out.size();
        for (std::size_t zone = 0; zone < out.size(); ++zone) {
            if (!allowed[zone]) {
                continue;
            }
            const auto rank = [&](std::size_t z) { return std::pair(out[z], out[z] < existing[z] ? 0 : 1); };
            if (best == out.size() || rank(zone) < rank(best)) {
                best = zone;
            }
        }
        if (best == out.size()) {
            return;
        }
        ++out[best];
    }
}

} // namespace

ReplicaPlanner::ReplicaPlanner(ReplicaPlannerSettings settings)
    : settings_(settings)
{
}

std::uint32_t ReplicaPlanner::smoothedTotal(std::uint32_t wanted, Instant now)
{
    while (!recent_.empty() && recent_.back().second <= wanted) {
        recent_.pop_back();
    }
    recent_.emplace_back(now, wanted);
    while (recent_.front().first + settings_.scaleDownAfter < now) {
        recent_.pop_front();
    }
    return recent_.front().second;
}

std::vector<ZonePlan> ReplicaPlanner::plan(const PoolDemand &demand, Instant now)
{
    const double rate = neededRate(demand);
    const std::uint32_t needed = replicasFor(rate, demand.replicaTokensPerSecond);
    const std::uint32_t wanted = replicasFor(rate / settings_.targetUse, demand.replicaTokensPerSecond);
    std::uint32_t total =
        std::clamp(smoothedTotal(wanted, now), demand.minimum, std::max(demand.minimum, demand.maximum));
    const std::uint32_t cheapZones = settings_.cheap
        ? static_cast<std::uint32_t>(
            std::count_if(demand.zones.begin(), demand.zones.end(), [](const auto &z) { return z.cheapAvailable; }))
        : 0;
    std::uint32_t notRepeatable =
        replicasFor(rate * (1 - demand.repeatableShare) / settings_.targetUse, demand.replicaTokensPerSecond);
    if (demand.repeatableShare < 1) {
        // Calls that cannot be repeated have nowhere to go while their only lasting replica is down.
        notRepeatable = std::max(notRepeatable, 2U);
    }
    Mix mix;
    for (;; --total) {
        const auto floor = static_cast<std::uint32_t>(std::ceil(settings_.lastingShare * total));
        mix = mixFor(total, needed, std::max({notRepeatable, floor, 1U}), cheapZones);
        if (demand.spendPerHour <= 0 || priceOf(mix, demand) <= demand.spendPerHour || total == 0) {
            break;
        }
    }

    std::vector<std::uint32_t> lasting(demand.zones.size());
    std::vector<std::uint32_t> cheap(demand.zones.size());
    std::vector<std::uint32_t> haveLasting;
    std::vector<std::uint32_t> haveCheap;
    std::vector<bool> cheapAllowed;
    for (const ZoneSupply &zone : demand.zones) {
        haveLasting.push_back(zone.lasting);
        haveCheap.push_back(zone.cheap);
        cheapAllowed.push_back(zone.cheapAvailable);
    }
    spread(mix.lasting, std::vector<bool>(demand.zones.size(), true), haveLasting, lasting);
    spread(mix.cheap, cheapAllowed, haveCheap, cheap);
    const bool anyStarting =
        std::any_of(demand.zones.begin(), demand.zones.end(), [](const auto &z) { return z.starting > 0; });
    std::vector<ZonePlan> plans;
    for (std::size_t zone = 0; zone < demand.zones.size(); ++zone) {
        plans.push_back({demand.zones[zone].zone,
                         anyStarting ? std::max(lasting[zone], haveLasting[zone]) : lasting[zone],
                         anyStarting ? std::max(cheap[zone], haveCheap[zone]) : cheap[zone]});
    }
    return plans;
}

} // namespace currantlug::fleet
