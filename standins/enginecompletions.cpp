// Generation in the engine stand-in: admission in arrival order, tokens, labels and cancelling.
#include "standins/enginestate.h"

#include "core/hash.h"

#include <fmt/format.h>

namespace currantlug::standins {

namespace {

constexpr absl::Duration WaitSlice = absl::Milliseconds(10); ///< How often a waiting request looks at its peer.

std::uint64_t textHash(std::string_view prompt, std::uint64_t seed)
{
    return stableHash(prompt, seed);
}

std::string tokenAt(std::uint64_t hash, std::uint64_t position)
{
    std::uint64_t bits = stableHash(std::to_string(position), hash);
    std::string token(EngineTokenBytes, ' ');
    for (std::size_t i = 0; i + 1 < EngineTokenBytes; ++i) {
        token[i] = static_cast<char>('a' + bits % 26);
        bits /= 26;
    }
    return token;
}

Json segmentsJson(const std::vector<EngineSegment> &segments)
{
    Json result = Json::array();
    for (const EngineSegment &segment : segments) {
        result.push_back({{"weight_version", segment.version}, {"tokens", segment.tokens}});
    }
    return result;
}

} // namespace

std::string engineToken(std::string_view prompt, std::uint64_t seed, std::uint64_t position)
{
    return tokenAt(textHash(prompt, seed), position);
}

Json attemptJson(const EngineAttempt &attempt)
{
    Json result = attempt.received;
    result["segments"] = segmentsJson(attempt.segments);
    result["start"] = attempt.start;
    result["text"] = attempt.text;
    result["finished"] = attempt.finished;
    result["cancelled"] = attempt.cancelled;
    result["prompt"] = attempt.prompt;
    result["seed"] = attempt.seed;
    return result;
}

void EngineStandin::State::complete(const Request &request, Response &response)
{
    const std::optional<Json> body = parseJson(request.body);
    if (!body || fieldOr<std::string>(*body, "request_id", "").empty() || !fieldOr<bool>(*body, "stream", false)
        || fieldOr<std::uint64_t>(*body, "max_tokens", 0) == 0) {
        answerError(response, 400, "invalid", "request_id, max_tokens and stream:true are required");
        return;
    }
    if (!settings.model.empty() && fieldOr<std::string>(*body, "model", "") != settings.model) {
        answerError(response, 404, "unknown_model", "this engine does not serve the model");
        return;
    }
    const AttemptPtr attempt = makeAttempt(request, *body);
    if (!admit(attempt)) {
        StandinServer::dropAnswer();
        return;
    }
    // Returns the place when the response and its provider are destroyed, however the stream ended.
    const std::shared_ptr<void> place(nullptr, [this](void *) {
        const std::lock_guard lock(mutex);
        --running;
        changed.notify_all();
    });
    maybeSwapIds(attempt);
    Fault fault;
    if (server.faults().take(FaultKind::Stall, request.path, fault)) {
        attempt->stall = fault.delay == absl::ZeroDuration() ? absl::InfiniteDuration() : fault.delay;
    }
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, attempt, place](std::size_t, httplib::DataSink &sink) { return produce(*attempt, sink); });
}

EngineStandin::State::AttemptPtr EngineStandin::State::makeAttempt(const Request &request, const Json &body)
{
    auto attempt = std::make_shared<EngineAttempt>();
    attempt->id = fieldOr<std::string>(body, "request_id", "");
    attempt->echoId = attempt->id;
    attempt->prompt = fieldOr<std::string>(body, "prompt", "");
    attempt->seed = fieldOr<std::uint64_t>(body, "seed", 0);
    attempt->hash = textHash(attempt->prompt, attempt->seed);
    attempt->start = fieldOr<std::string>(body, "resume_text", "").size() / EngineTokenBytes;
    attempt->length = attempt->start + fieldOr<std::uint64_t>(body, "max_tokens", 0);
    if (settings.varyLength) {
        attempt->length = 1 + stableHash("length", attempt->hash) % attempt->length;
    }
    attempt->received = {{"headers", headersJson(request)}, {"target", request.target}, {"body", request.body}};
    const std::lock_guard lock(mutex);
    attempt->epoch = epoch;
    attempts[attempt->id].push_back(attempt);
    waiting.push_back(attempt);
    return attempt;
}

bool EngineStandin::State::admit(const AttemptPtr &attempt)
{
    std::unique_lock lock(mutex);
    while (running >= settings.maxRunning || waiting.front() != attempt) {
        if (server.stopping() || !alive(*attempt) || StandinServer::peerClosed()) {
            std::erase(waiting, attempt);
            changed.notify_all();
            return false;
        }
        changed.wait_for(lock, absl::ToChronoNanoseconds(WaitSlice));
    }
    waiting.pop_front();
    ++running;
    cache.use(attempt->prompt, monotonicNow());
    changed.notify_all();
    return true;
}

void EngineStandin::State::maybeSwapIds(const AttemptPtr &attempt)
{
    std::unique_lock lock(mutex);
    if (swapPartner) {
        std::swap(swapPartner->echoId, attempt->echoId);
        swapPartner.reset();
        changed.notify_all();
        return;
    }
    Fault fault;
    if (!server.faults().take(FaultKind::SwapIds, CompletionsPath, fault)) {
        return;
    }
    swapPartner = attempt;
    changed.wait_for(lock, absl::ToChronoNanoseconds(fault.delay),
                     [&] { return swapPartner != attempt || server.stopping(); });
    if (swapPartner == attempt) {
        swapPartner.reset();
    }
}

bool EngineStandin::State::produce(EngineAttempt &attempt, httplib::DataSink &sink)
{
    absl::Duration perToken;
    {
        const std::lock_guard lock(mutex);
        perToken = settings.perToken;
        if (attempt.produced() == (attempt.length - attempt.start) / 2) {
            perToken += attempt.stall;
        }
    }
    const bool interrupted = perToken > absl::ZeroDuration() && !server.pause(perToken);
    std::string event;
    {
        const std::lock_guard lock(mutex);
        if (interrupted || server.stopping() || !alive(attempt)) {
            return false;
        }
        const std::uint64_t position = attempt.start + attempt.produced();
        if (position < attempt.length) {
            const std::uint64_t version = settings.weightVersion;
            if (attempt.segments.empty() || attempt.segments.back().version != version) {
                attempt.segments.push_back({version, 0});
            }
            ++attempt.segments.back().tokens;
            const std::string token = tokenAt(attempt.hash, position);
            attempt.text += token;
            event = fmt::format("data: {{\"id\":{},\"choices\":[{{\"text\":\"{}\",\"weight_version\":{}}}]}}\n\n",
                                Json(attempt.echoId).dump(), token, version);
        }
    }
    return event.empty() ? finish(attempt, sink) : sink.write(event.data(), event.size());
}

bool EngineStandin::State::finish(EngineAttempt &attempt, httplib::DataSink &sink)
{
    std::string event;
    {
        const std::lock_guard lock(mutex);
        const Json last{{"id", attempt.echoId},
                        {"choices", Json::array({{{"text", ""}, {"finish_reason", "stop"}}})},
                        {"usage", {{"completion_tokens", attempt.produced()}}},
                        {"segments", segmentsJson(attempt.segments)}};
        event = fmt::format("data: {}\n\ndata: [DONE]\n\n", last.dump());
        // Set before the write: whoever reads the end marker finds it in the audit.
        attempt.finished = true;
    }
    const bool written = sink.write(event.data(), event.size());
    if (written) {
        sink.done();
        return true;
    }
    const std::lock_guard lock(mutex);
    attempt.finished = false;
    return false;
}

void EngineStandin::State::cancel(const std::string &id, Response &response)
{
    const std::lock_guard lock(mutex);
    bool cancelled = false;
    const auto found = attempts.find(id);
    if (found != attempts.end()) {
        for (const AttemptPtr &attempt : found->second) {
            if (!attempt->finished && alive(*attempt)) {
                attempt->cancelled = true;
                cancelled = true;
            }
        }
    }
    changed.notify_all();
    if (cancelled) {
        answerJson(response, {{"cancelled", true}});
    } else {
        answerError(response, 404, "not_found", "no such running request");
    }
}

} // namespace currantlug::standins
