// Decides which nodes watch the registry of replicas in the object store, from which nodes the others take it, and how
// long watch calls wait.
//
// Load: replicas change their entries whenever they load weights, so each watch of the registry makes about one call
// a second. In an availability zone with many nodes only some of them watch; the calls then don't grow with the fleet.
// All nodes of a zone rank each other in the same way, so a lost watcher is replaced without any agreement: two views
// that differ for a while only cause an additional watch.
#ifndef CURRANTLUG_NODE_WATCHPLAN_H
#define CURRANTLUG_NODE_WATCHPLAN_H

#include "objects/objectport.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace currantlug::node {

struct WatchPlanSettings
{
    std::size_t watchersPerZone = 2; ///< The second one serves the zone while the first one fails.
    /// In a zone with at most this many nodes all of them watch.
    std::size_t smallZone = 5;
    /// A node without an answer from any source for this time watches the store itself.
    absl::Duration silenceLimit = absl::Milliseconds(1200);
    /// Added to silenceLimit for each rank, so that the nodes of a zone don't all begin to watch at once.
    absl::Duration silenceStagger = absl::Milliseconds(60);
};

struct WatchPlan
{
    bool watches = true; ///< This node watches the store.
    std::vector<std::string> sources; ///< Nodes to take the registry from, best first. Empty if `watches`.
    std::size_t rank = 0; ///< Of this node in its zone, from 0.

    /// How long a node that doesn't watch waits for an answer before it watches the store itself.
    absl::Duration patience(const WatchPlanSettings &settings) const
    {
        return settings.silenceLimit + settings.silenceStagger * static_cast<double>(rank);
    }
};

/// Wait of a watch call after which, even if the store forgets the call, the response to the next one comes within
/// `ageLimit`, and a node that follows is up to date within MaxRecoveryTime after an outage of the store.
absl::Duration boundedWatchWait(absl::Duration ageLimit);

/// Wait of a watch call of the configuration at a node that follows: its sources tell it of changes as well.
inline constexpr absl::Duration FollowerWatchWait = absl::Seconds(15);

/// From the end of an outage of the store until all nodes, those that follow included, have its contents.
inline constexpr absl::Duration MaxRecoveryTime = absl::Milliseconds(3500);

/// Plans for the node `self`. `zoneNodes` are the nodes of its zone that are in contact, aren't stopping and reach the
/// object store; `self` is added if it is missing.
WatchPlan planWatch(const WatchPlanSettings &settings, const std::string &self, std::vector<std::string> zoneNodes);

} // namespace currantlug::node

#endif
