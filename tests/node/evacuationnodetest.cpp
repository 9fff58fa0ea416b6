// Evacuation of a zone on nodes that call each other, some of which don't watch the store.
#include "nodefleet.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::tests;

namespace {

constexpr absl::Duration Bound = absl::Seconds(5);

class EvacuatedFleet
{
public:
    explicit EvacuatedFleet(std::optional<absl::Duration> evacuateTime)
        : fleet(
            7, 2,
            [this](const serving::Replica &, const serving::OutboundRequest &, serving::ReplicaHandlers handlers) {
                ++arrivals;
                serving::ReplicaHead head;
                head.status = 200;
                net::HttpResponse response;
                response.status = 200;
                net::runAfter(fleet.loop, absl::Milliseconds(2), [head, response, handlers = std::move(handlers)] {
                    handlers.onHead(head, response);
                    handlers.onDone(head, response);
                });
            },
            evacuateTime)
    {
        REQUIRE(fleet.ready());
    }

    /// Sends a request to each node, and returns how many arrive at replicas.
    int tryAll()
    {
        const int before = arrivals;
        for (std::size_t node = 0; node < 7; ++node) {
            fleet.send(node);
        }
        runFor(fleet.loop, std::chrono::milliseconds(100));
        return arrivals - before;
    }

    int arrivals = 0;
    NodeFleet fleet;
};

} // namespace

// Guards against nodes that don't watch the store and go on sending, or never send again.
TEST_CASE("no node sends to the replicas of an evacuated zone, and all do so again after its end")
{
    EvacuatedFleet evacuated(Bound);
    // Two of the zone watch, and the one that leads.
    // Metrics of seven nodes after each event would leave the nodes no time under a sanitizer.
    for (int wait = 0; wait < 100 && evacuated.fleet.watchers() > 3; ++wait) {
        runFor(evacuated.fleet.loop, std::chrono::milliseconds(200));
    }
    REQUIRE(evacuated.fleet.watchers() <= 3);
    CHECK(evacuated.tryAll() == 7);
    const Instant confirmed = net::loopNow();
    evacuated.fleet.store.put("evacuations", "ifrane", Json::object());
    CHECK(runUntil(evacuated.fleet.loop, [&] { return evacuated.tryAll() == 0; }));
    CHECK(net::loopNow() - confirmed < Bound);
    CHECK(evacuated.tryAll() == 0);
    evacuated.fleet.store.erase("evacuations", "ifrane");
    CHECK(runUntil(evacuated.fleet.loop, [&] { return evacuated.tryAll() == 7; }));
    CHECK(evacuated.fleet.refusalsWithoutRetryAfter == 0);
}

// Guards against store calls and changed choices in deployments that don't evacuate zones.
TEST_CASE("without a bound for evacuations nothing is watched and objects have no effect")
{
    EvacuatedFleet plain(std::nullopt);
    int calls = 0;
    plain.fleet.store.setFault([&calls](const std::string &, const std::string &kind, const std::string &) {
        calls += kind == "evacuations" ? 1 : 0;
        return objects::StoreOutcome::Done;
    });
    plain.fleet.store.put("evacuations", "ifrane", Json::object());
    runFor(plain.fleet.loop, std::chrono::milliseconds(2500));
    CHECK(plain.tryAll() == 7);
    CHECK(calls == 0);
}
