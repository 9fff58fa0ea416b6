// Decides how many replicas a service gets beyond its base count, and in which availability zones.
//
// Load: trainers whose jobs have several times more items than the replicas have slots, all of which want a slot at
// once, while half of the replicas of a model load its newest version. Items then wait seconds for a slot.
#ifndef CURRANTLUG_SCHEDULING_CAPACITYPLAN_H
#define CURRANTLUG_SCHEDULING_CAPACITYPLAN_H

#include "core/enumnames.h"
#include "core/instant.h"

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <string>

namespace currantlug::scheduling {

struct CapacityPlanSettings
{
    /// Slots per item that wants to run: half of the replicas of a model load a version when a job arrives.
    double slotsPerItem = 2;
    /// The wanted count is at most this multiple of the base count, which bounds the bill and the loads of weights.
    double maxMultiple = 1.5;
    double minExcess = 1.1; ///< Demand counts only if it asks for this multiple of the base count.
    double minStep = 0.05; ///< Smallest change of the wanted count, of the base count; one replica at least.
    /// The wanted count rises if demand asked for more during all of this time. It is longer than two steps of a
    /// trainer take, so that a single large step has no effect.
    absl::Duration raiseAfter = absl::Seconds(9);
    absl::Duration lowerAfter = absl::Seconds(20); ///< The wanted count falls if demand asked for less all this time.
};

/// Replicas of a service in one availability zone.
struct ZoneCapacity
{
    int base = 0;
    int serving = 0;
    double price = 1; ///< Relative price of a replica.
    bool available = true; ///< Further replicas may be ordered in the zone.
};

struct ServiceCapacity
{
    std::map<std::string, ZoneCapacity> zones; ///< By availability zone.
    double slotsPerReplica = 0;
    int maxPerZone = 0;
};

/// Why the wanted count changed.
enum class CapacityChange {
    None,
    DemandHigher,
    MultipleReached, ///< Demand is higher than the bounded multiple allows.
    DemandLower,
};

/// Keeps the wanted count of one service.
class CapacityPlan
{
public:
    using ExtraByZone = std::map<std::string, int>;

    explicit CapacityPlan(CapacityPlanSettings settings = {})
        : settings_(settings)
    {
    }

    /// Updates the plan with the number of items that the jobs of all models want to run at once.
    CapacityChange update(const ServiceCapacity &capacity, double itemsWanted, Instant now);
    /// True once demand was seen that exceeds the base count. Until then the plan orders and drains nothing.
    bool active() const { return active_; }
    int base() const { return base_; }
    int wanted() const { return wanted_; } ///< Number of replicas in all zones, at least the base count.
    /// Replicas beyond the base count; has an entry for each zone while the plan is active.
    const ExtraByZone &extraByZone() const { return extraByZone_; }

private:
    struct Sample
    {
        Instant at;
        int wanted;
    };

    CapacityChange updateWanted(double replicasForDemand, int sample, Instant now);
    void adoptServing(const ServiceCapacity &capacity);
    void placeExtra(const ServiceCapacity &capacity, bool mayRemove);

    CapacityPlanSettings settings_;
    bool active_ = false;
    int base_ = 0;
    int wanted_ = 0;
    Instant activeSince_;
    std::deque<Sample> samples_; ///< Of the last `lowerAfter`.
    ExtraByZone extraByZone_;
};

} // namespace currantlug::scheduling

template<>
struct currantlug::EnumNames<currantlug::scheduling::CapacityChange>
{
    using CapacityChange = currantlug::scheduling::CapacityChange;
    static constexpr std::array<std::pair<CapacityChange, std::string_view>, 4> Table{{
        {CapacityChange::None, "none"},
        {CapacityChange::DemandHigher, "demand_higher"},
        {CapacityChange::MultipleReached, "multiple_reached"},
        {CapacityChange::DemandLower, "demand_lower"},
    }};
};

#endif
