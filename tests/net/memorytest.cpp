// Tests of the memory that bodies and answers may take.
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/memorybudget.h"

#include "fakes/runloop.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <list>
#include <optional>

using namespace currantlug;
using namespace currantlug::net;
using namespace currantlug::tests;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint64_t Megabyte = 1 << 20;

Endpoint local(unsigned short port)
{
    return {boost::asio::ip::address_v4::loopback(), port};
}

std::string headOfPost(std::uint64_t length)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

/// A client that sends bytes as they are and collects what comes back.
class RawClient
{
public:
    RawClient(Loop &loop, unsigned short port)
        : socket_(loop)
    {
        socket_.connect(local(port));
    }

    void send(std::string bytes)
    {
        const auto held = std::make_shared<std::string>(std::move(bytes));
        boost::asio::async_write(
            socket_, boost::asio::buffer(*held),
            [this, held](const boost::system::error_code &error, std::size_t) { sent_ = sent_ || !error; });
    }
    void read()
    {
        socket_.async_read_some(boost::asio::buffer(buffer_),
                                [this](const boost::system::error_code &error, std::size_t bytes) {
                                    received.append(buffer_.data(), bytes);
                                    if (error) {
                                        closed = true;
                                        reset = error != boost::asio::error::eof;
                                    } else {
                                        read();
                                    }
                                });
    }
    std::string status() const { return received.substr(0, 12); }

    std::string received;
    bool closed = false;
    bool reset = false;

private:
    tcp::socket socket_;
    bool sent_ = false;
    std::array<char, 65536> buffer_{};
};

/// Sends zeros to each connection until `limit` bytes have left.
class Source
{
public:
    explicit Source(Loop &loop)
        : acceptor_(loop, local(0))
        , block_(65536, '0')
    {
        acceptor_.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            REQUIRE_FALSE(error);
            socket_.emplace(std::move(socket));
            boost::asio::write(*socket_, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\n")));
            send();
        });
    }
    std::string peer() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    std::uint64_t sent = 0;

private:
    void send()
    {
        boost::asio::async_write(*socket_, boost::asio::buffer(block_),
                                 [this](const boost::system::error_code &error, std::size_t bytes) {
                                     sent += bytes;
                                     if (!error) {
                                         send();
                                     }
                                 });
    }

    tcp::acceptor acceptor_;
    std::string block_;
    std::optional<tcp::socket> socket_;
};

} // namespace

TEST_CASE("the shares of a memory budget stay within its limit and come back")
{
    MemoryBudget budget(100);
    MemoryShare first(budget);
    CHECK(first.growTo(60));
    CHECK(first.growTo(40));
    CHECK(first.bytes() == 60);
    {
        MemoryShare second(budget);
        CHECK_FALSE(second.growTo(41));
        CHECK(second.growTo(40));
        CHECK_FALSE(first.growTo(61));
        MemoryShare moved = std::move(second);
        CHECK(moved.bytes() == 40);
        CHECK(budget.used() == 100);
    }
    CHECK(budget.used() == 60);
    MemoryShare forced(budget);
    forced.setTo(90);
    CHECK(budget.used() == 150);
    CHECK_FALSE(first.growTo(61));
    forced.release();
    CHECK(first.growTo(100));
    CHECK(budget.refusals() == 3);
    CHECK(MemoryShare().growTo(1'000'000));
}

// Guards against a process that is killed for its memory because several clients send large bodies at once.
TEST_CASE("bodies beyond the memory budget are refused with a time to return, and the others are served")
{
    Loop loop;
    MemoryBudget budget(9 * Megabyte);
    std::vector<ServerCallPtr> calls;
    HttpServer server(loop, [&calls](const ServerCallPtr &call) { calls.push_back(call); });
    server.setMemoryBudget(budget);
    REQUIRE(server.listen(local(0)).ok());
    std::list<RawClient> clients;
    for (int i = 0; i < 6; ++i) {
        RawClient &client = clients.emplace_back(loop, server.port());
        client.read();
        client.send(headOfPost(2 * Megabyte) + std::string(Megabyte, 'x'));
    }
    const auto refused = [&clients] {
        return std::count_if(clients.begin(), clients.end(),
                             [](const RawClient &client) { return client.status() == "HTTP/1.1 503"; });
    };
    REQUIRE(runUntil(loop, [&refused] { return refused() == 4; }));
    CHECK(calls.empty());
    CHECK(budget.used() <= budget.limit());
    for (RawClient &client : clients) {
        if (client.received.empty()) {
            client.send(std::string(Megabyte, 'x'));
        } else {
            CHECK(client.received.find("Retry-After: ") != std::string::npos);
        }
    }
    REQUIRE(runUntil(loop, [&calls] { return calls.size() == 2; }));
    for (const ServerCallPtr &call : calls) {
        CHECK(call->request().body.size() == 2 * Megabyte);
        call->respond(200, {}, "");
    }
    calls.clear();
    CHECK(runUntil(loop, [&budget] { return budget.used() == 0; }));
}

// Guards against an answer that is lost with its connection, which is reset if bytes of the request wait unread.
TEST_CASE("a client that is refused in the middle of its body gets the whole answer")
{
    Loop loop;
    MemoryBudget budget(Megabyte);
    HttpServer server(loop, [](const ServerCallPtr &) {});
    server.setMemoryBudget(budget);
    REQUIRE(server.listen(local(0)).ok());
    RawClient client(loop, server.port());
    client.send(headOfPost(8 * Megabyte) + std::string(8 * Megabyte, 'x'));
    runFor(loop, std::chrono::milliseconds(200));
    client.read();
    REQUIRE(runUntil(loop, [&client] { return client.closed; }));
    CHECK(client.status() == "HTTP/1.1 503");
    CHECK_FALSE(client.reset);
}

// Guards against a process that keeps all that a client doesn't read.
TEST_CASE("an answer is congested while its client doesn't read, and the writer is told when to go on")
{
    Loop loop;
    ServerCallPtr held;
    HttpServer server(loop, [&held](const ServerCallPtr &call) { held = call; });
    REQUIRE(server.listen(local(0)).ok());
    RawClient client(loop, server.port());
    client.send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(runUntil(loop, [&held] { return held != nullptr; }));
    held->begin(200, {});
    const std::string part(65536, 'x');
    std::size_t written = 0;
    // The kernel takes some megabytes first.
    for (int round = 0; round < 100 && !held->isCongested(); ++round) {
        while (!held->isCongested()) {
            held->write(part);
            written += part.size();
        }
        runFor(loop, std::chrono::milliseconds(20));
    }
    REQUIRE(held->isCongested());
    CHECK(server.unsentBytes() > 0);
    bool sent = false;
    held->onSent([&sent] { sent = true; });
    runFor(loop, std::chrono::milliseconds(50));
    CHECK_FALSE(sent);
    client.read();
    REQUIRE(runUntil(loop, [&sent] { return sent; }));
    CHECK_FALSE(held->isCongested());
    CHECK(server.unsentBytes() == 0);
    held->finish();
    CHECK(runUntil(loop, [&] { return client.received.size() > written; }));
}

// Guards against a replica that sends without end faster than the client of the stream reads.
TEST_CASE("a paused call isn't read until it is resumed")
{
    Loop loop;
    Source source(loop);
    HttpClient client(loop);
    std::uint64_t received = 0;
    CallId id = 0;
    ClientHandlers handlers;
    handlers.onHead = [](const HttpResponse &) { return true; };
    handlers.onBody = [&](std::string_view part) {
        received += part.size();
        client.pause(id);
    };
    HttpRequest request;
    request.method = "GET";
    request.target = "/x";
    request.headers.add("Host", "h");
    ClientLimits limits;
    limits.total = absl::Seconds(60);
    limits.silence = absl::Milliseconds(100);
    id = client.call(source.peer(), request, limits, std::move(handlers));
    REQUIRE(runUntil(loop, [&received] { return received > 0; }));
    runFor(loop, std::chrono::milliseconds(300));
    const std::uint64_t receivedBefore = received;
    const std::uint64_t sentBefore = source.sent;
    runFor(loop, std::chrono::milliseconds(200));
    CHECK(received == receivedBefore);
    CHECK(source.sent == sentBefore);
    CHECK(client.isOpen(id));
    client.resume(id);
    CHECK(runUntil(loop, [&] { return received > receivedBefore; }));
    client.cancel(id);
}

// Guards against requests that nobody can serve because large bodies have used up the budget.
TEST_CASE("small bodies are taken while the memory budget is used up")
{
    Loop loop;
    MemoryBudget budget(Megabyte);
    MemoryShare job(budget);
    job.setTo(2 * Megabyte);
    std::vector<ServerCallPtr> calls;
    HttpServer server(loop, [&calls](const ServerCallPtr &call) { calls.push_back(call); });
    server.setMemoryBudget(budget);
    REQUIRE(server.listen(local(0)).ok());
    RawClient client(loop, server.port());
    client.send(headOfPost(1000) + std::string(1000, 'x'));
    REQUIRE(runUntil(loop, [&calls] { return !calls.empty(); }));
    CHECK(calls.front()->request().body.size() == 1000);
}

// Guards against a process that keeps the answers to all that a client has asked for and doesn't read.
TEST_CASE("the next request of a connection waits while its client doesn't read the answers")
{
    Loop loop;
    int handled = 0;
    HttpServer server(loop, [&handled](const ServerCallPtr &call) {
        ++handled;
        call->respond(200, {}, std::string(Megabyte, 'x'));
    });
    REQUIRE(server.listen(local(0)).ok());
    RawClient client(loop, server.port());
    std::string requests;
    for (int i = 0; i < 40; ++i) {
        requests += "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    client.send(requests);
    runFor(loop, std::chrono::milliseconds(300));
    CHECK(server.unsentBytes() < 2 * Megabyte);
    CHECK(handled < 40);
    client.read();
    CHECK(runUntil(loop, [&client] { return client.received.size() > 40 * Megabyte; }));
    CHECK(handled == 40);
}

// Guards against a request that is handled twice in the place of the one that came after it: bytes that arrive while
// buffered ones are used up were taken from the wrong place.
TEST_CASE("each of several pipelined requests is handled once")
{
    Loop loop;
    std::vector<std::string> targets;
    std::vector<ServerCallPtr> calls;
    HttpServer server(loop, [&](const ServerCallPtr &call) {
        targets.push_back(call->request().target);
        calls.push_back(call);
    });
    REQUIRE(server.listen(local(0)).ok());
    RawClient client(loop, server.port());
    client.read();
    const auto send = [&](const std::string &target) {
        client.send("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
        runFor(loop, std::chrono::milliseconds(20));
    };
    send("/a");
    send("/b");
    REQUIRE(calls.size() == 1);
    calls[0]->respond(200, {}, "");
    REQUIRE(runUntil(loop, [&calls] { return calls.size() == 2; }));
    calls[1]->respond(200, {}, "");
    send("/c");
    REQUIRE(runUntil(loop, [&calls] { return calls.size() == 3; }));
    CHECK(targets == std::vector<std::string>{"/a", "/b", "/c"});
}
