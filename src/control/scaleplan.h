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
    absl::Duration repeat = absl::Seconds(6); ///< Booting takes seconds; an order isn't repeated sooner.
    absl::Duration dryFor = absl::Seconds(5); ///< A zone that had none is not asked sooner.
};

class ScalePlan
{
public:
    using Place = std::pair<std::string, std::string>; ///< Service and availability zone.
    using Counts = std::map<Place, int>;

    explicit ScalePlan(ScalePlanSettings settings = {})
        : settings_(settings)
    {
    }

    /// Number of replicas that each place should have.
    void setTarget(Counts target) { target_ = std::move(target); }
    const Counts &target() const { return target_; }
    /// Orders to send now, given the replicas that serve. `maximum` by service, per zone.
    std::vector<ScaleOrder> due(const Counts &serving, const std::map<std::string, int> &maximum, Instant now);
    void replied(const ScaleOrder &order, DutyReply reply, Instant now);

private:
    ScalePlanSettings settings_;
    Counts target_;
    std::map<Place, Instant> missingSince_;
    std::map<Place, Instant> orderedAt_;
    std::map<Place, Instant> dryUntil_;
};

Json toJson(const ScalePlan::Counts &counts);
ScalePlan::Counts parseScaleCounts(const Json &value);

} // namespace currantlug::control

#endif
