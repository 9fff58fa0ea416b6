#include "standins/trainerstandin.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <thread>
#include <utility>

namespace currantlug::standins {

namespace {

constexpr absl::Duration AuditTimeout = absl::Seconds(60); ///< An audit holds every request of a run.
constexpr absl::Duration MaxRetryAfter = absl::Seconds(1); ///< Another address may accept the call earlier.

bool isSuccess(const platform::HttpAnswer &answer)
{
    return answer.status >= 200 && answer.status < 300;
}

std::string groupName(std::uint64_t group)
{
    return fmt::format("g{}", group);
}

} // namespace

struct TrainerStandin::StepState
{
    std::uint64_t step = 0;
    std::string path;
    std::string cursor; ///< The last one taken; empty before the first pull.
    bool defined = false;
    bool done = false;
    std::set<std::pair<std::string, std::uint64_t>> received; ///< Group and index.

    /// All prompts of a trainer share their beginning, as prompts of one task do.
    std::string promptOf(const std::string &trainer, std::string_view group) const
    {
        return fmt::format("{:.<128}step {} group {}", trainer, step, group);
    }
};

bool TrainerSummary::clean() const
{
    return lost == 0 && duplicated == 0 && mislabelled == 0 && stale == 0;
}

std::string TrainerSummary::line() const
{
    return fmt::format("summary delivered={} lost={} duplicated={} mislabelled={} stale={} idle_ms={}", delivered, lost,
                       duplicated, mislabelled, stale, absl::ToInt64Milliseconds(idle));
}

TrainerStandin::TrainerStandin(TrainerSettings settings)
    : settings_(std::move(settings))
    , daemons_(settings_.daemons, settings_.key, settings_.zone, settings_.callTimeout)
    , version_(settings_.trainerVersion)
    , versionSince_(monotonicNow())
{
}

absl::Status TrainerStandin::run()
{
    for (std::uint64_t step = settings_.firstStep; step < settings_.firstStep + settings_.steps; ++step) {
        runStep(step);
        version_ += settings_.versionPerStep;
    }
    if (settings_.engines.empty()) {
        return absl::OkStatus();
    }
    SampleAudit audit;
    for (const std::string &engine : settings_.engines) {
        if (absl::Status status = audit.readEngine(engine, AuditTimeout); !status.ok()) {
            return status;
        }
    }
    summary_.mislabelled += static_cast<std::uint64_t>(std::count_if(
        taken_.begin(), taken_.end(), [&](const TakenSample &sample) { return !audit.explains(sample); }));
    return absl::OkStatus();
}

void TrainerStandin::runStep(std::uint64_t step)
{
    StepState state;
    state.step = step;
    state.path = fmt::format("/v1/trainers/{}/steps/{}", platform::percentEncode(settings_.trainer, false), step);
    const Instant end = monotonicNow() + settings_.stepTimeout;
    while (!state.done && monotonicNow() < end) {
        updateVersion();
        const Instant start = monotonicNow();
        if (!advance(state)) {
            summary_.idle += monotonicNow() - start;
        }
    }
    summary_.delivered += state.received.size();
    summary_.lost += settings_.groups * settings_.samplesPerGroup - state.received.size();
    // Only frees memory, so its result does not matter.
    (void)daemons_.call("DELETE", state.path, "", absl::ZeroDuration());
}

bool TrainerStandin::advance(StepState &state)
{
    return (state.defined || define(state)) && pull(state);
}

bool TrainerStandin::define(StepState &state)
{
    Json groups = Json::array();
    for (std::uint64_t group = 0; group < settings_.groups; ++group) {
        groups.push_back({{"id", groupName(group)},
                          {"prompt", state.promptOf(settings_.trainer, groupName(group))},
                          {"samples", settings_.samplesPerGroup},
                          {"max_tokens", settings_.maxTokens}});
    }
    const Json body{{"route", settings_.route},
                    {"staleness_bound", settings_.stalenessBound},
                    {"trainer_version", version_},
                    {"deadline_ms", absl::ToInt64Milliseconds(settings_.stepTimeout)},
                    {"groups", std::move(groups)}};
    const absl::StatusOr<platform::HttpAnswer> answer =
        daemons_.call("PUT", state.path, body.dump(), absl::ZeroDuration());
    state.defined = answer.ok() && isSuccess(*answer);
    if (!state.defined) {
        handleRefusal(state, answer.ok() ? *answer : platform::HttpAnswer{});
    }
    return state.defined;
}

bool TrainerStandin::pull(StepState &state)
{
    const Json body{{"cursor", state.cursor},
                    {"trainer_version", version_},
                    {"max_samples", settings_.maxSamples},
                    {"wait_ms", absl::ToInt64Milliseconds(settings_.wait)}};
    const absl::StatusOr<platform::HttpAnswer> answer =
        daemons_.call("POST", state.path + "/pull", body.dump(), settings_.wait);
    const std::optional<Json> json = answer.ok() && isSuccess(*answer) ? parseJson(answer->body) : std::nullopt;
    if (!json || !json->is_object() || !json->contains("samples") || !json->contains("cursor")) {
        handleRefusal(state, answer.ok() ? *answer : platform::HttpAnswer{});
        return false;
    }
    bool any = false;
    for (const Json &sample : (*json)["samples"]) {
        any = takeSample(state, sample) || any;
    }
    state.cursor = fieldOr<std::string>(*json, "cursor", state.cursor);
    state.done = fieldOr<std::uint64_t>(*json, "remaining", 1) == 0;
    return any;
}

bool TrainerStandin::takeSample(StepState &state, const Json &sample)
{
    const std::string group = fieldOr<std::string>(sample, "group", "");
    const auto index = fieldOr<std::uint64_t>(sample, "index", UINT64_MAX);
    bool inStep = index < settings_.samplesPerGroup;
    std::uint64_t number = 0;
    while (inStep && number < settings_.groups && groupName(number) != group) {
        ++number;
    }
    if (!inStep || number == settings_.groups) {
        ++summary_.mislabelled;
        return false;
    }
    if (!state.received.emplace(group, index).second) {
        ++summary_.duplicated;
        return false;
    }
    TakenSample taken{.prompt = state.promptOf(settings_.trainer, group),
                      .text = fieldOr<std::string>(sample, "text", ""),
                      .sampleId = fieldOr<std::string>(sample, "sample_id", ""),
                      .segments = sample.value("segments", Json::array())};
    const std::vector<std::uint64_t> versions = tokenVersions(taken.segments);
    const auto oldest = std::min_element(versions.begin(), versions.end());
    if (oldest != versions.end() && *oldest + settings_.stalenessBound < version_) {
        ++summary_.stale;
    }
    taken_.push_back(std::move(taken));
    return true;
}

void TrainerStandin::handleRefusal(StepState &state, const platform::HttpAnswer &answer)
{
    const std::optional<Json> json = parseJson(answer.body);
    const Json error = json && json->is_object() ? json->value("error", Json::object()) : Json::object();
    if (fieldOr<std::string>(error, "code", "") == "unknown_step") {
        state.defined = false;
        return;
    }
    const absl::Duration asked = absl::Milliseconds(fieldOr<std::int64_t>(error, "retry_after_ms", 0));
    const absl::Duration pause = std::clamp(asked, settings_.retryPause, std::max(MaxRetryAfter, settings_.retryPause));
    std::this_thread::sleep_for(absl::ToChronoNanoseconds(pause));
    daemons_.moveOn();
}

void TrainerStandin::updateVersion()
{
    if (settings_.versionEvery <= absl::ZeroDuration()) {
        return;
    }
    while (monotonicNow() - versionSince_ >= settings_.versionEvery) {
        versionSince_ = versionSince_ + settings_.versionEvery;
        ++version_;
    }
}

} // namespace currantlug::standins
