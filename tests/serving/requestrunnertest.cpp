// Client requests at replicas that fail, refuse, stay silent or answer late.
#include "serving/requestrunner.h"

#include "fakes/runloop.h"

#include <catch2/catch.hpp>

#include <map>

using namespace currantlug;
using namespace currantlug::serving;
using namespace currantlug::tests;

namespace {

enum class Behaviour { Answer, Shed, Reset, Refuse, Silent, Error };

class Bench
{
public:
    explicit Bench(int replicas, RouteKind kind = RouteKind::Safe)
        : table({})
        , runner(loop, table, port(), {},
                 {[this](const std::string &workspace) { ++began[workspace]; },
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

    int ask()
    {
        InboundRequest request;
        request.id = "q";
        request.method = "POST";
        request.target = "/x";
        request.arrived = net::loopNow();
        AnswerSink sink;
        status.reset();
        sink.respond = [this](int code, const net::Headers &, std::string_view) {
            ++answers;
            status = code;
        };
        sink.onClientGone = [this](std::function<void()> handler) { leave = std::move(handler); };
        runner.run(std::move(request), route, "w", std::move(sink));
        runUntil(loop, [this] { return status.has_value(); });
        return status.value_or(0);
    }

    net::Loop loop;
    ReplicaTable table;
    RequestRunner runner;
    Route route;
    std::map<std::string, Behaviour> behaviour;
    std::vector<std::string> sent;
    std::map<std::string, int> began;
    std::optional<int> status;
    std::function<void()> leave;
    int answers = 0;
    int cancelled = 0;

private:
    ReplicaPort port()
    {
        ReplicaPort port;
        port.send = [this](const Replica &replica, const OutboundRequest &, const net::ClientLimits &,
                           ReplicaHandlers handlers) {
            sent.push_back(replica.entry.id);
            const Behaviour what = behaviour[replica.entry.id];
            const net::CallId id = ++calls_;
            open_.insert(id);
            net::runAfter(loop, absl::Milliseconds(5), [this, id, what, handlers = std::move(handlers)] {
                if (what == Behaviour::Silent || open_.erase(id) == 0) {
                    return;
                }
                answer(what, handlers);
            });
            return id;
        };
        port.cancel = [this](net::CallId id) { cancelled += static_cast<int>(open_.erase(id)); };
        return port;
    }

    static void answer(Behaviour what, const ReplicaHandlers &handlers)
    {
        ReplicaHead head;
        net::HttpResponse response;
        if (what == Behaviour::Reset || what == Behaviour::Refuse) {
            const Outcome outcome = what == Behaviour::Refuse ? Outcome::NotRun : Outcome::MayHaveRun;
            handlers.onDone(head, makeError(absl::StatusCode::kUnavailable, Step::Connect, "r", outcome, "reset"));
            return;
        }
        head.status = response.status = what == Behaviour::Answer ? 200 : what == Behaviour::Error ? 500 : 503;
        head.notRun = what == Behaviour::Shed;
        handlers.onHead(head, response);
        handlers.onDone(head, response);
    }

    net::CallId calls_ = 0;
    std::set<net::CallId> open_;
};

} // namespace

TEST_CASE("a request is answered by one replica and counted once")
{
    Bench bench(3);
    CHECK(bench.ask() == 200);
    CHECK(bench.sent.size() == 1);
    CHECK(bench.began["w"] == 1);
}

// Load: one of three replicas is silent. The caller must not wait for its whole time limit.
TEST_CASE("a repeatable request goes to a second replica when the first one is silent")
{
    Bench bench(2);
    bench.behaviour["r0"] = Behaviour::Silent;
    const Instant begun = net::loopNow();
    CHECK(bench.ask() == 200);
    CHECK(net::loopNow() - begun < bench.route.targetLatency);
    CHECK(bench.sent.size() == 2);
}

// Guards against a request that runs twice though it must not.
TEST_CASE("a request that can't be repeated is sent on only after a statement that it did not run")
{
    Bench bench(3, RouteKind::Unsafe);
    SECTION("a reset after sending ends it")
    {
        bench.behaviour["r0"] = Behaviour::Reset;
        CHECK(bench.ask() == 502);
        CHECK(bench.sent.size() == 1);
    }
    SECTION("a refusal by the replica sends it on")
    {
        bench.behaviour["r0"] = Behaviour::Shed;
        CHECK(bench.ask() == 200);
        CHECK(bench.sent.size() == 2);
    }
    SECTION("a refused connection sends it on")
    {
        bench.behaviour["r0"] = Behaviour::Refuse;
        CHECK(bench.ask() == 200);
        CHECK(bench.sent.size() == 2);
    }
    SECTION("silence is waited for and ends without a promise")
    {
        bench.behaviour["r0"] = Behaviour::Silent;
        CHECK(bench.ask() == 504);
        CHECK(bench.sent.size() == 1);
        CHECK(bench.cancelled == 1);
    }
    SECTION("a replica's own failure is passed on")
    {
        bench.behaviour["r0"] = Behaviour::Error;
        CHECK(bench.ask() == 500);
        CHECK(bench.sent.size() == 1);
    }
}

// Guards against an untrue "not run", and against requests sent to more replicas than the route allows.
TEST_CASE("a refusal of ours says what is known and the attempts are bounded")
{
    Bench bench(5, RouteKind::Unsafe);
    for (int i = 0; i < 5; ++i) {
        bench.behaviour["r" + std::to_string(i)] = Behaviour::Shed;
    }
    CHECK(bench.ask() == 503);
    CHECK(bench.sent.size() == 3);
    Bench safe(5);
    for (int i = 0; i < 5; ++i) {
        safe.behaviour["r" + std::to_string(i)] = Behaviour::Reset;
    }
    CHECK(safe.ask() == 502);
    CHECK(safe.sent.size() == 3);
}

// Guards against work that goes on after its client has left.
TEST_CASE("a client that leaves ends its request at the replica")
{
    Bench bench(2, RouteKind::Unsafe);
    bench.behaviour["r0"] = Behaviour::Silent;
    net::runAfter(bench.loop, absl::Milliseconds(20), [&bench] {
        bench.leave();
        bench.status = 0;
    });
    CHECK(bench.ask() == 0);
    CHECK(bench.cancelled == 1);
    CHECK(bench.answers == 0);
    CHECK(bench.table.find("r0")->inFlight == 0);
}

// Guards against requests that wait though no replica can serve them.
TEST_CASE("without a replica the refusal is immediate")
{
    Bench bench(0);
    const Instant begun = net::loopNow();
    CHECK(bench.ask() == 503);
    CHECK(net::loopNow() - begun < bench.route.targetLatency / 4);
}
