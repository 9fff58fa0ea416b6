// Attempts of one completion.
#include "services/completionservice.h"

#include "core/error.h"
#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace currantlug::services {

namespace {

constexpr std::size_t PromptBlockBytes = 64; // Granularity of the engines' prefix cache events.
constexpr std::size_t BytesPerToken = 4; // Usual ratio for text; only queue costs depend on it.

routing::WorkItem makeWorkItem(const CompletionCall &call)
{
    routing::WorkItem item;
    item.workspace = call.authorization.workspace;
    item.key = call.authorization.key;
    item.route = call.route;
    item.pool = call.authorization.route.pool;
    item.repeatable = call.repeatable;
    item.promptBlocks = promptBlocks(call.prompt);
    item.promptTokens = static_cast<std::uint32_t>(call.prompt.size() / BytesPerToken);
    item.expectedTokens = static_cast<std::uint32_t>(call.maxTokens);
    item.group = call.group;
    item.step = call.step;
    item.groupRemaining = call.group == 0 ? 0 : (call.lastOfGroup ? 1 : 2);
    item.deadline = call.deadline;
    item.minimumWeightVersion = call.minimumWeightVersion;
    return item;
}

routing::FailureCause causeOf(const absl::Status &status)
{
    if (status.code() == absl::StatusCode::kInvalidArgument || status.code() == absl::StatusCode::kResourceExhausted) {
        return routing::FailureCause::Rejected;
    }
    return errorContext(status).outcome == Outcome::NotRun ? routing::FailureCause::ConnectFailed
                                                           : routing::FailureCause::Cut;
}

} // namespace

std::vector<std::uint64_t> promptBlocks(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    for (std::size_t end = PromptBlockBytes; end <= prompt.size(); end += PromptBlockBytes) {
        blocks.push_back(stableHash(prompt.substr(0, end)));
    }
    return blocks;
}

CompletionService::CompletionService(DispatchGate &gate, ActiveCalls &active, endpoints::EngineClient &engines,
                                     OnRecord onRecord)
    : gate_(gate)
    , active_(active)
    , engines_(engines)
    , onRecord_(std::move(onRecord))
{
}

absl::StatusOr<CompletionResult>
CompletionService::run(CompletionCall &call, const std::shared_ptr<endpoints::CancelFlag> &cancel, const OnText &onText)
{
    const Instant startedAt = monotonicNow();
    const std::uint64_t tokensBefore = endpoints::countTokens(call.partial.segments);
    const ActiveCallId id = active_.add(call.authorization, call.route, cancel);
    absl::StatusOr<CompletionResult> result = runAttempts(call, cancel, onText);
    const absl::Status ended = active_.remove(id);
    if (!result.ok() && !ended.ok()) {
        result = ended;
    }

    CompletionRecord record{call.authorization.workspace, call.route, 0, monotonicNow() - startedAt, result.ok()};
    const std::uint64_t tokensAfter =
        result.ok() ? result->answer.tokens : endpoints::countTokens(call.partial.segments);
    record.tokens = tokensAfter > tokensBefore ? tokensAfter - tokensBefore : 0;
    onRecord_(record);
    return result;
}

absl::StatusOr<CompletionResult> CompletionService::runAttempts(CompletionCall &call,
                                                                const std::shared_ptr<endpoints::CancelFlag> &cancel,
                                                                const OnText &onText)
{
    absl::StatusOr<Attempt> attempt = gate_.submit(makeWorkItem(call), cancel);
    for (int number = 1; attempt.ok(); ++number) {
        const std::string requestId = number == 1 ? call.requestId : call.requestId + "." + std::to_string(number);
        absl::StatusOr<endpoints::EngineAnswer> answer = runAttempt(call, *attempt, requestId, onText);
        if (answer.ok()) {
            gate_.finished(*attempt);
            return CompletionResult{*std::move(answer), requestId};
        }
        if (cancel->cancelled()) {
            gate_.cancel(attempt->work);
            return answer.status();
        }
        const bool moved = gate_.isMoved(*attempt);
        const routing::FailureCause cause = moved ? routing::FailureCause::Moved : causeOf(answer.status());
        if (gate_.failed(*attempt, cause) == FailedAttempt::GivenUp) {
            return answer.status();
        }
        const absl::Status lastError = answer.status();
        attempt = gate_.next(attempt->work);
        if (!attempt.ok()) {
            // An earlier attempt reached an engine, so the outcome of the whole call is that of the last attempt.
            return errorContext(lastError).outcome == Outcome::NotRun ? attempt.status() : lastError;
        }
    }
    return attempt.status();
}

absl::StatusOr<endpoints::EngineAnswer> CompletionService::runAttempt(CompletionCall &call, const Attempt &attempt,
                                                                      const std::string &requestId,
                                                                      const OnText &onText)
{
    endpoints::EngineRequest request;
    request.address = attempt.address;
    request.model = attempt.model;
    request.prompt = call.prompt;
    request.maxTokens = call.maxTokens;
    request.seed = call.seed;
    request.requestId = requestId;
    request.resumeFrom = call.partial;

    bool first = true;
    const auto onChunk = [&](const endpoints::EngineChunk &chunk) {
        if (first) {
            first = false;
            gate_.started(attempt);
        }
        gate_.tokens(attempt, 1);
        return onText == nullptr || onText(chunk.text);
    };
    endpoints::PartialAnswer partial;
    absl::StatusOr<endpoints::EngineAnswer> answer =
        engines_.complete(request, onChunk, attempt.cancel.get(), &partial);
    if (!answer.ok()) {
        call.partial = std::move(partial);
    }
    return answer;
}

} // namespace currantlug::services
