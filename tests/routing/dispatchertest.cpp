// The composed dispatcher: who may run what where, and that nothing leaks whatever order events come in.
#include "routing/dispatcher.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace currantlug;
using namespace currantlug::routing;

namespace {

Instant at(double seconds)
{
    return Instant(absl::Seconds(seconds));
}

EndpointInfo endpoint(const std::string &name, bool cheap = false, const std::string &zone = "z1")
{
    return {EndpointId(name), PoolId("p"), ZoneId(zone), RegionId("r1"), cheap};
}

WorkItem work(const std::string &workspace, bool repeatable = true)
{
    WorkItem item;
    item.workspace = WorkspaceId(workspace);
    item.pool = PoolId("p");
    item.repeatable = repeatable;
    item.expectedTokens = 100;
    return item;
}

DispatcherSettings withBudget(std::uint32_t budget)
{
    DispatcherSettings settings;
    settings.chooser.inFlightBudget = budget;
    return settings;
}

} // namespace

TEST_CASE("non-repeatable work never goes to a cheap endpoint", "[routing]")
{
    // Guards against a lost non-idempotent call when a cheap endpoint is evicted, under every policy.
    for (const auto &[policy, name] : EnumNames<ChoicePolicy>::Table) {
        DispatcherSettings settings;
        settings.chooser.policy = policy;
        settings.chooser.evictionRisk = false;
        Dispatcher dispatcher(settings);
        dispatcher.upsertEndpoint(endpoint("cheap", true));
        CAPTURE(name);
        REQUIRE(dispatcher.submit(work("w", false), at(0)).queued);
        CHECK_FALSE(dispatcher.next(at(0)));
        dispatcher.upsertEndpoint(endpoint("lasting"));
        const auto assignment = dispatcher.next(at(1));
        REQUIRE(assignment);
        CHECK(assignment->endpoint == EndpointId("lasting"));
    }
}

TEST_CASE("non-repeatable work is neither retried nor hedged", "[routing]")
{
    // Guards against running a non-idempotent call twice.
    Dispatcher dispatcher(withBudget(0));
    dispatcher.upsertEndpoint(endpoint("a"));
    dispatcher.upsertEndpoint(endpoint("b"));
    WorkItem item = work("w", false);
    item.group = 7;
    item.groupRemaining = 1;
    dispatcher.submit(item, at(0));
    const auto first = dispatcher.next(at(0));
    REQUIRE(first);
    CHECK_FALSE(dispatcher.next(at(60)));
    CHECK(dispatcher.failed(first->work, first->endpoint, FailureCause::Cut, at(61)) == AfterFailure::GivenUp);
    CHECK_FALSE(dispatcher.next(at(100)));
    CHECK(dispatcher.inFlightCount() == 0);
}

TEST_CASE("a leaving endpoint gets nothing new, also after it is listed again", "[routing]")
{
    // Guards against work sent to an endpoint that is about to vanish because a lagging list still shows it.
    Dispatcher dispatcher(withBudget(0));
    dispatcher.upsertEndpoint(endpoint("a"));
    dispatcher.submit(work("w"), at(0));
    const auto running = dispatcher.next(at(0));
    REQUIRE(running);
    CHECK(dispatcher.endpointLeaving(EndpointId("a"), at(1)) == std::vector<WorkId>{running->work});
    dispatcher.upsertEndpoint(endpoint("a"));
    dispatcher.loadReport(EndpointId("a"), {.leaving = false}, at(2));
    dispatcher.submit(work("w"), at(2));
    CHECK_FALSE(dispatcher.next(at(2)));
    dispatcher.upsertEndpoint(endpoint("b"));
    REQUIRE(dispatcher.failed(running->work, running->endpoint, FailureCause::Moved, at(3)) == AfterFailure::Requeued);
    const auto moved = dispatcher.next(at(3));
    REQUIRE(moved);
    CHECK(moved->endpoint == EndpointId("b"));
}

TEST_CASE("a straggler of a group is hedged once and the loser is cancelled", "[routing]")
{
    // Guards against one silent engine stalling a training step, and against leaking the losing attempt.
    Dispatcher dispatcher(withBudget(0));
    dispatcher.upsertEndpoint(endpoint("a"));
    dispatcher.upsertEndpoint(endpoint("b"));
    WorkItem item = work("w");
    item.group = 7;
    item.step = 1;
    item.groupRemaining = 8;
    const WorkId id = dispatcher.submit(item, at(0)).work;
    const auto first = dispatcher.next(at(0));
    REQUIRE(first);
    CHECK_FALSE(dispatcher.next(at(10)));
    dispatcher.setGroupRemaining(item.workspace, 7, 1);
    const auto hedge = dispatcher.next(at(11));
    REQUIRE(hedge);
    CHECK(hedge->hedge);
    CHECK(hedge->endpoint != first->endpoint);
    CHECK_FALSE(dispatcher.next(at(20)));
    CHECK(dispatcher.finished(id, hedge->endpoint, at(21)) == std::vector<EndpointId>{first->endpoint});
    CHECK(dispatcher.inFlightCount() == 0);
    CHECK(dispatcher.finished(id, first->endpoint, at(22)).empty());
}

TEST_CASE("work is refused before the queue makes its deadline useless", "[routing]")
{
    // Guards against callers waiting in a queue for an answer that comes too late.
    Dispatcher dispatcher(withBudget(1));
    dispatcher.upsertEndpoint(endpoint("a"));
    for (int i = 0; i < 20; ++i) {
        dispatcher.submit(work("w"), at(0));
    }
    for (int second = 1; second <= 10; ++second) {
        if (const auto assignment = dispatcher.next(at(second))) {
            dispatcher.tokens(assignment->work, assignment->endpoint, 100, at(second + 0.9));
            dispatcher.finished(assignment->work, assignment->endpoint, at(second + 0.9));
        }
    }
    // Ten works of 100 tokens wait at 100 tokens/s.
    WorkItem urgent = work("w");
    urgent.deadline = at(14);
    const Admission refused = dispatcher.submit(urgent, at(11));
    CHECK_FALSE(refused.queued);
    CHECK(refused.reason == RefusalReason::QueueTooLong);
    CHECK(refused.retryAfter > absl::Seconds(2));
    CHECK(refused.retryAfter < absl::Seconds(15));
    urgent.workspace = WorkspaceId("other");
    CHECK(dispatcher.submit(urgent, at(11)).queued);
    urgent.step = 3;
    urgent.workspace = WorkspaceId("w");
    CHECK(dispatcher.submit(urgent, at(11)).queued);
}

TEST_CASE("expired queued work is handed back once", "[routing]")
{
    // Guards against callers that are never answered because their work silently expired.
    Dispatcher dispatcher(withBudget(1));
    dispatcher.upsertEndpoint(endpoint("a", true));
    WorkItem item = work("w", false);
    item.deadline = at(5);
    const WorkId id = dispatcher.submit(item, at(0)).work;
    CHECK(dispatcher.takeExpired(at(4.9)).empty());
    CHECK(dispatcher.takeExpired(at(5)) == std::vector<WorkId>{id});
    CHECK(dispatcher.takeExpired(at(6)).empty());
    CHECK(dispatcher.queuedCount() == 0);
}

TEST_CASE("samples only go to endpoints with a recent enough weight version", "[routing]")
{
    // Guards against generating samples that are dropped as stale at delivery.
    Dispatcher dispatcher(withBudget(0));
    dispatcher.upsertEndpoint(endpoint("old"));
    dispatcher.upsertEndpoint(endpoint("unknown"));
    dispatcher.loadReport(EndpointId("old"), {.weightVersion = 3}, at(0));
    WorkItem item = work("w");
    item.minimumWeightVersion = 4;
    dispatcher.submit(item, at(0));
    CHECK_FALSE(dispatcher.next(at(0)));
    dispatcher.loadReport(EndpointId("old"), {.weightVersion = 4}, at(1));
    CHECK(dispatcher.next(at(1)));
}

TEST_CASE("a flooding workspace does not delay another one's work", "[routing]")
{
    // Guards against starvation: 500 requests of one workspace are queued before one of another.
    Dispatcher dispatcher(withBudget(4));
    dispatcher.upsertEndpoint(endpoint("a"));
    for (int i = 0; i < 500; ++i) {
        dispatcher.submit(work("flood"), at(0));
    }
    for (int i = 0; i < 4; ++i) {
        REQUIRE(dispatcher.next(at(0)));
    }
    const WorkId small = dispatcher.submit(work("small"), at(1)).work;
    int served = 0;
    for (WorkId running = 1; running < 20; ++running) {
        dispatcher.finished(running, EndpointId("a"), at(2));
        const auto assignment = dispatcher.next(at(2));
        REQUIRE(assignment);
        ++served;
        if (assignment->work == small) {
            break;
        }
    }
    // A round is 512 tokens, so at most about five works of 100 tokens come first.
    CHECK(served <= 6);
}

namespace {

/// Calls the dispatcher in random order with what a driver may do.
void randomRun(unsigned seed)
{
    std::mt19937 random(seed);
    const auto pick = [&random](std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random); };
    DispatcherSettings settings = withBudget(3);
    settings.hedges.silence = absl::Milliseconds(500);
    settings.hedges.maxShare = 0.5;
    Dispatcher dispatcher(settings);
    std::set<std::string> cheap;
    for (int i = 0; i < 4; ++i) {
        dispatcher.upsertEndpoint(endpoint("e" + std::to_string(i), i % 2 == 1));
    }
    dispatcher.setWorkspace(WorkspaceId("w1"), 1, {.tokensPerSecond = 2000, .maxInFlight = 3}, at(0));
    dispatcher.setKeyLimit(KeyId("k"), {.tokensPerSecond = 3000, .maxInFlight = 2}, at(0));
    std::vector<Assignment> running;
    std::vector<WorkId> submitted;
    for (int step = 0; step < 400; ++step) {
        const Instant now = at(step * 0.1);
        WorkItem item = work("w" + std::to_string(pick(3)), pick(3) != 0);
        item.key = pick(2) == 0 ? KeyId("k") : KeyId();
        item.group = pick(2) * (1 + pick(3));
        item.groupRemaining = 1;
        item.step = pick(2);
        item.deadline = pick(2) == 0 ? std::optional(now + absl::Seconds(2)) : std::nullopt;
        if (const Admission admission = dispatcher.submit(item, now); admission.queued) {
            submitted.push_back(admission.work);
        }
        while (const auto assignment = dispatcher.next(now)) {
            const WorkItem *given = dispatcher.find(assignment->work);
            REQUIRE(given != nullptr);
            const bool toCheap = assignment->endpoint == EndpointId("e1") || assignment->endpoint == EndpointId("e3");
            REQUIRE((given->repeatable || (!toCheap && !assignment->hedge)));
            running.push_back(*assignment);
        }
        const auto drop = [&running](WorkId id) { std::erase_if(running, [id](auto &a) { return a.work == id; }); };
        for (int event = 0; event < 2 && !running.empty(); ++event) {
            const Assignment one = running[pick(running.size())];
            switch (pick(5)) {
            case 0:
                dispatcher.tokens(one.work, one.endpoint, 30, now);
                break;
            case 1:
                dispatcher.cancel(one.work, now);
                drop(one.work);
                break;
            case 2:
                dispatcher.failed(one.work, one.endpoint, static_cast<FailureCause>(pick(5)), now);
                std::erase_if(running, [&](auto &a) { return a.work == one.work && a.endpoint == one.endpoint; });
                break;
            default:
                dispatcher.finished(one.work, one.endpoint, now);
                drop(one.work);
            }
        }
        if (pick(50) == 0) {
            const EndpointInfo moved = endpoint("e" + std::to_string(pick(4)));
            dispatcher.removeEndpoint(moved.id);
            dispatcher.upsertEndpoint({moved.id, moved.pool, moved.zone, moved.region,
                                       moved.id == EndpointId("e1") || moved.id == EndpointId("e3")});
        }
        dispatcher.takeExpired(now);
        REQUIRE(dispatcher.inFlightCount() == running.size());
    }
    for (const WorkId id : submitted) {
        dispatcher.cancel(id, at(100));
    }
    CHECK(dispatcher.inFlightCount() == 0);
    CHECK(dispatcher.queuedCount() == 0);
    CHECK(dispatcher.queuedTokens(PoolId("p")) == 0);
    for (const EndpointIndex index : dispatcher.endpoints().inPool(PoolId("p"))) {
        CHECK(dispatcher.endpoints().at(index).ownRequests == 0);
        CHECK(dispatcher.endpoints().at(index).ownTokens == 0);
    }
}

} // namespace

TEST_CASE("in-flight counts return to zero whatever happens", "[routing]")
{
    // Guards against leaked slots, which would slowly shut an endpoint or a workspace out.
    for (unsigned seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        randomRun(seed);
    }
}
