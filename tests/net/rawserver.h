// A server on the event loop that answers with fixed bytes, and helpers to call it.
#ifndef CURRANTLUG_TESTS_NET_RAWSERVER_H
#define CURRANTLUG_TESTS_NET_RAWSERVER_H

#include "net/httpclient.h"

#include "fakes/runloop.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace currantlug::tests {

inline const net::Endpoint AnyPort(boost::asio::ip::address_v4::loopback(), 0);

inline std::string peerOf(unsigned short port)
{
    return "127.0.0.1:" + std::to_string(port);
}

inline net::HttpRequest request(const std::string &target, const std::string &body = {})
{
    net::HttpRequest request;
    request.method = body.empty() ? "GET" : "POST";
    request.target = target;
    request.headers.add("Host", "h");
    request.body = body;
    return request;
}

inline absl::StatusOr<net::HttpResponse> ask(net::Loop &loop, net::HttpClient &client, const std::string &peer,
                                             const net::HttpRequest &message, net::ClientLimits limits = {})
{
    std::optional<absl::StatusOr<net::HttpResponse>> result;
    net::ClientHandlers handlers;
    handlers.onDone = [&result](absl::StatusOr<net::HttpResponse> response) { result = std::move(response); };
    client.call(peer, message, limits, std::move(handlers));
    REQUIRE(runUntil(loop, [&result] { return result.has_value(); }));
    return *result;
}

enum class AfterAnswer {
    Keep, ///< The connection stays open and unread.
    Close,
    HalfClose, ///< Nothing more is sent; the rest of the request is left unread.
    Reset,
};

/// Reads once from each connection and answers with fixed bytes.
class RawServer
{
public:
    RawServer(net::Loop &loop, std::string answer, AfterAnswer afterAnswer)
        : loop_(loop)
        , acceptor_(loop, AnyPort)
        , answer_(std::move(answer))
        , afterAnswer_(afterAnswer)
    {
        accept();
    }
    unsigned short port() const { return acceptor_.local_endpoint().port(); }
    int connections = 0;
    bool bytewise = false; ///< Each byte is sent by itself.
    absl::Duration delay; ///< Between the answer and what follows it.

private:
    using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket accepted) {
            if (error) {
                return;
            }
            ++connections;
            const auto socket = std::make_shared<boost::asio::ip::tcp::socket>(std::move(accepted));
            const auto buffer = std::make_shared<std::array<char, 4096>>();
            socket->async_read_some(boost::asio::buffer(*buffer),
                                    [this, socket, buffer](const boost::system::error_code &, std::size_t) {
                                        socket->set_option(boost::asio::ip::tcp::no_delay(true));
                                        send(socket, 0);
                                    });
            accept();
        });
    }

    void send(const Socket &socket, std::size_t from)
    {
        const std::size_t bytes = bytewise ? 1 : answer_.size();
        boost::system::error_code ignored; // The client may have given the answer up.
        boost::asio::write(*socket, boost::asio::buffer(answer_.data() + from, std::min(bytes, answer_.size() - from)),
                           ignored);
        if (from + bytes < answer_.size()) {
            boost::asio::post(loop_, [this, socket, next = from + bytes] { send(socket, next); });
        } else {
            net::runAfter(loop_, delay, [this, socket] { finish(socket); });
        }
    }

    void finish(const Socket &socket)
    {
        boost::system::error_code ignored;
        if (afterAnswer_ == AfterAnswer::Keep || afterAnswer_ == AfterAnswer::HalfClose) {
            kept_.push_back(socket);
        }
        if (afterAnswer_ == AfterAnswer::HalfClose) {
            socket->shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        } else if (afterAnswer_ == AfterAnswer::Reset) {
            socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    net::Loop &loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string answer_;
    AfterAnswer afterAnswer_;
    std::vector<Socket> kept_;
};

} // namespace currantlug::tests

#endif
