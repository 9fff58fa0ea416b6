// Requests for permits, and the choice of the node that issues them.
#include "serving/permitissuer.h"

#include "core/hash.h"

#include <utility>

namespace currantlug::serving {

PermitRequest permitRequestFor(const Replica &replica, int count, absl::Duration maxWait, Instant now)
{
    PermitRequest request;
    request.replica = incarnationOf(replica.entry);
    request.availabilityZone = replica.entry.availabilityZone;
    request.requestsPerSecond = replica.limitAt(now).value();
    request.statedLimit = replica.requestLimit;
    if (replica.isCold(now)) {
        request.coldLimit = replica.coldLimit;
    }
    request.limitStatedAt = replica.limitStatedAt;
    request.count = count;
    request.maxWait = maxWait;
    return request;
}

std::string choosePermitIssuer(std::string_view replica, std::string_view availabilityZone,
                               const std::vector<PermitIssuer> &candidates)
{
    const PermitIssuer *best = nullptr;
    std::pair<bool, std::uint64_t> bestRank;
    for (const PermitIssuer &candidate : candidates) {
        const std::pair<bool, std::uint64_t> rank{candidate.availabilityZone == availabilityZone,
                                                  rendezvousWeight(replica, candidate.node)};
        if (best == nullptr || rank > bestRank) {
            best = &candidate;
            bestRank = rank;
        }
    }
    return best == nullptr ? std::string() : best->node;
}

} // namespace currantlug::serving
