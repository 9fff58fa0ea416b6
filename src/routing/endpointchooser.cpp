#include "routing/endpointchooser.h"

#include <algorithm>
#include <cmath>

namespace currantlug::routing {

namespace {

// Weights are in requests: a value of 1 outweighs one more request in the endpoint's batch.
constexpr double PrefixWeight = 6;
constexpr double OtherZoneCost = 0.05;
constexpr double OtherRegionCost = 1;
constexpr double VersionCost = 2;
constexpr double EvictionCost = 2;
constexpr double SuspectCost = 16;
// A measured speed counts at most this many times, so that one odd measurement does not shut an endpoint out.
constexpr double MaxSlowdown = 8;

bool servesRole(const std::string &role)
{
    return role != "standby" && role != "prefill" && role != "draining";
}

double medianRate(const PoolId &pool, const EndpointTable &table)
{
    std::vector<double> rates;
    for (const EndpointIndex index : table.inPool(pool)) {
        if (table.at(index).tokensPerSecond > 0) {
            rates.push_back(table.at(index).tokensPerSecond);
        }
    }
    if (rates.empty()) {
        return 0;
    }
    const auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    return *middle;
}

std::uint64_t newestVersion(const PoolId &pool, const EndpointTable &table)
{
    std::uint64_t newest = 0;
    for (const EndpointIndex index : table.inPool(pool)) {
        if (table.at(index).report) {
            newest = std::max(newest, table.at(index).report->weightVersion);
        }
    }
    return newest;
}

} // namespace

EndpointChooser::EndpointChooser(ChooserSettings settings)
    : settings_(std::move(settings))
{
    setLiveDaemons(settings_.liveDaemons);
}

bool EndpointChooser::mayRun(const WorkItem &item, const EndpointState &endpoint)
{
    if (endpoint.info.cheap && (!item.repeatable || item.needsLasting)) {
        return false;
    }
    if (endpoint.report && !servesRole(endpoint.report->role)) {
        return false;
    }
    return item.minimumWeightVersion == 0
        || (endpoint.report && endpoint.report->weightVersion >= item.minimumWeightVersion);
}

std::optional<EndpointIndex> EndpointChooser::choose(const WorkItem &item, const EndpointTable &table,
                                                     const PrefixIndex &prefixes,
                                                     const std::vector<EndpointId> &excluded, Instant now)
{
    std::vector<EndpointIndex> candidates;
    for (const EndpointIndex index : table.inPool(item.pool)) {
        const EndpointState &endpoint = table.at(index);
        if (table.available(index, now) && mayRun(item, endpoint) && hasRoom(index, table, now)
            && std::find(excluded.begin(), excluded.end(), endpoint.info.id) == excluded.end()) {
            candidates.push_back(index);
        }
    }
    dropSuspects(item, candidates, table, now);
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (settings_.policy == ChoicePolicy::RoundRobin) {
        return candidates[turn_++ % candidates.size()];
    }
    const bool scored = settings_.policy == ChoicePolicy::Scored;
    const PoolView view{scored ? medianRate(item.pool, table) : 0, scored ? newestVersion(item.pool, table) : 0};
    EndpointIndex best = candidates.front();
    double bestScore = INFINITY;
    // Equal endpoints are taken in turn, or all daemons would pick the first one.
    const std::size_t first = turn_++ % candidates.size();
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const EndpointIndex index = candidates[(first + step) % candidates.size()];
        const double value = scored ? score(item, index, table, prefixes, view, now)
                                    : table.at(index).ownRequests + static_cast<double>(table.othersRequests(index));
        if (value < bestScore) {
            bestScore = value;
            best = index;
        }
    }
    return best;
}

bool EndpointChooser::isSuspect(const EndpointState &endpoint, Instant now) const
{
    return endpoint.consecutiveFailures > 0
        || (endpoint.report && endpoint.reportMeasuredAt + settings_.reportOverdue < now);
}

void EndpointChooser::dropSuspects(const WorkItem &item, std::vector<EndpointIndex> &candidates,
                                   const EndpointTable &table, Instant now) const
{
    if (settings_.policy != ChoicePolicy::Scored || !settings_.suspicion) {
        return;
    }
    const std::vector<EndpointIndex> &rows = table.inPool(item.pool);
    const bool anyHealthy = std::any_of(rows.begin(), rows.end(), [&](EndpointIndex index) {
        return table.available(index, now) && mayRun(item, table.at(index)) && !isSuspect(table.at(index), now);
    });
    if (!anyHealthy) {
        // With every endpoint suspect the fault is rather here, and holding work back would make an outage of it.
        return;
    }
    std::erase_if(candidates, [&](EndpointIndex index) {
        // One request at a time probes a suspect. A lost non-repeatable request cannot be repaired, so it rather waits.
        return isSuspect(table.at(index), now) && (table.at(index).ownRequests > 0 || !item.repeatable);
    });
}

bool EndpointChooser::anyRoom(const PoolId &pool, const EndpointTable &table, Instant now) const
{
    const std::vector<EndpointIndex> &rows = table.inPool(pool);
    return std::any_of(rows.begin(), rows.end(),
                       [&](EndpointIndex index) { return table.available(index, now) && hasRoom(index, table, now); });
}

bool EndpointChooser::hasRoom(EndpointIndex index, const EndpointTable &table, Instant now) const
{
    if (settings_.inFlightBudget == 0) {
        return true;
    }
    const std::uint32_t own = table.at(index).ownRequests;
    // The equal share is always allowed: otherwise the daemon that sees a free place first would hold all of them.
    const std::uint32_t share = (settings_.inFlightBudget + settings_.liveDaemons - 1) / settings_.liveDaemons;
    return own < share || own + othersLoad(index, table, now) < settings_.inFlightBudget;
}

double EndpointChooser::othersLoad(EndpointIndex index, const EndpointTable &table, Instant now) const
{
    const double others = table.othersRequests(index);
    if (!settings_.reportAgeing || others == 0) {
        return others;
    }
    const double age = std::max(0.0, absl::ToDoubleSeconds(now - table.at(index).reportMeasuredAt));
    return others * std::exp2(-age / absl::ToDoubleSeconds(settings_.reportHalfLife));
}

double EndpointChooser::score(const WorkItem &item, EndpointIndex index, const EndpointTable &table,
                              const PrefixIndex &prefixes, const PoolView &view, Instant now) const
{
    const EndpointState &endpoint = table.at(index);
    double cost = endpoint.ownRequests + othersLoad(index, table, now);
    if (settings_.measuredSpeed && endpoint.tokensPerSecond > 0) {
        // The load is compared with one more request, so that an idle slow endpoint is dearer than an idle fast one.
        cost = (cost + 1) * std::clamp(view.medianRate / endpoint.tokensPerSecond, 1.0, MaxSlowdown) - 1;
    }
    if (settings_.suspicion && isSuspect(endpoint, now)) {
        cost += SuspectCost;
    }
    if (settings_.prefixLocality && !item.promptBlocks.empty()) {
        const double cached = static_cast<double>(prefixes.cachedPrefix(index, item.promptBlocks))
            / static_cast<double>(item.promptBlocks.size());
        const double promptShare = 1 - (item.expectedTokens / expectedCost(item));
        cost -= PrefixWeight * cached * promptShare;
    }
    if (settings_.regionCost && endpoint.info.zone != settings_.ownZone) {
        cost += endpoint.info.region == settings_.ownRegion ? OtherZoneCost : OtherRegionCost;
    }
    if (settings_.versionPreference && item.step != 0 && endpoint.report) {
        cost += VersionCost * static_cast<double>(view.newestVersion - endpoint.report->weightVersion);
    }
    if (settings_.evictionRisk && endpoint.info.cheap) {
        // Work that a caller waits for loses most by an eviction; of a group, the last members do.
        cost += item.step == 0 || item.groupRemaining <= 2 ? EvictionCost : 0;
    }
    return cost;
}

} // namespace currantlug::routing
