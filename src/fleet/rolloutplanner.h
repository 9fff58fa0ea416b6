// Decides which replicas of a pool load a new weight version next.
#ifndef CURRANTLUG_FLEET_ROLLOUTPLANNER_H
#define CURRANTLUG_FLEET_ROLLOUTPLANNER_H

#include "core/ids.h"
#include "core/instant.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace currantlug::fleet {

/// A replica as its last load report shows it.
struct ReplicaVersion
{
    EndpointId endpoint;
    std::uint64_t version = 0;
};

struct RolloutPlannerSettings
{
    double maxSwappingShare = 0.25; ///< Of the pool at once; at least one replica.
    double weightBytes = 0; ///< Fetched from the weight store per swap.
    double storeBytesPerSecond = 0; ///< This pool's share of the weight store's rate; 0 is no bound.
    absl::Duration swapTimeout = absl::Seconds(30); ///< A swap not reported done by then counts as failed.
    absl::Duration retryAfter =
        absl::Seconds(10); ///< Doubles with each failure of the same replica, up to maxRetryAfter.
    absl::Duration maxRetryAfter = absl::Minutes(5);
};

/// One per pool. Not thread-safe.
class RolloutPlanner
{
public:
    explicit RolloutPlanner(RolloutPlannerSettings settings = {});

    /// Replicas to order to `target` now, oldest versions first. Swaps that the replicas' versions show as done are
    /// closed, and those that took too long are counted as failed.
    std::vector<EndpointId> next(std::uint64_t target, const std::vector<ReplicaVersion> &replicas, Instant now);
    /// The replica rejected the order or reported a failed swap.
    void failed(const EndpointId &endpoint, Instant now);
    std::size_t swapping() const;

private:
    struct Swap
    {
        std::optional<Instant> startedAt; ///< Set while the swap runs.
        std::uint64_t target = 0;
        std::uint32_t failures = 0;
        Instant notBefore;
    };

    void closeSwaps(const std::vector<ReplicaVersion> &replicas, Instant now);

    RolloutPlannerSettings settings_;
    absl::flat_hash_map<EndpointId, Swap> swaps_;
    Instant storeFreeAt_; ///< When the bytes ordered so far have been fetched at the store's rate.
};

} // namespace currantlug::fleet

#endif
