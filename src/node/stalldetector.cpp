// Comparison of consecutive ticks.
#include "node/stalldetector.h"

#include <algorithm>
#include <utility>

namespace currantlug::node {

std::optional<Stall> StallDetector::onTick(Instant now, absl::Duration processorTime)
{
    const std::optional<Instant> lastAt = std::exchange(lastAt_, now);
    const absl::Duration used = processorTime - std::exchange(lastProcessorTime_, processorTime);
    if (!lastAt) {
        return std::nullopt;
    }
    const absl::Duration delay = now - *lastAt - settings_.period;
    longest_ = std::max(longest_, delay);
    return delay < settings_.reportFrom ? std::nullopt : std::optional(Stall{delay, used});
}

} // namespace currantlug::node
