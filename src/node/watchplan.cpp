// Ranking of the nodes of an availability zone.
#include "node/watchplan.h"

#include "core/hash.h"

#include <algorithm>

namespace currantlug::node {

WatchPlan planWatch(const WatchPlanSettings &settings, const std::string &self, std::vector<std::string> zoneNodes)
{
    if (std::find(zoneNodes.begin(), zoneNodes.end(), self) == zoneNodes.end()) {
        zoneNodes.push_back(self);
    }
    const auto weight = [](const std::string &node) { return rendezvousWeight("replica registry", node); };
    std::sort(zoneNodes.begin(), zoneNodes.end(),
              [&weight](const std::string &a, const std::string &b) { return weight(a) > weight(b); });
    WatchPlan plan;
    plan.rank = static_cast<std::size_t>(std::find(zoneNodes.begin(), zoneNodes.end(), self) - zoneNodes.begin());
    plan.watches = zoneNodes.size() <= settings.smallZone || plan.rank < settings.watchersPerZone;
    if (!plan.watches) {
        plan.sources.assign(zoneNodes.begin(),
                            zoneNodes.begin() + static_cast<std::ptrdiff_t>(settings.watchersPerZone));
    }
    return plan;
}

} // namespace currantlug::node
