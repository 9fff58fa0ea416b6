// Finds turns of the event loop that took so long that timers and connections waited. The processor time used meanwhile
// tells work of the process from a process that was not run.
#ifndef CURRANTLUG_NODE_STALLDETECTOR_H
#define CURRANTLUG_NODE_STALLDETECTOR_H

#include "core/instant.h"

#include <optional>

namespace currantlug::node {

struct StallDetectorSettings
{
    absl::Duration period; ///< Of the calls of onTick().
    absl::Duration reportFrom = absl::Milliseconds(250); ///< Shortest delay that counts as a stall.
};

/// A late tick.
struct Stall
{
    absl::Duration delay; ///< By which the tick was late.
    absl::Duration processorTime; ///< Used by the process since the tick before.
};

class StallDetector
{
public:
    explicit StallDetector(StallDetectorSettings settings)
        : settings_(settings)
    {
    }

    /// Call periodically, with the processor time that the process has used since its start.
    std::optional<Stall> onTick(Instant now, absl::Duration processorTime);
    /// Longest delay since the start.
    absl::Duration longest() const { return longest_; }

private:
    StallDetectorSettings settings_;
    std::optional<Instant> lastAt_; ///< Empty before the first tick.
    absl::Duration lastProcessorTime_;
    absl::Duration longest_;
};

} // namespace currantlug::node

#endif
