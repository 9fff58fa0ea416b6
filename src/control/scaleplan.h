// Decides how many replicas to order in which availability zone. Makes no calls and reads no clock.
//
// Replicas may crash permanently, or all replicas of an availability zone may be reclaimed at once, and the platform
// may have no capacity left in that zone. Missing replicas are ordered again in their zone, or in another zone of the
// service if theirs has no capacity.
#ifndef CURRANTLUG_CONTROL_SCALEPLAN_H
#define CURRANTLUG_CONTROL_SCALEPLAN_H

#include "control/dutyport.h"
#include "core/instant.h"
#include "core/json.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace currantlug::control {

struct ScalePlanSettings
{
    absl::Duration missingFor = absl::Seconds(1); ///< Replicas must be missing for this long before they are ordered.
    absl::Duration repeatInterval = absl::Seconds(6); ///< Between two orders for the same zone: booting takes seconds.
    absl::Duration unavailableFor = absl::Seconds(5); ///< How long a zone without capacity gets no further orders.
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

    /// Sets the desired replica count of each service in each zone.
    void setDesiredCounts(Counts desiredCounts) { desiredCounts_ = std::move(desiredCounts); }
    const Counts &desiredCounts() const { return desiredCounts_; }
    /// Returns the orders to send now, given the counts of replicas that serve. `maxReplicas` is the limit per zone, by
    /// service.
    /// `evacuatedZones`: nothing is ordered there, and what is missing there isn't replaced elsewhere.
    std::vector<ScaleOrder> dueOrders(const Counts &serving, const std::map<std::string, int> &maxReplicas, Instant now,
                                      const std::set<std::string> &evacuatedZones = {});
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
