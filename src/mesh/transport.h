// Byte messages over connections, as the mesh sees them. This header must stay valid C++17 (see wstransport.h).
#ifndef CURRANTLUG_MESH_TRANSPORT_H
#define CURRANTLUG_MESH_TRANSPORT_H

#include <absl/status/status.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace currantlug::mesh {

/// Names one connection of one transport; never reused, never 0.
using ConnectionId = std::uint64_t;

/// Receivers of transport events. All of them run on the transport's io thread, one at a time.
struct TransportEvents
{
    std::function<void(ConnectionId connection, bool dialled)> opened;
    std::function<void(ConnectionId connection, std::string payload)> received;
    /// The connection failed to open or has closed. Last event of a connection; not sent after stop() began.
    std::function<void(ConnectionId connection, const std::string &reason)> closed;
    std::function<void()> tick; ///< Runs each tickInterval.
    /// An internal fault that the transport survives, for the log. Optional.
    std::function<void(const std::string &message)> fault;
    absl::Duration tickInterval = absl::Milliseconds(200);
};

/// Server and client ends of message connections. All methods may be called from any thread, and between start() and
/// stop() only.
class Transport
{
public:
    Transport() = default;
    Transport(const Transport &) = delete;
    Transport &operator=(const Transport &) = delete;
    virtual ~Transport() = default;

    /// Listens and starts the io thread.
    virtual absl::Status start(TransportEvents events) = 0;

    /// Closes all connections and ends the io thread. No event runs afterwards. Not from the io thread.
    virtual void stop() = 0;

    /// The port listened on, valid after start().
    virtual std::uint16_t port() const = 0;

    /// Starts to connect to host:port. Exactly one of opened (later followed by closed) and closed follows.
    virtual ConnectionId connect(const std::string &address) = 0;

    /// Queues a message. A connection that is gone drops it and reports closed. If the peer does not read and its
    /// send buffer exceeds the limit of the transport, the connection is closed.
    virtual void send(ConnectionId connection, std::string payload) = 0;

    /// Closes the connection and gives the peer the reason. A connection still opening is abandoned. closed follows.
    virtual void close(ConnectionId connection, const std::string &reason) = 0;
};

} // namespace currantlug::mesh

#endif
