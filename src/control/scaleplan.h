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
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace currantlug::control {

struct ScalePlanSettings
{
    absl::Duration missingFor = absl::Seconds(1); ///< Replicas must be missing for this long before they are ordered.
    absl::Duration repeatInterval = absl::Seconds(6); ///< Between two orders for the same zone: booting takes seconds.
    /// Replicas beyond the wanted count must serve for this long before they are drained.
    absl::Duration surplusFor = absl::Seconds(3);
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
    /// Sets the replicas to order beyond the desired counts. Only zones with an entry here, which may be 0, are ever
    /// ordered to drain replicas.
    void setExtraCounts(Counts extraCounts) { extraCounts_ = std::move(extraCounts); }
    /// False while the zone has answered that it has no capacity.
    bool hasCapacity(const ServiceZone &serviceZone, Instant now) const;
    /// Returns the orders to send now, given the counts of replicas that serve. `maxReplicas` is the limit per zone, by
    /// service.
    /// `evacuatedZones`: nothing is ordered there, and what is missing there isn't replaced elsewhere.
    std::vector<ScaleOrder> dueOrders(const Counts &serving, const std::map<std::string, int> &maxReplicas, Instant now,
                                      const std::set<std::string> &evacuatedZones = {});
    void onReply(const ScaleOrder &order, DutyReply reply, Instant now);

private:
    /// Desired count and extra replicas of the zone.
    int totalOf(const ServiceZone &serviceZone) const;
    bool isBaseMissing(const std::string &service, const Counts &serving) const;
    bool isOrderedRecently(const ServiceZone &serviceZone, Instant now) const;
    std::optional<ScaleOrder> surplusOrder(const ServiceZone &serviceZone, const Counts &serving, int maxReplicas,
                                           Instant now);

    ScalePlanSettings settings_;
    Counts desiredCounts_;
    Counts extraCounts_;
    Counts orderedCounts_; ///< Total of the last order that may have been accepted, for zones in extraCounts_.
    std::map<ServiceZone, Instant> surplusSince_;
    std::map<ServiceZone, Instant> missingSince_;
    std::map<ServiceZone, Instant> orderedAt_;
    std::map<ServiceZone, Instant> unavailableUntil_;
};

Json toJson(const ScalePlan::Counts &counts);
ScalePlan::Counts parseScaleCounts(const Json &value);

} // namespace currantlug::control

#endif
