// Which links exist, which one serves a peer, and what is due for them: dials, pings and closes.
#ifndef CURRANTLUG_MESH_LINKTABLE_H
#define CURRANTLUG_MESH_LINKTABLE_H

#include "core/ids.h"
#include "core/instant.h"
#include "mesh/mesh.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace currantlug::mesh {

/// One connection. It is up once the peer's hello is accepted.
struct Link
{
    LinkStats stats;
    DaemonId expected; ///< The daemon dialled; empty if the other side dialled.
    std::string address; ///< The address dialled.
    bool up = false;
    bool spare = false; ///< Closed because it is not needed, which is no failure of the peer.
    bool closing = false; ///< Closed by this side; the transport's report is still to come.
    Instant openedAt;
    Instant lastReceived;
    Instant lastSent;
    Instant lastPing;
    Instant lastUsed; ///< Last request or reply in either direction; heartbeats do not count.
    int callsPending = 0; ///< Own requests without a reply.
    int serving = 0; ///< Requests of the peer without a reply.
};

/// What the mesh has to do now for links that exist.
struct DueActions
{
    std::vector<ConnectionId> pings;
    std::vector<std::pair<ConnectionId, std::string>> closes; ///< With the reason.
};

/// How a peer without a link can be reached.
enum class Reach {
    Unknown, ///< Not among the peers.
    Dialling,
    Backoff, ///< The last attempt failed, the next one is not due yet.
    Dialable,
};

/// Pure bookkeeping: no clock, no lock, no connection. Not thread-safe.
class LinkTable
{
public:
    explicit LinkTable(const MeshSettings &settings);

    /// Replaces the peers. Returns connections dialled to peers that are gone or have another address.
    std::vector<ConnectionId> setPeers(std::vector<Peer> peers);

    void dialled(const DaemonId &peer, ConnectionId connection);
    void opened(ConnectionId connection, bool dialled, Instant now);

    /// Marks the link as up. Returns links to earlier incarnations of the peer, which are dead.
    std::vector<ConnectionId> up(ConnectionId connection, const PeerInfo &peer, Instant now);

    /// Forgets the link; a link or attempt that this side dialled is due again after a backoff.
    void closed(ConnectionId connection, const std::string &reason, Instant now);

    Link *find(ConnectionId connection);
    /// The link for new requests; nullptr if none is up. If both sides dialled, both choose the link dialled by the
    /// daemon with the smaller id.
    std::pair<const ConnectionId, Link> *best(const DaemonId &peer);

    Reach reach(const DaemonId &peer, Instant now) const;
    /// The peer's entry in the list of peers; nullptr if it is not listed.
    const Peer *peer(const DaemonId &id) const;
    /// Why the last link or attempt ended; empty if none has.
    std::string lastError(const DaemonId &peer) const;

    /// Call it at least once per heartbeat. After a longer gap this process itself did not run, and the gap does not
    /// count as silence of its peers, whose messages may still wait to be read.
    DueActions due(Instant now);
    /// Peers to dial now: those to be kept linked that have no link and are not in backoff.
    std::vector<Peer> dueDials(Instant now);
    std::vector<LinkStats> stats() const;

private:
    struct PeerState
    {
        Peer peer;
        ConnectionId dialling = 0; ///< The attempt in progress, until the hello; 0 if none.
        int failures = 0; ///< Attempts in a row that brought no lasting link.
        Instant retryAt;
        std::string lastError;
    };

    void forgiveGap(Instant now);
    bool preferred(const Link &link) const;
    bool isSilent(const Link &link, Instant now) const;
    bool isPingDue(const Link &link, Instant now) const;
    bool isSpare(ConnectionId connection, const Link &link, Instant now);
    absl::Duration nextBackoff(int failures);

    const MeshSettings settings_;
    std::mt19937_64 random_;
    std::map<ConnectionId, Link> links_;
    std::map<DaemonId, PeerState> peers_;
    std::optional<Instant> lastDue_;
};

} // namespace currantlug::mesh

#endif
