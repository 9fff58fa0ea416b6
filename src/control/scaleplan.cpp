// Replacing missing replicas.
#include "control/scaleplan.h"

#include <algorithm>

namespace currantlug::control {

std::vector<ScaleOrder> ScalePlan::due(const Counts &serving, const std::map<std::string, int> &maximum, Instant now)
{
    std::vector<ScaleOrder> orders;
    for (const auto &[place, wanted] : target_) {
        const auto found = serving.find(place);
        const int have = found == serving.end() ? 0 : found->second;
        if (have >= wanted) {
            missingSince_.erase(place);
            continue;
        }
        const Instant since = missingSince_.try_emplace(place, now).first->second;
        const auto ordered = orderedAt_.find(place);
        const bool recent = ordered != orderedAt_.end() && now - ordered->second < settings_.repeat;
        if (now - since < settings_.missingFor || recent) {
            continue;
        }
        const auto limit = maximum.find(place.first);
        if (limit == maximum.end()) {
            continue;
        }
        orderedAt_[place] = now;
        const auto dry = dryUntil_.find(place);
        if (dry == dryUntil_.end() || dry->second <= now) {
            orders.push_back({place.first, place.second, std::min(wanted, limit->second)});
            continue;
        }
        // Another zone of the service takes the missing ones for the time being.
        for (const auto &[other, otherWanted] : target_) {
            const auto otherDry = dryUntil_.find(other);
            const auto otherFound = serving.find(other);
            const int otherHave = otherFound == serving.end() ? 0 : otherFound->second;
            const int desired = std::max(otherHave, otherWanted) + wanted - have;
            if (other.first == place.first && other != place && (otherDry == dryUntil_.end() || otherDry->second <= now)
                && desired <= limit->second) {
                orders.push_back({other.first, other.second, desired});
                break;
            }
        }
    }
    return orders;
}

void ScalePlan::replied(const ScaleOrder &order, DutyReply reply, Instant now)
{
    const Place place{order.service, order.availabilityZone};
    if (reply == DutyReply::Unavailable) {
        dryUntil_[place] = now + settings_.dryFor;
        orderedAt_.erase(place);
    } else if (reply != DutyReply::Done) {
        orderedAt_.erase(place);
        missingSince_[place] = now;
    }
}

Json toJson(const ScalePlan::Counts &counts)
{
    Json list = Json::array();
    for (const auto &[place, count] : counts) {
        list.push_back({place.first, place.second, count});
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
