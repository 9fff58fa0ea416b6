// Two controllers on one store: only one acts, and a usage window is never reported with different counts.
#include "control/controller.h"

#include "fakes/inmemoryobjectstore.h"
#include "fakes/interceptedport.h"
#include "fakes/runloop.h"

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::control;
using namespace currantlug::tests;
using objects::StoreOutcome;

namespace {

struct Report
{
    std::string node;
    std::uint64_t fencingToken;
    std::uint64_t window;
    std::map<std::string, std::uint64_t> counts;
};

class ControllerPair
{
public:
    ControllerPair()
        : store(loop)
    {
        for (const char *name : {"a", "b"}) {
            Member &member = members[name];
            member.counts = std::make_unique<RequestCounts>(absl::Milliseconds(400));
            member.table = std::make_unique<serving::ReplicaTable>(serving::ReplicaTableSettings{});
            ControlKinds kinds{"versions", [](const objects::StoredObject &) { return std::nullopt; }, "retirements",
                               [](const objects::StoredObject &object) {
                                   return object.status.is_null() ? Json{{"state", "done"}} : Json();
                               }};
            DutyPort duties;
            duties.reportUsage = [this, name](std::uint64_t window, const std::map<std::string, std::uint64_t> &counts,
                                              const LeaseHolder &holder, const std::function<void(DutyReply)> &done) {
                reports.push_back({name, holder.fencingToken, window, counts});
                const bool loseReply = loseReplies;
                net::runAfter(loop, absl::Milliseconds(1),
                              [done, loseReply] { done(loseReply ? DutyReply::Unknown : DutyReply::Done); });
            };
            jobs::PeerPort peers{[this](const std::string &node, const std::string &, const Json &body, absl::Duration,
                                        const jobs::PeerPort::Callback &done) {
                                     const Json reply = UsageReporter::answerCounts(*members[node].counts, body);
                                     net::runAfter(loop, absl::Milliseconds(1), [done, reply] { done(reply); });
                                 },
                                 [name] { return std::vector<std::string>{*name == 'a' ? "b" : "a"}; },
                                 {},
                                 {},
                                 {},
                                 [name] { return std::vector<std::string>{*name == 'a' ? "b" : "a"}; }};
            lease::LeaseSettings lease;
            lease.duration = absl::Milliseconds(1200);
            lease.renewEvery = absl::Milliseconds(300);
            lease.margin = absl::Milliseconds(150);
            lease.sendBound = absl::Milliseconds(150);
            lease.tcpUserTimeout = absl::ZeroDuration();
            ControllerSettings settings;
            settings.usage.gatherDelay = absl::Milliseconds(50);
            settings.usage.retryDelay = absl::Milliseconds(50);
            settings.usage.catchUpWindows = 20;
            settings.candidateRankDelay = absl::ZeroDuration();
            settings.reacquireDelay = absl::Milliseconds(3600);
            member.controller = std::make_unique<Controller>(
                ControllerContext{loop, *member.table, interceptedPort(store.port(), holdCalls()), peers, duties, kinds,
                                  []() -> const serving::GatewayConfig * { return nullptr; }, [] { return false; },
                                  [] { return 0; }, [this, name] { return !storeUnreachable.contains(name); },
                                  [] { return std::map<std::string, scheduling::DemandByModel>(); }, name,
                                  std::string(name) + "@machine", *member.counts, lease, settings});
        }
        poll();
    }

    void poll()
    {
        for (auto &[name, member] : members) {
            if (!paused.contains(name)) {
                member.controller->poll();
            }
        }
        net::runAfter(loop, absl::Milliseconds(10), [this] { poll(); });
    }

    std::string leader() const
    {
        for (const auto &[name, member] : members) {
            if (member.controller->leading()) {
                return name;
            }
        }
        return {};
    }

    /// Makes the calls of the kind that were held back.
    void releaseCalls(const std::string &kind)
    {
        heldKinds.erase(kind);
        for (const auto &[call, done] : std::exchange(heldCalls[kind], {})) {
            call(done);
        }
    }

    struct Member
    {
        std::unique_ptr<RequestCounts> counts;
        std::unique_ptr<serving::ReplicaTable> table;
        std::unique_ptr<Controller> controller;
    };
    net::Loop loop;
    InMemoryObjectStore store;
    std::map<std::string, Member> members;
    std::set<std::string> storeUnreachable; ///< Nodes that can't reach the store directly.
    std::set<std::string> paused; ///< Nodes whose controller isn't polled.
    std::set<std::string> heldKinds; ///< Writes of objects of these kinds are held back.
    std::map<std::string, std::vector<std::pair<StoreCall, objects::StoreCallback>>> heldCalls; ///< By kind.
    std::vector<Report> reports;
    bool loseReplies = false;

private:
    Interceptor holdCalls()
    {
        return [this](const std::string &op, const std::string &kind, StoreCall call, objects::StoreCallback done) {
            if (op == "get" || !heldKinds.contains(kind)) {
                call(std::move(done));
            } else {
                heldCalls[kind].emplace_back(std::move(call), std::move(done));
            }
        };
    }
};

} // namespace

// Guards against reports that lack the counts of other nodes.
TEST_CASE("a window's report sums the counts of all nodes")
{
    ControllerPair pair;
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
    const absl::Time now = absl::Now();
    pair.members["a"].counts->add("w", now);
    pair.members["b"].counts->add("w", now);
    pair.members["b"].counts->add("v", now);
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.reports.empty(); }));
    CHECK(pair.reports.front().counts == std::map<std::string, std::uint64_t>{{"v", 1}, {"w", 2}});
}

// Guards against a second report of a window with different counts, by a successor or after a lost reply, and against
// two lease holders at the same time: the fencing token increases with each change of the lease holder.
TEST_CASE("a successor repeats a window's counts with a higher fencing token")
{
    ControllerPair pair;
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
    pair.loseReplies = true;
    const std::string first = pair.leader();
    const std::string second = first == "a" ? "b" : "a";
    pair.members[first].counts->add("w", absl::Now());
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.reports.empty(); }));
    pair.paused.insert(first);
    // Requests counted late must not change a count that was already reported.
    const std::uint64_t window = pair.reports.front().window;
    pair.members[second].counts->add("w", absl::UnixEpoch() + absl::Milliseconds(400) * static_cast<double>(window));
    const auto bySecond = [&pair, &second, window] {
        for (const Report &report : pair.reports) {
            if (report.node == second && report.window == window) {
                return true;
            }
        }
        return false;
    };
    REQUIRE(runUntil(pair.loop, bySecond));
    pair.paused.clear();
    runFor(pair.loop, std::chrono::milliseconds(1500));
    std::uint64_t fencingToken = 0;
    for (const Report &report : pair.reports) {
        CHECK(report.fencingToken >= fencingToken);
        fencingToken = std::max(fencingToken, report.fencingToken);
        if (report.window == window) {
            CHECK(report.counts == pair.reports.front().counts);
        }
        if (report.fencingToken > pair.reports.front().fencingToken) {
            CHECK(report.node == second);
        }
    }
}

// Guards against a report with other counts than those in the store, which a successor repeats: the reply to the write
// of the counts comes after the lease has lapsed and was regained, when another node has lost its counts meanwhile.
TEST_CASE("a report has the stored counts although the lease lapsed while they were written")
{
    ControllerPair pair;
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
    const std::string first = pair.leader();
    const std::string second = first == "a" ? "b" : "a";
    pair.paused.insert(second);
    pair.heldKinds = {"plans"};
    const std::uint64_t window = pair.members[first].counts->windowAt(absl::Now());
    for (const char *name : {"a", "b"}) {
        pair.members[name].counts->add("w", window, 1);
    }
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.heldCalls["plans"].empty(); }));
    pair.heldKinds.insert("leases");
    REQUIRE(runUntil(pair.loop, [&pair] { return pair.leader().empty(); }));
    *pair.members[second].counts = RequestCounts(absl::Milliseconds(400)); // Its process was killed and is back.
    pair.releaseCalls("leases");
    REQUIRE(runUntil(pair.loop, [&pair, &first] { return pair.leader() == first; }));
    runFor(pair.loop, std::chrono::milliseconds(200)); // For what the node does when it leads again.
    pair.releaseCalls("plans");
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.reports.empty(); }));
    CHECK(pair.reports.front().window == window);
    const Json stored = pair.store.value("plans", "usage-frozen");
    CHECK(stored == Json{{std::to_string(window), pair.reports.front().counts}});
}

// Guards against a lease holder that still acts when it can't renew the lease, while its successor acts as well.
TEST_CASE("a lease holder stops acting in time when the store refuses its calls")
{
    ControllerPair pair;
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
    pair.store.setFault(
        [](const std::string &, const std::string &, const std::string &) { return StoreOutcome::Refused; });
    const Instant startedAt = net::loopNow();
    REQUIRE(runUntil(pair.loop, [&pair] { return pair.leader().empty(); }));
    CHECK(net::loopNow() - startedAt < absl::Milliseconds(2100));
    pair.store.setFault({});
    CHECK(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
}

// Guards against seconds without a controller during a store outage at one node, and against two lease holders that
// alternate (A, B, A).
TEST_CASE("a controller that can't reach the store releases the lease and doesn't reacquire it at once")
{
    ControllerPair pair;
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
    const std::string first = pair.leader();
    const std::string second = first == "a" ? "b" : "a";
    const Instant startedAt = net::loopNow();
    pair.storeUnreachable.insert(first);
    REQUIRE(runUntil(pair.loop, [&pair, &second] { return pair.leader() == second; }));
    CHECK(net::loopNow() - startedAt < absl::Milliseconds(3600));
    pair.storeUnreachable = {second};
    REQUIRE(runUntil(pair.loop, [&pair, &first] { return pair.leader() == first; }));
    CHECK(net::loopNow() - startedAt >= absl::Milliseconds(3600));
}

// Guards against seconds without a controller: a renewal that is in flight at the release takes effect first, so that
// the release finds another revision than it expects.
TEST_CASE("a lease is released although a renewal takes effect before the release")
{
    ControllerPair pair;
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
    const std::string first = pair.leader();
    const std::string second = first == "a" ? "b" : "a";
    bool renewing = false;
    pair.store.setFault([&renewing](const std::string &op, const std::string &kind, const std::string &) {
        renewing = renewing || (op == "replace" && kind == "leases");
        return StoreOutcome::Done;
    });
    REQUIRE(runUntil(pair.loop, [&renewing] { return renewing; }));
    const Instant released = net::loopNow();
    pair.members[first].controller->release();
    pair.paused.insert(first);
    REQUIRE(runUntil(pair.loop, [&pair, &second] { return pair.leader() == second; }));
    // Without the release the successor would wait for the lease's duration and margin, counted from the renewal.
    CHECK(net::loopNow() - released < absl::Milliseconds(1200 + 150));
}

// Guards against a stopping node that reacquires the lease through a read that was in flight when it released it.
TEST_CASE("a node that released the lease doesn't reacquire it through a read in flight")
{
    ControllerPair pair;
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
    const std::string first = pair.leader();
    const std::string second = first == "a" ? "b" : "a";
    bool reading = false;
    pair.store.setFault([&reading](const std::string &op, const std::string &kind, const std::string &) {
        // The renewal takes effect, but its reply is lost, so that the lease holder reads the lease.
        const bool renewal = op == "replace" && kind == "leases" && !reading;
        reading = reading || (op == "get" && kind == "leases");
        return renewal ? StoreOutcome::Unknown : StoreOutcome::Done;
    });
    pair.paused.insert(second);
    REQUIRE(runUntil(pair.loop, [&reading] { return reading; }));
    pair.members[first].controller->release();
    pair.paused = {first};
    const Instant released = net::loopNow();
    REQUIRE(runUntil(pair.loop, [&pair, &second] { return pair.leader() == second; }));
    CHECK(net::loopNow() - released < absl::Milliseconds(1200 + 150));
}

// Guards against a change of the controller, with seconds in which no duties are carried out, each time a watch is
// disconnected.
TEST_CASE("a controller keeps the lease during a short store outage")
{
    ControllerPair pair;
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
    const std::string first = pair.leader();
    pair.storeUnreachable = {"a", "b"};
    runFor(pair.loop, std::chrono::milliseconds(200));
    CHECK(pair.leader() == first);
    pair.storeUnreachable.clear();
    runFor(pair.loop, std::chrono::milliseconds(200));
    CHECK(pair.leader() == first);
}

// Guards against seconds without a controller after an outage that no node could have led through: the lease is given
// up, nobody can take it, and its holder waits before it takes it back.
TEST_CASE("a controller leads again as soon as a store is back that no node reached")
{
    ControllerPair pair;
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
    const std::string first = pair.leader();
    pair.storeUnreachable = {"a", "b"};
    pair.store.setFault(
        [](const std::string &, const std::string &, const std::string &) { return StoreOutcome::Refused; });
    REQUIRE(runUntil(pair.loop, [&pair] { return pair.leader().empty(); }));
    // Longer than an unconfirmed release is repeated.
    runFor(pair.loop, std::chrono::milliseconds(1500));
    pair.storeUnreachable.clear();
    pair.store.setFault({});
    const Instant returned = net::loopNow();
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
    CHECK(pair.leader() == first);
    // A successor would wait for the lease's duration.
    CHECK(net::loopNow() - returned < absl::Milliseconds(1200));
}

// Guards against usage that is never reported because the process that counted it has stopped.
TEST_CASE("counts handed over by a stopping process are reported by another node")
{
    ControllerPair pair;
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
    const std::string first = pair.leader();
    const std::string second = first == "a" ? "b" : "a";
    RequestCounts endedCounts(absl::Milliseconds(400));
    endedCounts.add("w", absl::Now());
    endedCounts.add("w", absl::Now());
    const std::uint64_t window = endedCounts.windowAt(absl::Now());
    const Json handedOver{{std::to_string(window), {{"w", std::uint64_t{2}}}}};
    const auto parsed = parseCountsByWindow(handedOver);
    REQUIRE(parsed);
    pair.members[second].counts->add(*parsed);
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.reports.empty(); }));
    CHECK(pair.reports.front().window == window);
    CHECK(pair.reports.front().counts == std::map<std::string, std::uint64_t>{{"w", 2}});
    CHECK(toJson(pair.members[second].counts->all()) == handedOver);
    CHECK_FALSE(parseCountsByWindow({{"x", 1}}));
    CHECK_FALSE(parseCountsByWindow({{std::to_string(window), {{"w", "two"}}}}));
}

// Guards against reports that may contradict unreadable frozen counts, and against reading these without a retry delay.
TEST_CASE("usage isn't reported while the frozen counts are unreadable")
{
    ControllerPair pair;
    pair.store.put("plans", "usage-frozen", {{"not a window", 1}});
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
    pair.members[pair.leader()].counts->add("w", absl::Now());
    int reads = 0;
    pair.store.setFault([&reads](const std::string &op, const std::string &kind, const std::string &) {
        reads += op == "get" && kind == "plans" ? 1 : 0;
        return StoreOutcome::Done;
    });
    runFor(pair.loop, std::chrono::milliseconds(1000));
    CHECK(pair.reports.empty());
    // One read per retry delay of 50 ms.
    CHECK(reads <= 1000 / 50);
    pair.store.put("plans", "usage-frozen", Json::object());
    CHECK(runUntil(pair.loop, [&pair] { return !pair.reports.empty(); }));
}

// Guards against an operator waiting indefinitely for a disk machine to be reported as empty.
TEST_CASE("the retirement of a disk machine is completed")
{
    ControllerPair pair;
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
    pair.store.put("retirements", "store-1", {{"duration", 5}});
    bool completed = false;
    CHECK(runUntil(pair.loop, [&pair, &completed] {
        pair.store.port().get("retirements", "store-1", [&completed](const objects::StoreReply &reply) {
            completed = !reply.changes.empty() && !reply.changes.front().object.status.is_null();
        });
        runFor(pair.loop, std::chrono::milliseconds(20));
        return completed;
    }));
}
