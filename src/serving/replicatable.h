// The replicas known to this node and the choice among them.
//
// Load this answers: services with a few replicas of a few slots each, some of them dark, slow or full without a sign
// in the registry. Choices use this node's own calls in flight, recent failures and measured event gaps; the registry
// only says which replicas exist.
#ifndef CURRANTLUG_SERVING_REPLICATABLE_H
#define CURRANTLUG_SERVING_REPLICATABLE_H

#include "serving/replica.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::serving {

struct ReplicaTableSettings
{
    std::string availabilityZone; ///< Of this node.
    std::string region;
    std::map<std::string, std::string> regionOfZone;
    /// A registry that was away may have dropped entries of live replicas; they return within two seconds.
    absl::Duration removalGrace = absl::Milliseconds(2200);
    absl::Duration initialBackoff = absl::Milliseconds(300); ///< After a failure; doubles with each in a row.
    absl::Duration maxBackoff = absl::Seconds(3);
    absl::Duration eventGapTtl =
        absl::Seconds(3); ///< A measured speed is forgotten without news, so that it is tried again.
    absl::Duration fullBackoff = absl::Milliseconds(60); ///< After a refusal for want of room.
    absl::Duration loadingBackoff =
        absl::Milliseconds(250); ///< After a refusal with room left: weights are being loaded.
};

class ReplicaTable
{
public:
    explicit ReplicaTable(ReplicaTableSettings settings)
        : settings_(std::move(settings))
    {
    }

    void update(ReplicaEntry entry);
    /// `registryUnstable`: the registry has just been away, so the entry may return.
    void remove(const std::string &id, bool registryUnstable, Instant now);
    /// Drops removed replicas that didn't return in time.
    void expire(Instant now);

    Replica *find(const std::string &id);
    const std::map<std::string, Replica> &all() const { return replicas_; }

    /// The best replica of a service for a plain request: not draining, not in `tried`, least loaded, near. Null if
    /// there is none. Replicas that failed recently come last.
    Replica *chooseForRequest(std::string_view service, const std::set<std::string> &tried, Instant now);

    struct ItemRequirements
    {
        std::string service;
        std::string model;
        std::uint64_t minVersion = 0;
        std::uint64_t exactVersion = 0; ///< Not 0: only this one.
        std::string preferred; ///< Replica that has the group's prompt; may be empty.
        const std::map<std::string, std::string> *plan = nullptr; ///< Model by replica, from the leader.
    };
    /// The best replica with a free slot for an item of a job; null if all are taken.
    Replica *chooseForItem(const ItemRequirements &requirements, const std::set<std::string> &excluded, Instant now);
    /// Smallest smoothed event gap of the replicas that could run the need; zero if none is known.
    absl::Duration shortestEventGap(const ItemRequirements &requirements) const;

    void recordSuccess(Replica &replica);
    void recordFailure(Replica &replica, Instant now);
    /// The replica refused a request without running it.
    void recordRefusal(Replica &replica, const std::optional<ReplicaLoad> &load, Instant now);

private:
    int zoneDistance(const Replica &replica) const;
    bool canRun(const Replica &replica, const ItemRequirements &requirements) const;

    ReplicaTableSettings settings_;
    std::map<std::string, Replica> replicas_;
};

} // namespace currantlug::serving

#endif
