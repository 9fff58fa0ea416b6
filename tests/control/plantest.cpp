// The controller's plans (weight loads and replica orders) and its request counts.
#include "control/requestcounts.h"
#include "control/scaleplan.h"
#include "control/weightplan.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace currantlug;
using namespace currantlug::control;

namespace {

Instant at(double seconds)
{
    return Instant(absl::Seconds(1000 + seconds));
}

std::vector<serving::Replica> replicas(int count, const std::vector<std::string> &models)
{
    std::vector<serving::Replica> list(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        serving::ReplicaEntry &entry = list[static_cast<std::size_t>(i)].entry;
        entry.id = "r" + std::to_string(i);
        entry.service = "engine";
        entry.slots = 4;
        for (const std::string &model : models) {
            entry.weightVersions[model] = 1;
        }
    }
    return list;
}

std::vector<const serving::Replica *> pointers(const std::vector<serving::Replica> &list)
{
    std::vector<const serving::Replica *> result;
    for (const serving::Replica &replica : list) {
        result.push_back(&replica);
    }
    return result;
}

const std::vector<std::string> Models{"m0", "m1", "m2"};

} // namespace

// Guards against loads of every model's versions at every replica: each replica keeps one model, and the models are
// spread evenly.
TEST_CASE("replicas are spread evenly over the models and keep their model")
{
    WeightPlan plan;
    auto list = replicas(11, Models);
    plan.assign(pointers(list), Models);
    const auto before = plan.modelByReplica();
    std::map<std::string, int> count;
    for (const auto &[replica, model] : before) {
        ++count[model];
    }
    for (const std::string &model : Models) {
        CHECK(count[model] >= 3);
        CHECK(count[model] <= 4);
    }
    list.erase(list.begin());
    plan.assign(pointers(list), Models);
    for (const auto &[replica, model] : plan.modelByReplica()) {
        CHECK(before.at(replica) == model);
    }
}

// Guards against a plan that ignores the intended numbers, and against one that reassigns many replicas at once.
TEST_CASE("replicas are reassigned one at a time until the models have their intended numbers")
{
    WeightPlan plan;
    auto list = replicas(12, Models);
    plan.assign(pointers(list), Models);
    const scheduling::ReplicaCounts intended{{"m0", 2}, {"m1", 4}, {"m2", 6}};
    for (int call = 0; call < 2; ++call) {
        const auto before = plan.modelByReplica();
        plan.assign(pointers(list), Models, intended);
        int changed = 0;
        for (const auto &[replica, model] : plan.modelByReplica()) {
            changed += before.at(replica) == model ? 0 : 1;
        }
        CHECK(changed == 1);
    }
    const auto settled = plan.modelByReplica();
    plan.assign(pointers(list), Models, intended);
    CHECK(plan.modelByReplica() == settled);
    scheduling::ReplicaCounts counts;
    for (const auto &[replica, model] : settled) {
        ++counts[model];
    }
    CHECK(counts == intended);
}

// Guards against replicas that load when they should serve: the items of a step arrive just when its weight version is
// published. Replicas one version behind serve them first; those further behind can't, and load at once.
TEST_CASE("a replica one version behind loads after a delay, others load at once")
{
    WeightPlan plan;
    auto list = replicas(3, {"m0"});
    list[0].entry.weightVersions["m0"] = 2;
    list[1].entry.weightVersions["m0"] = 2;
    plan.assign(pointers(list), {"m0"});
    plan.onVersionPublished("m0", 3, at(0));
    const auto urgent = plan.dueOrders(pointers(list), SwapMode::Truncate, at(0.1));
    REQUIRE(urgent.size() == 1);
    CHECK(urgent[0].replica == "r2");
    CHECK(urgent[0].version == 3);
    plan.onReply(urgent[0], OrderReply::AlreadyDone, at(0.2));
    CHECK(plan.dueOrders(pointers(list), SwapMode::Truncate, at(0.3)).empty());
    CHECK(plan.dueOrders(pointers(list), SwapMode::Truncate, at(2)).size() == 1);
}

// Guards against a delayed order that takes effect after newer ones: each order states how many orders the replica must
// have accepted before.
TEST_CASE("after an unknown outcome the replica is queried before the next order")
{
    WeightPlan plan;
    auto list = replicas(1, {"m0"});
    plan.assign(pointers(list), {"m0"});
    plan.onVersionPublished("m0", 3, at(0));
    const auto first = plan.dueOrders(pointers(list), SwapMode::Truncate, at(0));
    REQUIRE(first.size() == 1);
    CHECK(first[0].expectedOrdersAccepted == 0);
    plan.onReply(first[0], OrderReply::Unknown, at(0.1));
    CHECK(plan.dueOrders(pointers(list), SwapMode::Truncate, at(1)).empty());
    REQUIRE(plan.replicasToQuery(at(1)) == std::vector<std::string>{"r0"});
    plan.onReport("r0", {{{"m0", 1}}, 5, false}, at(1));
    const auto again = plan.dueOrders(pointers(list), SwapMode::Truncate, at(1.1));
    REQUIRE(again.size() == 1);
    CHECK(again[0].expectedOrdersAccepted == 5);
}

// Guards against orders with the order count of a former incarnation, all of which the restarted replica refuses.
TEST_CASE("a restarted replica is expected to have accepted no orders")
{
    WeightPlan plan;
    auto list = replicas(1, {"m0"});
    plan.assign(pointers(list), {"m0"});
    plan.onVersionPublished("m0", 3, at(0));
    auto orders = plan.dueOrders(pointers(list), SwapMode::Truncate, at(0));
    plan.onReply(orders.at(0), OrderReply::Started, at(0));
    list[0].entry.startedAtMs = 77;
    orders = plan.dueOrders(pointers(list), SwapMode::Truncate, at(0.5));
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].expectedOrdersAccepted == 0);
}

// Guards against a reply to an order of an earlier process of the replica that ends the load of the present one, so
// that the replica is queried and ordered again while it loads.
TEST_CASE("a late reply to an earlier order doesn't change the load that follows it")
{
    for (const OrderReply late :
         {OrderReply::Started, OrderReply::AlreadyDone, OrderReply::Busy, OrderReply::Refused, OrderReply::Unknown}) {
        CAPTURE(nameOf(late));
        WeightPlan plan;
        auto list = replicas(1, {"m0"});
        plan.assign(pointers(list), {"m0"});
        plan.onVersionPublished("m0", 2, at(0));
        const auto first = plan.dueOrders(pointers(list), SwapMode::Truncate, at(2));
        REQUIRE(first.size() == 1);
        list[0].entry.startedAtMs = 1; // The replica's process has ended and is back.
        const auto second = plan.dueOrders(pointers(list), SwapMode::Truncate, at(6));
        REQUIRE(second.size() == 1);
        plan.onReply(first[0], late, at(6.1));
        CHECK(plan.isLoading("r0"));
        CHECK(plan.replicasToQuery(at(7)).empty());
        plan.onReply(second[0], OrderReply::Started, at(6.2));
        CHECK(plan.dueOrders(pointers(list), SwapMode::Truncate, at(6.3)).empty());
        CHECK(plan.replicasToQuery(at(9)) == std::vector<std::string>{"r0"});
    }
}

// Load: a training step begins when a version is published, with items for all replicas of its model, and may use the
// version before. Results are due after 7.5 s, and training takes 0.5 s, so that each model gets a version every 8 s. A
// load takes 0.9 s, longer while more than one in five replicas load. Guards against replicas that fall versions
// behind, since they can't run the items, and against loads in the midst of a step, which interrupt items.
TEST_CASE("half of a model's replicas run a new step at once and the others soon, without loads during the step")
{
    for (const int count : {9, 11, 35, 48, 62}) {
        CAPTURE(count);
        constexpr double VersionPeriod = 8;
        constexpr double LoadTime = 0.9;
        constexpr double Step = 0.1;
        constexpr int SettledVersions = 3; // The halves have formed then.
        const std::vector<std::string> models{"m0", "m1"};
        WeightPlan plan;
        auto list = replicas(count, models);
        std::map<std::string, std::pair<WeightOrder, double>> remaining; // Work left of each load, by replica.
        plan.assign(pointers(list), models);
        std::uint64_t version = 1;
        double published = -VersionPeriod;
        const auto usable = [&](const std::string &model) {
            return std::count_if(list.begin(), list.end(), [&](const serving::Replica &replica) {
                return plan.modelByReplica().at(replica.entry.id) == model && !remaining.contains(replica.entry.id)
                    && replica.entry.weightVersions.at(model) + 1 >= version;
            });
        };
        const auto replicasOf = [&](const std::string &model) {
            return std::count_if(plan.modelByReplica().begin(), plan.modelByReplica().end(),
                                 [&model](const auto &entry) { return entry.second == model; });
        };
        for (double now = 0; now < 80; now += Step) {
            if (now - published >= VersionPeriod) {
                published = now;
                ++version;
                for (const std::string &model : models) {
                    plan.onVersionPublished(model, version, at(now));
                }
            }
            const double loads = std::max<double>(1, static_cast<double>(remaining.size()));
            const double speed = std::min(1.0, std::max(2.0, count / 5.0) / loads);
            for (serving::Replica &replica : list) {
                const auto load = remaining.find(replica.entry.id);
                if (load != remaining.end() && (load->second.second -= Step * speed) <= 0) {
                    replica.entry.weightVersions[load->second.first.model] = load->second.first.version;
                    remaining.erase(load);
                }
            }
            for (const WeightOrder &order : plan.dueOrders(pointers(list), SwapMode::Truncate, at(now))) {
                plan.onReply(order, OrderReply::Started, at(now));
                remaining[order.replica] = {order, LoadTime};
            }
            for (const std::string &model : models) {
                CAPTURE(now, model, version);
                const double sincePublished = now - published;
                if (version > SettledVersions) {
                    // Rounded down: an odd number of replicas has no equal halves.
                    CHECK(usable(model) >= replicasOf(model) / 2);
                }
                // Two models with half of their replicas to load at one in five of all at a time: three rounds.
                if (version > SettledVersions && sincePublished > 4 * LoadTime) {
                    CHECK(usable(model) == replicasOf(model));
                }
            }
        }
    }
}

// Property: whatever the replies to orders are, all loads end and every replica has the latest version of its model.
TEST_CASE("all loads end under random replies")
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        WeightPlan plan;
        auto list = replicas(7, Models);
        std::map<std::string, std::uint64_t> accepted;
        std::map<std::string, std::pair<WeightOrder, double>> loading;
        for (const std::string &model : Models) {
            plan.onVersionPublished(model, 2 + random() % 3, at(0));
        }
        double now = 0;
        for (; now < 60; now += 0.1) {
            for (auto it = loading.begin(); it != loading.end();) {
                if (it->second.second > now) {
                    ++it;
                    continue;
                }
                for (serving::Replica &replica : list) {
                    if (replica.entry.id == it->first) {
                        replica.entry.weightVersions[it->second.first.model] = it->second.first.version;
                    }
                }
                it = loading.erase(it);
            }
            plan.assign(pointers(list), Models);
            const auto orders = plan.dueOrders(pointers(list), SwapMode::Truncate, at(now));
            for (const WeightOrder &order : orders) {
                const bool accepts =
                    !loading.contains(order.replica) && accepted[order.replica] == order.expectedOrdersAccepted;
                const unsigned roll = random() % 10;
                if (roll < 2) {
                    plan.onReply(order, OrderReply::Unknown, at(now));
                } else {
                    plan.onReply(order, accepts ? OrderReply::Started : OrderReply::Busy, at(now));
                }
                if (accepts && roll != 0) {
                    ++accepted[order.replica];
                    loading[order.replica] = {order, now + 0.9};
                }
            }
            for (const std::string &id : plan.replicasToQuery(at(now))) {
                ReplicaReport report;
                for (const serving::Replica &replica : list) {
                    if (replica.entry.id == id) {
                        report.weightVersions = replica.entry.weightVersions;
                    }
                }
                report.ordersAccepted = accepted[id];
                report.busy = loading.contains(id);
                plan.onReport(id, report, at(now));
            }
        }
        CHECK(plan.dueOrders(pointers(list), SwapMode::Truncate, at(now)).empty());
        CHECK(loading.empty());
    }
}

// Guards against lost replicas that are never replaced, and against orders repeated while replacements boot.
TEST_CASE("missing replicas are ordered once, and in another zone if theirs has no capacity")
{
    ScalePlan plan;
    plan.setDesiredCounts({{{"engine", "z1"}, 4}, {{"engine", "z2"}, 3}});
    const std::map<std::string, int> maxReplicas{{"engine", 8}};
    const ScalePlan::Counts full{{{"engine", "z1"}, 4}, {{"engine", "z2"}, 3}};
    const ScalePlan::Counts reduced{{{"engine", "z1"}, 2}, {{"engine", "z2"}, 3}};
    CHECK(plan.dueOrders(full, maxReplicas, at(0)).empty());
    CHECK(plan.dueOrders(reduced, maxReplicas, at(1)).empty());
    const auto orders = plan.dueOrders(reduced, maxReplicas, at(2.5));
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].availabilityZone == "z1");
    CHECK(orders[0].desired == 4);
    CHECK(plan.dueOrders(reduced, maxReplicas, at(3)).empty());
    plan.onReply(orders[0], DutyReply::Unavailable, at(3));
    const auto elsewhere = plan.dueOrders(reduced, maxReplicas, at(3.5));
    REQUIRE(elsewhere.size() == 1);
    CHECK(elsewhere[0].availabilityZone == "z2");
    CHECK(elsewhere[0].desired == 5);
    CHECK(parseScaleCounts(toJson(plan.desiredCounts())) == plan.desiredCounts());
}

// Guards against loads that all slow down since replicas were ordered for demand: the weight store doesn't grow with
// them.
TEST_CASE("the limit on concurrent loads doesn't rise with extra replicas")
{
    const auto loadsAtOnce = [](int count, std::optional<std::size_t> sizedFor) {
        WeightPlan plan;
        const auto list = replicas(count, {"m0"});
        plan.assign(pointers(list), {"m0"});
        plan.onVersionPublished("m0", 3, at(0));
        return plan.dueOrders(pointers(list), SwapMode::Truncate, at(0), sizedFor).size();
    };
    CHECK(loadsAtOnce(60, 45) == loadsAtOnce(45, std::nullopt));
    CHECK(loadsAtOnce(40, 45) == loadsAtOnce(40, std::nullopt));
}

// Guards against replicas that are drained while others are missing, against lost answers, and against a service
// without extra replicas that is ordered to drain any.
TEST_CASE("extra replicas are ordered with the total and drained only while none is missing")
{
    ScalePlan plan;
    plan.setDesiredCounts({{{"engine", "z1"}, 4}, {{"engine", "z2"}, 3}});
    const std::map<std::string, int> maxReplicas{{"engine", 8}};
    const auto serving = [](int z1, int z2) {
        return ScalePlan::Counts{{{"engine", "z1"}, z1}, {{"engine", "z2"}, z2}};
    };
    for (double now = 0; now < 20; now += 0.5) {
        CHECK(plan.dueOrders(serving(4, 6), maxReplicas, at(now)).empty());
    }
    plan.setExtraCounts({{{"engine", "z1"}, 0}, {{"engine", "z2"}, 3}});
    plan.dueOrders(serving(4, 3), maxReplicas, at(20));
    auto orders = plan.dueOrders(serving(4, 3), maxReplicas, at(21));
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].desired == 6);
    plan.onReply(orders[0], DutyReply::Unknown, at(21.1));
    orders = plan.dueOrders(serving(4, 3), maxReplicas, at(22.5));
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].desired == 6);
    // No capacity: extra replicas are not ordered elsewhere here, which is for the capacity plan.
    plan.onReply(orders[0], DutyReply::Unavailable, at(22.6));
    CHECK_FALSE(plan.hasCapacity({"engine", "z2"}, at(23)));
    CHECK(plan.dueOrders(serving(4, 3), maxReplicas, at(24)).empty());
    // z1 is reclaimed: z2 keeps its replicas until z1 is whole.
    plan.setExtraCounts({{{"engine", "z1"}, 0}, {{"engine", "z2"}, 0}});
    for (double now = 30; now < 40; now += 0.5) {
        for (const ScaleOrder &order : plan.dueOrders(serving(0, 6), maxReplicas, at(now))) {
            CHECK(order.availabilityZone == "z1");
            CHECK(order.desired == 4);
        }
    }
    CHECK(plan.dueOrders(serving(4, 6), maxReplicas, at(41)).empty());
    orders = plan.dueOrders(serving(4, 6), maxReplicas, at(44.5));
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].availabilityZone == "z2");
    CHECK(orders[0].desired == 3);
}

TEST_CASE("requests are counted in the window in which they began")
{
    RequestCounts counts(absl::Seconds(5));
    const absl::Time base = absl::FromUnixSeconds(1000000000);
    counts.add("w", base + absl::Milliseconds(4999));
    counts.add("w", base + absl::Seconds(5));
    counts.add("w", base + absl::Seconds(6));
    const std::uint64_t window = counts.windowAt(base);
    CHECK(window == 200000000);
    CHECK(counts.countsOf(window).at("w") == 1);
    CHECK(counts.countsOf(window + 1).at("w") == 2);
    CHECK(counts.windowEnd(window) == base + absl::Seconds(5));
}

// Guards against paid replacements for replicas that return when the evacuation of their zone ends.
TEST_CASE("nothing is ordered for or in an evacuated zone")
{
    ScalePlan plan;
    plan.setDesiredCounts({{{"engine", "z1"}, 4}, {{"engine", "z2"}, 3}});
    const std::map<std::string, int> maxReplicas{{"engine", 8}};
    const ScalePlan::Counts counts{{{"engine", "z2"}, 1}};
    plan.onReply({"engine", "z2", 3}, DutyReply::Unavailable, at(0));
    for (const double time : {0.0, 2.0, 4.0}) {
        CHECK(plan.dueOrders(counts, maxReplicas, at(time), {"z1"}).empty());
    }
    CHECK(plan.dueOrders(counts, maxReplicas, at(5)).empty());
    CHECK_FALSE(plan.dueOrders(counts, maxReplicas, at(7)).empty());
}
