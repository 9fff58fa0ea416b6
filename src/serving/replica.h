// What is known of one replica of a service.
#ifndef CURRANTLUG_SERVING_REPLICA_H
#define CURRANTLUG_SERVING_REPLICA_H

#include "core/instant.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace currantlug::serving {

/// A replica as it registered itself.
struct ReplicaEntry
{
    std::string id;
    std::string service;
    std::string address; ///< "IP:PORT"
    std::string availabilityZone;
    int slots = 1;
    bool draining = false;
    bool spot = false; ///< May be reclaimed at short notice.
    std::int64_t startedAtMs = 0; ///< Start of this incarnation, Unix time. An id may be used again by a later one.
    std::map<std::string, std::uint64_t> weightVersions; ///< By model.
};

/// Load as the replica itself stated it with an answer.
struct ReplicaLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

struct Replica
{
    ReplicaEntry entry;
    int inFlight = 0; ///< Requests of this node.
    int failures = 0; ///< In a row.
    Instant backoffUntil; ///< Set after a failure or while it is full.
    Instant removeAt = Instant(absl::InfiniteDuration()); ///< Removed from the list at this time unless it returns.
    absl::Duration eventGap; ///< Smoothed time between two events of a stream; zero before the first.
    Instant lastEventAt; ///< When eventGap last took in a new event.
};

} // namespace currantlug::serving

#endif
