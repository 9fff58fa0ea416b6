// Ranking of the nodes of an availability zone, and the wait of watch calls.
#include "node/watchplan.h"

#include "core/hash.h"

#include <algorithm>

namespace currantlug::node {

namespace {

// From the failure of a watch call that the store has forgotten to the response to the next call.
constexpr absl::Duration WatchRetryTime = absl::Milliseconds(400);
// Until a node that follows has polled a source and fetched what it lacks.
constexpr absl::Duration FollowTime = absl::Milliseconds(600);
// Below this the watches of a quiet fleet would make up most of its store calls.
constexpr absl::Duration MinWatchWait = absl::Milliseconds(500);

} // namespace

absl::Duration boundedWatchWait(absl::Duration ageLimit)
{
    const absl::Duration afterWait = objects::WatchReplyAllowance + WatchRetryTime;
    return std::max(MinWatchWait, std::min(ageLimit - afterWait, MaxRecoveryTime - afterWait - FollowTime));
}

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
