// Samples from completions.
#include "services/rolloutservice.h"

#include "core/error.h"
#include "core/hash.h"

#include <fmt/format.h>

#include <utility>

namespace currantlug::services {

namespace {

constexpr std::size_t AttemptIdBytes = 8;

std::uint64_t groupNumber(const rollout::SlotTask &slot)
{
    return stableHash(slot.trainer.str() + "/" + slot.step + "/" + slot.group) | 1;
}

/// All attempts at one slot share the part before the dot, so that what engines recorded can be matched with a sample
/// that was resumed on several of them. The rest is unique.
std::string attemptId(const rollout::SlotTask &slot)
{
    const std::uint64_t slotHash = stableHash(slot.trainer.str() + "/" + slot.step + "/" + std::to_string(slot.slot));
    return fmt::format("{:016x}.{}", slotHash, randomHex(AttemptIdBytes));
}

std::uint64_t oldestUsefulVersion(const rollout::SlotTask &slot)
{
    return slot.trainerVersion > slot.stalenessBound ? slot.trainerVersion - slot.stalenessBound : 0;
}

} // namespace

CompletionSampleGenerator::CompletionSampleGenerator(CompletionService &completions, CurrentState currentState)
    : completions_(completions)
    , currentState_(std::move(currentState))
{
}

absl::StatusOr<requests::Authorization> CompletionSampleGenerator::authorizeStep(const rollout::SlotTask &slot) const
{
    // The trainer's key is checked on its PUT and on each pull. A slot runs for the workspace that owns the route.
    const std::shared_ptr<const config::ConfigState> state = currentState_();
    const config::Route *route = state->findRoute(slot.route);
    if (route == nullptr || route->kind != config::PoolKind::Engine) {
        return makeError(absl::StatusCode::kNotFound, Step::CheckRoute, "", Outcome::NotRun,
                         "no such engine route: " + slot.route.str());
    }
    requests::Authorization authorization;
    authorization.route = *route;
    authorization.workspace = route->open ? WorkspaceId(requests::OpenWorkspace) : route->workspace;
    return authorization;
}

absl::StatusOr<rollout::Sample> CompletionSampleGenerator::generate(const rollout::SlotTask &slot,
                                                                    const std::string &prompt, std::uint64_t maxTokens,
                                                                    rollout::PartialAnswer &partial,
                                                                    endpoints::CancelFlag &cancel)
{
    absl::StatusOr<requests::Authorization> authorization = authorizeStep(slot);
    if (!authorization.ok()) {
        return authorization.status();
    }
    CompletionCall call;
    call.authorization = *std::move(authorization);
    call.route = slot.route;
    call.requestId = attemptId(slot);
    call.prompt = prompt;
    call.maxTokens = maxTokens;
    call.seed = stableHash(slot.step + "/" + slot.group, slot.index) >> 1;
    call.deadline = slot.deadline;
    call.minimumWeightVersion = oldestUsefulVersion(slot);
    call.group = groupNumber(slot);
    call.step = stableHash(slot.trainer.str() + "/" + slot.step) | 1;
    call.lastOfGroup = slot.lastOfGroup;
    call.partial = std::move(partial);

    auto flag = std::make_shared<endpoints::CancelFlag>();
    const std::uint64_t hook = cancel.addHook([flag] { flag->cancel(); });
    absl::StatusOr<CompletionResult> result = completions_.run(call, flag, nullptr);
    cancel.removeHook(hook);
    if (!result.ok()) {
        partial = std::move(call.partial);
        return result.status();
    }
    if (!result->answer.labels.ok()) {
        partial = {};
        return result->answer.labels;
    }
    return rollout::Sample{result->answer.text, result->answer.segments, result->sampleId, result->answer.finishReason};
}

} // namespace currantlug::services
