// The engine stand-in over real HTTP: labels across a swap, cut streams, fencing and audits.
#include "core/hash.h"
#include "standinclient.h"
#include "standins/enginestandin.h"

#include <catch2/catch.hpp>

#include <future>

using namespace currantlug;
using namespace currantlug::standins;

namespace {

struct Engine : EngineStandin
{
    explicit Engine(EngineSettings settings = {})
        : EngineStandin(std::move(settings))
    {
        REQUIRE(start().ok());
    }

    absl::StatusOr<platform::HttpAnswer> complete(const Json &body)
    {
        return postJson(port(), "/v1/completions", body);
    }

    std::future<absl::StatusOr<platform::HttpAnswer>> completeLater(const Json &body)
    {
        return std::async(std::launch::async, [this, body] { return complete(body); });
    }

    Json attempt(const std::string &id, std::size_t index = 0)
    {
        const Json requests = audit()["requests"];
        return requests.contains(id) && requests[id].size() > index ? requests[id][index] : Json();
    }

    std::uint64_t produced(const std::string &id)
    {
        const Json entry = attempt(id);
        return entry.is_null() ? 0 : entry["text"].get<std::string>().size() / EngineTokenBytes;
    }

    std::uint64_t running()
    {
        platform::HttpClient http = clientFor(port());
        return parseJson(http.call({.target = "/v1/load"}, Step::Send)->body)->at("running").get<std::uint64_t>();
    }
};

constexpr EngineSettings Slow{.perToken = absl::Milliseconds(5)};

} // namespace

TEST_CASE("a swap in the middle of a stream shows in each later token and in the segments", "[standins]")
{
    // A stand-in with wrong labels would hide a collector that trusts the expected version.
    Engine engine(Slow);
    auto answer = engine.completeLater(completionBody("r1", 60));
    REQUIRE(eventually([&] { return engine.produced("r1") >= 3; }));
    REQUIRE(
        postJson(engine.port(), "/v1/orders", {{"kind", "load_weights"}, {"version", 2}, {"fencing_token", 1}})->status
        == 200);
    const ReadStream stream = readStream(answer.get()->body);
    REQUIRE(stream.done);
    REQUIRE(stream.versions.size() == 60);
    REQUIRE(stream.segments.size() == 2);
    const auto first = stream.segments[0]["tokens"].get<std::size_t>();
    CHECK(first >= 3);
    CHECK(stream.versions[first - 1] == 1);
    CHECK(stream.versions[first] == 2);
    CHECK(stream.segments == engine.attempt("r1")["segments"]);
    CHECK(engine.attempt("r1")["finished"] == true);
}

TEST_CASE("a resumed text continues the uninterrupted one", "[standins]")
{
    Engine engine;
    const std::string whole = readStream(engine.complete(completionBody("r1", 10))->body).text;
    REQUIRE(whole.size() == 10 * EngineTokenBytes);
    const std::string head = whole.substr(0, 4 * EngineTokenBytes);
    const ReadStream rest = readStream(engine.complete(completionBody("r2", 6, head))->body);
    CHECK(head + rest.text == whole);
    CHECK(rest.segments == Json::array({{{"weight_version", 1}, {"tokens", 6}}}));
    CHECK(engine.attempt("r2")["start"] == 4);
    CHECK(whole.substr(0, EngineTokenBytes) == engineToken("p", 7, 0));
}

TEST_CASE("crashed and cancelled streams end without an end marker", "[standins]")
{
    const bool crash = GENERATE(true, false);
    Engine engine(Slow);
    auto answer = engine.completeLater(completionBody("r1", 100'000));
    REQUIRE(eventually([&] { return engine.produced("r1") >= 2; }));
    if (crash) {
        CHECK(postJson(engine.port(), "/faults", {{"kind", "crash"}})->status == 200);
    } else {
        platform::HttpClient http = clientFor(engine.port());
        CHECK(http.call({.method = "DELETE", .target = "/v1/completions/r1"}, Step::Send)->status == 200);
    }
    const auto result = answer.get();
    CHECK_FALSE(result.ok());
    CHECK(engine.attempt("r1")["finished"] == false);
    CHECK(engine.attempt("r1")["cancelled"] == !crash);
    CHECK(eventually([&] { return engine.running() == 0; }));
    CHECK(readStream(engine.complete(completionBody("r2", 2))->body).done);
}

TEST_CASE("a crashed engine refuses connections while it is down", "[standins]")
{
    Engine engine;
    engine.crash(absl::Hours(1));
    CHECK_FALSE(engine.complete(completionBody("r1", 2)).ok());
}

TEST_CASE("requests above the maximum wait in arrival order", "[standins]")
{
    Engine engine({.perToken = absl::Milliseconds(2), .maxRunning = 1});
    std::vector<std::future<absl::StatusOr<platform::HttpAnswer>>> answers;
    for (int i = 0; i < 3; ++i) {
        const std::string id = "r" + std::to_string(i);
        answers.push_back(engine.completeLater(completionBody(id, 20)));
        REQUIRE(eventually([&] { return !engine.attempt(id).is_null(); }));
    }
    // Each audit is one consistent view, so this holds in all of them however the threads are scheduled.
    REQUIRE(eventually([&] {
        const Json requests = engine.audit()["requests"];
        for (const auto &[earlier, later] : {std::pair("r0", "r1"), std::pair("r1", "r2")}) {
            CHECK((requests[later][0]["text"] == "" || requests[earlier][0]["finished"] == true));
        }
        return requests["r2"][0]["finished"] == true;
    }));
    for (auto &answer : answers) {
        CHECK(readStream(answer.get()->body).done);
    }
}

TEST_CASE("stale fencing tokens are refused only by an engine that checks them", "[standins]")
{
    Engine engine;
    const auto order = [&](std::uint64_t version, std::uint64_t token) {
        const Json body{{"kind", "load_weights"}, {"version", version}, {"fencing_token", token}};
        return postJson(engine.port(), "/v1/orders", body)->status;
    };
    CHECK(order(2, 5) == 200);
    CHECK(order(3, 4) == 409);
    engine.setCheckFencing(false);
    CHECK(order(3, 4) == 200);
    engine.addFault({.kind = FaultKind::FailSwap});
    CHECK(order(4, 6) == 500);
    CHECK(readStream(engine.complete(completionBody("r1", 1))->body).versions[0] == 3);
    CHECK(engine.audit()["orders"].size() == 4);
    CHECK(engine.audit()["orders"][1]["accepted"] == false);
}

TEST_CASE("swapped request ids show in both answers", "[standins]")
{
    Engine engine;
    engine.addFault({.kind = FaultKind::SwapIds, .delay = absl::Seconds(20)});
    auto first = engine.completeLater(completionBody("r1", 2));
    auto second = engine.completeLater(completionBody("r2", 2));
    CHECK(readStream(first.get()->body).id == "r2");
    CHECK(readStream(second.get()->body).id == "r1");
    CHECK(readStream(engine.complete(completionBody("r3", 2))->body).id == "r3");
}

TEST_CASE("a stalled stream goes silent in the middle and keeps its connection", "[standins]")
{
    Engine engine;
    engine.addFault({.kind = FaultKind::Stall});
    platform::HttpClient http = clientFor(engine.port(), absl::Milliseconds(100));
    const Json body = completionBody("r1", 8);
    CHECK_FALSE(http.call({.method = "POST", .target = "/v1/completions", .body = body.dump()}, Step::Send).ok());
    CHECK(engine.produced("r1") == 4);
    CHECK(eventually([&] { return engine.running() == 0; }));
}

TEST_CASE("a lost completion was produced, a failed one was not", "[standins]")
{
    Engine engine;
    engine.addFault({.kind = FaultKind::LoseAnswer, .pathPrefix = "/v1/completions"});
    CHECK_FALSE(engine.complete(completionBody("r1", 3)).ok());
    CHECK(engine.produced("r1") == 3);
    engine.addFault({.kind = FaultKind::Fail, .pathPrefix = "/v1/completions"});
    CHECK(engine.complete(completionBody("r2", 3))->status == 503);
    CHECK(engine.produced("r2") == 0);
}

TEST_CASE("the audit keeps every header, query and body that arrived", "[standins]")
{
    // A test that looks for a leaked key sees only what is recorded here.
    Engine engine;
    platform::HttpClient http = clientFor(engine.port());
    const Json body = completionBody("r1", 1);
    REQUIRE(http.call({.method = "POST",
                       .target = "/v1/completions?note=in-query",
                       .headers = {{"X-Note", "in-header"}},
                       .body = body.dump()},
                      Step::Send)
                .ok());
    REQUIRE(http.call({.target = "/v1/load?other=in-load"}, Step::Send).ok());
    const std::string audit = engine.audit().dump();
    for (const char *text : {"in-query", "in-header", "resume_text", "in-load"}) {
        CHECK(audit.find(text) != std::string::npos);
    }
}

TEST_CASE("cache events have gaps, evictions and a lag", "[standins]")
{
    Engine engine({.cacheBlocks = 2, .cacheEventGap = 3});
    Json body = completionBody("r1", 1);
    body["prompt"] = std::string(3 * PromptBlockBytes, 'x');
    REQUIRE(engine.complete(body).ok());
    platform::HttpClient http = clientFor(engine.port());
    const Json events = *parseJson(http.call({.target = "/v1/cache-events?after=1"}, Step::Send)->body);
    // Stored 1, 2 and 3, evicted 4; the third is never published.
    REQUIRE(events["events"].size() == 2);
    CHECK(events["events"][1]["kind"] == "evicted");
    CHECK(events["events"][1]["block"] == stableHash(std::string(PromptBlockBytes, 'x')));
    CHECK(events["next"] == 4);

    Engine late({.cacheEventLag = absl::Hours(1)});
    REQUIRE(late.complete(body).ok());
    platform::HttpClient lateHttp = clientFor(late.port());
    CHECK(parseJson(lateHttp.call({.target = "/v1/cache-events"}, Step::Send)->body)->at("events").empty());
}
