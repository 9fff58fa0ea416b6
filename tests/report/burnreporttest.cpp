// Service-level burn report: rates per window, bounded memory, and both output forms.
#include "report/burnreport.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::report;

namespace {

Instant at(double seconds)
{
    return Instant(absl::Seconds(seconds));
}

} // namespace

TEST_CASE("burn rate is the error ratio over the budget, per window", "[report]")
{
    // Guards against an incident that the long windows hide or the short ones never forget.
    BurnReport report({.availability = 0.99, .latencyTarget = absl::Seconds(1)});
    const WorkspaceId workspace("w");
    for (int i = 0; i < 98; ++i) {
        report.record(workspace, true, absl::Milliseconds(200), at(10));
    }
    report.record(workspace, false, absl::ZeroDuration(), at(10));
    report.record(workspace, true, absl::Seconds(3), at(10));
    auto figures = report.figures(at(20));
    REQUIRE(figures.size() == 1);
    for (const BurnFigure &figure : figures[0].windows) {
        CHECK(figure.requests == 100);
        CHECK(figure.burnRate == Approx(2));
    }
    figures = report.figures(at(1000));
    CHECK(figures[0].windows[0].requests == 0);
    CHECK(figures[0].windows[0].burnRate == 0);
    CHECK(figures[0].windows[1].burnRate == Approx(2));
    CHECK(report.figures(at(4 * 86400))[0].windows[3].requests == 0);
}

TEST_CASE("reused slots do not keep counts of earlier rounds", "[report]")
{
    BurnReport report;
    for (int day = 0; day < 30; ++day) {
        report.record(WorkspaceId("w"), false, absl::ZeroDuration(), at(day * 86400.0));
    }
    const auto figures = report.figures(at(29 * 86400.0));
    CHECK(figures[0].windows[0].requests == 1);
    CHECK(figures[0].windows[3].requests == 3);
}

TEST_CASE("workspaces beyond the bound are counted together", "[report]")
{
    // Guards against memory that grows with invented workspace names.
    BurnReport report({}, 3);
    for (int i = 0; i < 100; ++i) {
        report.record(WorkspaceId("w" + std::to_string(i)), true, absl::ZeroDuration(), at(1));
    }
    std::uint64_t requests = 0;
    for (const WorkspaceBurn &burn : report.figures(at(2))) {
        requests += burn.windows[0].requests;
    }
    CHECK(report.figures(at(2)).size() == 4);
    CHECK(requests == 100);
}

TEST_CASE("the fastest burning workspace comes first in table and JSON", "[report]")
{
    BurnReport report;
    report.setObjective(WorkspaceId("a"), {.availability = 0.9, .latencyTarget = absl::Seconds(2)});
    report.record(WorkspaceId("a"), true, absl::Seconds(1), at(1));
    report.record(WorkspaceId("b"), false, absl::Seconds(1), at(1));
    const Json json = report.json(at(2));
    REQUIRE(json["workspaces"].size() == 2);
    CHECK(json["workspaces"][0]["workspace"] == "b");
    CHECK(json["workspaces"][0]["windows"]["1h"]["burn_rate"].get<double>() == Approx(1000));
    CHECK(json["workspaces"][1]["latency_target_ms"] == 2000);
    const std::string table = report.table(at(2));
    CHECK(table.find("b ") < table.find("a "));
    CHECK(table.find("90.000%") != std::string::npos);
}
