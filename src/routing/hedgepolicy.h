// Decides when a sample that holds up its group is started a second time elsewhere.
#ifndef CURRANTLUG_ROUTING_HEDGEPOLICY_H
#define CURRANTLUG_ROUTING_HEDGEPOLICY_H

#include "routing/workitem.h"

#include <absl/container/flat_hash_map.h>

#include <deque>

namespace currantlug::routing {

struct HedgeSettings
{
    bool enabled = true;
    double slowerThanMedian = 3; ///< Hedges a stream whose token rate is this many times below the median.
    absl::Duration silence = absl::Seconds(3); ///< Hedges a stream without a token for this long.
    double maxShare = 0.05; ///< Hedges running at once, as a share of the running attempts (at least one).
    std::uint32_t maxGroupRemaining = 2; ///< Only members that hold up an otherwise complete group.
};

/// Progress of one running attempt.
struct AttemptProgress
{
    Instant startedAt;
    Instant lastTokenAt;
    double tokens = 0;
    bool started = false;
};

/// Keeps the median token rate of recent finished streams. Not thread-safe.
class HedgePolicy
{
public:
    explicit HedgePolicy(HedgeSettings settings = {});

    void observeRate(double tokensPerSecond);
    /// Whether a second attempt should start now. Never for non-repeatable work or work without a group.
    bool shouldHedge(const WorkItem &item, std::uint32_t groupRemaining, const AttemptProgress &progress,
                     std::size_t runningAttempts, std::size_t runningHedges, Instant now) const;
    double medianRate() const { return median_; }

private:
    HedgeSettings settings_;
    std::deque<double> recent_; ///< At most 128 rates.
    double median_ = 0;
};

} // namespace currantlug::routing

#endif
