// Collecting the lines that belong together.
#include "report/logexplainer.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace currantlug::report {

namespace {

bool names(const LogLine &line, const std::string &id)
{
    return std::any_of(line.fields.begin(), line.fields.end(), [&id](const auto &field) {
        if (field.first == "replicas") {
            const std::vector<std::string> listed = absl::StrSplit(field.second, ',');
            return std::find(listed.begin(), listed.end(), id) != listed.end();
        }
        return field.second == id;
    });
}

void addReplicas(const LogLine &line, std::set<std::string> &replicas)
{
    if (const std::string_view one = line.field("replica"); !one.empty()) {
        replicas.emplace(one);
    }
    const std::string listed(line.field("replicas"));
    for (const auto part : absl::StrSplit(listed, ',', absl::SkipEmpty())) {
        replicas.emplace(part.data(), part.size());
    }
}

/// What a process believes or is, beside single requests.
bool isBackground(const LogLine &line)
{
    return line.subsystem == "node" || line.subsystem == "config" || line.subsystem == "objects"
        || line.subsystem == "lease" || line.subsystem == "settings" || line.subsystem == "log";
}

/// What a process that is involved believed of a replica, or what the controller ordered it to do.
bool concernsReplica(const LogLine &line, const std::set<std::string> &replicas, const std::set<std::string> &sources)
{
    const bool told = line.subsystem == "weights" || (line.subsystem == "replica" && sources.contains(line.source));
    return told && replicas.contains(std::string(line.field("replica")));
}

} // namespace

void LogExplainer::read(std::istream &input, const std::string &fileName)
{
    std::string text;
    while (std::getline(input, text)) {
        if (text.empty()) {
            continue;
        }
        ++linesRead_;
        auto line = parseLogLine(text, fileName);
        if (!line) {
            ++linesUnreadable_;
            continue;
        }
        std::size_t dropped = 0;
        if (line->subsystem == "log" && absl::SimpleAtoi(std::string(line->field("lines")), &dropped)) {
            linesDropped_ += dropped;
        }
        lines_.push_back(std::move(*line));
    }
}

Explanation LogExplainer::explain(const std::string &id, absl::Duration around) const
{
    Explanation explanation;
    explanation.linesRead = linesRead_;
    explanation.linesUnreadable = linesUnreadable_;
    explanation.linesDropped = linesDropped_;
    absl::Time first = absl::InfiniteFuture();
    absl::Time last = absl::InfinitePast();
    std::set<std::string> sources;
    for (const LogLine &line : lines_) {
        if (!names(line, id)) {
            continue;
        }
        ++explanation.direct;
        first = std::min(first, line.at);
        last = std::max(last, line.at);
        sources.insert(line.source);
        addReplicas(line, explanation.replicas);
        if (const std::string_view job = line.field("job"); !job.empty()) {
            explanation.jobs.emplace(job);
        }
    }
    for (const LogLine &line : lines_) {
        // Other items of the job are left out; the job's own lines tell what became of it.
        const bool ofJob = line.subsystem == "job" && explanation.jobs.contains(std::string(line.field("job")));
        const bool near = line.at >= first - around && line.at <= last + around;
        const bool background = near
            && ((isBackground(line) && sources.contains(line.source))
                || concernsReplica(line, explanation.replicas, sources));
        if (names(line, id) || ofJob || background) {
            explanation.lines.push_back(line);
        }
    }
    std::stable_sort(explanation.lines.begin(), explanation.lines.end(),
                     [](const LogLine &a, const LogLine &b) { return a.at < b.at; });
    return explanation;
}

} // namespace currantlug::report
