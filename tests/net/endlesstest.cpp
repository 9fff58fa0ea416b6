// Tests of peers that send bytes without end, answer early, or send an answer twice.
#include "net/httpclient.h"
#include "net/httpserver.h"

#include "fakes/runloop.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <memory>

using namespace currantlug;
using namespace currantlug::net;
using namespace currantlug::tests;
using boost::asio::ip::tcp;

namespace {

const Endpoint AnyPort(boost::asio::ip::address_v4::loopback(), 0);

/// Reads once from each connection, sends `first`, and then sends `unit` over and over until the peer closes.
class EndlessServer
{
public:
    EndlessServer(Loop &loop, std::string first, std::string unit)
        : loop_(loop)
        , acceptor_(loop, AnyPort)
        , first_(std::move(first))
    {
        while (block_.size() < 65536 && !unit.empty()) {
            block_ += unit;
        }
        accept();
    }

    std::string peer() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    int connections = 0;
    int closed = 0; ///< Connections that the peer has closed.
    std::size_t sent = 0;
    /// Sends bytes on all connections.
    void send(const std::string &bytes)
    {
        for (const auto &socket : sockets_) {
            boost::system::error_code ignored;
            boost::asio::write(*socket, boost::asio::buffer(bytes), ignored);
        }
    }

private:
    using Socket = std::shared_ptr<tcp::socket>;

    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code &error, tcp::socket accepted) {
            if (error) {
                return;
            }
            ++connections;
            const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
            sockets_.push_back(socket);
            const auto buffer = std::make_shared<std::array<char, 4096>>();
            socket->async_read_some(boost::asio::buffer(*buffer),
                                    [this, socket, buffer](const boost::system::error_code &, std::size_t) {
                                        boost::system::error_code ignored;
                                        boost::asio::write(*socket, boost::asio::buffer(first_), ignored);
                                        if (!block_.empty()) {
                                            sendBlock(socket);
                                        }
                                    });
            accept();
        });
    }
    void sendBlock(const Socket &socket)
    {
        boost::asio::async_write(*socket, boost::asio::buffer(block_),
                                 [this, socket](const boost::system::error_code &error, std::size_t bytes) {
                                     sent += bytes;
                                     if (error) {
                                         ++closed;
                                     } else {
                                         sendBlock(socket);
                                     }
                                 });
    }

    Loop &loop_;
    tcp::acceptor acceptor_;
    std::string first_;
    std::string block_;
    std::vector<Socket> sockets_;
};

HttpRequest request(const std::string &target, std::string body = {})
{
    HttpRequest request;
    request.method = body.empty() ? "GET" : "POST";
    request.target = target;
    request.headers.add("Host", "h");
    request.body = std::move(body);
    return request;
}

std::optional<absl::StatusOr<HttpResponse>> ask(Loop &loop, HttpClient &client, const std::string &peer,
                                                const HttpRequest &message, std::chrono::seconds wait)
{
    auto result = std::make_shared<std::optional<absl::StatusOr<HttpResponse>>>();
    ClientHandlers handlers;
    handlers.onDone = [result](absl::StatusOr<HttpResponse> response) { *result = std::move(response); };
    ClientLimits limits;
    limits.total = absl::Seconds(60);
    client.call(peer, message, limits, std::move(handlers));
    runUntil(
        loop, [&result] { return result->has_value(); }, wait);
    return *result;
}

} // namespace

// Guards against a process that runs out of memory, and against requests that wait for their time limit, because a
// faulty server sends bytes that are no answer and never stops.
TEST_CASE("an answer without end is given up early, and its connection is closed")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::map<std::string, std::pair<std::string, std::string>> cases{
        {"bytes that are no answer", {"", "\x01garbage"}},
        {"a status line", {"HTTP/1.1 200 ", "very ok "}},
        {"a header line", {ok + "X-Field: ", "value "}},
        {"header fields", {ok, "X-Field: value\r\n"}},
        {"a chunk size", {chunked, "0"}},
        {"a chunk extension", {chunked + "1", ";extension=value"}},
        {"trailers", {chunked + "0\r\n", "X-Trailer: value\r\n"}},
        {"a body that ends with the connection", {ok + "\r\n", "body "}},
        {"a body in chunks", {chunked, "5\r\nbytes\r\n"}},
        {"a body with a huge length", {ok + "Content-Length: 99999999999\r\n\r\n", "body "}},
        {"informational answers", {"", "HTTP/1.1 102 Processing\r\n\r\n"}},
    };
    for (const auto &[name, bytes] : cases) {
        CAPTURE(name);
        Loop loop;
        EndlessServer server(loop, bytes.first, bytes.second);
        HttpClient client(loop);
        const auto answer = ask(loop, client, server.peer(), request("/"), std::chrono::seconds(10));
        REQUIRE(answer);
        REQUIRE_FALSE(answer->ok());
        CHECK(errorContext(answer->status()).outcome == Outcome::MayHaveRun);
        CHECK(runUntil(loop, [&server] { return server.closed == 1; }));
        // The limit of a collected body, and what fits into the buffers of the two sockets.
        CHECK(server.sent < (64 << 20));
    }
}

// Guards against memory that grows with the number of servers in trouble.
TEST_CASE("bodies without end share one limit, and a sound answer is still read beside them")
{
    Loop loop;
    EndlessServer server(loop, "HTTP/1.1 200 OK\r\n\r\n", "body ");
    EndlessServer sound(loop, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "");
    HttpClient client(loop);
    int ended = 0;
    constexpr int Calls = 12;
    for (int i = 0; i < Calls; ++i) {
        ClientHandlers handlers;
        handlers.onDone = [&ended](const absl::StatusOr<HttpResponse> &response) {
            CHECK_FALSE(response.ok());
            ++ended;
        };
        ClientLimits limits;
        limits.bodyBytes = std::uint64_t{1} << 40;
        limits.total = absl::Seconds(60);
        client.call(server.peer(), request("/" + std::to_string(i)), limits, std::move(handlers));
    }
    const auto answer = ask(loop, client, sound.peer(), request("/"), std::chrono::seconds(10));
    REQUIRE(answer);
    REQUIRE(answer->ok());
    CHECK((*answer)->body == "ok");
    REQUIRE(runUntil(loop, [&ended] { return ended == Calls; }));
    CHECK(server.sent < (256 << 20));
}

// Guards against a status 100 that is taken for the answer to the request.
TEST_CASE("informational answers are passed over")
{
    Loop loop;
    EndlessServer server(loop,
                         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                         "");
    HttpClient client(loop);
    const auto answer = ask(loop, client, server.peer(), request("/"), std::chrono::seconds(5));
    REQUIRE(answer);
    REQUIRE(answer->ok());
    CHECK((*answer)->status == 200);
    CHECK((*answer)->body == "body");
}

// Guards against bytes of the next request where a server still reads the body of this one: it answered early, kept the
// connection and reads on later.
TEST_CASE("a connection whose request isn't sent whole yet is not used again")
{
    Loop loop;
    EndlessServer server(loop, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n", "");
    HttpClient client(loop);
    const std::string body(32 << 20, 'x'); // More than the buffers of the two sockets hold.
    const auto first = ask(loop, client, server.peer(), request("/1", body), std::chrono::seconds(5));
    REQUIRE(first);
    CHECK((*first)->status == 413);
    const auto second = ask(loop, client, server.peer(), request("/2"), std::chrono::seconds(5));
    REQUIRE(second);
    CHECK(second->ok());
    CHECK(server.connections == 2);
}

// Guards against a second, late copy of an answer that is read as the answer to the next request on the connection.
TEST_CASE("a connection on which bytes arrive between two requests is not used again")
{
    const std::string copy = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy";
    Loop loop;
    EndlessServer server(loop, copy, "");
    HttpClient client(loop);
    REQUIRE(ask(loop, client, server.peer(), request("/1"), std::chrono::seconds(5)));
    const auto checkNextRequest = [&] {
        REQUIRE(ask(loop, client, server.peer(), request("/2"), std::chrono::seconds(5)));
        CHECK(server.connections == 2);
    };
    SECTION("and were noticed")
    {
        server.send(copy);
        runFor(loop, std::chrono::milliseconds(20));
        checkNextRequest();
    }
    SECTION("and weren't read by the event loop yet")
    {
        server.send(copy);
        checkNextRequest();
    }
}

// Guards against a process that ends because a client states a body larger than any memory.
TEST_CASE("a request with a huge length is refused")
{
    for (const std::string length : {"99999999999", "18446744073709551615", "9223372036854775807"}) {
        CAPTURE(length);
        Loop loop;
        bool handled = false;
        HttpServer server(loop, [&handled](const ServerCallPtr &) { handled = true; });
        REQUIRE(server.listen(AnyPort).ok());
        tcp::socket socket(loop);
        socket.connect(Endpoint(boost::asio::ip::address_v4::loopback(), server.port()));
        boost::asio::write(
            socket, boost::asio::buffer("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + length + "\r\n\r\nabc"));
        std::string answer(256, '\0');
        std::size_t bytes = 0;
        socket.async_read_some(boost::asio::buffer(answer),
                               [&bytes](const boost::system::error_code &, std::size_t read) { bytes = read; });
        REQUIRE(runUntil(
            loop, [&bytes] { return bytes > 0; }, std::chrono::seconds(5)));
        CHECK(answer.rfind("HTTP/1.1 413", 0) == 0);
        CHECK_FALSE(handled);
    }
}
