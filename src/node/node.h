// A node of the fleet. It keeps contact to its peers, follows the configuration and the replicas registered in the
// object store, and handles the requests and batch jobs of clients. While it holds the controller lease, it also
// performs the controller's duties.
#ifndef CURRANTLUG_NODE_NODE_H
#define CURRANTLUG_NODE_NODE_H

#include "control/controller.h"
#include "core/enumnames.h"
#include "jobs/jobservice.h"
#include "node/nodemetrics.h"
#include "node/nodesettings.h"
#include "node/peermesh.h"
#include "node/relayedstore.h"
#include "node/replicafollower.h"
#include "node/replicajournal.h"
#include "node/stalldetector.h"
#include "node/watchplan.h"
#include "objects/objectmirror.h"
#include "serving/crashsuspects.h"
#include "serving/observedport.h"
#include "serving/permitledger.h"
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

/// How a node learnt what a replica says about itself.
enum class StatementSource {
    Answer, ///< From a response of the replica to this node.
    Peer, ///< From another node.
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

template<>
struct currantlug::EnumNames<currantlug::node::StatementSource>
{
    using StatementSource = currantlug::node::StatementSource;
    static constexpr std::array<std::pair<StatementSource, std::string_view>, 2> Table{{
        {StatementSource::Answer, "answer"},
        {StatementSource::Peer, "peer"},
    }};
};

namespace currantlug::node {

/// What the platform folder provides to a node: ports for outgoing calls and parsers for the platform's objects.
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
    std::string evacuationKind; ///< Objects with the names of the evacuated zones; empty if there are none.
    /// Parses a submitted job. The message of an error is sent to the client.
    std::function<absl::StatusOr<jobs::JobSpec>(serving::InboundRequest, const std::string &workspace)> parseJob;
    net::MemoryBudget *memory = nullptr; ///< Budget for bodies; null for none.
};

class Node
{
public:
    Node(net::Loop &loop, net::HttpClient &client, NodeSettings settings, PlatformBinding binding);

    void start();
    /// Stops being listed in answers to address queries, releases jobs and the controller lease, and lets open requests
    /// finish.
    void stop();
    /// Sends the usage counts that only this process holds to a peer. Must be called right before the process exits.
    void handOverCounts(std::function<void()> done);
    void addSeeds(const std::vector<std::string> &seeds);

    bool ready() const;
    /// Front addresses for a client of a host: those of its availability zone, then those of its region, then those in
    /// the home regions of the host's routes, then all others. Farther ones are included only if the nearer ones are
    /// too few.
    std::vector<std::string> addressesFor(const std::string &host, const std::string &region,
                                          const std::string &availabilityZone) const;
    /// TTL sent to clients with the addresses of addressesFor().
    absl::Duration addressTtl() const;
    /// Server limits of the configuration in force, or the defaults as long as there is none.
    net::ServerLimits limits() const;
    /// Sets the function that is called after a new configuration came into force.
    void onConfig(std::function<void()> handler) { configHandler_ = std::move(handler); }

    void handleRequest(serving::InboundRequest request, serving::ResponseSink sink);
    /// Returns the workspace of the key that came with the request. If access is refused, answers the request and
    /// returns nothing.
    std::optional<std::string> authorizeJobCall(const serving::InboundRequest &request,
                                                const serving::ResponseSink &sink) const;
    /// Metrics in text format.
    std::string metrics();
    /// Sets the function that updates process-wide gauges before each exposition.
    void onScrape(std::function<void(telemetry::MetricsRegistry &)> handler) { scrapeHandler_ = std::move(handler); }
    jobs::JobService &jobs() { return *jobs_; }
    PeerMesh &mesh() { return mesh_; }

private:
    static constexpr const char *NodeKind = "nodes"; ///< Object kind of the registrations of nodes.
    static constexpr const char *PermitsMethod = "replica/permits";
    static constexpr const char *CrashMethod = "replica/crash";

    NodeInfo info() const;
    /// Answers that the request was not executed and can be retried soon.
    void refuseTemporarily(const serving::InboundRequest &request, const serving::ResponseSink &sink,
                           std::string_view reason) const;
    /// Refuses a request that the configuration doesn't allow. If the configuration may be stale, asks the client to
    /// retry.
    void deny(const serving::InboundRequest &request, const serving::ResponseSink &sink, Denial denial) const;
    void onConfigObject(const objects::ObjectChange &change);
    void applyConfig(const objects::StoredObject &object, std::string_view source);
    /// `registryUnstable`: a replica may live although its entry was removed.
    void onReplicaObject(const objects::ObjectChange &change, bool registryUnstable);
    void onReplicaLeaving(const serving::ReplicaIncarnation &incarnation, StatementSource source);
    /// Handles what a replica said about itself in a response to this node.
    void onReplicaStatement(const serving::ReplicaStatement &statement);
    void onReplicaLimit(const serving::LimitStatement &statement, StatementSource source);
    /// Obtains permits from the node that issues those of the replica, which may be this one.
    void requestPermits(const serving::PermitRequest &request, std::function<void(const serving::PermitReply &)> done);
    /// Requests the permits that items and background calls wait for.
    void requestWantedPermits();
    /// Name of the node that issues the permits of a replica.
    std::string permitIssuer(const std::string &replica, const std::string &availabilityZone) const;
    serving::PermitReply issuePermits(const serving::PermitRequest &request);
    Json answerPermits(const Json &body);
    /// Tells all peers at once that a replica ended under a request. It may arrive at any of them next.
    void tellCrash(const serving::SuspectStatement &statement);
    void onReplicaDelta(const ReplicaDelta &delta);
    /// Removes the replicas that aren't registered according to a complete list as of `revision` of the store; 0 if the
    /// revision isn't known.
    void removeMissingReplicas(const std::function<bool(const std::string &)> &isRegistered, std::uint64_t revision,
                               bool registryUnstable);
    /// Decides whether this node watches the registry of replicas or takes it from peers.
    void updateWatchPlan();
    void setWatching(bool watching, std::string_view reason);
    /// Time since the store, or the source that is followed, last confirmed the known replicas.
    absl::Duration replicaViewAge(Instant now) const;
    /// True if the replicas known here follow the registry, directly or through a peer.
    bool replicasCurrent() const;
    bool registryUnstable() const;
    /// True if zones can be evacuated in this deployment.
    bool followsEvacuations() const;
    /// False as long as a node that has just started may send requests to an evacuated zone.
    bool evacuationsKnown() const;
    void onEvacuationObject(const objects::ObjectChange &change);
    /// Merges what the mirror has reported.
    void syncEvacuations();
    void mergeEvacuations(const serving::EvacuationView &view, std::string_view source);
    /// Lists the evacuated zones in the store once; then calls `done`, with false if the store doesn't answer.
    void listEvacuations(std::function<void(bool)> done);
    void listEvacuationsAfter(const std::string &name, serving::EvacuationView view, std::function<void(bool)> done);
    /// Logs which replicas have become cold or warm.
    void reportColdReplicas(Instant now);
    void onNodeObject(const objects::ObjectChange &change);
    void registerNode();
    Json registration() const;
    bool peerCall(const std::string &method, const Json &body, std::function<void(Json)> reply);
    /// Runs every FastTickPeriod: expires replicas and advances the controller and the jobs.
    void fastTick();
    /// Runs every SlowTickPeriod: synchronizes with peers and removes the registrations of lost nodes.
    void slowTick();
    bool storeReached() const;
    /// Detects that this process was paused, for example by a suspension of its machine. What it knows may have run out
    /// meanwhile: nothing is served until the configuration was compared with the store's or a peer's.
    void checkPause();
    void reportStall();
    void verifyConfig();
    /// The configuration; null as long as there is none or it must not be used. After a pause that checkPause() hasn't
    /// seen yet, it must not be used either.
    const serving::GatewayConfig *usableConfig() const;
    /// Revision of the configuration; 0 if there is none.
    std::uint64_t configRevision() const { return config_ ? config_->revision : 0; }
    /// False while neither this node nor any peer in contact reaches the object store. A newer configuration may then
    /// have added what the one in force lacks.
    bool configCurrent() const;
    /// Fetches configuration and replicas from a peer while the object store can't be reached, or while a peer has a
    /// newer configuration.
    void syncFromPeer();
    /// Fetches configuration and replicas from a peer, unless a fetch is under way.
    void fetchSnapshot(const std::string &peer);
    void applySnapshot(const Json &reply);
    /// Configuration, if newer than `configRevision`, and replicas, if up to date, as sent to a peer.
    Json snapshot(std::uint64_t configRevision) const;
    /// Removes the registrations of nodes that have been out of contact for a long time. Done by the node that leads.
    void unregisterLostNodes();

    net::Loop &loop_;
    net::HttpClient &client_;
    NodeSettings settings_;
    NodeMetrics metrics_; ///< Also counts the calls of the binding's store.
    PlatformBinding binding_;
    std::string incarnation_;
    serving::ReplicaTable replicas_;
    serving::CrashSuspects crashSuspects_;
    serving::PermitLedger permitLedger_; ///< Of the replicas whose permits this node issues.
    control::RequestCounts counts_;
    PeerMesh mesh_;
    RelayedStore relayedStore_;
    serving::RequestRunner requests_;
    std::unique_ptr<jobs::JobService> jobs_;
    std::unique_ptr<control::Controller> controller_;
    objects::ObjectMirror configMirror_;
    objects::ObjectMirror replicaMirror_;
    objects::ObjectMirror nodeMirror_;
    objects::ObjectMirror evacuationMirror_; ///< Runs while this node watches the replicas.
    serving::EvacuationView mirroredEvacuations_; ///< As reported by the mirror so far; its revision isn't set.
    serving::Evacuations evacuations_;
    std::set<std::string> coldReplicas_; ///< Those last reported as cold.
    std::optional<serving::GatewayConfig> config_;
    objects::StoredObject configObject_; ///< As stored, to be sent to peers.
    ReplicaJournal replicaJournal_;
    ReplicaFollower replicaFollower_;
    WatchPlan watchPlan_;
    bool mirrorChecked_ = true; ///< False after a start of the mirror, until its first list was compared.
    bool snapshotApplied_ = false; ///< A peer's snapshot of the replicas was applied since the mirror's last list.
    bool sourceUnstable_ = false; ///< The source last followed has an unstable registry.
    std::map<std::string, std::string> leaderPlan_; ///< Model by replica id, as received from the node that leads.
    std::map<std::string, Instant> lostNodes_; ///< Time at which each registered node was found out of contact.
    std::function<void()> configHandler_;
    std::function<void(telemetry::MetricsRegistry &)> scrapeHandler_;
    bool registered_ = false;
    bool stopping_ = false;
    bool syncingFromPeer_ = false;
    bool verifying_ = false; ///< After a pause, until the configuration was compared.
    Instant lastTickAt_; ///< Time of the last fast tick, or of the last check for a pause.
    Instant startedAt_;
    StallDetector stallDetector_; ///< Watches the fast tick.
};

} // namespace currantlug::node

#endif
