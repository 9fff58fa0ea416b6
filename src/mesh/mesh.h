// Links to other daemons: request and reply in CBOR, heartbeats, reconnection.
#ifndef CURRANTLUG_MESH_MESH_H
#define CURRANTLUG_MESH_MESH_H

#include "core/error.h"
#include "core/ids.h"
#include "core/instant.h"
#include "core/json.h"
#include "mesh/transport.h"

#include <absl/status/statusor.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::mesh {

/// The other side of a link, as its hello states it.
struct PeerInfo
{
    DaemonId id;
    std::string incarnation;
    ZoneId zone;
};

/// A daemon that can be called.
struct Peer
{
    DaemonId id;
    std::string address; ///< host:port of its mesh listener.
    /// True keeps a link up at all times. False connects at the first call and closes the link when it is idle, so that
    /// a daemon does not pay heartbeats for hundreds of links that it rarely uses.
    bool keepLink = true;
};

struct MeshSettings
{
    DaemonId self;
    std::string incarnation;
    ZoneId zone;
    int protocolMin = 1; ///< Oldest protocol version spoken.
    int protocolMax = 1; ///< Newest protocol version spoken.
    absl::Duration heartbeat = absl::Seconds(1);
    absl::Duration heartbeatLimit = absl::Seconds(3); ///< A link on which nothing arrives for this long is closed.
    absl::Duration backoffMin = absl::Milliseconds(100); ///< Before the second attempt to connect; doubles from there.
    absl::Duration backoffMax =
        absl::Seconds(2); ///< Below heartbeatLimit, so that a restarted daemon is not suspected.
    absl::Duration idleLinkKeep = absl::Seconds(30); ///< A link of a peer without keepLink is closed after this.
    std::size_t maxMessageBytes = 1 << 20;
    int workers = 4; ///< Threads that run handlers.
    std::size_t maxQueuedRequests = 1024; ///< More waiting requests are refused with "not run".
    std::uint64_t seed = 0; ///< For the jitter of the backoff; 0 takes one from the operating system.
};

/// Counters of one link since it opened. Bytes are those of messages without WebSocket, TCP and IP headers.
struct LinkStats
{
    PeerInfo peer;
    bool dialled = false; ///< This side opened the connection.
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
};

/// Counters over all links since start().
struct MeshStats
{
    std::uint64_t linksOpened = 0; ///< Links that completed their hello.
    std::uint64_t linksSilent = 0; ///< Links closed because nothing arrived on them.
    std::uint64_t helloRefused = 0; ///< Incompatible version, wrong daemon or malformed hello.
    std::uint64_t brokenMessages = 0; ///< Messages that are not a CBOR map of the expected shape.
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
};

/// Answers a request. Runs on a worker thread and may block, also in Mesh::call.
using Handler = std::function<Json(const PeerInfo &, const Json &)>;

/// Thread-safe. A link serves requests in both directions, whichever side opened it.
class Mesh
{
public:
    Mesh(MeshSettings settings, std::unique_ptr<Transport> transport);
    ~Mesh();
    Mesh(const Mesh &) = delete;
    Mesh &operator=(const Mesh &) = delete;

    /// Sets the handler for a message type. Before start() only.
    void setHandler(std::string_view type, Handler handler);

    /// Listens and begins to connect to peers.
    absl::Status start();

    /// Fails all calls in flight, waits for running handlers and closes all links. A stopped mesh is not started again.
    void stop();

    /// The port listened on, valid after start().
    std::uint16_t port() const;

    /// Replaces the list of callable daemons. Links to daemons no longer listed that this side opened are closed; an
    /// entry for this daemon itself is ignored.
    void setPeers(std::vector<Peer> peers);

    /// Sends a request and waits for the reply's body. Errors:
    /// - kUnavailable with NotRun: no link came up within the timeout, or the peer is in backoff; nothing was sent.
    /// - kUnavailable with MayHaveRun: the link was lost, or the mesh stopped, after the request was sent.
    /// - kDeadlineExceeded with MayHaveRun: no reply within the timeout.
    /// - kInvalidArgument with NotRun: the request exceeds the message limit.
    /// - kUnimplemented or kResourceExhausted with NotRun: the peer has no such handler, or its queue is full.
    /// - kInternal with Ran: the peer's handler threw, or its reply exceeds the message limit.
    absl::StatusOr<Json> call(const DaemonId &peer, std::string_view type, Json body, absl::Duration timeout);

    /// When the last message of any kind arrived from this daemon; nullopt if none has since start().
    std::optional<Instant> lastHeard(const DaemonId &peer) const;

    /// Whether a link to this daemon is up.
    bool isLinked(const DaemonId &peer) const;

    /// Links that are up.
    std::vector<LinkStats> linkStats() const;
    MeshStats stats() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace currantlug::mesh

#endif
