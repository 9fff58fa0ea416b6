// The plain service stand-in: executions per Idempotency-Key, and effects without answers.
#include "standinclient.h"
#include "standins/servicestandin.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::standins;

namespace {

absl::StatusOr<platform::HttpAnswer> call(int port, const std::string &method, const std::string &key,
                                          absl::Duration timeout = absl::Seconds(20))
{
    platform::HttpClient http = clientFor(port, timeout);
    return http.call({.method = method,
                      .target = "/any/path?q=1",
                      .headers = {{"Idempotency-Key", key}, {"X-Request-Id", "id-1"}},
                      .body = "text"},
                     Step::Send);
}

} // namespace

TEST_CASE("a repeated call counts as a second execution, also when its caller left", "[standins]")
{
    // Guards against a stand-in that hides a call that ran twice.
    ServiceStandin service({.delay = absl::Milliseconds(30)});
    REQUIRE(service.start().ok());
    CHECK_FALSE(call(service.port(), "POST", "k", absl::Milliseconds(5)).ok());
    REQUIRE(eventually([&] { return service.executions("k") == 1; }));
    service.addFault({.kind = FaultKind::LoseAnswer});
    CHECK_FALSE(call(service.port(), "PUT", "k").ok());
    CHECK(service.executions("k") == 2);
    const auto answer = call(service.port(), "PATCH", "k");
    REQUIRE(answer.ok());
    CHECK(parseJson(answer->body)->at("executions") == 3);
    CHECK(parseJson(answer->body)->at("request_id") == "id-1");
}

TEST_CASE("failed and hanging calls do not execute", "[standins]")
{
    ServiceStandin service;
    REQUIRE(service.start().ok());
    service.addFault({.kind = FaultKind::Fail});
    CHECK(call(service.port(), "POST", "k")->status == 503);
    service.addFault({.kind = FaultKind::Hang});
    CHECK_FALSE(call(service.port(), "GET", "k", absl::Milliseconds(30)).ok());
    CHECK(service.executions("k") == 0);
    CHECK(call(service.port(), "DELETE", "k")->status == 200);
    CHECK(service.audit()["requests"].size() == 1);
    CHECK(service.audit()["requests"][0]["target"] == "/any/path?q=1");
}
