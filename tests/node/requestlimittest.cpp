// Tests of the request limits that replicas state, on nodes that call each other.
#include "nodefleet.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::tests;

namespace {

/// Nodes whose replicas state a limit in every response.
class LimitedFleet
{
public:
    LimitedFleet(std::size_t nodes, std::size_t replicas, double limit)
        : fleet(nodes, replicas,
                [this, limit](const serving::Replica &replica, const serving::OutboundRequest &,
                              serving::ReplicaHandlers handlers) { receive(replica, limit, std::move(handlers)); })
    {
        REQUIRE(fleet.ready());
    }

    /// Sends requests for `time`, every `period` at the next of the nodes.
    void load(const std::vector<std::size_t> &nodes, absl::Duration period, absl::Duration time)
    {
        const Instant end = net::loopNow() + time;
        std::size_t next = 0;
        while (net::loopNow() < end) {
            fleet.send(nodes[next++ % nodes.size()]);
            ++sent;
            runFor(fleet.loop, absl::ToChronoMilliseconds(period));
        }
    }

    int arrivalsBetween(const std::string &replica, Instant begin, Instant end) const
    {
        const auto found = arrivals_.find(replica);
        return found == arrivals_.end()
            ? 0
            : static_cast<int>(std::count_if(found->second.begin(), found->second.end(),
                                             [&](Instant at) { return at >= begin && at < end; }));
    }
    /// Most arrivals in any `window` that begins at `begin` or later.
    int mostArrivals(const std::string &replica, absl::Duration window, Instant begin) const
    {
        int most = 0;
        const auto found = arrivals_.find(replica);
        if (found != arrivals_.end()) {
            for (const Instant at : found->second) {
                most = at < begin ? most : std::max(most, arrivalsBetween(replica, at, at + window));
            }
        }
        return most;
    }

    NodeFleet fleet;
    int sent = 0; ///< By load().

private:
    void receive(const serving::Replica &replica, double limit, serving::ReplicaHandlers handlers)
    {
        arrivals_[replica.entry.id].push_back(net::loopNow());
        serving::ReplicaHead head;
        head.status = 200;
        head.requestLimit = limit;
        net::HttpResponse response;
        response.status = 200;
        net::runAfter(fleet.loop, absl::Milliseconds(5), [head, response, handlers = std::move(handlers)] {
            handlers.onHead(head, response);
            handlers.onDone(head, response);
        });
    }

    std::map<std::string, std::vector<Instant>> arrivals_; ///< By replica.
};

} // namespace

// Guards against nodes that each keep to a replica's limit, or to none, and together send several times as much.
TEST_CASE("a replica gets the requests a second that it states from all nodes together")
{
    constexpr double Limit = 5;
    constexpr absl::Duration Window = absl::Seconds(4);
    // The limit must hold this long after the first response that states it.
    constexpr absl::Duration LearningTime = absl::Milliseconds(500);
    for (const std::vector<std::size_t> &nodes : {std::vector<std::size_t>{0, 1, 2, 3}, {2}}) {
        CAPTURE(nodes);
        LimitedFleet limited(4, 2, Limit);
        const Instant begin = net::loopNow();
        limited.load(nodes, absl::Milliseconds(10), LearningTime + Window);
        const int allowed = static_cast<int>(1.5 * Limit * absl::ToDoubleSeconds(Window)) + 5;
        for (const char *replica : {"r0", "r1"}) {
            CAPTURE(replica);
            CHECK(limited.mostArrivals(replica, Window, begin + LearningTime) <= allowed);
            const int used = limited.arrivalsBetween(replica, begin + LearningTime, begin + LearningTime + Window);
            CHECK(used >= 0.9 * Limit * absl::ToDoubleSeconds(Window));
        }
        // Every request is served or refused, and told when to return. The last ones may still wait for a permit.
        CHECK(runUntil(limited.fleet.loop,
                       [&limited] { return limited.fleet.answers[200] + limited.fleet.answers[503] == limited.sent; }));
        CHECK(limited.fleet.refusalsWithoutRetryAfter == 0);
    }
}
