// Tests of contact between nodes: probes, lost peers and unreadable calls.
#include "node/peermesh.h"

#include "fakes/runloop.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

using namespace currantlug;
using namespace currantlug::tests;

namespace {

/// A process that only keeps contact. Destroying it closes its sockets. All times are a quarter of those in use.
struct MeshNode
{
    explicit MeshNode(const std::string &name)
        : client(loop)
        , server(std::make_unique<net::HttpServer>(loop, [this](const net::ServerCallPtr &call) {
            ++probesServed;
            mesh->serve(call);
        }))
    {
        info.name = name;
        info.incarnation = name + "-1";
        info.holdsTexts = false;
        REQUIRE(server->listen(net::Endpoint(boost::asio::ip::address_v4::loopback(), 0)).ok());
        info.control = "127.0.0.1:" + std::to_string(server->port());
        node::PeerMeshSettings settings;
        settings.period = absl::Milliseconds(250);
        settings.checkPeriod = absl::Milliseconds(62);
        settings.timeout = absl::Milliseconds(175);
        settings.lostAfter = absl::Milliseconds(600);
        mesh = std::make_unique<node::PeerMesh>(loop, client, settings, [this] { return info; });
        mesh->onLost([this](const std::string &, bool heldTexts) {
            ++losses;
            lostWithTexts = heldTexts;
        });
        mesh->onLeaderState([](const Json &) {});
    }

    net::Loop loop;
    net::HttpClient client;
    std::unique_ptr<net::HttpServer> server;
    std::unique_ptr<node::PeerMesh> mesh;
    node::NodeInfo info;
    int probesServed = 0;
    int losses = 0;
    bool lostWithTexts = false;
};

/// Runs the processes in turn until the condition holds. Returns false if it does not within the limit.
bool runUntil(const std::vector<MeshNode *> &nodes, const std::function<bool()> &condition,
              std::chrono::milliseconds limit = std::chrono::seconds(20))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        for (MeshNode *node : nodes) {
            runFor(node->loop, std::chrono::milliseconds(1));
        }
    }
    return true;
}

void runFor(const std::vector<MeshNode *> &nodes, std::chrono::milliseconds time)
{
    runUntil(
        nodes, [] { return false; }, time);
}

bool inContact(const MeshNode &a, const MeshNode &b)
{
    return a.mesh->isAlive(b.info.name, b.info.incarnation) && b.mesh->isAlive(a.info.name, a.info.incarnation);
}

} // namespace

// Guards against contact that costs twice what it must in a large fleet: each of two nodes asked the other one,
// although one question tells both.
TEST_CASE("one node of a pair probes, and both are in contact and learn what the other one reports")
{
    MeshNode a("a");
    MeshNode b("b");
    a.mesh->add("b", b.info.control);
    a.mesh->start();
    b.mesh->start();
    REQUIRE(runUntil({&a, &b}, [&] { return inContact(a, b); }));
    const int before = a.probesServed + b.probesServed;
    a.info.processorShare = 0.5;
    b.info.holdsTexts = true;
    runFor({&a, &b}, std::chrono::milliseconds(2500));
    // Ten periods; each of the two nodes may begin one more.
    CHECK(a.probesServed + b.probesServed - before <= 12);
    CHECK(inContact(a, b));
    REQUIRE(b.mesh->jobHosts().size() == 1);
    CHECK(b.mesh->jobHosts().front().processorShare == 0.5);
    CHECK(a.mesh->textHolders() == std::vector<std::string>{"b"});
    CHECK(a.losses + b.losses == 0);
}

// Guards against a lost node that is noticed late because it was the one that probed: the other one takes over the
// probing.
TEST_CASE("a node that has ended is noticed by its peer within two periods, whichever of them probed")
{
    for (const bool firstEnds : {true, false}) {
        CAPTURE(firstEnds);
        auto ending = std::make_unique<MeshNode>("a");
        MeshNode other("b");
        if (firstEnds) {
            ending->mesh->add("b", other.info.control);
        } else {
            other.mesh->add("a", ending->info.control);
        }
        ending->info.holdsTexts = true;
        ending->mesh->start();
        other.mesh->start();
        REQUIRE(runUntil({ending.get(), &other}, [&] { return inContact(*ending, other); }));
        runFor({ending.get(), &other}, std::chrono::milliseconds(750));
        REQUIRE(other.losses == 0);
        ending.reset();
        CHECK(runUntil(
            {&other}, [&other] { return other.losses > 0; }, std::chrono::milliseconds(500)));
        CHECK(other.lostWithTexts);
    }
}

// Guards against a crash of the process by malformed CBOR: a body can announce a container larger than any memory, for
// which the parser throws.
TEST_CASE("an unreadable call of a peer is refused")
{
    net::Loop loop;
    net::HttpClient client(loop);
    node::PeerMesh mesh(loop, client, {}, [] { return node::NodeInfo{}; });
    net::HttpServer server(loop, [&mesh](const net::ServerCallPtr &call) { mesh.serve(call); });
    REQUIRE(server.listen(net::Endpoint(boost::asio::ip::address_v4::loopback(), 0)).ok());
    const std::string peer = "127.0.0.1:" + std::to_string(server.port());
    for (const std::string &body :
         {std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9), std::string(100000, '\x81'), std::string("\xff")}) {
        net::HttpRequest request;
        request.method = "POST";
        request.target = "/peer/sync";
        request.headers.add("Host", peer);
        request.body = body;
        int status = 0;
        net::ClientHandlers handlers;
        handlers.onDone = [&status](const absl::StatusOr<net::HttpResponse> &response) {
            status = response.ok() ? response->status : -1;
        };
        client.call(peer, request, {}, std::move(handlers));
        REQUIRE(runUntil(loop, [&status] { return status != 0; }));
        CHECK(status == 400);
    }
}

// Guards against a node that goes on using a replica although another node knows that it leaves.
TEST_CASE("a node tells its peers which replicas have said that they leave")
{
    MeshNode one("one");
    MeshNode two("two");
    one.info.leavingReplicas = {{"r1", "10.0.0.1:80", 1700000000123}, {"r2", "10.0.0.2:80", 0}};
    two.mesh->add("one", one.info.control);
    one.mesh->start();
    two.mesh->start();
    REQUIRE(runUntil({&one, &two}, [&two] { return !two.mesh->contacts().empty(); }));
    CHECK(two.mesh->contacts().front().leavingReplicas == one.info.leavingReplicas);
    const auto spoiled = node::parseNodeInfo(
        {{"name", "n"}, {"control", "c"}, {"leaving", {1, {"r", "a"}, {"r", "a", "then"}, {"r3", "a", 4}}}});
    REQUIRE(spoiled.has_value());
    CHECK(spoiled->leavingReplicas == std::vector<serving::ReplicaIncarnation>{{"r3", "a", 4}});
}

// Guards against demand that is lost between nodes of two releases: nodes of the earlier one state a number for a
// model.
TEST_CASE("the demand for models is read in its present and its earlier form")
{
    node::NodeInfo info;
    info.name = "n";
    info.control = "c";
    info.modelDemand = {{"m0", {500, 96}}, {"m1", {700, 144}}};
    const auto present = node::parseNodeInfo(node::toJson(info));
    REQUIRE(present.has_value());
    CHECK(present->modelDemand == info.modelDemand);
    const auto earlier =
        node::parseNodeInfo({{"name", "n"}, {"control", "c"}, {"demand", {{"m0", 500}, {"m1", "many"}}}});
    REQUIRE(earlier.has_value());
    CHECK(earlier->modelDemand == scheduling::DemandByModel{{"m0", {500, 0}}});
}
