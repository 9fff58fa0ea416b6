// Contact between the nodes of a deployment: which peers are known, in contact, stopping or leading, and calls between
// nodes.
//
// A node probes each peer that it has not heard from for a second. A probe tells both nodes the state of the other one,
// so one of each pair probes and the other one answers, until the first one is silent. A peer counts as alive while its
// probes or replies are recent, and as lost at once if it refuses connections. Contact is soft state: decisions that
// must be consistent are made by conditional writes to the object store.
#ifndef CURRANTLUG_NODE_PEERMESH_H
#define CURRANTLUG_NODE_PEERMESH_H

#include "core/json.h"
#include "jobs/jobcontext.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "scheduling/modeldemand.h"
#include "serving/crashsuspects.h"
#include "serving/evacuations.h"
#include "serving/replicatable.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace currantlug::node {

/// State that a node reports about itself.
struct NodeInfo
{
    std::string name;
    std::string incarnation; ///< Changes with each start of the process.
    std::string control; ///< "IP:PORT" for calls of peers.
    std::string front; ///< "IP:PORT" for clients.
    std::string availabilityZone;
    std::string region;
    bool stopping = false;
    bool ready = false;
    bool storeReached = false; ///< The object store answers the calls of this node.
    bool leading = false; ///< The node holds the controller lease.
    std::uint64_t configRevision = 0;
    double processorShare = 0; ///< Processor time of the node, in cores; 0 if it doesn't say.
    bool holdsTexts = true; ///< The node may have texts of items; true if it doesn't say.
    std::vector<serving::ReplicaIncarnation> leavingReplicas; ///< Known to leave by their own word.
    /// What replicas have said about their request limits. The times are those of this process.
    std::vector<serving::LimitStatement> replicaLimits;
    scheduling::DemandByModel modelDemand; ///< Of the trainers whose jobs the node runs.
    /// Requests under which replicas ended. The times are those of this process.
    std::vector<serving::SuspectStatement> crashSuspects;
    std::optional<serving::EvacuationView> evacuations; ///< None if zones aren't evacuated in this deployment.
};

Json toJson(const serving::SuspectStatement &statement);
std::optional<serving::SuspectStatement> parseSuspectStatement(const Json &value);
Json toJson(const serving::EvacuationView &view);
/// Without a revision if the value can't be read.
serving::EvacuationView parseEvacuationView(const Json &value);
Json toJson(const NodeInfo &info);
std::optional<NodeInfo> parseNodeInfo(const Json &value);

struct PeerMeshSettings
{
    absl::Duration period = absl::Seconds(1); ///< A peer is probed once it was silent for this time.
    absl::Duration checkPeriod = absl::Milliseconds(250); ///< Time between two checks for silent peers.
    absl::Duration timeout = absl::Milliseconds(700); ///< For the reply to a probe, and for connecting.
    absl::Duration lostAfter = absl::Milliseconds(2400); ///< Two probes in a row without a reply.
};

class PeerMesh
{
public:
    /// Handles a call of a peer. Returns false if the method is unknown or the call can't be read.
    using Handler = std::function<bool(const std::string &method, const Json &body, std::function<void(Json)> reply)>;

    PeerMesh(net::Loop &loop, net::HttpClient &client, PeerMeshSettings settings, std::function<NodeInfo()> self);

    /// Sets the handler for calls of peers other than probes.
    void setHandler(Handler handler) { handler_ = std::move(handler); }
    /// Sets the function that is called when a peer is lost, begins to stop or has restarted. `heldTexts`: it may have
    /// run jobs, by what it last said.
    void onLost(std::function<void(const std::string &node, bool heldTexts)> handler)
    {
        lostHandler_ = std::move(handler);
    }
    /// Sets the function that receives the state sent by the leader, see setLeaderState().
    void onLeaderState(std::function<void(const Json &)> handler) { leaderStateHandler_ = std::move(handler); }
    /// Sets the source of the state that is sent with each probe and reply. Null means that nothing is sent. Peers
    /// accept it only from the leader.
    void setLeaderState(std::function<Json()> source) { leaderStateSource_ = std::move(source); }

    /// Adds a registered node, or updates its address.
    void add(const std::string &name, const std::string &control);
    void removeNode(const std::string &name);
    /// Adds an address that is probed while no peer is in contact, for example before registrations can be read.
    void addSeed(const std::string &control);
    void start();
    /// Serves a call received at the control address.
    void serve(const net::ServerCallPtr &call);

    /// Calls a method of a peer.
    void call(const std::string &node, const std::string &method, const Json &body, absl::Duration timeout,
              jobs::PeerPort::Callback done);
    /// Names of the peers in contact, excluding those that are stopping.
    std::vector<std::string> live() const;
    /// Names of the peers in contact, including those that are stopping.
    std::vector<std::string> reachable() const;
    /// Those of the reachable peers that may have texts of items.
    std::vector<std::string> textHolders() const;
    /// The peers of live(), with what decides which of them runs a job.
    std::vector<jobs::JobHost> jobHosts() const;
    /// Peers in contact, including those that are stopping.
    std::vector<NodeInfo> contacts() const;
    /// True if that incarnation of the node is in contact and isn't stopping.
    bool isAlive(const std::string &node, const std::string &incarnation) const;
    /// True if that incarnation of the node has ended, is stopping, refuses connections or hasn't replied for some
    /// time.
    bool isLost(const std::string &node, const std::string &incarnation) const;
    /// Part of the known nodes, this one included, that are in contact with this one.
    double contactShare() const;
    /// True if every known peer is in contact.
    bool allInContact() const;
    /// Names of the known peers that aren't in contact.
    std::vector<std::string> outOfContact() const;
    /// Time at which a peer was last found, lost, restarted or began to stop.
    Instant membershipChangedAt() const { return membershipChangedAt_; }
    /// Name of a peer in contact, in these regions, that reaches the object store; empty if there is none.
    std::string peerWithStore(const serving::RegionSet &regions = {}) const;

private:
    struct Peer
    {
        std::string control;
        NodeInfo info;
        /// Time of its last reply or probe. Default value without one since the last refusal or change of address.
        Instant lastHeard;
        Instant probedSince; ///< Time of the first probe, or of the last change of the address.
        bool refused = false; ///< The last probe was refused: no process listens at the address.
        bool probePending = false; ///< A probe is under way.
        bool wasInContact = false; ///< Contact as last logged and reported to the handler.
    };

    void probe(const std::string &name);
    void sendProbe(const std::string &control, const std::string &name);
    void onProbeReply(const std::string &name, const Json &reply);
    void updatePeer(const NodeInfo &info);
    /// Updates the peer and counts it as in contact: it has answered, or sent a probe.
    void recordContact(const NodeInfo &info);
    void probeSeeds();
    void tick();
    bool inContact(const Peer &peer) const;
    /// Body of a probe and of its reply: the state of this node and, if there is one, the leader state.
    Json stateMessage() const;

    net::Loop &loop_;
    net::HttpClient &client_;
    PeerMeshSettings settings_;
    std::function<NodeInfo()> self_;
    Handler handler_;
    std::function<void(const std::string &, bool)> lostHandler_;
    std::function<void(const Json &)> leaderStateHandler_;
    std::function<Json()> leaderStateSource_;
    Instant startedAt_;
    std::map<std::string, Peer> peers_; ///< By name, excluding this node.
    std::vector<std::string> seeds_;
    Instant membershipChangedAt_;
};

} // namespace currantlug::node

#endif
