// WebSocket transport on websocketpp and Boost.Asio. websocketpp 0.8.2 compiles only as C++17, so wstransport.cpp is
// built as C++17 and this header must be valid C++17; nothing of websocketpp appears here.
#ifndef CURRANTLUG_MESH_WSTRANSPORT_H
#define CURRANTLUG_MESH_WSTRANSPORT_H

#include "mesh/transport.h"

#include <memory>

namespace currantlug::mesh {

struct WsTransportSettings
{
    std::string listenAddress = "127.0.0.1"; ///< IP address.
    std::uint16_t listenPort = 0; ///< 0 chooses a free port.
    std::size_t maxMessageBytes = 1 << 20; ///< A larger message closes the connection it arrives on.
    std::size_t maxBufferedBytes = 8 << 20; ///< Unsent bytes of one connection; more than this closes it.
    absl::Duration connectTimeout = absl::Seconds(2); ///< For connecting and the WebSocket handshake.
    absl::Duration closeTimeout = absl::Milliseconds(500); ///< For the closing handshake; then the socket is cut.
};

/// One io thread serves the listener and all connections.
class WsTransport final : public Transport
{
public:
    explicit WsTransport(WsTransportSettings settings);
    ~WsTransport() override;

    absl::Status start(TransportEvents events) override;
    void stop() override;
    std::uint16_t port() const override;
    ConnectionId connect(const std::string &address) override;
    void send(ConnectionId connection, std::string payload) override;
    void close(ConnectionId connection, const std::string &reason) override;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace currantlug::mesh

#endif
