// Tests of requests that crash the replicas that run them, on nodes that call each other.
#include "nodefleet.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace currantlug;
using namespace currantlug::tests;

namespace {

constexpr const char *DeadlyBody = "deadly";

/// Nodes whose replicas crash some time after they begin to run the deadly request, together with all that runs there,
/// and are back after a while.
class CrashingFleet
{
public:
    CrashingFleet(std::size_t nodes, std::size_t replicas)
        : fleet(nodes, replicas,
                [this](const serving::Replica &replica, const serving::OutboundRequest &request,
                       serving::ReplicaHandlers handlers) { receive(replica.entry.id, request, std::move(handlers)); })
    {
        fleet.livenessOf = [this](const std::string &id) {
            return isDown(id) ? serving::ReplicaLiveness::Ended : serving::ReplicaLiveness::Alive;
        };
        REQUIRE(fleet.ready());
    }

    NodeFleet fleet;
    int crashes = 0;

private:
    static constexpr absl::Duration WorkTime = absl::Milliseconds(20);
    static constexpr absl::Duration TimeToCrash = absl::Milliseconds(15);
    static constexpr absl::Duration DownTime = absl::Milliseconds(700);

    struct Run
    {
        serving::ReplicaHandlers handlers;
    };

    bool isDown(const std::string &id) { return net::loopNow() < downUntil_[id]; }

    static void fail(const serving::ReplicaHandlers &handlers, Step step, Outcome outcome)
    {
        handlers.onDone({}, makeError(absl::StatusCode::kUnavailable, step, "r", outcome, "End of file"));
    }

    void receive(const std::string &id, const serving::OutboundRequest &request, serving::ReplicaHandlers handlers)
    {
        if (isDown(id)) {
            net::runAfter(fleet.loop, absl::Milliseconds(1),
                          [handlers = std::move(handlers)] { fail(handlers, Step::Connect, Outcome::NotRun); });
            return;
        }
        const int run = ++lastRun_;
        running_[id][run] = {std::move(handlers)};
        if (request.body == DeadlyBody) {
            net::runAfter(fleet.loop, TimeToCrash, [this, id] { crash(id); });
            return;
        }
        net::runAfter(fleet.loop, WorkTime, [this, id, run] {
            const auto found = running_[id].find(run);
            if (found == running_[id].end()) {
                return;
            }
            const Run ended = std::move(found->second);
            running_[id].erase(found);
            serving::ReplicaHead head;
            head.status = 200;
            net::HttpResponse response;
            response.status = 200;
            ended.handlers.onHead(head, response);
            ended.handlers.onDone(head, response);
        });
    }

    void crash(const std::string &id)
    {
        if (isDown(id)) {
            return;
        }
        ++crashes;
        downUntil_[id] = net::loopNow() + DownTime;
        const std::map<int, Run> lost = std::move(running_[id]);
        running_[id].clear();
        for (const auto &[run, state] : lost) {
            fail(state.handlers, Step::ReadAnswer, Outcome::MayHaveRun);
        }
    }

    std::map<std::string, std::map<int, Run>> running_; ///< By replica and number of the run.
    std::map<std::string, Instant> downUntil_;
    int lastRun_ = 0;
};

} // namespace

// Guards against a request that ends one replica after the other, since it comes again under new ids and at other
// nodes, and against the refusal of the requests that ran beside it.
TEST_CASE("a request that crashes the replicas that run it is stopped after three, and no other one is refused")
{
    CrashingFleet crashing(4, 6);
    NodeFleet &fleet = crashing.fleet;
    for (int i = 0; i < 400; ++i) {
        fleet.send(static_cast<std::size_t>(i % 4), "innocent " + std::to_string(i));
        if (i % 16 == 0) {
            fleet.send(static_cast<std::size_t>(i / 16 % 4), DeadlyBody);
        }
        runFor(fleet.loop, std::chrono::milliseconds(10));
    }
    runFor(fleet.loop, std::chrono::milliseconds(500));
    // The third crash, and those that were under way before all nodes knew of it.
    CHECK(crashing.crashes >= 3);
    CHECK(crashing.crashes <= 4);
    CHECK(fleet.answersTo[DeadlyBody][503] > 15);
    int served = 0;
    for (const auto &[body, answers] : fleet.answersTo) {
        served += body != DeadlyBody && answers.contains(200) ? answers.at(200) : 0;
    }
    CHECK(served >= 390);
    int refusedAsCrashing = 0;
    for (std::size_t node = 0; node < 4; ++node) {
        refusedAsCrashing += fleet.requestsEnded(node, "crashing");
    }
    CHECK(refusedAsCrashing == fleet.answersTo[DeadlyBody][503]);
}
