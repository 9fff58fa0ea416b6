// Decides how many replicas a pool should have in each availability zone, and how many of them may be cheap.
#ifndef CURRANTLUG_FLEET_REPLICAPLANNER_H
#define CURRANTLUG_FLEET_REPLICAPLANNER_H

#include "core/ids.h"
#include "core/instant.h"

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace currantlug::fleet {

/// An availability zone in which the pool may have replicas.
struct ZoneSupply
{
    ZoneId zone;
    std::uint32_t lasting = 0; ///< Replicas there now, started or starting; not leaving and not known to be failed.
    std::uint32_t cheap = 0;
    std::uint32_t starting = 0; ///< Of both together: ordered and not serving yet.
    bool cheapAvailable =
        true; ///< False after an eviction or a refused order, until the platform offers cheap ones again.
};

/// What a pool has to serve, and within which bounds.
struct PoolDemand
{
    double arrivingTokensPerSecond = 0; ///< Smoothed.
    double outstandingTokens = 0; ///< Queued and running, expected.
    absl::Duration untilDeadline = absl::InfiniteDuration(); ///< Time in which the outstanding tokens are due.
    double repeatableShare = 1; ///< Of the tokens, 0 to 1. The rest needs lasting replicas.
    double replicaTokensPerSecond = 1; ///< What one replica serves at a batch size with acceptable stream rate.
    std::uint32_t minimum = 1;
    std::uint32_t maximum = 1;
    double spendPerHour = 0; ///< 0 is no bound.
    double lastingPrice = 1; ///< Per replica and hour.
    double cheapPrice = 1;
    std::vector<ZoneSupply> zones; ///< In order of preference for single replicas.
};

/// Desired totals for a zone.
struct ZonePlan
{
    ZoneId zone;
    std::uint32_t lasting = 0;
    std::uint32_t cheap = 0;

    friend bool operator==(const ZonePlan &, const ZonePlan &) = default;
};

struct ReplicaPlannerSettings
{
    double targetUse = 0.65; ///< Planned load of the replicas; the rest absorbs bursts and single failures.
    double lastingShare = 0.2; ///< Of the needed replicas, at least this share is lasting: all cheap ones can vanish.
    absl::Duration scaleDownAfter = absl::Minutes(3); ///< Fewer replicas only when none more were wanted this long.
    bool cheap = true; ///< Switch: off orders lasting replicas only.
};

/// Nothing is retired while replicas are starting, so that a change of the mix does not lower the capacity meanwhile.
/// One per pool. Its only state is the recent wanted totals. Not thread-safe.
class ReplicaPlanner
{
public:
    explicit ReplicaPlanner(ReplicaPlannerSettings settings = {});

    /// Desired replicas per zone, in the order of `demand.zones`.
    std::vector<ZonePlan> plan(const PoolDemand &demand, Instant now);

private:
    std::uint32_t smoothedTotal(std::uint32_t wanted, Instant now);

    ReplicaPlannerSettings settings_;
    std::deque<std::pair<Instant, std::uint32_t>> recent_; ///< Decreasing totals, oldest and largest first.
};

} // namespace currantlug::fleet

#endif
