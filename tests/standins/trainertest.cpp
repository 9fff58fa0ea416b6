// The trainer stand-in against a small daemon that breaks the guarantees on purpose: each breach must show in the
// summary, and only there.
#include "standinclient.h"
#include "standins/enginestandin.h"
#include "standins/standinserver.h"
#include "standins/trainerstandin.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::standins;

namespace {

/// Generates all samples of a step on PUT. Its cursor is the number of samples delivered.
class FakeDaemon
{
public:
    using Breach = std::function<void(Json &answer)>;

    explicit FakeDaemon(EngineStandin &engine)
        : server([this](const httplib::Request &request, httplib::Response &response) { handle(request, response); })
        , engine_(engine)
    {
        REQUIRE(server.start(0).ok());
    }

    ~FakeDaemon() { server.stop(); }

    std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }

    StandinServer server;
    Breach breach; ///< Changes each answer to a pull.
    std::vector<std::string> addresses; ///< What /v1/addresses says.
    std::atomic<int> definitions = 0;
    std::atomic<int> pulls = 0;
    std::atomic<bool> keySeen = false;

private:
    void handle(const httplib::Request &request, httplib::Response &response)
    {
        keySeen = request.get_header_value("Authorization") == "Bearer secret";
        if (request.path == "/v1/addresses") {
            Json list = Json::array();
            for (const std::string &address : addresses) {
                list.push_back({{"address", address}});
            }
            answerJson(response, {{"addresses", list}, {"keep_ms", 60'000}});
        } else if (request.method == "PUT") {
            ++definitions;
            define(*parseJson(request.body));
            answerJson(response, Json::object());
        } else if (request.method == "POST") {
            ++pulls;
            pull(*parseJson(request.body), response);
        }
    }

    void define(const Json &step)
    {
        // A PUT that outlasts the trainer's patience is repeated, and must not generate a second time.
        const std::lock_guard lock(mutex_);
        const std::string groups = step["groups"].dump();
        if (groups == groups_) {
            return;
        }
        groups_ = groups;
        samples_.clear();
        for (const Json &group : step["groups"]) {
            for (std::uint64_t index = 0; index < group["samples"]; ++index) {
                const std::string id = address() + "/" + std::to_string(samples_.size());
                Json body = completionBody(id, group["max_tokens"].get<std::uint64_t>());
                body["prompt"] = group["prompt"];
                const ReadStream stream = readStream(postJson(engine_.port(), "/v1/completions", body)->body);
                samples_.push_back({{"group", group["id"]},
                                    {"index", index},
                                    {"text", stream.text},
                                    {"segments", stream.segments},
                                    {"sample_id", id}});
            }
        }
    }

    void pull(const Json &body, httplib::Response &response)
    {
        const std::lock_guard lock(mutex_);
        if (samples_.empty()) {
            answerError(response, 404, "unknown_step", "send the definition");
            return;
        }
        const std::string cursor = body["cursor"].get<std::string>();
        const std::size_t begin = cursor.empty() ? 0 : std::stoul(cursor);
        const std::size_t end = std::min(begin + body["max_samples"].get<std::size_t>(), samples_.size());
        Json answer{{"cursor", std::to_string(end)}, {"samples", Json::array()}, {"remaining", samples_.size() - end}};
        for (std::size_t i = begin; i < end; ++i) {
            answer["samples"].push_back(samples_[i]);
        }
        if (breach) {
            breach(answer);
        }
        answerJson(response, answer);
    }

    EngineStandin &engine_;
    std::mutex mutex_;
    std::string groups_; ///< Of the step in samples_.
    std::vector<Json> samples_;
};

struct Fixture
{
    EngineStandin engine;
    std::unique_ptr<FakeDaemon> daemon;
    TrainerSettings settings;

    Fixture()
    {
        REQUIRE(engine.start().ok());
        daemon = std::make_unique<FakeDaemon>(engine);
        settings.key = "secret";
        settings.daemons = {daemon->address()};
        settings.engines = {"127.0.0.1:" + std::to_string(engine.port())};
        settings.maxSamples = 5;
        settings.maxTokens = 4;
        settings.stepTimeout = absl::Seconds(20);
        settings.callTimeout = absl::Milliseconds(500);
        settings.wait = absl::Milliseconds(10);
        settings.retryPause = absl::Milliseconds(1);
    }

    /// The summary without its idle time.
    std::string run()
    {
        TrainerStandin trainer(settings);
        REQUIRE(trainer.run().ok());
        const std::string line = trainer.summary().line();
        return line.substr(0, line.find(" idle_ms="));
    }
};

constexpr const char *Clean = "summary delivered=16 lost=0 duplicated=0 mislabelled=0 stale=0";

} // namespace

TEST_CASE_METHOD(Fixture, "correct delivery gives a clean summary", "[standins]")
{
    settings.steps = 2;
    settings.versionPerStep = 1;
    CHECK(run() == "summary delivered=32 lost=0 duplicated=0 mislabelled=0 stale=0");
    CHECK(daemon->keySeen);
}

TEST_CASE_METHOD(Fixture, "each breach of a guarantee is counted", "[standins]")
{
    SECTION("a sample delivered twice")
    {
        daemon->breach = [](Json &answer) { answer["samples"].push_back(answer["samples"][0]); };
        CHECK(run() == "summary delivered=16 lost=0 duplicated=4 mislabelled=0 stale=0");
    }
    SECTION("a sample left out")
    {
        daemon->breach = [](Json &answer) { answer["samples"].erase(0); };
        CHECK(run() == "summary delivered=12 lost=4 duplicated=0 mislabelled=0 stale=0");
    }
    SECTION("the version that was expected instead of the one that ran")
    {
        daemon->breach = [](Json &answer) { answer["samples"][0]["segments"][0]["weight_version"] = 2; };
        CHECK(run() == "summary delivered=16 lost=0 duplicated=0 mislabelled=4 stale=0");
    }
    SECTION("the text of another request")
    {
        daemon->breach = [](Json &answer) { answer["samples"][0]["text"] = "other"; };
        CHECK(run() == "summary delivered=16 lost=0 duplicated=0 mislabelled=4 stale=0");
    }
    SECTION("no label")
    {
        daemon->breach = [](Json &answer) { answer["samples"][0].erase("segments"); };
        CHECK(run() == "summary delivered=16 lost=0 duplicated=0 mislabelled=4 stale=0");
    }
    SECTION("a slot outside the step")
    {
        daemon->breach = [](Json &answer) { answer["samples"][0]["index"] = 4; };
        CHECK(run() == "summary delivered=12 lost=4 duplicated=0 mislabelled=4 stale=0");
    }
    SECTION("samples older than the bound")
    {
        settings.trainerVersion = 3;
        CHECK(run() == "summary delivered=16 lost=0 duplicated=0 mislabelled=0 stale=16");
    }
}

TEST_CASE_METHOD(Fixture, "lost, hanging and refused pulls are repeated with the old cursor", "[standins]")
{
    const FaultKind kind = GENERATE(FaultKind::LoseAnswer, FaultKind::Hang, FaultKind::Fail);
    daemon->server.faults().add({.kind = kind, .pathPrefix = "/v1/trainers/trainer-1/steps/1/pull"});
    CHECK(run() == Clean);
}

TEST_CASE_METHOD(Fixture, "after the loss of its daemon the trainer goes on at another one", "[standins]")
{
    // The other daemon does not know the step, so this also covers a repeated definition.
    FakeDaemon other(engine);
    daemon->addresses = {daemon->address(), other.address()};
    daemon->breach = [&](Json &answer) {
        if (answer["cursor"] == "10") {
            StandinServer::dropAnswer();
            daemon->server.closeConnections(absl::Hours(1));
        }
    };
    CHECK(run() == Clean);
    CHECK(other.definitions == 1);
    CHECK(other.pulls == 4); // The unknown step, then the slots from 5 on.
}

TEST_CASE_METHOD(Fixture, "a trainer without any daemon loses its slots and counts the time as idle", "[standins]")
{
    settings.daemons = {"127.0.0.1:1"};
    settings.stepTimeout = absl::Milliseconds(30);
    TrainerStandin trainer(settings);
    REQUIRE(trainer.run().ok());
    CHECK(trainer.summary().lost == 16);
    CHECK(trainer.summary().idle >= absl::Milliseconds(20));
    CHECK_FALSE(trainer.summary().clean());
}

TEST_CASE("a sample resumed on a second engine is explained by both attempts", "[standins]")
{
    // The first engine produced two tokens that its caller never received before the cut.
    const auto attempt = [](std::uint64_t start, std::uint64_t tokens, std::uint64_t version, bool finished) {
        std::string text;
        for (std::uint64_t i = start; i < start + tokens; ++i) {
            text += engineToken("p", 0, i);
        }
        return Json{{"prompt", "p"},
                    {"start", start},
                    {"text", text},
                    {"finished", finished},
                    {"segments", Json::array({{{"weight_version", version}, {"tokens", tokens}}})}};
    };
    SampleAudit audit;
    audit.add({{"requests", {{"r", Json::array({attempt(0, 5, 1, false)})}}}});
    audit.add({{"requests", {{"r", Json::array({attempt(3, 4, 2, true)})}}}});
    std::string text;
    for (std::uint64_t i = 0; i < 7; ++i) {
        text += engineToken("p", 0, i);
    }
    const auto sample = [&](std::uint64_t first, std::uint64_t second) {
        const Json segments =
            Json::array({{{"version", 1U}, {"tokens", first}}, {{"version", 2U}, {"tokens", second}}});
        return TakenSample{"p", text, "r", segments};
    };
    CHECK(audit.explains(sample(3, 4)));
    CHECK_FALSE(audit.explains(sample(5, 2)));
    CHECK_FALSE(audit.explains(sample(3, 3)));
}
