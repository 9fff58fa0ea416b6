// Orders replacements for missing replicas.
#include "control/scaleplan.h"

#include <algorithm>

namespace currantlug::control {

std::vector<ScaleOrder> ScalePlan::dueOrders(const Counts &serving, const std::map<std::string, int> &maxReplicas,
                                             Instant now, const std::set<std::string> &evacuatedZones)
{
    std::vector<ScaleOrder> orders;
    for (const auto &[serviceZone, desiredCount] : desiredCounts_) {
        const auto found = serving.find(serviceZone);
        const int servingCount = found == serving.end() ? 0 : found->second;
        if (servingCount >= desiredCount || evacuatedZones.contains(serviceZone.second)) {
            missingSince_.erase(serviceZone);
            continue;
        }
        const Instant since = missingSince_.try_emplace(serviceZone, now).first->second;
        const auto lastOrder = orderedAt_.find(serviceZone);
        const bool orderedRecently =
            lastOrder != orderedAt_.end() && now - lastOrder->second < settings_.repeatInterval;
        if (now - since < settings_.missingFor || orderedRecently) {
            continue;
        }
        const auto limit = maxReplicas.find(serviceZone.first);
        if (limit == maxReplicas.end()) {
            continue;
        }
        orderedAt_[serviceZone] = now;
        const auto unavailable = unavailableUntil_.find(serviceZone);
        if (unavailable == unavailableUntil_.end() || unavailable->second <= now) {
            orders.push_back({serviceZone.first, serviceZone.second, std::min(desiredCount, limit->second)});
            continue;
        }
        // The zone has no capacity: order the missing replicas in another zone of the service meanwhile.
        for (const auto &[other, otherDesiredCount] : desiredCounts_) {
            const auto otherUnavailable = unavailableUntil_.find(other);
            const auto otherFound = serving.find(other);
            const int otherServingCount = otherFound == serving.end() ? 0 : otherFound->second;
            const int desired = std::max(otherServingCount, otherDesiredCount) + desiredCount - servingCount;
            if (other.first == serviceZone.first && other != serviceZone && !evacuatedZones.contains(other.second)
                && (otherUnavailable == unavailableUntil_.end() || otherUnavailable->second <= now)
                && desired <= limit->second) {
                orders.push_back({other.first, other.second, desired});
                break;
            }
        }
    }
    return orders;
}

void ScalePlan::onReply(const ScaleOrder &order, DutyReply reply, Instant now)
{
    const ServiceZone serviceZone{order.service, order.availabilityZone};
    if (reply == DutyReply::Unavailable) {
        unavailableUntil_[serviceZone] = now + settings_.unavailableFor;
        orderedAt_.erase(serviceZone);
    } else if (reply != DutyReply::Done) {
        orderedAt_.erase(serviceZone);
        missingSince_[serviceZone] = now;
    }
}

Json toJson(const ScalePlan::Counts &counts)
{
    Json list = Json::array();
    for (const auto &[serviceZone, count] : counts) {
        list.push_back({serviceZone.first, serviceZone.second, count});
    }
    return list;
}

ScalePlan::Counts parseScaleCounts(const Json &value)
{
    ScalePlan::Counts counts;
    if (!value.is_array()) {
        return counts;
    }
    for (const Json &entry : value) {
        if (entry.is_array() && entry.size() == 3 && entry[0].is_string() && entry[1].is_string()
            && entry[2].is_number_integer()) {
            counts[{entry[0].get<std::string>(), entry[1].get<std::string>()}] = entry[2].get<int>();
        }
    }
    return counts;
}

} // namespace currantlug::control
