// Client requests to replicas that fail, refuse requests or never respond.
#include "serving/requestrunner.h"

#include "fakes/runloop.h"

#include <catch2/catch.hpp>

#include <map>

using namespace currantlug;
using namespace currantlug::serving;
using namespace currantlug::tests;

namespace {

enum class Behaviour { Answer, Shed, Reset, Refuse, Silent, Error };

class RequestRunnerFixture
{
public:
    explicit RequestRunnerFixture(int replicas, RouteKind kind = RouteKind::Safe)
        : table({})
        , runner(loop, table, suspects, port(), {}, {},
                 {[this](const std::string &workspace) { ++started[workspace]; },
                  [](RouteKind, std::string_view, int, absl::Duration) {}})
    {
        for (int i = 0; i < replicas; ++i) {
            ReplicaEntry entry;
            entry.id = "r" + std::to_string(i);
            entry.service = "desk";
            entry.slots = 2;
            table.update(entry);
        }
        route.name = "route";
        route.kind = kind;
        route.services = {{"desk", 1}};
        route.maxAttempts = 3;
        route.timeout = absl::Milliseconds(1500);
        route.targetLatency = absl::Milliseconds(800);
    }

    int sendRequest()
    {
        sendWithoutWaiting();
        runUntil(loop, [this] { return status.has_value(); });
        return status.value_or(0);
    }

    void sendWithoutWaiting()
    {
        InboundRequest request;
        request.id = "q";
        request.method = "POST";
        request.target = "/x";
        request.arrived = net::loopNow();
        ResponseSink sink;
        status.reset();
        sink.respond = [this](int code, const net::Headers &, std::string_view) {
            ++responses;
            status = code;
        };
        sink.begin = [this](int code, const net::Headers &) { status = code; };
        sink.write = [this](std::string_view part) { written += part; };
        sink.finish = [this] { ++responses; };
        sink.isCongested = [this] { return congested; };
        sink.onSent = [this](std::function<void()> handler) { sent = std::move(handler); };
        sink.onClientGone = [this](std::function<void()> handler) { disconnect = std::move(handler); };
        runner.run(std::move(request), route, "w", regions, std::move(sink));
    }

    net::Loop loop;
    ReplicaTable table;
    CrashSuspects suspects{CrashSuspectsSettings{}};
    RequestRunner runner;
    Route route;
    RegionSet regions;
    std::map<std::string, Behaviour> behaviourOf;
    std::vector<std::string> attempts;
    std::map<std::string, int> started;
    std::optional<int> status;
    std::function<void()> disconnect;
    bool congested = false;
    std::function<void()> sent;
    std::string written;
    std::vector<net::CallId> paused;
    std::vector<net::CallId> resumed;
    ReplicaHandlers lastHandlers;
    int responses = 0;
    int cancelled = 0;

private:
    ReplicaPort port()
    {
        ReplicaPort port;
        port.send = [this](const Replica &replica, const OutboundRequest &, const net::ClientLimits &,
                           ReplicaHandlers handlers) {
            attempts.push_back(replica.entry.id);
            const Behaviour behaviour = behaviourOf[replica.entry.id];
            const net::CallId id = ++lastCall_;
            pending_.insert(id);
            lastHandlers = handlers;
            net::runAfter(loop, absl::Milliseconds(5), [this, id, behaviour, handlers = std::move(handlers)] {
                if (behaviour == Behaviour::Silent || pending_.erase(id) == 0) {
                    return;
                }
                answer(behaviour, handlers);
            });
            return id;
        };
        port.pause = [this](net::CallId id) { paused.push_back(id); };
        port.resume = [this](net::CallId id) { resumed.push_back(id); };
        port.cancel = [this](net::CallId id) { cancelled += static_cast<int>(pending_.erase(id)); };
        return port;
    }

    static void answer(Behaviour behaviour, const ReplicaHandlers &handlers)
    {
        ReplicaHead head;
        net::HttpResponse response;
        if (behaviour == Behaviour::Reset || behaviour == Behaviour::Refuse) {
            const Outcome outcome = behaviour == Behaviour::Refuse ? Outcome::NotRun : Outcome::MayHaveRun;
            handlers.onDone(head, makeError(absl::StatusCode::kUnavailable, Step::Connect, "r", outcome, "reset"));
            return;
        }
        head.status = response.status = behaviour == Behaviour::Answer ? 200
            : behaviour == Behaviour::Error                            ? 500
                                                                       : 503;
        head.notRun = behaviour == Behaviour::Shed;
        handlers.onHead(head, response);
        handlers.onDone(head, response);
    }

    net::CallId lastCall_ = 0;
    std::set<net::CallId> pending_;
};

} // namespace

TEST_CASE("a request is sent to one replica and counted once")
{
    RequestRunnerFixture fixture(3);
    CHECK(fixture.sendRequest() == 200);
    CHECK(fixture.attempts.size() == 1);
    CHECK(fixture.started["w"] == 1);
}

// One of two replicas never responds. The client must not have to wait until its deadline.
TEST_CASE("an idempotent request is hedged if the first replica does not respond")
{
    RequestRunnerFixture fixture(2);
    fixture.behaviourOf["r0"] = Behaviour::Silent;
    const Instant start = net::loopNow();
    CHECK(fixture.sendRequest() == 200);
    CHECK(net::loopNow() - start < fixture.route.targetLatency);
    CHECK(fixture.attempts.size() == 2);
}

// Guards against a request that runs twice although it is not idempotent.
TEST_CASE("a request that is not idempotent is retried only if it is known not to have run")
{
    RequestRunnerFixture fixture(3, RouteKind::Unsafe);
    SECTION("a connection reset after sending is not retried")
    {
        fixture.behaviourOf["r0"] = Behaviour::Reset;
        CHECK(fixture.sendRequest() == 502);
        CHECK(fixture.attempts.size() == 1);
    }
    SECTION("a refusal by the replica is retried")
    {
        fixture.behaviourOf["r0"] = Behaviour::Shed;
        CHECK(fixture.sendRequest() == 200);
        CHECK(fixture.attempts.size() == 2);
    }
    SECTION("a refused connection is retried")
    {
        fixture.behaviourOf["r0"] = Behaviour::Refuse;
        CHECK(fixture.sendRequest() == 200);
        CHECK(fixture.attempts.size() == 2);
    }
    SECTION("a missing response is not retried and ends in a timeout")
    {
        fixture.behaviourOf["r0"] = Behaviour::Silent;
        CHECK(fixture.sendRequest() == 504);
        CHECK(fixture.attempts.size() == 1);
        CHECK(fixture.cancelled == 1);
    }
    SECTION("an error response of the replica is forwarded")
    {
        fixture.behaviourOf["r0"] = Behaviour::Error;
        CHECK(fixture.sendRequest() == 500);
        CHECK(fixture.attempts.size() == 1);
    }
}

// Guards against status 503, which states that a request did not run, for one that may have run, and against requests
// sent to more replicas than the route allows.
TEST_CASE("the status tells whether the request may have run, and the number of attempts is limited")
{
    RequestRunnerFixture fixture(5, RouteKind::Unsafe);
    for (int i = 0; i < 5; ++i) {
        fixture.behaviourOf["r" + std::to_string(i)] = Behaviour::Shed;
    }
    CHECK(fixture.sendRequest() == 503);
    CHECK(fixture.attempts.size() == 3);
    RequestRunnerFixture repeatableFixture(5);
    for (int i = 0; i < 5; ++i) {
        repeatableFixture.behaviourOf["r" + std::to_string(i)] = Behaviour::Reset;
    }
    CHECK(repeatableFixture.sendRequest() == 502);
    CHECK(repeatableFixture.attempts.size() == 3);
}

// Guards against replicas that keep working on a request after its client has disconnected.
TEST_CASE("the request is cancelled at the replica if the client disconnects")
{
    RequestRunnerFixture fixture(2, RouteKind::Unsafe);
    fixture.behaviourOf["r0"] = Behaviour::Silent;
    net::runAfter(fixture.loop, absl::Milliseconds(20), [&fixture] {
        fixture.disconnect();
        fixture.status = 0;
    });
    CHECK(fixture.sendRequest() == 0);
    CHECK(fixture.cancelled == 1);
    CHECK(fixture.responses == 0);
    CHECK(fixture.table.find("r0")->inFlight == 0);
}

// Guards against requests that wait until their deadline although the service has no replica.
TEST_CASE("a request is rejected immediately if there is no replica")
{
    RequestRunnerFixture fixture(0);
    const Instant start = net::loopNow();
    CHECK(fixture.sendRequest() == 503);
    CHECK(net::loopNow() - start < fixture.route.targetLatency / 4);
}

// Guards against a request that is served, or waits, although the route and the workspace allow no common region.
TEST_CASE("a request that is allowed in no region is refused at once")
{
    RequestRunnerFixture fixture(2);
    fixture.regions = RegionSet(std::set<std::string>{});
    CHECK(fixture.sendRequest() == 503);
    CHECK(fixture.started.empty());
}

// Guards against a process that keeps a stream without end because its client reads slowly.
TEST_CASE("a stream isn't read from its replica while its client doesn't keep up")
{
    RequestRunnerFixture fixture(1, RouteKind::Stream);
    fixture.behaviourOf["r0"] = Behaviour::Silent;
    fixture.sendWithoutWaiting();
    ReplicaHead head;
    head.status = 200;
    net::HttpResponse response;
    response.status = 200;
    fixture.lastHandlers.onHead(head, response);
    fixture.lastHandlers.onBody("one");
    CHECK(fixture.paused.empty());
    fixture.congested = true;
    fixture.lastHandlers.onBody("two");
    CHECK(fixture.written == "onetwo");
    CHECK(fixture.paused == std::vector<net::CallId>{1});
    CHECK(fixture.resumed.empty());
    fixture.sent();
    CHECK(fixture.resumed == std::vector<net::CallId>{1});
}
