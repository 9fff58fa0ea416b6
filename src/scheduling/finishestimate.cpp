// Estimate of the finishing time of an item at a replica.
#include "scheduling/finishestimate.h"

#include <algorithm>

namespace currantlug::scheduling {

absl::Duration expectedRest(absl::Duration slowFor)
{
    return std::clamp(slowFor, absl::ZeroDuration(), MaxSpellRest);
}

absl::Duration readingTime(double tokens, double readRate)
{
    return readRate > 0 ? absl::Milliseconds(tokens / readRate) : absl::ZeroDuration();
}

absl::Duration finishTime(const ItemWork &work, const ReplicaPace &pace)
{
    absl::Duration generation = pace.usualGap * work.eventsLeft;
    if (pace.presentGap > pace.usualGap) {
        const absl::Duration rest = std::min(expectedRest(pace.slowFor), pace.presentGap * work.eventsLeft);
        const double eventsInSpell = absl::FDivDuration(rest, pace.presentGap);
        generation = rest + pace.usualGap * (work.eventsLeft - eventsInSpell);
    }
    return pace.wait + pace.distance + readingTime(work.tokensToRead, pace.readRate) + generation;
}

double eventsLeft(double expectedEvents, double eventsMade)
{
    return std::max(expectedEvents - eventsMade, eventsMade / 2);
}

MoveEstimate estimateMove(const ItemWork &work, const ReplicaPace &here, const ReplicaPace &there)
{
    MoveEstimate estimate;
    estimate.stay = finishTime({0, work.eventsLeft}, here);
    estimate.move = finishTime(work, there) + there.usualGap;
    return estimate;
}

} // namespace currantlug::scheduling
