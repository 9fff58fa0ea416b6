// Server and client over loopback: kept connections, odd answers, limits.
#include "core/error.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/listenergroup.h"

#include "rawserver.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <stdexcept>

using namespace currantlug;
using namespace currantlug::net;
using namespace currantlug::tests;
using boost::asio::ip::tcp;

TEST_CASE("requests share a kept connection and bodies arrive whole")
{
    Loop loop;
    HttpServer server(
        loop, [](const ServerCallPtr &call) { call->respond(200, {}, call->request().target + call->request().body); });
    REQUIRE(server.listen(AnyPort).ok());
    HttpClient client(loop);
    const std::string body(200000, 'x');
    CHECK(ask(loop, client, peerOf(server.port()), request("/a"))->body == "/a");
    CHECK(ask(loop, client, peerOf(server.port()), request("/b", body))->body == "/b" + body);
    CHECK(client.connectionsOpened() == 1);
}

TEST_CASE("an answer in parts arrives as it is sent")
{
    Loop loop;
    HttpServer server(loop, [](const ServerCallPtr &call) {
        call->begin(200, {});
        call->write("one");
        call->write("two");
        call->finish();
    });
    REQUIRE(server.listen(AnyPort).ok());
    HttpClient client(loop);
    CHECK(ask(loop, client, peerOf(server.port()), request("/"))->body == "onetwo");
}

// Guards against a cut answer that looks complete.
TEST_CASE("an aborted answer is an error")
{
    Loop loop;
    HttpServer server(loop, [&loop](const ServerCallPtr &call) {
        call->begin(200, {});
        call->write("part");
        runAfter(loop, absl::Milliseconds(20), [call] { call->abort(); });
    });
    REQUIRE(server.listen(AnyPort).ok());
    HttpClient client(loop);
    CHECK_FALSE(ask(loop, client, peerOf(server.port()), request("/")).ok());
}

// Guards against the bytes of one answer being taken for the next one: after a complete answer more bytes came.
TEST_CASE("a connection with bytes left over is not used again")
{
    Loop loop;
    RawServer server(loop, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb",
                     AfterAnswer::Keep);
    HttpClient client(loop);
    CHECK(ask(loop, client, peerOf(server.port()), request("/1"))->body == "a");
    CHECK(ask(loop, client, peerOf(server.port()), request("/2"))->body == "a");
    CHECK(server.connections == 2);
}

// Guards against a wrong "not run": an answer cut short was sent for a request that was read.
TEST_CASE("errors say whether a byte was sent")
{
    Loop loop;
    HttpClient client(loop);
    RawServer cut(loop, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", AfterAnswer::Close);
    const auto short1 = ask(loop, client, peerOf(cut.port()), request("/"));
    REQUIRE_FALSE(short1.ok());
    CHECK(errorContext(short1.status()).outcome == Outcome::MayHaveRun);
    unsigned short freePort = 0;
    {
        tcp::acceptor closed(loop, AnyPort);
        freePort = closed.local_endpoint().port();
    }
    const auto refused = ask(loop, client, peerOf(freePort), request("/"));
    REQUIRE_FALSE(refused.ok());
    CHECK(errorContext(refused.status()).outcome == Outcome::NotRun);
    CHECK(ask(loop, client, "nonsense", request("/")).status().code() == absl::StatusCode::kInvalidArgument);
}

// Guards against calls that wait for ever on a connection that fell silent.
TEST_CASE("a silent peer ends with the time limit")
{
    Loop loop;
    RawServer silent(loop, "", AfterAnswer::Keep);
    HttpClient client(loop);
    ClientLimits limits;
    limits.total = absl::Milliseconds(50);
    CHECK(ask(loop, client, peerOf(silent.port()), request("/"), limits).status().code()
          == absl::StatusCode::kDeadlineExceeded);
}

// Guards against an answer without a length that ends with its connection being taken for broken.
TEST_CASE("an answer may end with its connection")
{
    Loop loop;
    RawServer server(loop, "HTTP/1.1 200 OK\r\n\r\nall of it", AfterAnswer::Close);
    HttpClient client(loop);
    CHECK(ask(loop, client, peerOf(server.port()), request("/"))->body == "all of it");
}

// Guards against smuggled and oversized requests reaching a handler.
TEST_CASE("unreadable requests are refused and not handled")
{
    Loop loop;
    int handled = 0;
    HttpServer server(loop, [&handled](const ServerCallPtr &call) {
        ++handled;
        call->respond(200, {}, "");
    });
    ServerLimits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = 100;
    server.setLimits(limits);
    REQUIRE(server.listen(AnyPort).ok());
    const auto statusOf = [&loop, &server](const std::string &bytes) {
        tcp::socket socket(loop);
        socket.connect(Endpoint(boost::asio::ip::address_v4::loopback(), server.port()));
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::string answer(12, ' ');
        bool done = false;
        boost::asio::async_read(socket, boost::asio::buffer(answer),
                                [&done](const boost::system::error_code &, std::size_t) { done = true; });
        REQUIRE(runUntil(loop, [&done] { return done; }));
        return answer.substr(9, 3);
    };
    CHECK(statusOf("nonsense\r\n\r\n") == "400");
    CHECK(statusOf("POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == "400");
    CHECK(statusOf("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n") == "413");
    CHECK(statusOf("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n") == "431");
    CHECK(handled == 0);
}

// Guards against work for a client that has closed its connection.
TEST_CASE("a handler learns that its client has gone")
{
    Loop loop;
    bool gone = false;
    ServerCallPtr held;
    HttpServer server(loop, [&gone, &held](const ServerCallPtr &call) {
        held = call;
        call->onClientGone([&gone] { gone = true; });
    });
    REQUIRE(server.listen(AnyPort).ok());
    HttpClient client(loop);
    const CallId id = client.call(peerOf(server.port()), request("/"), {}, {});
    REQUIRE(runUntil(loop, [&held] { return held != nullptr; }));
    client.cancel(id);
    CHECK(runUntil(loop, [&gone] { return gone; }));
    CHECK(server.openCalls() == 0);
    held->respond(200, {}, "too late");
}

// Guards against a planned stop that cuts a request: the answer goes out and asks the client to leave.
TEST_CASE("a server that stops answers what it has read and closes")
{
    Loop loop;
    ServerCallPtr held;
    HttpServer server(loop, [&held](const ServerCallPtr &call) { held = call; });
    REQUIRE(server.listen(AnyPort).ok());
    HttpClient client(loop);
    std::optional<absl::StatusOr<HttpResponse>> result;
    ClientHandlers handlers;
    handlers.onDone = [&result](absl::StatusOr<HttpResponse> response) { result = std::move(response); };
    client.call(peerOf(server.port()), request("/"), {}, std::move(handlers));
    REQUIRE(runUntil(loop, [&held] { return held != nullptr; }));
    server.startClosing();
    server.stopAccepting();
    held->respond(200, {}, "done");
    REQUIRE(runUntil(loop, [&result] { return result.has_value(); }));
    REQUIRE(result->ok());
    CHECK((*result)->headers.valueOr("Connection", "") == "close");
}

// Guards against requests inside requests: a path from a client's job had line breaks and was sent as it was, so that
// the replica read a second request, with another workspace.
TEST_CASE("a request that a peer would read as something else is not encoded")
{
    const auto valid = [] {
        HttpRequest message = request("/a?b=c", "body");
        message.headers.add("X-Text", "a b\tc\xff");
        return message;
    };
    REQUIRE(encodeRequest(valid()).ok());
    CHECK(encodeRequest(valid()).value()
          == "POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-Text: a b\tc\xff\r\nContent-Length: 4\r\n\r\nbody");
    const std::vector<std::string_view> parts{"\r\n", "\n", "\r", " ", std::string_view("\0", 1), "\x7f", "\x1b"};
    for (const std::string_view part : parts) {
        HttpRequest message = valid();
        message.target = "/a" + std::string(part) + "b";
        CHECK_FALSE(encodeRequest(message).ok());
        message = valid();
        message.method = "GET" + std::string(part);
        CHECK_FALSE(encodeRequest(message).ok());
        message = valid();
        message.headers.add("X-A" + std::string(part), "value");
        CHECK_FALSE(encodeRequest(message).ok());
        message = valid();
        message.headers.add("X-A", "value" + std::string(part) + "X-B: c");
        CHECK(encodeRequest(message).ok() == (part == " "));
    }
    for (const std::string_view target : {"", "a", "http://h/a", "*"}) {
        HttpRequest message = valid();
        message.target = target;
        CHECK_FALSE(encodeRequest(message).ok());
    }
    for (const std::string_view name : {"", "Host", "content-length", "Transfer-Encoding", "X-A:"}) {
        HttpRequest message = valid();
        message.headers.add(name, "1");
        CHECK_FALSE(encodeRequest(message).ok());
    }
    HttpRequest withoutHost;
    withoutHost.method = "GET";
    withoutHost.target = "/";
    CHECK_FALSE(encodeRequest(withoutHost).ok());
}

// Guards against a client that sends such a request all the same, reports that it may have run, or is stuck afterwards.
TEST_CASE("a call that can't be encoded ends as not run and nothing is sent")
{
    Loop loop;
    HttpClient client(loop);
    RawServer server(loop, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", AfterAnswer::Close);
    const auto refused = ask(loop, client, peerOf(server.port()), request("/a b"));
    REQUIRE_FALSE(refused.ok());
    CHECK(refused.status().code() == absl::StatusCode::kInvalidArgument);
    CHECK(errorContext(refused.status()).outcome == Outcome::NotRun);
    CHECK(server.connections == 0);
    CHECK(ask(loop, client, peerOf(server.port()), request("/a")).ok());
}

// Guards against a process that ends, a client without an answer, and periodic work that stops, because a handler
// threw.
TEST_CASE("an exception of a handler ends neither the loop nor the work that threw it")
{
    Loop loop;
    HttpServer server(loop, [](const ServerCallPtr &call) {
        if (call->request().target == "/throw") {
            throw std::runtime_error("in a handler");
        }
        call->respond(200, {}, "");
    });
    REQUIRE(server.listen(AnyPort).ok());
    HttpClient client(loop);
    int rounds = 0;
    runEvery(loop, absl::Milliseconds(1), [&rounds] {
        if (++rounds == 2) {
            throw std::runtime_error("in periodic work");
        }
    });
    std::vector<int> statuses;
    for (const char *target : {"/throw", "/x", "/throw"}) {
        ClientHandlers handlers;
        handlers.onDone = [&](const absl::StatusOr<HttpResponse> &response) {
            statuses.push_back(response.ok() ? response->status : 0);
            if (statuses.size() == 3) {
                runAfter(loop, absl::Milliseconds(50), [&loop] { loop.stop(); });
            }
        };
        client.call(peerOf(server.port()), request(target), {}, std::move(handlers));
    }
    std::vector<std::string> messages;
    runLoop(loop, [&messages](const std::exception &error) { messages.emplace_back(error.what()); });
    std::sort(statuses.begin(), statuses.end());
    CHECK(statuses == std::vector<int>{200, 500, 500});
    std::sort(messages.begin(), messages.end());
    CHECK(messages == std::vector<std::string>{"in a handler", "in a handler", "in periodic work"});
    CHECK(rounds > 2);
    CHECK(server.openCalls() == 0);
}

// Guards against a server that is left half open by a failed attempt, and against clients that find the last address
// while an earlier one is missing.
TEST_CASE("addresses in use are tried again in their order until they are free")
{
    Loop loop;
    const auto ignore = [](const ServerCallPtr &call) { call->respond(200, {}, ""); };
    auto taken = std::make_unique<HttpServer>(loop, ignore);
    REQUIRE(taken->listen(AnyPort).ok());
    const Endpoint busy(boost::asio::ip::address_v4::loopback(), taken->port());
    HttpServer first(loop, ignore);
    HttpServer second(loop, ignore);
    int reports = 0;
    int bound = 0;
    ListenerGroup group(loop, [&reports](const absl::Status &) { ++reports; }, {absl::Milliseconds(5)});
    group.add(first, busy);
    group.add(second, AnyPort);
    group.start([&bound] { ++bound; }, [](const absl::Status &) { FAIL("not tried again"); });
    runFor(loop, std::chrono::milliseconds(50));
    CHECK(reports == 1);
    CHECK_FALSE(group.bound());
    CHECK_THROWS(second.port()); // Not bound yet.
    taken->stopAccepting();
    REQUIRE(runUntil(loop, [&bound] { return bound == 1; }));
    CHECK(group.bound());
    HttpClient client(loop);
    CHECK(ask(loop, client, peerOf(first.port()), request("/")).ok());
    CHECK(ask(loop, client, peerOf(second.port()), request("/")).ok());
}

TEST_CASE("queries are decoded")
{
    CHECK(queryValue("/p?a=1&name=x%20y", "name") == "x y");
    CHECK(queryValue("/p?a", "a") == "");
    CHECK_FALSE(queryValue("/p?ab=1", "a"));
    CHECK(pathOf("/p?a=1") == "/p");
    CHECK(percentEncode("a/b c") == "a%2Fb%20c");
}
