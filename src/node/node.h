// A node: contact to the others, the configuration in force, requests, jobs and, while it leads, the duties.
#ifndef CURRANTLUG_NODE_NODE_H
#define CURRANTLUG_NODE_NODE_H

#include "control/controller.h"
#include "core/enumnames.h"
#include "jobs/jobservice.h"
#include "node/nodemetrics.h"
#include "node/nodesettings.h"
#include "node/peermesh.h"
#include "node/relayedstore.h"
#include "objects/objectmirror.h"
#include "serving/requestrunner.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::node {

/// Why the configuration doesn't allow a request.
enum class Denial {
    UnknownKey,
    NoRoute,
};

} // namespace currantlug::node

template<>
struct currantlug::EnumNames<currantlug::node::Denial>
{
    using Denial = currantlug::node::Denial;
    static constexpr std::array<std::pair<Denial, std::string_view>, 2> Table{{
        {Denial::UnknownKey, "key_refused"},
        {Denial::NoRoute, "no_route"},
    }};
};

namespace currantlug::node {

/// What the platform folder gives a node: calls, and how to read the platform's objects.
struct PlatformBinding
{
    objects::ObjectPort store;
    serving::ReplicaPort replicas;
    control::DutyPort duties;
    control::ControlKinds controlKinds;
    std::string configKind;
    std::string configName;
    std::function<std::optional<serving::GatewayConfig>(const objects::StoredObject &)> parseConfig;
    std::string replicaKind;
    std::function<std::optional<serving::ReplicaEntry>(const objects::StoredObject &)> parseReplica;
    /// Reads a submitted job. The error's message goes to the client.
    std::function<absl::StatusOr<jobs::JobSpec>(const serving::InboundRequest &, const std::string &workspace)>
        parseJob;
};

class Node
{
public:
    Node(net::Loop &loop, net::HttpClient &client, NodeSettings settings, PlatformBinding binding);

    void start();
    /// Leaves the address answers, hands jobs over and lets requests finish.
    void stop();
    /// Gives what only this process knows and others need to another node. Call right before the process ends.
    void handOverCounts(std::function<void()> done);
    void addSeeds(const std::vector<std::string> &seeds);

    bool ready() const;
    /// Front addresses for a client, near ones first and only these where there are enough.
    std::vector<std::string> addressesFor(const std::string &region, const std::string &availabilityZone) const;
    absl::Duration addressTtl() const;
    /// Limits of the configuration in force; the defaults before there is one.
    net::ServerLimits limits() const;
    void onConfig(std::function<void()> handler) { configHandler_ = std::move(handler); }

    void handleRequest(serving::InboundRequest request, serving::AnswerSink sink);
    /// The workspace whose key came with a call on a job, or nothing after a refusal was sent.
    std::optional<std::string> authorizeJobCall(const serving::InboundRequest &request,
                                                const serving::AnswerSink &sink) const;
    /// Metrics as text.
    std::string metrics();
    /// Sets gauges of the process before each exposition.
    void onScrape(std::function<void(telemetry::MetricsRegistry &)> handler) { scrapeHandler_ = std::move(handler); }
    jobs::JobService &jobs() { return *jobs_; }
    PeerMesh &mesh() { return mesh_; }

private:
    static constexpr const char *NodeKind = "nodes"; ///< Kind of the nodes' registrations.

    NodeInfo info() const;
    /// Asks to come back soon; the request hasn't run.
    void refuseTemporarily(const serving::InboundRequest &request, const serving::AnswerSink &sink,
                           std::string_view reason) const;
    /// Answers a request that the configuration doesn't allow; asks to come back where it may be out of date.
    void deny(const serving::InboundRequest &request, const serving::AnswerSink &sink, Denial denial) const;
    void onConfigObject(const objects::ObjectChange &change);
    void applyConfig(const objects::StoredObject &object, std::string_view source);
    void onReplicaObject(const objects::ObjectChange &change);
    void onNodeObject(const objects::ObjectChange &change);
    void registerNode();
    bool peerCall(const std::string &method, const Json &body, std::function<void(Json)> reply);
    void fastTick();
    void slowTick();
    bool storeReached() const;
    /// False while neither this node nor one that it knows hears of new configurations: what the configuration doesn't
    /// have may exist by now.
    bool configCurrent() const;
    /// Fetches configuration and replicas from a peer while the store can't be reached, or news seem to be held back.
    void syncFromPeer();
    void applySnapshot(const Json &reply);
    Json snapshot(std::uint64_t configRevision) const;
    void unregisterLostNodes();

    net::Loop &loop_;
    net::HttpClient &client_;
    NodeSettings settings_;
    NodeMetrics metrics_; ///< The calls of the binding's store are counted here.
    PlatformBinding binding_;
    std::string incarnation_;
    serving::ReplicaTable replicas_;
    control::RequestCounts counts_;
    PeerMesh mesh_;
    RelayedStore relayedStore_;
    serving::RequestRunner requests_;
    std::unique_ptr<jobs::JobService> jobs_;
    std::unique_ptr<control::Controller> controller_;
    objects::ObjectMirror configMirror_;
    objects::ObjectMirror replicaMirror_;
    objects::ObjectMirror nodeMirror_;
    std::optional<serving::GatewayConfig> config_;
    objects::StoredObject configObject_; ///< As stored, to pass on to other nodes.
    std::map<std::string, objects::StoredObject> replicaObjects_; ///< As stored, by replica.
    std::map<std::string, std::string> leaderPlan_; ///< Model by replica, from the node that leads.
    std::map<std::string, Instant> lostNodes_; ///< Registered and out of contact since.
    std::function<void()> configHandler_;
    std::function<void(telemetry::MetricsRegistry &)> scrapeHandler_;
    bool registered_ = false;
    bool stopping_ = false;
    bool syncingFromPeer_ = false;
    Instant startedAt_;
};

} // namespace currantlug::node

#endif
