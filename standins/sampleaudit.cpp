#include "standins/sampleaudit.h"

#include "platform/httpclient.h"
#include "standins/enginestandin.h"

#include <algorithm>

namespace currantlug::standins {

namespace {

/// All attempts at one sample share the part of their request ids before the dot.
std::string sampleOf(const std::string &requestId)
{
    return requestId.substr(0, requestId.find('.'));
}

constexpr std::uint64_t MaxTokensCompared = 1 << 20; ///< Keeps a wrong count in an answer from exhausting memory.

} // namespace

struct SampleAudit::Tokens
{
    const TakenSample &sample;
    std::vector<std::uint64_t> versions;

    /// The attempt produced exactly the tokens [attempt.start, end).
    bool matchAttempt(const Attempt &attempt, std::uint64_t end) const
    {
        const std::uint64_t count = end - attempt.start;
        const auto first = versions.begin() + static_cast<std::ptrdiff_t>(attempt.start);
        return attempt.prompt == sample.prompt
            && std::equal(first, first + static_cast<std::ptrdiff_t>(count), attempt.versions.begin())
            && sample.text.compare(attempt.start * EngineTokenBytes, count * EngineTokenBytes, attempt.text, 0,
                                   count * EngineTokenBytes)
            == 0;
    }
};

std::vector<std::uint64_t> tokenVersions(const Json &segments)
{
    std::vector<std::uint64_t> versions;
    for (const Json &segment : segments.is_array() ? segments : Json::array()) {
        const char *name = segment.is_object() && segment.contains("weight_version") ? "weight_version" : "version";
        const auto tokens = fieldOr<std::uint64_t>(segment, "tokens", 0);
        versions.insert(versions.end(), std::min(tokens, MaxTokensCompared), fieldOr<std::uint64_t>(segment, name, 0));
    }
    return versions;
}

absl::Status SampleAudit::readEngine(const std::string &address, absl::Duration timeout)
{
    platform::HttpClientSettings settings{.callTimeout = timeout};
    if (!platform::parsePeer(address, settings)) {
        return absl::InvalidArgumentError("not an address: " + address);
    }
    const absl::StatusOr<platform::HttpAnswer> answer =
        platform::HttpClient(settings).call({.target = "/audit"}, Step::ReadAnswer);
    if (!answer.ok()) {
        return answer.status();
    }
    const std::optional<Json> json = answer->status == 200 ? parseJson(answer->body) : std::nullopt;
    if (!json || !json->is_object() || !json->contains("requests")) {
        return makeError(absl::StatusCode::kUnavailable, Step::ReadAnswer, address, Outcome::Ran, "not an audit");
    }
    add(*json);
    return absl::OkStatus();
}

void SampleAudit::add(const Json &audit)
{
    for (const auto &[id, entries] : audit.at("requests").items()) {
        for (const Json &entry : entries) {
            attempts_[sampleOf(id)].push_back({.prompt = fieldOr<std::string>(entry, "prompt", ""),
                                               .text = fieldOr<std::string>(entry, "text", ""),
                                               .versions = tokenVersions(entry.value("segments", Json::array())),
                                               .start = fieldOr<std::uint64_t>(entry, "start", 0),
                                               .finished = fieldOr<bool>(entry, "finished", false)});
        }
    }
}

bool SampleAudit::explains(const TakenSample &sample) const
{
    const auto found = attempts_.find(sampleOf(sample.sampleId));
    const Tokens tokens{sample, tokenVersions(sample.segments)};
    return found != attempts_.end() && !tokens.versions.empty()
        && sample.text.size() == tokens.versions.size() * EngineTokenBytes
        && explainsUpTo(found->second, tokens, tokens.versions.size(), true);
}

bool SampleAudit::explainsUpTo(const std::vector<Attempt> &attempts, const Tokens &tokens, std::uint64_t end,
                               bool isWhole)
{
    return std::any_of(attempts.begin(), attempts.end(), [&](const Attempt &attempt) {
        const std::uint64_t produced = attempt.start + attempt.versions.size();
        // The last attempt must have finished just there; an earlier one must reach the place it was resumed from.
        const bool reaches = isWhole ? attempt.finished && produced == end : attempt.start < end && produced >= end;
        return reaches && tokens.matchAttempt(attempt, end)
            && (attempt.start == 0 || explainsUpTo(attempts, tokens, attempt.start, false));
    });
}

} // namespace currantlug::standins
