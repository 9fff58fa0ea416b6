// The parts of routing one by one: queue, limits, retry budget, endpoint table, prefix index.
#include "routing/endpointchooser.h"
#include "routing/fairqueue.h"
#include "routing/limits.h"
#include "routing/retrybudget.h"

#include <catch2/catch.hpp>

#include <map>

using namespace currantlug;
using namespace currantlug::routing;

namespace {

Instant at(double seconds)
{
    return Instant(absl::Seconds(seconds));
}

} // namespace

TEST_CASE("backlogged workspaces share tokens by weight", "[routing]")
{
    // Guards against a workspace with long requests getting more than its share.
    FairQueue<std::string> queue;
    queue.setWeight(WorkspaceId("heavy"), 3);
    std::uint64_t sequence = 0;
    for (int i = 0; i < 2000; ++i) {
        queue.push(WorkspaceId("heavy"), {.sequence = ++sequence}, 100, "heavy");
        queue.push(WorkspaceId("light"), {.sequence = ++sequence}, 400, "light");
    }
    std::map<std::string, double> tokens;
    for (int i = 0; i < 1500; ++i) {
        const auto item = queue.pop([](const std::string &) { return true; });
        REQUIRE(item);
        tokens[*item] += *item == "heavy" ? 100 : 400;
    }
    CHECK(tokens["heavy"] / tokens["light"] == Approx(3).epsilon(0.1));
}

TEST_CASE("an idle workspace saves no credit", "[routing]")
{
    // Guards against a workspace that returns after hours and shuts the others out.
    FairQueue<char> queue(100);
    std::uint64_t sequence = 0;
    queue.push(WorkspaceId("idle"), {.sequence = ++sequence}, 1, 'i');
    queue.pop([](char) { return true; });
    for (int i = 0; i < 1000; ++i) {
        queue.push(WorkspaceId("busy"), {.sequence = ++sequence}, 100, 'b');
        queue.push(WorkspaceId("idle"), {.sequence = ++sequence}, 100, 'i');
        if (i < 500) {
            queue.pop([](char) { return true; });
            queue.remove(WorkspaceId("idle"), {.sequence = sequence});
        }
    }
    int idle = 0;
    for (int i = 0; i < 100; ++i) {
        idle += queue.pop([](char) { return true; }) == 'i' ? 1 : 0;
    }
    CHECK(idle >= 45);
    CHECK(idle <= 55);
}

TEST_CASE("inside a workspace the step deadline comes first, then groups near completion", "[routing]")
{
    FairQueue<int> queue;
    const WorkspaceId workspace("w");
    queue.push(workspace, {.deadline = at(20), .groupRemaining = 1, .sequence = 1}, 1, 3);
    queue.push(workspace, {.deadline = at(10), .groupRemaining = 5, .sequence = 2}, 1, 2);
    queue.push(workspace, {.deadline = at(10), .groupRemaining = 2, .sequence = 3}, 1, 1);
    const auto any = [](int) { return true; };
    CHECK(queue.pop(any) == 1);
    CHECK(queue.pop(any) == 2);
    CHECK(queue.pop(any) == 3);
    CHECK_FALSE(queue.pop(any));
}

TEST_CASE("a vetoed item does not block its workspace or others", "[routing]")
{
    // Guards against head-of-line blocking by work that only lasting endpoints may run.
    FairQueue<int> queue;
    queue.push(WorkspaceId("a"), {.sequence = 1}, 10, -1);
    queue.push(WorkspaceId("a"), {.sequence = 2}, 10, 2);
    queue.push(WorkspaceId("b"), {.sequence = 3}, 10, 3);
    const auto positive = [](int item) { return item > 0; };
    CHECK(queue.pop(positive));
    CHECK(queue.pop(positive));
    CHECK_FALSE(queue.pop(positive));
    CHECK(queue.size() == 1);
}

TEST_CASE("shares of a site-wide limit add up to it", "[routing]")
{
    Limits limits;
    limits.set("key:k", {.tokensPerSecond = 1000, .burstSeconds = 1, .maxInFlight = 10}, at(0));
    limits.setLiveDaemons(4, at(0));
    limits.takeRate("key:k", 250, at(0));
    CHECK(limits.rateWait("key:k", 100, at(0)) > absl::Milliseconds(390));
    CHECK(limits.rateWait("key:k", 100, at(0.41)) == absl::ZeroDuration());
    for (int i = 0; i < 3; ++i) {
        REQUIRE(limits.hasSlot("key:k"));
        limits.takeSlot("key:k");
    }
    CHECK_FALSE(limits.hasSlot("key:k"));
}

TEST_CASE("a request larger than the burst still passes", "[routing]")
{
    // Guards against a request that no amount of waiting would ever admit.
    TokenBucket bucket(10, 20, at(0));
    CHECK(bucket.take(100, at(0)));
    CHECK_FALSE(bucket.take(1, at(7)));
    CHECK(bucket.take(1, at(8.2)));
}

TEST_CASE("an outage is not followed by a retry storm", "[routing]")
{
    // Guards against retries that multiply the load of a system that is already failing.
    RetryBudget budget({.startCredit = 10, .maxCredit = 50}, 1);
    for (int i = 0; i < 10000; ++i) {
        budget.succeeded();
    }
    int retries = 0;
    for (int i = 0; i < 10000; ++i) {
        retries += budget.retryDelay(1) ? 1 : 0;
    }
    CHECK(retries == 50);
    for (int i = 0; i < 1000; ++i) {
        budget.succeeded();
        retries += budget.retryDelay(1) ? 1 : 0;
    }
    CHECK(retries <= 150);
}

TEST_CASE("backoff is spread over the whole interval and bounded", "[routing]")
{
    RetryBudget budget({}, 7);
    double sum = 0;
    for (int i = 0; i < 1000; ++i) {
        const absl::Duration delay = budget.backoff(3);
        REQUIRE(delay >= absl::ZeroDuration());
        REQUIRE(delay <= absl::Milliseconds(400));
        sum += absl::ToDoubleSeconds(delay);
    }
    CHECK(sum / 1000 == Approx(0.2).epsilon(0.1));
    CHECK(budget.backoff(30) <= absl::Seconds(10));
}

TEST_CASE("a failing endpoint is ejected for a while and tried again", "[routing]")
{
    EndpointTable table;
    const EndpointIndex index = table.upsert({EndpointId("a"), PoolId("p"), ZoneId("z"), RegionId("r"), false});
    for (int i = 0; i < 3; ++i) {
        CHECK(table.available(index, at(0)));
        table.connectionFailed(index, at(0));
    }
    CHECK_FALSE(table.available(index, at(4.9)));
    CHECK(table.available(index, at(5)));
    table.connectionFailed(index, at(5));
    CHECK_FALSE(table.available(index, at(14.9)));
    table.succeeded(index);
    CHECK(table.available(index, at(6)));
}

TEST_CASE("a daemon keeps its share of an endpoint's budget when others fill it", "[routing]")
{
    // Guards against the daemon with the largest step holding every place of every engine.
    EndpointTable table;
    PrefixIndex prefixes;
    EndpointChooser chooser({.inFlightBudget = 8, .liveDaemons = 4});
    const EndpointIndex index = table.upsert({EndpointId("a"), PoolId("p"), ZoneId("z"), RegionId("r"), false});
    table.report(EndpointId("a"), {.running = 8, .waiting = 3}, at(0));
    WorkItem item;
    item.pool = PoolId("p");
    for (int i = 0; i < 2; ++i) {
        REQUIRE(chooser.choose(item, table, prefixes, {}, at(0)));
        table.open(index, 1);
    }
    CHECK_FALSE(chooser.choose(item, table, prefixes, {}, at(0)));
}

TEST_CASE("an endpoint with overdue reports is probed, not trusted", "[routing]")
{
    // Guards against sending work into a region cut until connection failures add up.
    EndpointTable table;
    PrefixIndex prefixes;
    EndpointChooser chooser(ChooserSettings{});
    for (const std::string name : {"silent", "healthy"}) {
        table.upsert({EndpointId(name), PoolId("p"), ZoneId("z"), RegionId("r"), false});
        table.report(EndpointId(name), {}, at(0));
    }
    table.report(EndpointId("healthy"), {.running = 30}, at(10));
    const EndpointIndex silent = *table.find(EndpointId("silent"));
    WorkItem item;
    item.pool = PoolId("p");
    item.repeatable = true;
    REQUIRE(chooser.choose(item, table, prefixes, {}, at(10)) == silent);
    table.open(silent, 1);
    CHECK(chooser.choose(item, table, prefixes, {}, at(10)) != silent);
    table.close(silent, 1);
    item.repeatable = false;
    CHECK(chooser.choose(item, table, prefixes, {}, at(10)) != silent);
    // When all are overdue, the fault is rather this daemon's own, and work goes on.
    table.open(silent, 1);
    CHECK(chooser.choose(item, table, prefixes, {}, at(30)));
}

TEST_CASE("the prefix index survives gaps and late evictions", "[routing]")
{
    // Guards against routing for months by a cache content that the engine has long dropped.
    PrefixIndex index({.blocksPerEndpoint = 4});
    index.placed(0, {1, 2, 3}, at(0));
    CHECK(index.cachedPrefix(0, {1, 2, 9}) == 2);
    CHECK(index.cachedPrefix(1, {1, 2}) == 0);
    index.event(0, {.sequence = 1, .block = 1, .evicted = true}, at(1));
    CHECK(index.cachedPrefix(0, {1}) == 1); // Too young: the eviction was probably sent before the placement.
    index.event(0, {.sequence = 2, .block = 2, .evicted = true}, at(5));
    CHECK(index.cachedPrefix(0, {1, 2}) == 1);
    index.event(0, {.sequence = 9, .block = 7}, at(6));
    CHECK(index.cachedPrefix(0, {1}) == 0);
    index.placed(0, {10, 11, 12, 13, 14, 15}, at(7));
    CHECK(index.size(0) == 4);
    CHECK(index.cachedPrefix(0, {10, 11, 12, 13, 14, 15}) == 4);
}
