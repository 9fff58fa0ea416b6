// Tests of the request limits that replicas state, on nodes that call each other over loopback connections.
#include "node/node.h"

#include "fakes/inmemoryobjectstore.h"
#include "fakes/runloop.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>

using namespace currantlug;
using namespace currantlug::tests;

namespace {

constexpr const char *Service = "desk";

/// Nodes of one zone whose replicas state a limit in every response.
class LimitedFleet
{
public:
    LimitedFleet(std::size_t nodes, std::size_t replicas)
        : store(loop)
    {
        store.put("settings", "current", Json::object());
        for (std::size_t i = 0; i < replicas; ++i) {
            store.put("replicas", "r" + std::to_string(i), Json::object());
        }
        for (std::size_t i = 0; i < nodes; ++i) {
            members_.push_back(std::make_unique<Member>(*this, "node-" + std::to_string(i)));
        }
        for (const auto &member : members_) {
            for (const auto &other : members_) {
                member->node->mesh().add(other->name, other->address);
            }
            member->node->start();
        }
        const std::string allReady =
            "currantlug_replicas{service=\"desk\",condition=\"ready\"} " + std::to_string(replicas);
        REQUIRE(runUntil(loop, [&] {
            return std::all_of(members_.begin(), members_.end(), [&](const auto &member) {
                return member->node->ready() && member->node->mesh().live().size() + 1 == members_.size()
                    && member->node->metrics().find(allReady) != std::string::npos;
            });
        }));
        // The nodes have agreed on who issues permits.
        runFor(loop, std::chrono::milliseconds(1100));
    }

    void send(std::size_t node)
    {
        serving::InboundRequest request;
        request.id = "q" + std::to_string(++lastRequest_);
        request.method = "POST";
        request.host = "shop";
        request.target = "/orders/1";
        request.deadline = absl::Seconds(2);
        request.arrived = net::loopNow();
        serving::ResponseSink sink;
        sink.respond = [this](int status, const net::Headers &headers, std::string_view) {
            ++answers[status];
            refusalsWithoutRetryAfter += status == 503 && !headers.find("Retry-After") ? 1 : 0;
        };
        sink.onClientGone = [](std::function<void()>) {};
        members_[node]->node->handleRequest(std::move(request), sink);
    }

    /// Sends requests for `time`, every `period` at the next of the nodes.
    void load(const std::vector<std::size_t> &nodes, absl::Duration period, absl::Duration time)
    {
        const Instant end = net::loopNow() + time;
        std::size_t next = 0;
        while (net::loopNow() < end) {
            send(nodes[next++ % nodes.size()]);
            runFor(loop, absl::ToChronoMilliseconds(period));
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

    std::string metrics(std::size_t node) { return members_[node]->node->metrics(); }

    net::Loop loop;
    InMemoryObjectStore store;
    std::optional<double> limit; ///< Stated by all replicas.
    std::map<int, int> answers; ///< Number by status.
    int refusalsWithoutRetryAfter = 0;

private:
    struct Member
    {
        Member(LimitedFleet &fleet, std::string memberName)
            : name(std::move(memberName))
            , client(fleet.loop)
            , server(fleet.loop, [this](const net::ServerCallPtr &call) { node->mesh().serve(call); })
        {
            REQUIRE(server.listen(net::Endpoint(boost::asio::ip::address_v4::loopback(), 0)).ok());
            address = "127.0.0.1:" + std::to_string(server.port());
            node::NodeSettings settings;
            settings.name = name;
            settings.availabilityZone = "ifrane";
            settings.region = "atlas";
            settings.regionOfZone = {{"ifrane", "atlas"}};
            settings.controlAddress = address;
            node = std::make_unique<node::Node>(fleet.loop, client, settings, fleet.binding());
        }

        std::string name;
        std::string address;
        net::HttpClient client;
        net::HttpServer server;
        std::unique_ptr<node::Node> node;
    };

    node::PlatformBinding binding()
    {
        node::PlatformBinding binding;
        binding.store = store.port();
        binding.configKind = "settings";
        binding.configName = "current";
        binding.parseConfig = [](const objects::StoredObject &object) {
            serving::GatewayConfig config;
            config.version = object.revision;
            serving::Route route;
            route.name = "orders";
            route.host = "shop";
            route.pathPrefix = "/orders/";
            route.kind = serving::RouteKind::Safe;
            route.authExempt = true;
            route.maxAttempts = 3;
            route.targetLatency = absl::Milliseconds(200);
            route.services = {{Service, 1}};
            config.routes.push_back(route);
            return std::optional(config);
        };
        binding.replicas.send = [this](const serving::Replica &replica, const serving::OutboundRequest &,
                                       const net::ClientLimits &, serving::ReplicaHandlers handlers) {
            arrivals_[replica.entry.id].push_back(net::loopNow());
            serving::ReplicaHead head;
            head.status = 200;
            head.requestLimit = limit;
            net::HttpResponse response;
            response.status = 200;
            net::runAfter(loop, absl::Milliseconds(5), [head, response, handlers = std::move(handlers)] {
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
            entry.service = Service;
            entry.availabilityZone = "ifrane";
            entry.slots = 6;
            return std::optional(entry);
        };
        return binding;
    }

    std::vector<std::unique_ptr<Member>> members_;
    std::map<std::string, std::vector<Instant>> arrivals_; ///< By replica.
    int lastRequest_ = 0;
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
        LimitedFleet fleet(4, 2);
        fleet.limit = Limit;
        const Instant begin = net::loopNow();
        fleet.load(nodes, absl::Milliseconds(10), LearningTime + Window);
        const int allowed = static_cast<int>(1.5 * Limit * absl::ToDoubleSeconds(Window)) + 5;
        for (const char *replica : {"r0", "r1"}) {
            CAPTURE(replica);
            CHECK(fleet.mostArrivals(replica, Window, begin + LearningTime) <= allowed);
            const int used = fleet.arrivalsBetween(replica, begin + LearningTime, begin + LearningTime + Window);
            CHECK(used >= 0.9 * Limit * absl::ToDoubleSeconds(Window));
        }
        // What can't be served is refused, and told when to return.
        CHECK(fleet.answers[200] + fleet.answers[503] > 0.9 * absl::ToDoubleSeconds(Window) * 100);
        CHECK(fleet.refusalsWithoutRetryAfter == 0);
    }
}
