// Wanted count from a sliding window of demand, and its distribution over zones.
#include "scheduling/capacityplan.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace currantlug::scheduling {

CapacityChange CapacityPlan::update(const ServiceCapacity &capacity, double itemsWanted, Instant now)
{
    base_ = 0;
    for (const auto &[zone, replicas] : capacity.zones) {
        base_ += replicas.base;
    }
    wanted_ = std::max(wanted_, base_);
    const double replicasForDemand =
        capacity.slotsPerReplica > 0 ? itemsWanted * settings_.slotsPerItem / capacity.slotsPerReplica : 0;
    const bool exceeds = settings_.maxMultiple > 1 && base_ > 0 && replicasForDemand >= base_ * settings_.minExcess;
    if (exceeds && !active_) {
        active_ = true;
        activeSince_ = now;
    }
    if (!active_) {
        return CapacityChange::None;
    }
    const int bound = static_cast<int>(base_ * settings_.maxMultiple);
    const int sample = exceeds ? static_cast<int>(std::min<double>(bound, std::ceil(replicasForDemand))) : base_;
    const CapacityChange change = updateWanted(replicasForDemand, sample, now);
    // A former controller's replicas may still boot: they are kept until demand was observed for long enough.
    const bool observed = now - activeSince_ >= settings_.lowerAfter;
    if (!observed) {
        adoptServing(capacity);
    }
    placeExtra(capacity, observed);
    return change;
}

CapacityChange CapacityPlan::updateWanted(double replicasForDemand, int sample, Instant now)
{
    samples_.push_back({now, sample});
    while (now - samples_.front().at > settings_.lowerAfter) {
        samples_.pop_front();
    }
    int lowestRecent = sample;
    int highest = sample;
    for (const Sample &earlier : samples_) {
        highest = std::max(highest, earlier.wanted);
        if (now - earlier.at <= settings_.raiseAfter) {
            lowestRecent = std::min(lowestRecent, earlier.wanted);
        }
    }
    const int step = std::max(1, static_cast<int>(base_ * settings_.minStep));
    if (now - activeSince_ >= settings_.raiseAfter && lowestRecent >= wanted_ + step) {
        wanted_ = lowestRecent;
        return replicasForDemand > sample ? CapacityChange::MultipleReached : CapacityChange::DemandHigher;
    }
    const bool lower = highest < wanted_ && (highest <= wanted_ - step || highest == base_);
    if (now - activeSince_ >= settings_.lowerAfter && lower) {
        wanted_ = highest;
        return CapacityChange::DemandLower;
    }
    return CapacityChange::None;
}

void CapacityPlan::adoptServing(const ServiceCapacity &capacity)
{
    for (const auto &[zone, replicas] : capacity.zones) {
        int &extra = extraByZone_[zone];
        extra = std::max(extra, std::min(replicas.serving, capacity.maxPerZone) - replicas.base);
    }
}

void CapacityPlan::placeExtra(const ServiceCapacity &capacity, bool mayRemove)
{
    std::erase_if(extraByZone_, [&capacity](const auto &entry) { return !capacity.zones.contains(entry.first); });
    int left = wanted_ - base_;
    int availableZones = 0;
    for (const auto &[zone, replicas] : capacity.zones) {
        int &extra = extraByZone_[zone];
        if (!replicas.available) {
            // What the zone couldn't start is placed elsewhere.
            extra = std::min(extra, std::max(0, replicas.serving - replicas.base));
        }
        availableZones += replicas.available ? 1 : 0;
        left -= extra;
    }
    const int fairShare = availableZones == 0 ? 0 : (wanted_ - base_ + availableZones - 1) / availableZones;
    for (; left > 0; --left) {
        const std::string *best = nullptr;
        std::tuple<double, int> bestRank;
        for (const auto &[zone, replicas] : capacity.zones) {
            const int extra = extraByZone_[zone];
            const std::tuple<double, int> rank{replicas.price, extra};
            if (replicas.available && extra < fairShare + 2 && replicas.base + extra < capacity.maxPerZone
                && (best == nullptr || rank < bestRank)) {
                best = &zone;
                bestRank = rank;
            }
        }
        if (best == nullptr) {
            return;
        }
        ++extraByZone_[*best];
    }
    for (; mayRemove && left < 0; ++left) {
        const auto dearest =
            std::max_element(extraByZone_.begin(), extraByZone_.end(), [&capacity](const auto &a, const auto &b) {
                return std::tuple(a.second > 0, capacity.zones.at(a.first).price, a.second)
                    < std::tuple(b.second > 0, capacity.zones.at(b.first).price, b.second);
            });
        --dearest->second;
    }
}

} // namespace currantlug::scheduling
