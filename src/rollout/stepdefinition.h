// What a trainer asks for in one step.
#ifndef CURRANTLUG_ROLLOUT_STEPDEFINITION_H
#define CURRANTLUG_ROLLOUT_STEPDEFINITION_H

#include "core/ids.h"
#include "endpoints/segment.h"
#include "rollout/cursor.h"

#include <absl/status/statusor.h>
#include <absl/time/time.h>

#include <string>
#include <string_view>
#include <vector>

namespace currantlug::rollout {

using endpoints::PartialAnswer;
using endpoints::Segment;
using endpoints::WeightVersion;

struct StepLimits
{
    std::size_t maxGroups = 4096;
    std::uint32_t maxSlots = 16384;
    std::size_t maxPromptBytes = 256 << 10;
    std::size_t maxTotalPromptBytes = 32 << 20;
    std::uint64_t maxTokens = 1 << 17;
    std::size_t maxNameBytes = 200; ///< Of step and group names.
};

struct GroupDefinition
{
    std::string id;
    std::string prompt;
    std::uint32_t samples = 0;
    std::uint64_t maxTokens = 0;
    SlotNumber firstSlot = 0;
};

struct StepDefinition
{
    TrainerId trainer;
    std::string step;
    RouteId route;
    std::uint64_t stalenessBound = 0; ///< In weight versions.
    WeightVersion trainerVersion = 0; ///< Outside the digest: a trainer that repeats its PUT may have moved on.
    absl::Duration deadline; ///< From the PUT; outside the digest like trainerVersion.
    std::vector<GroupDefinition> groups;
    std::uint32_t slotCount = 0;
    std::string digest; ///< SHA-256 over trainer, step, route, bound and groups.

    /// The group that holds the slot.
    const GroupDefinition &groupOf(SlotNumber slot) const;
};

/// Reads and checks the body of a PUT. Errors: kInvalidArgument with every problem found, separated by "; ".
absl::StatusOr<StepDefinition> parseStepDefinition(const TrainerId &trainer, std::string_view step,
                                                   std::string_view body, const StepLimits &limits = {});

} // namespace currantlug::rollout

#endif
