// Availability zones whose replicas must get no requests, as of a revision of the object store.
//
// A view always holds all evacuated zones, so that of two views the one with the newer revision replaces the other one
// and no record of single changes is needed.
#ifndef CURRANTLUG_SERVING_EVACUATIONS_H
#define CURRANTLUG_SERVING_EVACUATIONS_H

#include "core/instant.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace currantlug::serving {

struct EvacuationView
{
    std::uint64_t revision = 0; ///< Of the store; the view has all changes up to it. 0 if nothing is known.
    std::set<std::string> zones; ///< All evacuated zones.
    /// Zones whose evacuation ended recently, with the revision at which it was seen to have ended. A node that never
    /// saw a short evacuation learns of its end from them.
    std::map<std::string, std::uint64_t> ended;

    bool operator==(const EvacuationView &) const = default;
};

struct EvacuationChange
{
    std::string zone;
    bool evacuated = false; ///< False if the evacuation ended.

    bool operator==(const EvacuationChange &) const = default;
};

class Evacuations
{
public:
    /// Other nodes are told of an end for this time: several times the period of contact.
    static constexpr absl::Duration EndedTtl = absl::Seconds(10);

    /// Replaces the known view by a newer one, and returns what changed. An older view has no effect.
    std::vector<EvacuationChange> merge(const EvacuationView &view, Instant now);
    const EvacuationView &view() const { return view_; }
    bool isKnown() const { return view_.revision > 0; }
    /// Forgets ends that all nodes in contact have heard of.
    void expire(Instant now);

private:
    EvacuationView view_;
    std::map<std::string, Instant> endSeenAt_; ///< By zone, for those of view_.ended.
};

} // namespace currantlug::serving

#endif
