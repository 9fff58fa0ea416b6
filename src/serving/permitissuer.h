// Permits to send requests to a replica that limits how many requests a second it takes from all nodes together, and
// the choice of the node that issues them.
#ifndef CURRANTLUG_SERVING_PERMITISSUER_H
#define CURRANTLUG_SERVING_PERMITISSUER_H

#include "core/instant.h"
#include "serving/replica.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::serving {

struct PermitRequest
{
    ReplicaIncarnation replica;
    std::string availabilityZone; ///< Of the replica.
    double requestsPerSecond = 0; ///< Limit in force for the node that asks.
    std::optional<double> statedLimit; ///< The limit as the replica stated it; none if it is only cold.
    Instant limitStatedAt;
    std::optional<double> coldLimit; ///< Set if the replica is cold for the node that asks.
    /// The requests of this time may be sent at once to an idle replica; none for the default of the ledger.
    std::optional<absl::Duration> burstTime;
    int count = 1; ///< Number of permits wanted.
    absl::Duration maxWait; ///< Permits that become usable later than this are of no use.
};

/// `replica`: one that limits its request rate or is cold.
PermitRequest permitRequestFor(const Replica &replica, int count, absl::Duration maxWait, Instant now);

struct PermitReply
{
    /// Time from now until each permit issued becomes usable, in increasing order. May be fewer than requested.
    std::vector<absl::Duration> delays;
    /// Time until the next permit after these is expected.
    absl::Duration nextIn;
};

/// Obtains permits from the node that issues those of the replica. The callback is called once, possibly before the
/// call returns.
using PermitSource = std::function<void(const PermitRequest &, std::function<void(const PermitReply &)>)>;

/// A node that can issue permits.
struct PermitIssuer
{
    std::string node;
    std::string availabilityZone;
};

/// Returns the node that issues the permits of a replica: one of those in the replica's availability zone, or one of
/// all if there is none. Nodes with the same view choose the same one. Empty if there are no candidates.
std::string choosePermitIssuer(std::string_view replica, std::string_view availabilityZone,
                               const std::vector<PermitIssuer> &candidates);

} // namespace currantlug::serving

#endif
