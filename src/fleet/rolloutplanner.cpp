#include "fleet/rolloutplanner.h"

#include <algorithm>
#include <cmath>

namespace currantlug::fleet {

RolloutPlanner::RolloutPlanner(RolloutPlannerSettings settings)
    : settings_(settings)
{
}

void RolloutPlanner::closeSwaps(const std::vector<ReplicaVersion> &replicas, Instant now)
{
    absl::flat_hash_map<EndpointId, Swap> kept;
    for (const ReplicaVersion &replica : replicas) {
        const auto found = swaps_.find(replica.endpoint);
        if (found == swaps_.end() || replica.version >= found->second.target) {
            continue;
        }
        if (found->second.startedAt && *found->second.startedAt + settings_.swapTimeout <= now) {
            failed(replica.endpoint, now);
        }
        kept.emplace(replica.endpoint, swaps_.at(replica.endpoint));
    }
    // Replicas that left the pool are forgotten with their swaps.
    swaps_ = std::move(kept);
}

void RolloutPlanner::failed(const EndpointId &endpoint, Instant now)
{
    const auto found = swaps_.find(endpoint);
    if (found == swaps_.end() || !found->second.startedAt) {
        return;
    }
    Swap &swap = found->second;
    swap.startedAt.reset();
    const int doublings = static_cast<int>(std::min(swap.failures++, 10U));
    swap.notBefore = now + std::min(settings_.maxRetryAfter, std::ldexp(1.0, doublings) * settings_.retryAfter);
}

std::size_t RolloutPlanner::swapping() const
{
    return static_cast<std::size_t>(std::count_if(
        swaps_.begin(), swaps_.end(), [](const auto &entry) { return entry.second.startedAt.has_value(); }));
}

std::vector<EndpointId> RolloutPlanner::next(std::uint64_t target, const std::vector<ReplicaVersion> &replicas,
                                             Instant now)
{
    closeSwaps(replicas, now);
    std::vector<ReplicaVersion> waiting;
    for (const ReplicaVersion &replica : replicas) {
        const auto found = swaps_.find(replica.endpoint);
        const bool ready = found == swaps_.end() || (!found->second.startedAt && found->second.notBefore <= now);
        if (replica.version < target && ready) {
            waiting.push_back(replica);
        }
    }
    std::sort(waiting.begin(), waiting.end(), [](const ReplicaVersion &a, const ReplicaVersion &b) {
        return std::pair(a.version, a.endpoint.str()) < std::pair(b.version, b.endpoint.str());
    });
    const auto share = static_cast<std::size_t>(settings_.maxSwappingShare * static_cast<double>(replicas.size()));
    const std::size_t allowed = std::max<std::size_t>(share, 1);
    std::vector<EndpointId> started;
    std::size_t running = swapping();
    for (const ReplicaVersion &replica : waiting) {
        if (running >= allowed || (settings_.storeBytesPerSecond > 0 && storeFreeAt_ > now)) {
            break;
        }
        if (settings_.storeBytesPerSecond > 0) {
            storeFreeAt_ =
                std::max(storeFreeAt_, now) + absl::Seconds(settings_.weightBytes / settings_.storeBytesPerSecond);
        }
        Swap &swap = swaps_[replica.endpoint];
        swap.startedAt = now;
        swap.target = target;
        ++running;
        started.push_back(replica.endpoint);
    }
    return started;
}

} // namespace currantlug::fleet
