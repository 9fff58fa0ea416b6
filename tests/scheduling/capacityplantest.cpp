// Replicas of a service beyond its base count, by demand.
#include "scheduling/capacityplan.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::scheduling;

namespace {

Instant at(double seconds)
{
    return Instant(absl::Seconds(1000 + seconds));
}

/// Three zones with 4 replicas of 8 slots each, of which z1 is the dearest.
ServiceCapacity threeZones()
{
    return {{{"z1", {4, 4, 3}}, {"z2", {4, 4, 1}}, {"z3", {4, 4, 2}}}, 8, 16};
}

void run(CapacityPlan &plan, const ServiceCapacity &capacity, double items, double from, double until)
{
    for (double now = from; now < until; now += 0.5) {
        plan.update(capacity, items, at(now));
    }
}

} // namespace

// Guards against orders on quiet services, and for a single large step.
TEST_CASE("a service whose items find slots, or one large step, gets no further replicas")
{
    CapacityPlan quiet;
    run(quiet, threeZones(), 50, 0, 60);
    CHECK_FALSE(quiet.active());
    CHECK(quiet.wanted() == 12);
    CHECK(quiet.extraByZone().empty());
    CapacityPlan burst;
    run(burst, threeZones(), 40, 0, 12);
    run(burst, threeZones(), 100, 12, 20);
    run(burst, threeZones(), 40, 20, 60);
    CHECK(burst.wanted() == 12);
}

// Guards against a plan that drains replicas although it may order none: a zone with an entry is ordered to drain.
TEST_CASE("a plan that may order no replicas stays inactive")
{
    CapacityPlanSettings settings;
    settings.maxMultiple = 1;
    CapacityPlan off(settings);
    run(off, threeZones(), 1000, 0, 60);
    CHECK_FALSE(off.active());
    CHECK(off.extraByZone().empty());
    CHECK(off.wanted() == 12);
}

// Guards against a bill and loads of weights without bound, against zones beyond their limit, and against all further
// replicas in one zone, which is lost at once.
TEST_CASE("lasting demand is met up to the multiple and the limit of a zone, cheapest zones first")
{
    CapacityPlan plan;
    run(plan, threeZones(), 1000, 0, 15);
    CHECK(plan.wanted() == 18);
    CHECK(plan.extraByZone() == CapacityPlan::ExtraByZone{{"z1", 0}, {"z2", 4}, {"z3", 2}});
    ServiceCapacity limited = threeZones();
    limited.maxPerZone = 5;
    CapacityPlan bounded;
    run(bounded, limited, 1000, 0, 15);
    CHECK(bounded.extraByZone() == CapacityPlan::ExtraByZone{{"z1", 1}, {"z2", 1}, {"z3", 1}});
}

// Guards against waiting for a zone that can't start replicas, and against moving them back and forth.
TEST_CASE("what a zone can't start is placed in other zones and stays there")
{
    CapacityPlan plan;
    ServiceCapacity capacity = threeZones();
    run(plan, capacity, 1000, 0, 15);
    capacity.zones["z2"].available = false;
    run(plan, capacity, 1000, 15, 20);
    const CapacityPlan::ExtraByZone moved = plan.extraByZone();
    CHECK(moved == CapacityPlan::ExtraByZone{{"z1", 1}, {"z2", 0}, {"z3", 5}});
    capacity.zones["z2"].available = true;
    run(plan, capacity, 1000, 20, 25);
    CHECK(plan.extraByZone() == moved);
}

// Guards against replicas that are drained between two steps, and against ones that stay after the trainers have ended.
TEST_CASE("replicas are given up only after demand was lower for a while, never below the base")
{
    CapacityPlan plan;
    run(plan, threeZones(), 1000, 0, 30);
    run(plan, threeZones(), 0, 30, 45);
    run(plan, threeZones(), 1000, 45, 46);
    run(plan, threeZones(), 0, 46, 65);
    CHECK(plan.wanted() == 18);
    run(plan, threeZones(), 0, 65, 70);
    CHECK(plan.wanted() == 12);
    CHECK(plan.extraByZone() == CapacityPlan::ExtraByZone{{"z1", 0}, {"z2", 0}, {"z3", 0}});
}

// Guards against a new controller that drains what an earlier one ordered, and against replicas that it never gives up.
TEST_CASE("a new controller keeps what serves until it has seen demand")
{
    CapacityPlan plan;
    ServiceCapacity capacity = threeZones();
    capacity.zones["z2"].serving = 7;
    run(plan, capacity, 60, 0, 10);
    CHECK(plan.extraByZone().at("z2") == 3);
    capacity.zones["z3"].serving = 6; // Ordered by the earlier controller.
    run(plan, capacity, 60, 10, 19);
    CHECK(plan.extraByZone() == CapacityPlan::ExtraByZone{{"z1", 0}, {"z2", 3}, {"z3", 2}});
    run(plan, capacity, 60, 19, 25);
    CHECK(plan.extraByZone() == CapacityPlan::ExtraByZone{{"z1", 0}, {"z2", 3}, {"z3", 0}});
}
