// Tests orders to replicas and their reports against a server that answers wrongly.
#include "replicaclient.h"
#include "serving/observedport.h"

#include "fakes/runloop.h"
#include "net/httpclient.h"
#include "net/httpserver.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>

using namespace currantlug;
using namespace currantlug::adapter;
using namespace currantlug::tests;
using control::OrderReply;

namespace {

/// A replica that answers every call with the same status, fields and body.
struct AnsweringReplica
{
    AnsweringReplica(int status, std::map<std::string, std::string> fields, std::string body)
        : client(loop)
        , server(loop,
                 [status, fields = std::move(fields), body = std::move(body)](const net::ServerCallPtr &call) {
                     net::Headers headers;
                     for (const auto &[name, value] : fields) {
                         headers.add(name, value);
                     }
                     call->respond(status, headers, body);
                 })
        , port(dutyPort(client, "127.0.0.1:1"))
    {
        REQUIRE(server.listen(net::Endpoint(boost::asio::ip::address_v4::loopback(), 0)).ok());
        replica.entry.id = "r1";
        replica.entry.address = "127.0.0.1:" + std::to_string(server.port());
    }

    OrderReply order()
    {
        control::WeightOrder order;
        order.replica = "r1";
        order.model = "m";
        order.version = 2;
        std::optional<OrderReply> result;
        port.orderWeights(replica, order, {"node", 1}, [&result](OrderReply reply) { result = reply; });
        REQUIRE(runUntil(loop, [&result] { return result.has_value(); }));
        return *result;
    }

    std::optional<control::ReplicaReport> report()
    {
        std::optional<std::optional<control::ReplicaReport>> result;
        port.report(replica, [&result](std::optional<control::ReplicaReport> report) { result = std::move(report); });
        REQUIRE(runUntil(loop, [&result] { return result.has_value(); }));
        return *result;
    }

    net::Loop loop;
    net::HttpClient client;
    net::HttpServer server;
    control::DutyPort port;
    serving::Replica replica;
};

const std::string Report =
    R"({"stage":"mixed","models":[{"name":"m","version":7,"adapters":[]}],"busy":false,"seq":3})";

} // namespace

// Guards against a late second copy of a request's answer that is taken for the answer to an order or a report: the
// order would count as refused or carried out, or items be sent to a replica that has other weights than it seems.
TEST_CASE("an answer that belongs to a request says nothing about an order or a report")
{
    const std::map<std::string, std::string> ofRequest{{"X-Attempt-Id", "other"}, {"X-Server-Stamp", "s"}};
    for (const int status : {200, 202, 400, 409, 421, 503}) {
        CAPTURE(status);
        CHECK(AnsweringReplica(status, ofRequest, "{}").order() == OrderReply::Unknown);
    }
    CHECK_FALSE(AnsweringReplica(200, ofRequest, Report).report().has_value());
}

// Guards against streams and refusals whose head isn't looked at, and against a field that the client doesn't get.
TEST_CASE("the head of a stream, of a success and of a refusal says that the replica leaves")
{
    for (const int status : {200, 503}) {
        CAPTURE(status);
        AnsweringReplica replica(status,
                                 {{"X-Attempt-Id", "q"},
                                  {"X-Server-Stamp", "s"},
                                  {"X-Weight-Versions", "3"},
                                  {"Server-Leaving", "1"},
                                  {"Server-Limit", "2.5"}},
                                 "");
        int marks = 0;
        bool forwarded = false;
        int done = 0;
        const serving::ReplicaPort port =
            serving::observedPort(replicaPort(replica.client), [&](const serving::ReplicaStatement &statement) {
                CHECK(statement.replica == serving::incarnationOf(replica.replica.entry));
                CHECK(statement.leaving);
                CHECK(statement.requestLimit == 2.5);
                ++marks;
            });
        serving::OutboundRequest request;
        request.id = "q";
        request.method = "POST";
        request.target = "/";
        serving::ReplicaHandlers handlers;
        handlers.onHead = [&forwarded](const serving::ReplicaHead &, const net::HttpResponse &response) {
            forwarded = response.headers.find("Server-Leaving").has_value();
        };
        handlers.onDone = [&done](const serving::ReplicaHead &, const absl::StatusOr<net::HttpResponse> &) { ++done; };
        port.send(replica.replica, request, {}, handlers);
        serving::EventHandlers events;
        events.onHead = [](const serving::ReplicaHead &) {};
        events.onEvent = [](const serving::StreamEvent &) {};
        events.onDone = [&done](const serving::ReplicaHead &, const absl::Status &) { ++done; };
        port.generate(replica.replica, request, {}, events);
        REQUIRE(runUntil(replica.loop, [&done] { return done == 2; }));
        CHECK(marks == 2);
        CHECK(forwarded);
    }
}

TEST_CASE("an order's own answer and a report are read")
{
    CHECK(AnsweringReplica(202, {}, "").order() == OrderReply::Started);
    CHECK(AnsweringReplica(200, {}, "").order() == OrderReply::AlreadyDone);
    CHECK(AnsweringReplica(409, {}, "").order() == OrderReply::Busy);
    const auto report = AnsweringReplica(200, {}, Report).report();
    REQUIRE(report.has_value());
    CHECK(report->weightVersions.at("m") == 7);
    CHECK(report->ordersAccepted == 3);
    CHECK_FALSE(report->leaving);
    CHECK(AnsweringReplica(200, {{"Server-Leaving", "1"}}, Report).report()->leaving);
    const auto unreadable = AnsweringReplica(200, {}, "{\"models\":3}").report();
    CHECK((!unreadable || unreadable->weightVersions.empty()));
    CHECK_FALSE(AnsweringReplica(503, {}, Report).report().has_value());
}
