// State that a node keeps about one replica of a service.
#ifndef CURRANTLUG_SERVING_REPLICA_H
#define CURRANTLUG_SERVING_REPLICA_H

#include "core/instant.h"

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace currantlug::serving {

/// Registration of a replica, as written by the replica itself.
struct ReplicaEntry
{
    std::string id;
    std::string service;
    std::string address; ///< "IP:PORT"
    std::string availabilityZone;
    int slots = 1;
    bool draining = false;
    bool spot = false; ///< May be reclaimed at short notice.
    std::int64_t startedAtMs = 0; ///< Start of this incarnation, Unix time. A later incarnation may reuse the id.
    std::map<std::string, std::uint64_t> weightVersions; ///< By model.
    std::optional<absl::Duration> coldLeft; ///< How much longer the replica is cold; none if it doesn't say.
};

/// Load that the replica reported with a response.
struct ReplicaLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// Time that work takes on the replica's machine at this moment, relative to the usual one. Others use the machine
    /// too, and the figure changes several times a second.
    double slowdown = 1;
};

/// Permission to send one request to a replica that limits its request rate.
struct Permit
{
    Instant usableAt;
    Instant expiresAt;
};

struct Replica
{
    ReplicaEntry entry;
    /// The replica itself has said that it leaves. The registration may say so later, or may be older.
    bool leaving = false;
    /// Requests a second that the replica takes from all nodes together, by its own word; none if it states no limit.
    std::optional<double> requestLimit;
    /// Time of the newest statement about the limit, also of one that lifted it.
    Instant limitStatedAt = Instant(-absl::InfiniteDuration());
    bool limitStatedHere = false; ///< That statement came in a response to this node.
    std::deque<Permit> permits; ///< Issued to this node and not used yet, by time.
    Instant nextPermitAt; ///< No further permit is expected before this time.
    bool permitWanted = false; ///< An item or a background call found no permit.
    bool permitRequested = false; ///< Permits for those are on their way.
    /// Requests a second that the replica takes from all nodes together while it is cold; 0 if its service never is.
    double coldLimit = 0;
    /// End of the cold state; infinite after a failure, until the replica has answered or registered again.
    Instant coldUntil = Instant(-absl::InfiniteDuration());
    Instant firstSeenAt; ///< Time at which this incarnation was first registered here.
    int inFlight = 0; ///< Requests that this node has in progress at the replica.
    int failures = 0; ///< Consecutive failures.
    Instant backoffUntil; ///< Set after a failure or a refusal; the replica is avoided until then.
    /// Removed from the table at this time unless it registers again.
    Instant removeAt = Instant(absl::InfiniteDuration());
    absl::Duration eventGap; ///< Smoothed time between two events of a stream; zero if not known.
    Instant lastEventAt; ///< Time of the last event that updated eventGap.
    absl::Duration lastGap; ///< Newest gap of any stream, not smoothed; zero if not known.
    Instant slowSince; ///< Begin of the slow gaps up to lastEventAt; meaningful while lastGap is slow.
    ReplicaLoad load; ///< As last reported by the replica; meaningful only shortly after loadAt.
    Instant loadAt = Instant(-absl::InfiniteDuration());

    /// True if neither the registration nor the replica itself says that it leaves.
    bool acceptsRequests() const { return !entry.draining && !leaving; }
    /// True while the replica ends if it gets more than a few requests a second.
    bool isCold(Instant now) const { return coldLimit > 0 && now < coldUntil; }
    /// Requests a second that may be sent to the replica now, by all nodes together; none if not limited.
    std::optional<double> limitAt(Instant now) const
    {
        return isCold(now) ? std::min(requestLimit.value_or(coldLimit), coldLimit) : requestLimit;
    }
};

/// Identifies one incarnation of a replica.
struct ReplicaIncarnation
{
    std::string id;
    std::string address; ///< "IP:PORT"
    std::int64_t startedAtMs = 0; ///< Unix time.

    bool operator==(const ReplicaIncarnation &) const = default;
};

inline ReplicaIncarnation incarnationOf(const ReplicaEntry &entry)
{
    return {entry.id, entry.address, entry.startedAtMs};
}

} // namespace currantlug::serving

#endif
