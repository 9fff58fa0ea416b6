// Choice of the node that issues the permits of a replica.
#include "serving/permitissuer.h"

#include "core/hash.h"

#include <utility>

namespace currantlug::serving {

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
