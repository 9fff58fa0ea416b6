// How many replicas to order where. No network, no clock of its own.
//
// Load this answers: replicas that crash for good or are reclaimed a whole availability zone at a time, where the
// platform may have none left. Missing replicas are ordered again in their zone, or elsewhere if none are to be had.
#ifndef CURRANTLUG_CONTROL_SCALEPLAN_H
#define CURRANTLUG_CONTROL_SCALEPLAN_H

#include "control/dutyport.h"
#include "core/instant.h"
#include "core/json.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace currantlug::control {

struct ScalePlanSettings
{
    absl::Duration missingFor = absl::Seconds(1); ///< Before missing replicas are ordered.
    absl::Duration repeatInterval = absl::Seconds(6); ///< Booting takes seconds; an order isn't repeated sooner.
    absl::Duration unavailableFor = absl::Seconds(5); ///< A zone that had none is not asked sooner.
};

class ScalePlan
{
public:
    using ServiceZone = std::pair<std::string, std::string>; ///< Service and availability zone.
    using Counts = std::map<ServiceZone, int>;

    explicit ScalePlan(ScalePlanSettings settings = {})
        : settings_(settings)
    {
    }

    /// Number of replicas that each place should have.
    void setDesiredCounts(Counts desiredCounts) { desiredCounts_ = std::move(desiredCounts); }
    const Counts &desiredCounts() const { return desiredCounts_; }
    /// Orders to send now, given the replicas that serve. `maximum` by service, per zone.
    std::vector<ScaleOrder> dueOrders(const Counts &serving, const std::map<std::string, int> &maxReplicas,
                                      Instant now);
    void onReply(const ScaleOrder &order, DutyReply reply, Instant now);

private:
    ScalePlanSettings settings_;
    Counts desiredCounts_;
    std::map<ServiceZone, Instant> missingSince_;
    std::map<ServiceZone, Instant> orderedAt_;
    std::map<ServiceZone, Instant> unavailableUntil_;
};

Json toJson(const ScalePlan::Counts &counts);
ScalePlan::Counts parseScaleCounts(const Json &value);

} // namespace currantlug::control

#endif
