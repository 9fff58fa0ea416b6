// Estimate of the time at which an item finishes at a replica, and of what a move to another replica gains.
//
// Designed for items of up to some hundred events on replicas whose machines are shared for half a second at a time and
// then work two to three times as slowly. A move costs the event in progress and reading the text again, so it pays
// only while much of the slow spell is still to come.
#ifndef CURRANTLUG_SCHEDULING_FINISHESTIMATE_H
#define CURRANTLUG_SCHEDULING_FINISHESTIMATE_H

#include <absl/time/time.h>

namespace currantlug::scheduling {

/// Work that an item still needs.
struct ItemWork
{
    double tokensToRead = 0; ///< Prompt and own text that the replica has to read first.
    double eventsLeft = 0; ///< Expected number of events until the item ends.
};

/// What is expected of a replica.
struct ReplicaPace
{
    absl::Duration wait; ///< For a free slot.
    absl::Duration distance; ///< Connection time and network latency.
    double readRate = 0; ///< Tokens a millisecond; reading takes no time if it isn't known.
    absl::Duration usualGap; ///< Time of one event at the usual pace.
    absl::Duration presentGap; ///< Time of one event now; zero if it is the usual one.
    absl::Duration slowFor; ///< For how long the present pace has been observed.
};

/// Longest time for which a slow spell is expected to go on: measured spells last some hundred milliseconds, and a
/// replica that is slow for good reaches the bound within seconds.
inline constexpr absl::Duration MaxSpellRest = absl::Seconds(3);

/// How much longer a slow spell is expected to last: as long again as it has been seen, within the bound.
absl::Duration expectedRest(absl::Duration slowFor);

/// Time to read this many tokens; zero if the rate (tokens a millisecond) isn't known.
absl::Duration readingTime(double tokens, double readRate);

/// Expected time until the item ends at a replica: wait, distance, reading, and its events, of which those in the rest
/// of a slow spell take the present gap and the others the usual one.
absl::Duration finishTime(const ItemWork &work, const ReplicaPace &pace);

/// Expected number of events until the item ends. Hints are off by a factor of two or three, so an item is expected to
/// make at least half as many more events as it has made. `expectedEvents` is 0 if there is no hint.
double eventsLeft(double expectedEvents, double eventsMade);

/// Expected end of an item where it runs and after a move.
struct MoveEstimate
{
    absl::Duration stay;
    absl::Duration move;

    bool pays() const { return move < stay; }
};

/// Compares staying at `here` with a move to `there`, where the text is read again. The event in progress is lost.
MoveEstimate estimateMove(const ItemWork &work, const ReplicaPace &here, const ReplicaPace &there);

} // namespace currantlug::scheduling

#endif
