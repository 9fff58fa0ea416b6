// Step definitions and samples for the tests of this folder.
#ifndef CURRANTLUG_TESTS_ROLLOUT_DEFINITIONS_H
#define CURRANTLUG_TESTS_ROLLOUT_DEFINITIONS_H

#include "core/json.h"
#include "rollout/step.h"

namespace currantlug::fakes {

inline Json stepBody(std::uint32_t groups, std::uint32_t samples)
{
    Json body = {{"route", "r"}, {"staleness_bound", 2}, {"trainer_version", 10}, {"deadline_ms", 180000}};
    for (std::uint32_t group = 0; group < groups; ++group) {
        body["groups"].push_back(
            {{"id", "g" + std::to_string(group)}, {"prompt", "p"}, {"samples", samples}, {"max_tokens", 4}});
    }
    return body;
}

inline rollout::StepDefinition stepDefinition(std::uint32_t groups, std::uint32_t samples)
{
    return *rollout::parseStepDefinition(TrainerId("t"), "s", stepBody(groups, samples).dump());
}

inline rollout::Sample sample(std::uint64_t version, const std::string &id = "x")
{
    return {"text", {{version, 4}}, id, "stop"};
}

} // namespace currantlug::fakes

#endif
