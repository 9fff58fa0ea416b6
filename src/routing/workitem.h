// A unit of work as the routing decisions see it: whose it is, what it may use, what it costs and when it is due.
#ifndef CURRANTLUG_ROUTING_WORKITEM_H
#define CURRANTLUG_ROUTING_WORKITEM_H

#include "core/ids.h"
#include "core/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace currantlug::routing {

/// Identifies submitted work within one Dispatcher; never reused. 0 is never a valid id.
using WorkId = std::uint64_t;

/// What a caller or a step asks to run.
struct WorkItem
{
    WorkspaceId workspace;
    KeyId key; ///< Empty on open routes: no key limit applies.
    RouteId route;
    PoolId pool;
    /// False: runs at most once, only on lasting endpoints, never hedged and never retried.
    bool repeatable = false;
    /// Chained hashes of the prompt's blocks, first block first: equal entries mean equal prefixes up to there.
    std::vector<std::uint64_t> promptBlocks;
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedTokens = 0; ///< Expected length of the response, in tokens.
    std::uint64_t group = 0; ///< Sample group; 0 is none. Only work with a group is hedged.
    std::uint64_t step = 0; ///< Training step; 0 is none.
    std::uint32_t groupRemaining = 0; ///< Members of the group that are not complete yet, this one included.
    std::optional<Instant> deadline; ///< After this the response is of no use.
    std::uint64_t minimumWeightVersion = 0;
    bool needsLasting = false; ///< Keeps repeatable work away from cheap endpoints as well.
};

/// Tokens that the work is expected to occupy an endpoint with.
inline double expectedCost(const WorkItem &item)
{
    // Prompt tokens are processed in parallel: an eighth of a generated token's time is the usual order of magnitude.
    constexpr double PromptTokenCost = 0.125;
    return PromptTokenCost * item.promptTokens + (item.expectedTokens > 0 ? item.expectedTokens : 1);
}

} // namespace currantlug::routing

#endif
