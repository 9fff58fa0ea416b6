// Tests of a node: answers while the configuration is missing or may be stale, metrics, and the graceful stop.
#include "node/node.h"
#include "node/gracefulstop.h"

#include "fakes/inmemoryobjectstore.h"
#include "fakes/runloop.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <thread>

using namespace currantlug;
using namespace currantlug::tests;
using objects::StoreOutcome;

namespace {

constexpr const char *ConfigKind = "settings";
constexpr const char *ConfigName = "current";

/// A configuration with one route for the host "shop" and one key.
std::optional<serving::GatewayConfig> singleRouteConfig(const objects::StoredObject &object)
{
    serving::GatewayConfig config;
    config.version = object.revision;
    serving::Route route;
    route.name = "orders";
    route.host = "shop";
    route.pathPrefix = "/orders/";
    route.kind = serving::RouteKind::Safe;
    route.services = {{"desk", 1}};
    config.routes.push_back(route);
    config.workspaces.push_back({"breeders", {}});
    config.workspaceByKey["known-key"] = 0;
    if (!object.value.contains("withdrawn")) {
        config.workspaceByKey["other key"] = 0;
    }
    return config;
}

node::NodeSettings nodeSettings()
{
    node::NodeSettings settings;
    settings.name = "node-1";
    settings.availabilityZone = "ifrane";
    settings.region = "atlas";
    settings.regionOfZone = {{"ifrane", "atlas"}};
    settings.controlAddress = "127.0.0.1:1";
    return settings;
}

/// A node without peers that uses an object store in memory.
class NodeFixture
{
public:
    NodeFixture()
        : store(loop)
        , client_(loop)
        , node(loop, client_, nodeSettings(), binding())
    {
        store.put(ConfigKind, ConfigName, Json::object());
        node.start();
    }

    /// Sends a request and returns the status of the answer, or 0 if there is none yet.
    int statusOf(const std::string &path, const std::string &key)
    {
        serving::InboundRequest request;
        request.id = "r1";
        request.method = "GET";
        request.host = "shop";
        request.target = path;
        request.key = key;
        request.arrived = net::loopNow();
        const auto status = std::make_shared<int>(0);
        serving::ResponseSink sink;
        sink.respond = [status](int code, const net::Headers &, std::string_view) { *status = code; };
        sink.onClientGone = [](std::function<void()>) {};
        node.handleRequest(std::move(request), sink);
        return *status;
    }

    /// True if the exposition of the node's metrics contains the text.
    bool hasMetric(const std::string &text) { return node.metrics().find(text) != std::string::npos; }

    /// All replicas answer every request, and say that they leave.
    void letReplicasLeave() { replicasLeave_ = true; }

    void failStore()
    {
        store.setFault(
            [](const std::string &, const std::string &, const std::string &) { return StoreOutcome::Refused; });
    }

private:
    node::PlatformBinding binding()
    {
        node::PlatformBinding binding;
        binding.store = store.port();
        binding.configKind = ConfigKind;
        binding.configName = ConfigName;
        binding.parseConfig = singleRouteConfig;
        binding.replicas.send = [this](const serving::Replica &replica, const serving::OutboundRequest &,
                                       const net::ClientLimits &, serving::ReplicaHandlers handlers) {
            requestsTo[replica.entry.id]++;
            serving::ReplicaHead head;
            head.status = 200;
            head.leaving = replicasLeave_;
            net::HttpResponse response;
            response.status = 200;
            boost::asio::post(loop, [head, response, handlers = std::move(handlers)] {
                handlers.onHead(head, response);
                handlers.onDone(head, response);
            });
            return net::CallId{1};
        };
        binding.replicas.cancel = [](net::CallId) {};
        binding.replicaKind = "replicas";
        binding.parseReplica = [](const objects::StoredObject &object) {
            serving::ReplicaEntry entry;
            entry.id = object.name;
            entry.service = "desk";
            entry.draining = object.value.contains("draining");
            return std::optional(entry);
        };
        binding.controlKinds.versions = "versions";
        binding.controlKinds.parseVersion = [](const objects::StoredObject &object) {
            return std::optional(control::PublishedVersion{object.name, object.value.get<std::uint64_t>()});
        };
        binding.controlKinds.retirements = "retirements";
        return binding;
    }

public:
    net::Loop loop;
    InMemoryObjectStore store;
    std::map<std::string, int> requestsTo; ///< By replica id.

private:
    bool replicasLeave_ = false;
    net::HttpClient client_;

public:
    node::Node node;
};

} // namespace

// Guards against a request that runs with a key which was withdrawn while the process was paused: the request waits in
// the socket and is read before the change of the configuration.
TEST_CASE("a node that was paused serves nothing before it has compared its configuration")
{
    NodeFixture fixture;
    REQUIRE(runUntil(fixture.loop, [&fixture] { return fixture.statusOf("/other/", "other key") == 404; }));
    // No replica is known: a request that is allowed is refused for that reason, one with a withdrawn key by 401.
    CHECK(fixture.statusOf("/orders/1", "other key") == 503);
    fixture.store.put(ConfigKind, ConfigName, {{"withdrawn", true}});
    // The pause of the process; nothing is waited for.
    std::this_thread::sleep_for(std::chrono::milliseconds(2100));
    CHECK(fixture.statusOf("/other/", "other key") == 503);
    REQUIRE(runUntil(fixture.loop, [&fixture] { return fixture.statusOf("/other/", "known-key") == 404; }));
    CHECK(fixture.statusOf("/orders/1", "other key") == 401);
}

// Guards against a final denial of a route or key during a store outage: a newer configuration, which no node can
// fetch, may have added it.
TEST_CASE("a node asks clients to retry unknown routes and keys during a store outage")
{
    NodeFixture fixture;
    REQUIRE(runUntil(fixture.loop, [&fixture] { return fixture.statusOf("/other/", "known-key") == 404; }));
    CHECK(fixture.statusOf("/orders/1", "other-key") == 401);

    fixture.failStore();
    CHECK(runUntil(fixture.loop, [&fixture] { return fixture.statusOf("/other/", "known-key") == 503; }));
    CHECK(fixture.statusOf("/orders/1", "other-key") == 503);

    fixture.store.setFault({});
    CHECK(runUntil(fixture.loop, [&fixture] { return fixture.statusOf("/other/", "known-key") == 404; }));
    CHECK(fixture.statusOf("/orders/1", "other-key") == 401);
}

// Guards against routes, keys and replicas of before a silence of the store, seconds after its return.
TEST_CASE("a watch that the store never answers doesn't keep a node's view behind after the store's return")
{
    // A node counts as in touch again this long after a store outage, and must then follow configuration and replicas.
    constexpr absl::Duration ContactTime = absl::Seconds(4);
    NodeFixture fixture;
    fixture.store.put("replicas", "r1", Json::object());
    REQUIRE(runUntil(fixture.loop, [&] {
        return fixture.node.ready() && fixture.hasMetric("currantlug_leading 1")
            && fixture.hasMetric("currantlug_replicas{service=\"desk\",condition=\"ready\"} 1");
    }));
    // All watches wait for changes when the store falls silent.
    runFor(fixture.loop, std::chrono::milliseconds(1500));
    fixture.store.setSilent(true, objects::WatchReplyAllowance);
    runFor(fixture.loop, std::chrono::milliseconds(50));
    fixture.store.setSilent(false, objects::WatchReplyAllowance);
    const Instant returned = net::loopNow();
    fixture.store.put(ConfigKind, ConfigName, Json::object());
    const std::string newVersion = "currantlug_config_version " + std::to_string(fixture.store.revision());
    fixture.store.put("replicas", "r1", {{"draining", true}});
    fixture.store.put("versions", "m", 2);
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.hasMetric(newVersion); }));
    CHECK(net::loopNow() - returned < ContactTime);
    REQUIRE(runUntil(fixture.loop, [&] {
        return fixture.hasMetric("currantlug_replicas{service=\"desk\",condition=\"draining\"} 1");
    }));
    CHECK(net::loopNow() - returned < ContactTime);
    REQUIRE(runUntil(fixture.loop, [&] {
        return fixture.hasMetric("currantlug_events_total{subsystem=\"weights\",event=\"named\"} 1");
    }));
    CHECK(net::loopNow() - returned < ContactTime);
}

// Guards against requests to a replica that leaves, sent by a node that neither the store nor a peer tells of it.
TEST_CASE("a node without store and peers stops using a replica that says that it leaves")
{
    NodeFixture fixture;
    fixture.store.put("replicas", "r1", Json::object());
    REQUIRE(runUntil(fixture.loop, [&fixture] {
        return fixture.hasMetric("currantlug_replicas{service=\"desk\",condition=\"ready\"} 1");
    }));
    fixture.statusOf("/orders/1", "known-key");
    runFor(fixture.loop, std::chrono::milliseconds(20));
    CHECK(fixture.statusOf("/orders/1", "known-key") == 0);
    CHECK(fixture.requestsTo["r1"] == 2);
    fixture.failStore();
    fixture.letReplicasLeave();
    runFor(fixture.loop, std::chrono::milliseconds(20));
    fixture.statusOf("/orders/1", "known-key");
    runFor(fixture.loop, std::chrono::milliseconds(20));
    const int before = fixture.requestsTo["r1"];
    // All replicas of the service leave: the refusal comes at once.
    CHECK(fixture.statusOf("/orders/1", "known-key") == 503);
    // The store returns with a registration that says nothing of it.
    fixture.store.setFault({});
    fixture.store.put("replicas", "r1", {{"cold", 1}});
    runFor(fixture.loop, std::chrono::milliseconds(1600));
    CHECK(fixture.statusOf("/orders/1", "known-key") == 503);
    CHECK(fixture.requestsTo["r1"] == before);
    CHECK(fixture.hasMetric("currantlug_events_total{subsystem=\"replica\",event=\"leaving\"} 1"));
}

// Guards against the loss of metrics that on-call engineers are told to look at.
TEST_CASE("metrics include refusals, store calls and the state of the node")
{
    NodeFixture fixture;
    REQUIRE(runUntil(fixture.loop, [&fixture] { return fixture.statusOf("/other/", "known-key") == 404; }));
    REQUIRE(fixture.statusOf("/orders/1", "known-key") == 503);
    const std::string text = fixture.node.metrics();
    const auto has = [&text](const char *part) { return text.find(part) != std::string::npos; };
    CHECK(has("currantlug_ready 1"));
    CHECK(has("currantlug_store_reached 1"));
    CHECK(has("currantlug_requests_total{kind=\"safe\",outcome=\"no_replica\",status=\"5xx\"}"));
    CHECK(has("currantlug_events_total{subsystem=\"request\",event=\"no_route\"}"));
    CHECK(has("currantlug_events_total{subsystem=\"request\",event=\"refused\"}"));
    CHECK(has("currantlug_store_calls_total{operation=\"list\",outcome=\"done\"}"));
    CHECK(has("currantlug_store_call_seconds_bucket"));
    CHECK(has("currantlug_request_seconds_count"));
    CHECK(has("currantlug_items{state=\"waiting\"} 0"));
    CHECK(has("currantlug_view_age_seconds{view=\"config\"}"));
    CHECK(has("currantlug_view_age_seconds{view=\"replicas\"}"));
    // Ids and keys must not become labels, because their number is unbounded.
    CHECK_FALSE(has("r1"));
    CHECK_FALSE(has("known-key"));
}

// Guards against an operator who sees replicas of a service whose last one has gone.
TEST_CASE("the count of a service's replicas falls to 0 when the last one has gone")
{
    NodeFixture fixture;
    fixture.store.put("replicas", "r1", Json::object());
    const auto count = [&fixture](const std::string &count) {
        return fixture.hasMetric("currantlug_replicas{service=\"desk\",condition=\"ready\"} " + count + "\n");
    };
    REQUIRE(runUntil(fixture.loop, [&count] { return count("1"); }));
    fixture.store.erase("replicas", "r1");
    // Not scraped while the replica is removed from the table.
    runFor(fixture.loop, std::chrono::milliseconds(1600));
    CHECK(count("0"));
}

// Guards against a graceful stop that aborts an open request, and against one that waits for a request until the
// process is killed.
TEST_CASE("a stopping node waits for open requests, but exits within the grace period")
{
    const bool answered = GENERATE(true, false);
    CAPTURE(answered);
    NodeFixture fixture;
    REQUIRE(runUntil(fixture.loop, [&fixture] { return fixture.node.ready(); }));
    net::ServerCallPtr openCall;
    net::HttpServer front(fixture.loop, [&openCall](const net::ServerCallPtr &call) { openCall = call; });
    REQUIRE(front.listen(net::Endpoint(boost::asio::ip::address_v4::loopback(), 0)).ok());
    net::HttpClient client(fixture.loop);
    net::HttpRequest request;
    request.method = "GET";
    request.target = "/";
    request.headers.add("Host", "shop");
    int status = 0;
    net::ClientHandlers handlers;
    handlers.onDone = [&status](const absl::StatusOr<net::HttpResponse> &response) {
        status = response.ok() ? response->status : -1;
    };
    client.call("127.0.0.1:" + std::to_string(front.port()), request, {}, std::move(handlers));
    REQUIRE(runUntil(fixture.loop, [&openCall] { return openCall != nullptr; }));

    constexpr absl::Duration Grace = absl::Seconds(2);
    node::GracefulStop stop(fixture.loop, fixture.node, front, Grace);
    bool done = false;
    const Instant begun = net::loopNow();
    stop.begin([&done] { done = true; });
    CHECK_FALSE(fixture.node.ready());
    runFor(fixture.loop, std::chrono::milliseconds(1000));
    CHECK_FALSE(done);
    if (answered) {
        openCall->respond(200, {}, "late");
    }
    REQUIRE(runUntil(fixture.loop, [&done] { return done; }));
    CHECK(net::loopNow() - begun < Grace);
    CHECK(status == (answered ? 200 : 0));
}

// Guards against an answer that is cut by a planned stop: it was queued whole, so its request no longer counted as
// open, and the process ended while the client still read it.
TEST_CASE("a stopping node waits for answers that clients still read, but exits within the grace period")
{
    const bool clientReads = GENERATE(true, false);
    CAPTURE(clientReads);
    NodeFixture fixture;
    REQUIRE(runUntil(fixture.loop, [&fixture] { return fixture.node.ready(); }));
    const std::string body(16 << 20, 'x'); // More than the buffers of the two sockets hold.
    net::HttpServer front(fixture.loop, [&body](const net::ServerCallPtr &call) { call->respond(200, {}, body); });
    REQUIRE(front.listen(net::Endpoint(boost::asio::ip::address_v4::loopback(), 0)).ok());
    boost::asio::ip::tcp::socket client(fixture.loop);
    client.connect(net::Endpoint(boost::asio::ip::address_v4::loopback(), front.port()));
    boost::asio::write(client, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: shop\r\n\r\n")));
    REQUIRE(runUntil(fixture.loop, [&front] { return front.unsentBytes() > 0; }));

    constexpr absl::Duration Grace = absl::Seconds(3);
    node::GracefulStop stop(fixture.loop, fixture.node, front, Grace);
    std::optional<std::uint64_t> unsentAtExit;
    const Instant begun = net::loopNow();
    stop.begin([&] { unsentAtExit = front.unsentBytes(); });
    runFor(fixture.loop, std::chrono::milliseconds(1700)); // Until after the last new connection was accepted.
    CHECK_FALSE(unsentAtExit.has_value());
    std::string received(2 * body.size(), '\0');
    if (clientReads) {
        boost::asio::async_read(client, boost::asio::buffer(received),
                                [](const boost::system::error_code &, std::size_t) {});
    }
    REQUIRE(runUntil(fixture.loop, [&unsentAtExit] { return unsentAtExit.has_value(); }));
    CHECK(net::loopNow() - begun < Grace);
    CHECK((*unsentAtExit == 0) == clientReads);
}

// Guards against a final denial before the first configuration is known.
TEST_CASE("a node without a configuration asks clients to retry")
{
    NodeFixture fixture;
    CHECK(fixture.statusOf("/orders/1", "known-key") == 503);
}
