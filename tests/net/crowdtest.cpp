// Tests of the limits for clients that the system doesn't control.
#include "net/deferredturns.h"
#include "net/httpserver.h"

#include "fakes/runloop.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <list>
#include <memory>
#include <string>
#include <vector>

using namespace currantlug;
using namespace currantlug::net;
using namespace currantlug::tests;
using boost::asio::ip::tcp;

namespace {

Endpoint local(unsigned short port)
{
    return {boost::asio::ip::address_v4::loopback(), port};
}

std::uint64_t countOf(const HttpServer &server, ClientRefusal reason)
{
    return server.refusals()[static_cast<std::size_t>(reason)];
}

/// A client that collects what it receives.
class RawClient
{
public:
    RawClient(Loop &loop, unsigned short port)
        : socket_(loop)
    {
        socket_.connect(local(port));
        read();
    }

    void send(const std::string &bytes)
    {
        const auto held = std::make_shared<std::string>(bytes);
        boost::asio::async_write(socket_, boost::asio::buffer(*held),
                                 [held](const boost::system::error_code &, std::size_t) {});
    }
    std::string status() const { return received.substr(0, 12); }

    std::string received;
    bool closed = false;

private:
    void read()
    {
        socket_.async_read_some(boost::asio::buffer(buffer_),
                                [this](const boost::system::error_code &error, std::size_t bytes) {
                                    if (error == boost::asio::error::operation_aborted) {
                                        return; // This client is gone.
                                    }
                                    received.append(buffer_.data(), bytes);
                                    closed = static_cast<bool>(error);
                                    if (!error) {
                                        read();
                                    }
                                });
    }

    tcp::socket socket_;
    std::array<char, 16384> buffer_{};
};

std::string requestOfFields(int fields)
{
    std::string text = "GET /x HTTP/1.1\r\nHost: h\r\n";
    for (int i = 0; i < fields; ++i) {
        text += "a:b\r\n";
    }
    return text + "\r\n";
}

} // namespace

// Guards against limits that refuse a legal request while there is room: 3,100 lines fill a head of 16 KiB.
TEST_CASE("a single head of very many lines is served")
{
    Loop loop;
    MemoryBudget budget(16 << 20);
    DeferredTurns turns(loop);
    std::size_t fields = 0;
    HttpServer server(loop, [&fields](const ServerCallPtr &call) {
        fields = call->request().headers.fields().size();
        call->respond(200, {}, "");
    });
    server.setMemoryBudget(budget);
    server.setDeferredTurns(turns);
    REQUIRE(server.listen(local(0)).ok());
    RawClient client(loop, server.port());
    client.send(requestOfFields(3100));
    REQUIRE(runUntil(loop, [&client] { return !client.received.empty(); }));
    CHECK(client.status() == "HTTP/1.1 200");
    CHECK(fields == 3101);
    CHECK(budget.usedOf(MemoryKind::Head) == 0);
}

// Guards against heads whose cost as parsed fields isn't counted.
TEST_CASE("unfinished heads take their cost from the memory budget and give it back")
{
    Loop loop;
    MemoryBudget budget(16 << 20);
    HttpServer server(loop, [](const ServerCallPtr &call) { call->respond(200, {}, ""); });
    server.setMemoryBudget(budget);
    REQUIRE(server.listen(local(0)).ok());
    {
        RawClient client(loop, server.port());
        const std::string whole = requestOfFields(2000);
        client.send(whole.substr(0, whole.size() - 2));
        REQUIRE(runUntil(loop, [&budget] { return budget.usedOf(MemoryKind::Head) > 2000 * 300; }));
    }
    CHECK(runUntil(loop, [&budget] { return budget.usedOf(MemoryKind::Head) == 0; }));
    CHECK(budget.usedOf(MemoryKind::Pipelined) == 0);
}

// Guards against unfinished requests of some clients that keep others out: the largest is given up for a small one, and
// one that was handed to the handler never is.
TEST_CASE("the largest unfinished request is given up when memory is short, never one that was handed on")
{
    Loop loop;
    MemoryBudget budget(200'000); // 50,000 in reserve: less than the three bodies below take together.
    std::vector<ServerCallPtr> calls;
    HttpServer server(loop, [&calls](const ServerCallPtr &call) { calls.push_back(call); });
    server.setMemoryBudget(budget);
    REQUIRE(server.listen(local(0)).ok());
    const auto headOf = [](int length) {
        return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    };
    RawClient handedOn(loop, server.port());
    handedOn.send(headOf(55'000) + std::string(55'000, 'x'));
    REQUIRE(runUntil(loop, [&calls] { return calls.size() == 1; }));
    RawClient unfinished(loop, server.port());
    unfinished.send(headOf(50'000) + std::string(1000, 'x'));
    REQUIRE(runUntil(loop, [&budget] { return budget.usedOf(MemoryKind::SmallBody) >= 210'000; }));
    RawClient ordinary(loop, server.port());
    ordinary.send(headOf(20'000) + std::string(20'000, 'x'));
    REQUIRE(runUntil(loop, [&calls] { return calls.size() == 2; }));
    CHECK(runUntil(loop, [&unfinished] { return unfinished.status() == "HTTP/1.1 503"; }));
    CHECK(unfinished.received.find("Retry-After") != std::string::npos);
    CHECK(countOf(server, ClientRefusal::GivenUp) == 1);
    calls[0]->respond(200, {}, "");
    CHECK(runUntil(loop, [&handedOn] { return handedOn.status() == "HTTP/1.1 200"; }));
}

// Guards against a listener that nobody reaches any more because clients hold all of its connections.
TEST_CASE("at the bound on connections an unfinished one makes room, and one with a request in progress doesn't")
{
    Loop loop;
    std::vector<ServerCallPtr> calls;
    HttpServer server(loop, [&calls](const ServerCallPtr &call) { calls.push_back(call); });
    CrowdLimits crowd;
    crowd.connections = 2;
    server.setCrowdLimits(crowd);
    REQUIRE(server.listen(local(0)).ok());
    RawClient busy(loop, server.port());
    busy.send(requestOfFields(1));
    REQUIRE(runUntil(loop, [&calls] { return calls.size() == 1; }));
    RawClient unfinished(loop, server.port());
    unfinished.send("GET /x HT");
    runFor(loop, std::chrono::milliseconds(50));
    RawClient ordinary(loop, server.port());
    ordinary.send(requestOfFields(1));
    REQUIRE(runUntil(loop, [&calls] { return calls.size() == 2; }));
    CHECK(runUntil(loop, [&unfinished] { return unfinished.closed; }));
    RawClient refused(loop, server.port());
    CHECK(runUntil(loop, [&refused] { return refused.closed; }));
    CHECK(server.connections() == 2);
    for (const ServerCallPtr &call : calls) {
        call->respond(200, {}, "");
    }
    CHECK(runUntil(loop, [&] { return !busy.received.empty() && !ordinary.received.empty(); }));
}

// Guards against bytes before a request that no limit covers; some empty lines are legal there.
TEST_CASE("a few empty lines before a request are skipped, and many end the connection")
{
    Loop loop;
    HttpServer server(loop, [](const ServerCallPtr &call) { call->respond(200, {}, ""); });
    REQUIRE(server.listen(local(0)).ok());
    RawClient ordinary(loop, server.port());
    ordinary.send("\r\n\r\n" + requestOfFields(1));
    CHECK(runUntil(loop, [&ordinary] { return ordinary.status() == "HTTP/1.1 200"; }));
    RawClient hostile(loop, server.port());
    for (int i = 0; i < 2000; ++i) {
        hostile.send("\r\n");
    }
    CHECK(runUntil(loop, [&hostile] { return hostile.status() == "HTTP/1.1 400"; }));
    CHECK(countOf(server, ClientRefusal::EmptyLines) == 1);
}

// Guards against one connection that keeps the loop to itself by many costly requests in a row.
TEST_CASE("a connection that has used much processor time is deferred, and all of its requests are still served")
{
    Loop loop;
    DeferredTurns turns(loop);
    int handled = 0;
    HttpServer server(loop, [&handled](const ServerCallPtr &call) {
        ++handled;
        call->respond(200, {}, "");
    });
    CrowdLimits crowd;
    crowd.turnBurst = absl::Microseconds(1);
    server.setCrowdLimits(crowd);
    server.setDeferredTurns(turns);
    REQUIRE(server.listen(local(0)).ok());
    RawClient client(loop, server.port());
    std::string requests;
    for (int i = 0; i < 20; ++i) {
        requests += requestOfFields(1000);
    }
    client.send(requests);
    CHECK(runUntil(loop, [&handled] { return handled == 20; }));
    CHECK(turns.deferred() > 0);
    CHECK(turns.waiting() == 0);
}

// Guards against a refusal of many fields while the loop keeps up, and against their cost while it doesn't.
TEST_CASE("heads of many fields are refused only while connections wait for their turn")
{
    Loop loop;
    DeferredTurns turns(loop);
    HttpServer server(loop, [](const ServerCallPtr &call) { call->respond(200, {}, ""); });
    CrowdLimits crowd;
    crowd.busyTurns = 0; // Busy all the time.
    server.setCrowdLimits(crowd);
    server.setDeferredTurns(turns);
    REQUIRE(server.listen(local(0)).ok());
    RawClient large(loop, server.port());
    large.send(requestOfFields(1000));
    CHECK(runUntil(loop, [&large] { return large.status() == "HTTP/1.1 503"; }));
    RawClient ordinary(loop, server.port());
    ordinary.send(requestOfFields(30));
    CHECK(runUntil(loop, [&ordinary] { return ordinary.status() == "HTTP/1.1 200"; }));
}

// Guards against a body inside the limits that a calm process refuses: on a machine with 110 MB the budget is 55 MB,
// and twice 32 MiB doesn't fit.
TEST_CASE("a single body of the largest legal size is served on the smallest machine, and a second one beside it isn't")
{
    Loop loop;
    MemoryBudget budget(55 << 20);
    std::vector<ServerCallPtr> calls;
    HttpServer server(loop, [&calls](const ServerCallPtr &call) { calls.push_back(call); });
    server.setMemoryBudget(budget);
    REQUIRE(server.listen(local(0)).ok());
    std::string request =
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 33554432\r\n\r\n" + std::string(32 << 20, 'x');
    if (GENERATE(false, true)) { // In chunks, so that the length isn't known at first.
        request = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2000000\r\n"
            + std::string(32 << 20, 'x') + "\r\n0\r\n\r\n";
    }
    RawClient first(loop, server.port());
    first.send(request);
    CHECK(runUntil(loop, [&calls] { return calls.size() == 1; }));
    RawClient second(loop, server.port());
    second.send(request);
    CHECK(runUntil(loop, [&second] { return second.status() == "HTTP/1.1 503"; }));
    CHECK(calls.size() == 1);
}
