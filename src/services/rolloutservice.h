// Steps of trainers: runs the slots of the steps this daemon owns and forwards pulls to the owner of others.
#ifndef CURRANTLUG_SERVICES_ROLLOUTSERVICE_H
#define CURRANTLUG_SERVICES_ROLLOUTSERVICE_H

#include "rollout/samplerunner.h"
#include "services/completionservice.h"

#include <functional>
#include <memory>
#include <string>

namespace currantlug::services {

/// Generates samples through the completion service, under the configuration in force at each attempt.
class CompletionSampleGenerator
{
public:
    using CurrentState = std::function<std::shared_ptr<const config::ConfigState>()>;

    CompletionSampleGenerator(CompletionService &completions, CurrentState currentState);

    absl::StatusOr<rollout::Sample> generate(const rollout::SlotTask &slot, const std::string &prompt,
                                             std::uint64_t maxTokens, rollout::PartialAnswer &partial,
                                             endpoints::CancelFlag &cancel);

private:
    absl::StatusOr<requests::Authorization> authorizeStep(const rollout::SlotTask &slot) const;

    CompletionService &completions_;
    CurrentState currentState_;
};

static_assert(rollout::SampleGenerator<CompletionSampleGenerator>);

} // namespace currantlug::services

#endif
