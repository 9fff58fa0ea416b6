// Log lines stay one line per event, and the metrics page stays readable for a Prometheus scraper.
#include "telemetry/log.h"
#include "telemetry/metrics.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace currantlug;
using namespace currantlug::telemetry;

TEST_CASE("a value with a line break cannot forge a log line", "[telemetry]")
{
    const std::string line = formatLine(Level::Info, "mesh", "link_closed",
                                        {{"reason", "bye\n2026 error x"}, {"bytes", 12}, {"empty", ""}, {"q", "a\"b"}});
    CHECK(line == R"(info mesh link_closed reason="bye\n2026 error x" bytes=12 empty="" q="a\"b")");
}

TEST_CASE("a log line carries the step, peer and outcome of an error", "[telemetry]")
{
    const absl::Status status =
        makeError(absl::StatusCode::kUnavailable, Step::Connect, "10.0.0.7:80", Outcome::NotRun, "refused");
    CHECK(formatLine(Level::Warning, "routing", "send_failed", errorFields(status))
          == "warning routing send_failed code=UNAVAILABLE step=connect peer=10.0.0.7:80 outcome=not_run "
             "message=refused");
}

TEST_CASE("lines below the level are dropped", "[telemetry]")
{
    std::string written;
    setSink([&](std::string_view line) { written += line; });
    setLevel(Level::Warning);
    log(Level::Info, "mesh", "hidden");
    log(Level::Error, "mesh", "shown", {requestId("r-1")});
    setLevel(Level::Info);
    setSink({});
    CHECK(written.find("hidden") == std::string::npos);
    CHECK(written.find("Z error mesh shown request_id=r-1\n") != std::string::npos);
}

TEST_CASE("the exposition has one head per family and escaped labels", "[telemetry]")
{
    MetricsRegistry registry;
    registry.counter("requests_total", "Requests.", {{"route", "a\"b\n"}}).add(2);
    registry.counter("requests_total", "Requests.", {{"route", "c"}}).add();
    registry.gauge("queue", "Waiting\nrequests.").set(1.5);
    CHECK(registry.exposition()
          == "# HELP queue Waiting\\nrequests.\n# TYPE queue gauge\nqueue 1.5\n"
             "# HELP requests_total Requests.\n# TYPE requests_total counter\n"
             "requests_total{route=\"a\\\"b\\n\"} 2\nrequests_total{route=\"c\"} 1\n");
}

TEST_CASE("histogram buckets are cumulative and hold their upper bound", "[telemetry]")
{
    // Guards against the half-open bins of Boost.Histogram shifting observations that equal a bound.
    MetricsRegistry registry;
    LatencyHistogram &latency = registry.histogram("latency_seconds", "Latency.", {{"route", "a"}});
    latency.record(absl::Milliseconds(1));
    latency.record(absl::Milliseconds(10));
    latency.record(absl::Seconds(500));
    const std::string text = registry.exposition();
    CHECK(text.find("latency_seconds_bucket{route=\"a\",le=\"0.001\"} 1\n") != std::string::npos);
    CHECK(text.find("latency_seconds_bucket{route=\"a\",le=\"0.01\"} 2\n") != std::string::npos);
    CHECK(text.find("latency_seconds_bucket{route=\"a\",le=\"180\"} 2\n") != std::string::npos);
    CHECK(text.find("latency_seconds_bucket{route=\"a\",le=\"+Inf\"} 3\n") != std::string::npos);
    CHECK(text.find("latency_seconds_sum{route=\"a\"} 500.011\n") != std::string::npos);
    CHECK(text.find("latency_seconds_count{route=\"a\"} 3\n") != std::string::npos);
}

TEST_CASE("no observation is lost between threads", "[telemetry]")
{
    constexpr int PerThread = 2000;
    MetricsRegistry registry;
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int n = 0; n < PerThread; ++n) {
                registry.counter("c", "").add();
                registry.gauge("g", "").add(1);
                registry.histogram("h", "").record(absl::Milliseconds(n));
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(registry.counter("c", "").value() == 4 * PerThread);
    CHECK(registry.gauge("g", "").value() == 4 * PerThread);
    CHECK(registry.histogram("h", "").snapshot().count == 4 * PerThread);
}
