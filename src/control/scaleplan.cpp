// Orders replacements for missing replicas.
#include "control/scaleplan.h"

#include <algorithm>

namespace currantlug::control {

namespace {

int countIn(const ScalePlan::Counts &counts, const ScalePlan::ServiceZone &serviceZone)
{
    const auto found = counts.find(serviceZone);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

bool ScalePlan::hasCapacity(const ServiceZone &serviceZone, Instant now) const
{
    const auto unavailable = unavailableUntil_.find(serviceZone);
    return unavailable == unavailableUntil_.end() || unavailable->second <= now;
}

int ScalePlan::totalOf(const ServiceZone &serviceZone) const
{
    return countIn(desiredCounts_, serviceZone) + countIn(extraCounts_, serviceZone);
}

bool ScalePlan::isBaseMissing(const std::string &service, const Counts &serving) const
{
    return std::any_of(desiredCounts_.begin(), desiredCounts_.end(), [&](const auto &entry) {
        return entry.first.first == service && countIn(serving, entry.first) < entry.second;
    });
}

bool ScalePlan::isOrderedRecently(const ServiceZone &serviceZone, Instant now) const
{
    const auto lastOrder = orderedAt_.find(serviceZone);
    return lastOrder != orderedAt_.end() && now - lastOrder->second < settings_.repeatInterval;
}

std::optional<ScaleOrder> ScalePlan::surplusOrder(const ServiceZone &serviceZone, const Counts &serving,
                                                  int maxReplicas, Instant now)
{
    const int total = totalOf(serviceZone);
    if (!extraCounts_.contains(serviceZone) || countIn(serving, serviceZone) <= total || total > maxReplicas
        || isBaseMissing(serviceZone.first, serving)) {
        surplusSince_.erase(serviceZone);
        return std::nullopt;
    }
    const Instant since = surplusSince_.try_emplace(serviceZone, now).first->second;
    if (now - since < settings_.surplusFor || isOrderedRecently(serviceZone, now)) {
        return std::nullopt;
    }
    orderedAt_[serviceZone] = now;
    orderedCounts_[serviceZone] = total;
    return ScaleOrder{serviceZone.first, serviceZone.second, total};
}

std::vector<ScaleOrder> ScalePlan::dueOrders(const Counts &serving, const std::map<std::string, int> &maxReplicas,
                                             Instant now, const std::set<std::string> &evacuatedZones)
{
    std::vector<ScaleOrder> orders;
    for (const auto &[serviceZone, desiredCount] : desiredCounts_) {
        if (evacuatedZones.contains(serviceZone.second)) {
            missingSince_.erase(serviceZone);
            continue;
        }
        const int servingCount = countIn(serving, serviceZone);
        const int total = totalOf(serviceZone);
        const auto limit = maxReplicas.find(serviceZone.first);
        if (servingCount >= total) {
            missingSince_.erase(serviceZone);
            if (limit != maxReplicas.end()) {
                if (const auto order = surplusOrder(serviceZone, serving, limit->second, now)) {
                    orders.push_back(*order);
                }
            }
            continue;
        }
        surplusSince_.erase(serviceZone);
        const Instant since = missingSince_.try_emplace(serviceZone, now).first->second;
        if (now - since < settings_.missingFor || isOrderedRecently(serviceZone, now) || limit == maxReplicas.end()) {
            continue;
        }
        const bool baseMissing = servingCount < desiredCount;
        if (hasCapacity(serviceZone, now)) {
            int ordered = std::min(total, limit->second);
            if (extraCounts_.contains(serviceZone)) {
                // A lower total than before would drain replicas that stand in for missing ones.
                if (isBaseMissing(serviceZone.first, serving)) {
                    ordered = std::max(ordered, countIn(orderedCounts_, serviceZone));
                }
                orderedCounts_[serviceZone] = ordered;
            }
            orderedAt_[serviceZone] = now;
            orders.push_back({serviceZone.first, serviceZone.second, ordered});
            continue;
        }
        if (!baseMissing) {
            continue;
        }
        orderedAt_[serviceZone] = now;
        // The zone has no capacity: order the missing replicas in another zone of the service meanwhile.
        for (const auto &[other, otherDesiredCount] : desiredCounts_) {
            const int desired = std::max(countIn(serving, other), totalOf(other)) + desiredCount - servingCount;
            if (other.first == serviceZone.first && other != serviceZone && !evacuatedZones.contains(other.second)
                && hasCapacity(other, now) && desired <= limit->second) {
                if (extraCounts_.contains(other)) {
                    orderedCounts_[other] = desired;
                }
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
        orderedCounts_.erase(serviceZone);
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
