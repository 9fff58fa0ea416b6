// WebSocket transport. All state below the public methods belongs to the io thread; the methods post to it.
#include "mesh/wstransport.h"

#include <absl/strings/str_cat.h>
#include <boost/asio.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <atomic>
#include <chrono>
#include <thread>
#include <unordered_map>
#include <utility>
#include <variant>

namespace currantlug::mesh {

namespace {

namespace asio = boost::asio;
using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Timer = asio::steady_timer;

// RFC 6455 limits control frames to 125 bytes, two of which hold the close code.
constexpr std::size_t MaxReasonBytes = 123;

struct Connection
{
    std::variant<Server::connection_ptr, Client::connection_ptr> socket;
    bool open = false;
};

std::chrono::milliseconds toMilliseconds(absl::Duration duration)
{
    return absl::ToChronoMilliseconds(duration);
}

template<class Endpoint>
void configure(Endpoint &endpoint, asio::io_service &io, const WsTransportSettings &settings)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&io);
    endpoint.set_max_message_size(settings.maxMessageBytes);
    endpoint.set_open_handshake_timeout(absl::ToInt64Milliseconds(settings.connectTimeout));
    endpoint.set_close_handshake_timeout(absl::ToInt64Milliseconds(settings.closeTimeout));
}

template<class Socket>
std::string closeReason(Socket &socket)
{
    const std::string &remote = socket.get_remote_close_reason();
    return remote.empty() ? socket.get_ec().message() : remote;
}

} // namespace

class WsTransport::Impl
{
public:
    explicit Impl(WsTransportSettings settings)
        : settings_(std::move(settings))
        , tickTimer_(io_)
        , stopTimer_(io_)
    {
        configure(server_, io_, settings_);
        configure(client_, io_, settings_);
        server_.set_reuse_addr(true);
        server_.set_open_handler([this](websocketpp::connection_hdl handle) { accepted(std::move(handle)); });
    }

    absl::Status start(TransportEvents events)
    {
        events_ = std::move(events);
        if (absl::Status status = listen(); !status.ok()) {
            return status;
        }
        tickTimer_.expires_after(toMilliseconds(events_.tickInterval));
        awaitTick();
        thread_ = std::thread([this] { run(); });
        return absl::OkStatus();
    }

    void stop()
    {
        if (!thread_.joinable()) {
            return;
        }
        asio::post(io_, [this] { beginStop(); });
        thread_.join();
        connections_.clear();
    }

    std::uint16_t port() const { return port_; }

    ConnectionId connect(const std::string &address)
    {
        const ConnectionId id = nextId_++;
        asio::post(io_, [this, id, address] { dial(id, address); });
        return id;
    }

    void send(ConnectionId id, std::string payload)
    {
        asio::post(io_, [this, id, payload = std::move(payload)] { write(id, payload); });
    }

    void close(ConnectionId id, const std::string &reason)
    {
        asio::post(io_, [this, id, reason] { drop(id, websocketpp::close::status::policy_violation, reason); });
    }

private:
    absl::Status listen()
    {
        boost::system::error_code error;
        const auto address = asio::ip::make_address(settings_.listenAddress, error);
        if (error) {
            return absl::InvalidArgumentError(absl::StrCat("not an IP address: ", settings_.listenAddress));
        }
        websocketpp::lib::error_code wsError;
        server_.listen(asio::ip::tcp::endpoint(address, settings_.listenPort), wsError);
        if (!wsError) {
            server_.start_accept(wsError);
        }
        if (wsError) {
            return absl::UnavailableError(absl::StrCat("cannot listen on ", settings_.listenAddress, ":",
                                                       settings_.listenPort, ": ", wsError.message()));
        }
        port_ = server_.get_local_endpoint(error).port();
        return absl::OkStatus();
    }

    void run()
    {
        // A fault in the handling of one connection must not end the thread that serves all of them.
        while (true) {
            try {
                io_.run();
                return;
            } catch (const std::exception &error) {
                if (events_.fault) {
                    events_.fault(error.what());
                }
            }
        }
    }

    void awaitTick()
    {
        tickTimer_.async_wait([this](const boost::system::error_code &error) {
            if (error || stopping_) {
                return;
            }
            // From now and not from the expiry, so that a paused process does not catch up on ticks.
            tickTimer_.expires_after(toMilliseconds(events_.tickInterval));
            awaitTick();
            events_.tick();
        });
    }

    void dial(ConnectionId id, const std::string &address)
    {
        websocketpp::lib::error_code error;
        const Client::connection_ptr socket = client_.get_connection("ws://" + address + "/", error);
        if (error) {
            events_.closed(id, error.message());
            return;
        }
        connections_[id].socket = socket;
        socket->set_open_handler([this, id, raw = socket.get()](const auto &) { opened(id, *raw, true); });
        socket->set_fail_handler([this, id, raw = socket.get()](const auto &) { lost(id, closeReason(*raw)); });
        watch(id, *socket);
        client_.connect(socket);
        // The library's own limits apply to resolving, connecting and the handshake one by one.
        auto timer = std::make_shared<Timer>(io_, toMilliseconds(settings_.connectTimeout));
        timer->async_wait([this, id, timer](const boost::system::error_code &) {
            const auto found = connections_.find(id);
            if (found != connections_.end() && !found->second.open) {
                lost(id, "connect timeout");
            }
        });
    }

    void accepted(websocketpp::connection_hdl handle)
    {
        const Server::connection_ptr socket = server_.get_con_from_hdl(std::move(handle));
        const ConnectionId id = nextId_++;
        connections_[id].socket = socket;
        watch(id, *socket);
        opened(id, *socket, false);
    }

    template<class Socket>
    void watch(ConnectionId id, Socket &socket)
    {
        socket.set_message_handler([this, id](const auto &, const auto &message) {
            if (connections_.count(id) != 0) {
                events_.received(id, message->get_payload());
            }
        });
        socket.set_close_handler([this, id, raw = &socket](const auto &) { lost(id, closeReason(*raw)); });
    }

    template<class Socket>
    void opened(ConnectionId id, Socket &socket, bool dialled)
    {
        const auto found = connections_.find(id);
        if (found == connections_.end() || stopping_) { // Abandoned while it was opening.
            websocketpp::lib::error_code ignored;
            socket.close(websocketpp::close::status::going_away, "", ignored);
            return;
        }
        found->second.open = true;
        boost::system::error_code ignored;
        socket.get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        events_.opened(id, dialled);
    }

    // Forgets a connection and reports it as closed, once.
    void lost(ConnectionId id, const std::string &reason)
    {
        if (connections_.erase(id) != 0 && !stopping_) {
            events_.closed(id, reason);
        }
        if (stopping_ && connections_.empty()) {
            io_.stop();
        }
    }

    void write(ConnectionId id, const std::string &payload)
    {
        const auto found = connections_.find(id);
        if (found == connections_.end()) {
            return;
        }
        const std::size_t buffered = std::visit(
            [&payload](const auto &socket) {
                socket->send(payload, websocketpp::frame::opcode::binary);
                return socket->get_buffered_amount();
            },
            found->second.socket);
        if (buffered > settings_.maxBufferedBytes) {
            drop(id, websocketpp::close::status::policy_violation, "send buffer limit exceeded");
        }
    }

    // Closes in the background: a silent peer must not delay the report.
    void drop(ConnectionId id, websocketpp::close::status::value code, const std::string &reason)
    {
        const auto found = connections_.find(id);
        if (found == connections_.end()) {
            return;
        }
        if (found->second.open) {
            std::visit(
                [&](const auto &socket) {
                    websocketpp::lib::error_code ignored;
                    socket->close(code, reason.substr(0, MaxReasonBytes), ignored);
                },
                found->second.socket);
        }
        lost(id, reason);
    }

    void beginStop()
    {
        stopping_ = true;
        tickTimer_.cancel();
        websocketpp::lib::error_code ignored;
        server_.stop_listening(ignored);
        for (auto &[id, connection] : connections_) {
            if (connection.open) {
                std::visit(
                    [](const auto &socket) {
                        websocketpp::lib::error_code failed;
                        socket->close(websocketpp::close::status::going_away, "stopping", failed);
                    },
                    connection.socket);
            }
        }
        // lost() ends the thread when all peers have answered the close; connections still opening are not waited for.
        stopTimer_.expires_after(toMilliseconds(connections_.empty() ? absl::ZeroDuration() : settings_.closeTimeout));
        stopTimer_.async_wait([this](const boost::system::error_code &) { io_.stop(); });
    }

    const WsTransportSettings settings_;
    asio::io_service io_; ///< Declared before all that refers to it.
    Server server_;
    Client client_;
    Timer tickTimer_;
    Timer stopTimer_;
    TransportEvents events_;
    std::thread thread_;
    std::atomic<ConnectionId> nextId_{1};
    std::uint16_t port_ = 0;
    std::unordered_map<ConnectionId, Connection> connections_; ///< Io thread only, as is stopping_.
    bool stopping_ = false;
};

WsTransport::WsTransport(WsTransportSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings)))
{
}

WsTransport::~WsTransport()
{
    impl_->stop();
}

absl::Status WsTransport::start(TransportEvents events)
{
    return impl_->start(std::move(events));
}

void WsTransport::stop()
{
    impl_->stop();
}

std::uint16_t WsTransport::port() const
{
    return impl_->port();
}

ConnectionId WsTransport::connect(const std::string &address)
{
    return impl_->connect(address);
}

void WsTransport::send(ConnectionId connection, std::string payload)
{
    impl_->send(connection, std::move(payload));
}

void WsTransport::close(ConnectionId connection, const std::string &reason)
{
    impl_->close(connection, reason);
}

} // namespace currantlug::mesh
