// Replica and roll-out planners: bounds, spread of cheap replicas, and retries of failing swaps.
#include "fleet/replicaplanner.h"
#include "fleet/rolloutplanner.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace currantlug;
using namespace currantlug::fleet;

namespace {

Instant at(double seconds)
{
    return Instant(absl::Seconds(seconds));
}

PoolDemand demand(double tokensPerSecond)
{
    PoolDemand pool;
    pool.arrivingTokensPerSecond = tokensPerSecond;
    pool.replicaTokensPerSecond = 100;
    pool.minimum = 1;
    pool.maximum = 20;
    pool.cheapPrice = 0.3;
    pool.zones = {{.zone = ZoneId("a")}, {.zone = ZoneId("b")}, {.zone = ZoneId("c")}};
    return pool;
}

std::pair<std::uint32_t, std::uint32_t> totals(const std::vector<ZonePlan> &plans)
{
    std::pair<std::uint32_t, std::uint32_t> sum;
    for (const ZonePlan &plan : plans) {
        sum.first += plan.lasting;
        sum.second += plan.cheap;
    }
    return sum;
}

} // namespace

TEST_CASE("losing the cheap replicas of any one zone leaves enough", "[fleet]")
{
    // Guards against a plan that an eviction of a whole availability zone turns into a missed step.
    std::mt19937 random(5);
    for (int trial = 0; trial < 300; ++trial) {
        const double rate = std::uniform_real_distribution<double>(0, 1200)(random);
        const auto plans = ReplicaPlanner().plan(demand(rate), at(0));
        const auto [lasting, cheap] = totals(plans);
        std::uint32_t largest = 0;
        for (const ZonePlan &plan : plans) {
            largest = std::max(largest, plan.cheap);
        }
        CAPTURE(rate, lasting, cheap);
        CHECK(lasting + cheap - largest >= rate / 100);
        CHECK(lasting >= 1);
    }
}

TEST_CASE("work that must not be repeated gets lasting replicas only", "[fleet]")
{
    PoolDemand pool = demand(600);
    pool.repeatableShare = 0;
    CHECK(totals(ReplicaPlanner({.targetUse = 0.75}).plan(pool, at(0))) == std::pair(8U, 0U));
}

TEST_CASE("a plan stays within minimum, maximum and spend", "[fleet]")
{
    PoolDemand pool = demand(5000);
    CHECK(totals(ReplicaPlanner().plan(pool, at(0))).first + totals(ReplicaPlanner().plan(pool, at(0))).second == 20);
    pool.spendPerHour = 5;
    const auto [lasting, cheap] = totals(ReplicaPlanner().plan(pool, at(0)));
    CHECK(lasting + 0.3 * cheap <= 5);
    pool = demand(0);
    pool.minimum = 2;
    CHECK(totals(ReplicaPlanner().plan(pool, at(0))).first + totals(ReplicaPlanner().plan(pool, at(0))).second == 2);
}

TEST_CASE("a step deadline raises the plan, and a short lull does not lower it", "[fleet]")
{
    // Guards against replicas stopped between two steps and missing from the next one.
    ReplicaPlanner planner({.targetUse = 0.75});
    PoolDemand pool = demand(100);
    pool.outstandingTokens = 45000;
    pool.untilDeadline = absl::Seconds(60);
    const auto sum = [](const auto &plans) { return totals(plans).first + totals(plans).second; };
    CHECK(sum(planner.plan(pool, at(0))) == 10);
    pool.outstandingTokens = 0;
    CHECK(sum(planner.plan(pool, at(60))) == 10);
    CHECK(sum(planner.plan(pool, at(181))) == 2);
}

TEST_CASE("nothing is retired while replacements start", "[fleet]")
{
    // Guards against a dip in capacity whenever the mix of lasting and cheap replicas changes.
    PoolDemand pool = demand(300);
    pool.zones[0].lasting = 9;
    pool.zones[1].starting = 1;
    CHECK(ReplicaPlanner().plan(pool, at(0))[0].lasting == 9);
    pool.zones[1].starting = 0;
    CHECK(ReplicaPlanner().plan(pool, at(0))[0].lasting < 9);
}

TEST_CASE("work that cannot be repeated keeps two lasting replicas in different zones", "[fleet]")
{
    // Guards against losing every such call while the only lasting replica restarts.
    PoolDemand pool = demand(100);
    pool.repeatableShare = 0.9;
    const auto plans = ReplicaPlanner().plan(pool, at(0));
    CHECK(plans[0].lasting == 1);
    CHECK(plans[1].lasting == 1);
}

TEST_CASE("a zone without cheap offers gets none", "[fleet]")
{
    PoolDemand pool = demand(600);
    pool.zones[1].cheapAvailable = false;
    const auto plans = ReplicaPlanner().plan(pool, at(0));
    CHECK(plans[1].cheap == 0);
    CHECK(plans[0].cheap > 0);
}

TEST_CASE("at most a quarter of a pool swaps at once and all get there", "[fleet]")
{
    // Guards against a roll-out that takes a pool out of service.
    RolloutPlanner planner({.weightBytes = 10, .storeBytesPerSecond = 20});
    std::vector<ReplicaVersion> replicas;
    for (int i = 0; i < 13; ++i) {
        replicas.push_back({EndpointId("e" + std::to_string(i)), 1});
    }
    std::vector<std::pair<Instant, EndpointId>> running;
    int started = 0;
    for (double second = 0; second < 60; second += 0.25) {
        for (const EndpointId &id : planner.next(2, replicas, at(second))) {
            running.emplace_back(at(second + 4), id);
            ++started;
        }
        CHECK(running.size() <= 3);
        CHECK(started <= 1 + second * 2);
        std::erase_if(running, [&](const auto &entry) {
            const bool done = entry.first <= at(second);
            for (ReplicaVersion &replica : replicas) {
                replica.version = done && replica.endpoint == entry.second ? 2 : replica.version;
            }
            return done;
        });
    }
    CHECK(std::all_of(replicas.begin(), replicas.end(), [](const auto &replica) { return replica.version == 2; }));
    CHECK(started == 13);
    CHECK(planner.swapping() == 0);
}

TEST_CASE("a failing swap is retried later and does not hold up the others", "[fleet]")
{
    RolloutPlanner planner;
    std::vector<ReplicaVersion> replicas{{EndpointId("a"), 1}, {EndpointId("b"), 1}};
    CHECK(planner.next(2, replicas, at(0)) == std::vector{EndpointId("a")});
    planner.failed(EndpointId("a"), at(1));
    CHECK(planner.next(2, replicas, at(1)) == std::vector{EndpointId("b")});
    replicas[1].version = 2;
    CHECK(planner.next(2, replicas, at(5)).empty());
    CHECK(planner.next(2, replicas, at(11)) == std::vector{EndpointId("a")});
    CHECK(planner.next(2, replicas, at(42)).empty()); // Timed out at 41 s: the next try is 20 s later.
    CHECK(planner.next(2, replicas, at(62)) == std::vector{EndpointId("a")});
}
