// Nodes of one zone in one process, which call each other over loopback connections and share a store in memory and the
// replicas of one service.
#ifndef CURRANTLUG_TESTS_NODE_NODEFLEET_H
#define CURRANTLUG_TESTS_NODE_NODEFLEET_H

#include "node/node.h"

#include "fakes/inmemoryobjectstore.h"
#include "fakes/runloop.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace currantlug::tests {

class NodeFleet
{
public:
    using Send =
        std::function<void(const serving::Replica &, const serving::OutboundRequest &, serving::ReplicaHandlers)>;

    /// `send`: the replicas, which receive requests at any node. `evacuateTime`: see NodeSettings.
    NodeFleet(std::size_t nodes, std::size_t replicas, Send send, std::optional<absl::Duration> evacuateTime = {})
        : store(loop)
        , evacuateTime_(evacuateTime)
        , send_(std::move(send))
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
        ready_ = runUntil(loop, [&] {
            return std::all_of(members_.begin(), members_.end(), [&](const auto &member) {
                return member->node->ready() && member->node->mesh().live().size() + 1 == members_.size()
                    && member->node->metrics().find(allReady) != std::string::npos;
            });
        });
        // The nodes have agreed on who issues permits.
        runFor(loop, std::chrono::milliseconds(1100));
    }

    bool ready() const { return ready_; }

    /// Sends a client request to a node. Requests with the same body are the same one under new ids.
    void send(std::size_t node, const std::string &body = "")
    {
        serving::InboundRequest request;
        request.id = "q" + std::to_string(++lastRequest_);
        request.method = "POST";
        request.host = "shop";
        request.target = "/orders/1";
        request.body = body;
        request.deadline = absl::Seconds(2);
        request.arrived = net::loopNow();
        serving::ResponseSink sink;
        sink.respond = [this, body](int status, const net::Headers &headers, std::string_view) {
            ++answers[status];
            ++answersTo[body][status];
            refusalsWithoutRetryAfter += status == 503 && !headers.find("Retry-After") ? 1 : 0;
        };
        sink.onClientGone = [](std::function<void()>) {};
        members_[node]->node->handleRequest(std::move(request), sink);
    }

    /// Number of nodes that watch the registry of replicas themselves.
    std::size_t watchers()
    {
        return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const auto &member) {
            return member->node->metrics().find("\ncurrantlug_watching_replicas 1\n") != std::string::npos;
        }));
    }

    /// Number of requests that the node answered by 503 with this outcome.
    int requestsEnded(std::size_t node, const std::string &outcome)
    {
        const std::string name = "currantlug_requests_total{kind=\"safe\",outcome=\"" + outcome + "\",status=\"5xx\"} ";
        const std::string text = members_[node]->node->metrics();
        const std::size_t begin = text.find(name);
        return begin == std::string::npos ? 0 : std::stoi(text.substr(begin + name.size()));
    }

    net::Loop loop;
    InMemoryObjectStore store;
    std::map<int, int> answers; ///< Number by status.
    std::map<std::string, std::map<int, int>> answersTo; ///< Number by body and status.
    int refusalsWithoutRetryAfter = 0;
    /// Whether a replica lives, by its id; asked by nodes that lost a connection.
    std::function<serving::ReplicaLiveness(const std::string &)> livenessOf;

private:
    struct Member
    {
        Member(NodeFleet &fleet, std::string memberName)
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
            settings.evacuateTime = fleet.evacuateTime_;
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
            route.services = {{"desk", 1}};
            config.routes.push_back(route);
            return std::optional(config);
        };
        binding.replicas.send = [this](const serving::Replica &replica, const serving::OutboundRequest &request,
                                       const net::ClientLimits &, serving::ReplicaHandlers handlers) {
            send_(replica, request, std::move(handlers));
            return net::CallId{1};
        };
        binding.replicas.check = [this](const serving::Replica &replica,
                                        std::function<void(serving::ReplicaLiveness)> done) {
            net::runAfter(loop, absl::Milliseconds(2), [this, id = replica.entry.id, done = std::move(done)] {
                done(livenessOf ? livenessOf(id) : serving::ReplicaLiveness::Alive);
            });
        };
        binding.replicas.cancel = [](net::CallId) {};
        binding.replicaKind = "replicas";
        binding.evacuationKind = "evacuations";
        binding.parseReplica = [](const objects::StoredObject &object) {
            serving::ReplicaEntry entry;
            entry.id = object.name;
            entry.service = "desk";
            entry.availabilityZone = "ifrane";
            entry.slots = 6;
            return std::optional(entry);
        };
        return binding;
    }

    std::optional<absl::Duration> evacuateTime_;
    Send send_;
    bool ready_ = false;
    std::vector<std::unique_ptr<Member>> members_;
    int lastRequest_ = 0;
};

} // namespace currantlug::tests

#endif
