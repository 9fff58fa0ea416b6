// From an id to its cause, through logs as the processes write them.
#include "report/logexplainer.h"

#include "telemetry/log.h"

#include <absl/strings/match.h>
#include <catch2/catch.hpp>

#include <sstream>

using namespace currantlug;
using namespace currantlug::report;

namespace {

constexpr absl::Duration Around = absl::Seconds(3);

/// A log line of a process, `second` seconds after some minute, as a collector hands it on.
std::string line(const std::string &process, int second, std::string_view subsystem, std::string_view event,
                 const telemetry::Fields &fields)
{
    return fmt::format("{} 2026-12-04T10:00:{:02}.250Z {}\n", process, second,
                       telemetry::formatLine(telemetry::Level::Info, subsystem, event, fields));
}

Explanation explain(const std::string &text, const std::string &id)
{
    std::istringstream input(text);
    LogExplainer explainer;
    explainer.read(input, "all.log");
    return explainer.explain(id, Around);
}

bool tells(const Explanation &explanation, std::string_view event, std::string_view text)
{
    for (const LogLine &found : explanation.lines) {
        if (found.event == event && absl::StrContains(found.fieldText(), std::string(text))) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against a cause that can't be seen because the process doesn't say what it believed of the replica.
TEST_CASE("a refused request leads to the replica that was lost")
{
    const std::string log = line("front-1", 8, "replica", "removed", {{"replica", "other"}})
        + line("front-1", 9, "replica", "removed", {{"replica", "i-1"}, {"registry_unsteady", false}})
        + line("front-1", 10, "request", "attempt_failed",
               {telemetry::requestId("r1"), {"replica", "i-1"}, {"message", "Connection reset by peer"}})
        + line("front-1", 10, "request", "ended",
               {telemetry::requestId("r1"), {"outcome", "no_replica"}, {"replicas", "i-1"}})
        + line("front-2", 10, "request", "ended", {telemetry::requestId("r2"), {"outcome", "full"}});
    const Explanation found = explain(log, "r1");
    CHECK(found.direct == 2);
    CHECK(found.lines.size() == 3);
    CHECK(tells(found, "removed", "replica=i-1"));
    CHECK(tells(found, "attempt_failed", "Connection reset by peer"));
    CHECK(tells(found, "ended", "outcome=no_replica"));
    CHECK(found.lines.front().source == "front-1");
}

// Guards against an item's story that ends where another process took its job over.
TEST_CASE("a late item leads to its job and to the end of its owner")
{
    const std::string log = line("front-1", 1, "job", "submitted", {{"job", "j1"}, {"step", 3}})
        + line("front-1", 4, "item", "requeued", {telemetry::requestId("x1"), {"job", "j1"}, {"replica", "i-2"}})
        + line("front-1", 4, "item", "requeued", {telemetry::requestId("x2"), {"job", "j1"}, {"replica", "i-2"}})
        + line("front-1", 5, "node", "stopping", {{"open_calls", 2}})
        + line("front-2", 9, "job", "taking_over", {{"job", "j1"}, {"owner", "front-1"}})
        + line("front-2", 30, "node", "stopping", {{"open_calls", 0}});
    const Explanation found = explain(log, "x1");
    CHECK(found.jobs == std::set<std::string>{"j1"});
    CHECK(tells(found, "submitted", "step=3"));
    CHECK(tells(found, "stopping", "open_calls=2"));
    CHECK(tells(found, "taking_over", "owner=front-1"));
    CHECK_FALSE(tells(found, "requeued", "request_id=x2"));
    CHECK_FALSE(tells(found, "stopping", "open_calls=0"));
}

// Guards against a key that was refused by a configuration that was out of date, without the log showing since when.
TEST_CASE("a refused key leads to the configuration and to the lost store")
{
    const std::string log = line("front-3", 2, "config", "in_force", {{"version", 4}, {"source", "store"}})
        + line("front-3", 4, "objects", "store_lost", {{"kind", "config"}, {"outcome", "unknown"}})
        + line("front-3", 6, "request", "key_refused",
               {telemetry::requestId("r9"), {"config_version", 4}, {"config_current", false}})
        + line("front-3", 8, "objects", "store_regained", {{"kind", "config"}, {"gone_ms", 4000}});
    const Explanation found = explain(log, "r9");
    CHECK(tells(found, "key_refused", "config_current=false"));
    CHECK(tells(found, "store_lost", "kind=config"));
    CHECK(tells(found, "store_regained", "gone_ms=4000"));
}

// Guards against a tool that fails on the lines of other programs, or hides that something is missing.
TEST_CASE("unreadable and dropped lines are counted")
{
    const std::string log = "Traceback (most recent call last):\n\n"
        + line("front-1", 1, "log", "dropped", {{"lines", 17}}) + "front-1 2026-12-04T10:00:01Z info\n";
    const Explanation found = explain(log, "r1");
    CHECK(found.linesRead == 3);
    CHECK(found.linesUnreadable == 2);
    CHECK(found.linesDropped == 17);
    CHECK(found.direct == 0);
    CHECK(found.lines.empty());
}

// Guards against fields that come back otherwise than they were logged.
TEST_CASE("a line is read back as it was written")
{
    const auto read =
        parseLogLine(line("7.25 front-1", 1, "job", "x", {{"a", "b c=\"d\" \\"}, {"empty", ""}, {"n", 5}}), "f.log");
    REQUIRE(read);
    CHECK(read->source == "front-1");
    CHECK(read->field("a") == "b c=\"d\" \\");
    CHECK(read->field("empty").empty());
    CHECK(read->field("n") == "5");
    CHECK(parseLogLine("2026-12-04T10:00:01Z info node started", "f.log")->source == "f.log");
}

// Guards against a late step whose cause, the replica that scored no text, can't be found from the item or its reward
// call.
TEST_CASE("an item leads to its reward call and the replica that was asked")
{
    const std::string log = line("front-1", 5, "job", "submitted", {{"job", "j1"}})
        + line("front-1", 9, "replica", "removed", {{"replica", "d-1"}, {"registry_unsteady", false}})
        + line("front-1", 10, "reward", "attempt_failed",
               {telemetry::requestId("item"), {"reward", "call"}, {"replica", "d-1"}, {"status", 0}})
        + line("front-1", 10, "reward", "retry",
               {telemetry::requestId("item"), {"job", "j1"}, {"reward", "call"}, {"outcome", "lost"}})
        + line("front-1", 10, "reward", "retry",
               {telemetry::requestId("item2"), {"job", "j1"}, {"reward", "call2"}, {"outcome", "lost"}});
    for (const std::string id : {"item", "call"}) {
        const Explanation found = explain(log, id);
        CHECK(found.direct == 2);
        CHECK(found.lines.size() == 4);
        CHECK(found.replicas.contains("d-1"));
        CHECK(tells(found, "removed", "replica=d-1"));
        CHECK(tells(found, "submitted", "job=j1"));
    }
}
