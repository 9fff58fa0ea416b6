// Contact between the nodes of a deployment: who is there, in contact, stopping or leading, and calls between them.
//
// Each node asks each other one once a second. A node counts as alive while its answers are recent; one that refuses
// connections is lost at once. Contact is soft state: what must hold is decided by the object store.
#ifndef CURRANTLUG_NODE_PEERMESH_H
#define CURRANTLUG_NODE_PEERMESH_H

#include "core/json.h"
#include "jobs/jobcontext.h"
#include "net/httpclient.h"
#include "net/httpserver.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace currantlug::node {

/// What a node says of itself.
struct NodeInfo
{
    std::string name;
    std::string incarnation; ///< New with each start.
    std::string control; ///< "IP:PORT" for calls of other nodes.
    std::string front; ///< "IP:PORT" for clients.
    std::string availabilityZone;
    std::string region;
    bool stopping = false;
    bool ready = false;
    bool storeReached = false; ///< The object store answers it.
    bool leading = false; ///< Holds the controller lease.
    std::uint64_t configRevision = 0;
};

Json toJson(const NodeInfo &info);
std::optional<NodeInfo> parseNodeInfo(const Json &value);

struct PeerMeshSettings
{
    absl::Duration period = absl::Seconds(1); ///< Between two questions to a node.
    absl::Duration timeout = absl::Milliseconds(700);
    absl::Duration lostAfter = absl::Milliseconds(2400); ///< Two questions in a row without an answer.
};

class PeerMesh
{
public:
    using Handler = std::function<bool(const std::string &method, const Json &body, std::function<void(Json)> reply)>;

    PeerMesh(net::Loop &loop, net::HttpClient &client, PeerMeshSettings settings, std::function<NodeInfo()> self);

    /// Calls of other nodes that the mesh doesn't handle itself go to `handler`.
    void setHandler(Handler handler) { handler_ = std::move(handler); }
    /// Called when a node is lost, begins to stop or has started anew.
    void onLost(std::function<void(const std::string &node)> handler) { lostHandler_ = std::move(handler); }
    /// Called with the leader's extra state, see setExtra().
    void onLeaderState(std::function<void(const Json &)> handler) { leaderStateHandler_ = std::move(handler); }
    /// State that is sent along with each answer; null for none.
    void setLeaderState(std::function<Json()> source) { leaderStateSource_ = std::move(source); }

    /// A node by its registration.
    void add(const std::string &name, const std::string &control);
    void removeNode(const std::string &name);
    /// Addresses to ask before the registrations can be read.
    void addSeed(const std::string &control);
    void start();
    /// Serves a call that arrived at the control address.
    void serve(const net::ServerCallPtr &call);

    void call(const std::string &node, const std::string &method, const Json &body, absl::Duration timeout,
              jobs::PeerPort::Callback done);
    std::vector<std::string> live() const;
    /// Names of the nodes in contact, those that stop included.
    std::vector<std::string> reachable() const;
    /// Nodes in contact, those that stop included.
    std::vector<NodeInfo> contacts() const;
    bool isAlive(const std::string &node, const std::string &incarnation) const;
    /// True if that incarnation ended, stops, refuses connections or didn't answer for some time.
    bool isGone(const std::string &node, const std::string &incarnation) const;
    /// True if every registered node is in contact.
    bool allInContact() const;
    std::vector<std::string> outOfContact() const;
    /// A peer that reaches the store; empty if there is none.
    std::string peerWithStore() const;

private:
    struct Peer
    {
        std::string control;
        NodeInfo info;
        Instant lastReply; ///< The origin while out of contact.
        Instant probedSince; ///< First question, or the last change of its address.
        bool refused = false; ///< The last question was refused: no process listens there.
        bool probePending = false;
        bool wasInContact = false;
    };

    void probe(const std::string &name);
    void sendProbe(const std::string &control, const std::string &name);
    void onProbeReply(const std::string &name, const Json &reply);
    void updatePeer(const NodeInfo &info);
    void tick();
    bool inContact(const Peer &peer) const;
    Json stateMessage() const;

    net::Loop &loop_;
    net::HttpClient &client_;
    PeerMeshSettings settings_;
    std::function<NodeInfo()> self_;
    Handler handler_;
    std::function<void(const std::string &)> lostHandler_;
    std::function<void(const Json &)> leaderStateHandler_;
    std::function<Json()> leaderStateSource_;
    Instant startedAt_;
    std::map<std::string, Peer> peers_; ///< By name, without this node.
    std::vector<std::string> seeds_;
};

} // namespace currantlug::node

#endif
