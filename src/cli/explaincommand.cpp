// Reading of log files and printing of an explanation.
#include "cli/explaincommand.h"

#include "core/json.h"
#include "report/logexplainer.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iostream>

namespace currantlug::cli {

namespace {

// A replica's failure or a lost store shows within a few seconds of what it caused.
constexpr absl::Duration Around = absl::Seconds(3);

std::string timeText(absl::Time at)
{
    return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", at, absl::UTCTimeZone());
}

void printJson(const report::Explanation &explanation)
{
    Json lines = Json::array();
    for (const report::LogLine &line : explanation.lines) {
        Json fields = Json::object();
        for (const auto &[key, value] : line.fields) {
            fields[key] = value;
        }
        lines.push_back({{"time", timeText(line.at)},
                         {"process", line.source},
                         {"level", line.level},
                         {"subsystem", line.subsystem},
                         {"event", line.event},
                         {"fields", std::move(fields)}});
    }
    const Json body{{"lines", std::move(lines)},
                    {"jobs", explanation.jobs},
                    {"replicas", explanation.replicas},
                    {"lines_with_id", explanation.direct},
                    {"lines_read", explanation.linesRead},
                    {"lines_unreadable", explanation.linesUnreadable},
                    {"lines_dropped", explanation.linesDropped}};
    fmt::print("{}\n", body.dump(2, ' ', false, Json::error_handler_t::replace));
}

void printText(const std::string &id, const report::Explanation &explanation)
{
    for (const report::LogLine &line : explanation.lines) {
        fmt::print("{} {} {} {} {} {}\n", timeText(line.at), line.source, line.level, line.subsystem, line.event,
                   line.fieldText());
    }
    fmt::print("\n{}: named by {} of {} lines", id, explanation.direct, explanation.linesRead);
    if (!explanation.jobs.empty()) {
        fmt::print("; jobs {}", absl::StrJoin(explanation.jobs, ", "));
    }
    if (!explanation.replicas.empty()) {
        fmt::print("; replicas {}", absl::StrJoin(explanation.replicas, ", "));
    }
    fmt::print(".\nTimes are by each machine's clock: lines of two machines may stand in the wrong order.\n");
    if (explanation.linesUnreadable > 0) {
        fmt::print("{} lines could not be read.\n", explanation.linesUnreadable);
    }
    if (explanation.linesDropped > 0) {
        fmt::print("Missing: the processes dropped {} lines while their buffers were full.\n",
                   explanation.linesDropped);
    }
    if (explanation.direct == 0) {
        fmt::print("Missing: no line names it. It didn't reach these processes, or it was served, which is logged at "
                   "the level debug only.\n");
    }
}

} // namespace

ExitCode explain(const std::string &id, const std::vector<std::string> &files, bool json)
{
    report::LogExplainer explainer;
    if (files.empty()) {
        explainer.read(std::cin, "-");
    }
    for (const std::string &path : files) {
        if (path == "-") {
            explainer.read(std::cin, path);
            continue;
        }
        std::ifstream file(path);
        if (!file) {
            fmt::print(stderr, "currantlug: cannot read {}\n", path);
            return ExitCode::Usage;
        }
        explainer.read(file, path);
    }
    const report::Explanation explanation = explainer.explain(id, Around);
    if (json) {
        printJson(explanation);
    } else {
        printText(id, explanation);
    }
    return explanation.direct > 0 ? ExitCode::Ok : ExitCode::Refused;
}

} // namespace currantlug::cli
