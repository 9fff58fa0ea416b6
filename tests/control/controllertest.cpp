// Two controllers on one store: only one acts, and a usage window is never reported with two figures.
#include "control/controller.h"

#include "fakes/memoryobjects.h"
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
                ControllerContext{loop, *member.table, store.port(), peers, duties, kinds,
                                  []() -> const serving::GatewayConfig * { return nullptr; }, [] { return false; },
                                  [] { return 0; }, [this, name] { return !storeUnreachable.contains(name); }, name,
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

    struct Member
    {
        std::unique_ptr<RequestCounts> counts;
        std::unique_ptr<serving::ReplicaTable> table;
        std::unique_ptr<Controller> controller;
    };
    net::Loop loop;
    MemoryObjects store;
    std::map<std::string, Member> members;
    std::set<std::string> storeUnreachable; ///< Nodes whose own way to the store is closed.
    std::set<std::string> paused; ///< Nodes that stand still.
    std::vector<Report> reports;
    bool loseReplies = false;
};

} // namespace

// Guards against figures that lack what other nodes counted.
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

// Guards against a second report of a window with other figures, by a successor or after a lost answer, and against two
// holders at once: tokens grow with each change of the holder.
TEST_CASE("a successor repeats a window's figures and has a higher token")
{
    ControllerPair pair;
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
    pair.loseReplies = true;
    const std::string first = pair.leader();
    const std::string second = first == "a" ? "b" : "a";
    pair.members[first].counts->add("w", absl::Now());
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.reports.empty(); }));
    pair.paused.insert(first);
    // What arrives late at a node must not change a figure that was reported.
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

// Guards against a holder that acts on while it can't renew, since its successor then acts as well.
TEST_CASE("a holder that the store turns away stops in time")
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

// Guards against seconds without a controller, and against two holders that take turns: A, B, A.
TEST_CASE("a controller that the store turns away hands over and does not come back at once")
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

// Guards against seconds without a controller: a renewal that is under way at the release takes effect before it, so
// the release finds another revision than it expects.
TEST_CASE("a lease is released although a renewal overtakes the release")
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
    // Without the release the successor waits for the lease's duration and margin from the renewal on.
    CHECK(net::loopNow() - released < absl::Milliseconds(1200 + 150));
}

// Guards against a node that stops and takes the lease again, by a read that was under way when it gave the lease up.
TEST_CASE("a node that gave the lease up doesn't take it by a read that was under way")
{
    ControllerPair pair;
    REQUIRE(runUntil(pair.loop, [&pair] { return !pair.leader().empty(); }));
    const std::string first = pair.leader();
    const std::string second = first == "a" ? "b" : "a";
    bool reading = false;
    pair.store.setFault([&reading](const std::string &op, const std::string &kind, const std::string &) {
        // The renewal takes effect, and its lost answer makes the holder read.
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

// Guards against a change of the controller, with its seconds without duties, each time a watch is cut.
TEST_CASE("a controller whose store is away for a moment goes on")
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

// Guards against usage that is never reported because the process that counted it was stopped.
TEST_CASE("counts of a process that ends are reported by others")
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

// Guards against reports by unknown figures, and against a store that is asked without a pause for what can't be read.
TEST_CASE("usage isn't reported while the fixed figures can't be read")
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
    // One in each pause of 50 ms.
    CHECK(reads <= 1000 / 50);
    pair.store.put("plans", "usage-frozen", Json::object());
    CHECK(runUntil(pair.loop, [&pair] { return !pair.reports.empty(); }));
}

// Guards against an operator who waits for ever for a disk machine to be emptied.
TEST_CASE("a retirement is completed")
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
