// Rates of the replicas of one service, learned from the streams of finished and running items.
//
// Designed for services whose events have a fixed number of tokens and whose replicas read hundreds of tokens a
// millisecond. Trainers state lengths in tokens while streams count events, so the two are related by observation.
#ifndef CURRANTLUG_SCHEDULING_LEARNEDRATES_H
#define CURRANTLUG_SCHEDULING_LEARNEDRATES_H

#include <absl/time/time.h>

namespace currantlug::scheduling {

class LearnedRates
{
public:
    /// An item with this length hint in tokens has ended after this many events.
    void recordItem(double hintTokens, double events);
    /// A replica sent its response head this long after the request.
    void recordHead(absl::Duration elapsed);
    /// A replica that had to read this many tokens sent the first event this long after the request; `usualGap` is the
    /// time of an event there.
    void recordFirstEvent(double tokensRead, absl::Duration elapsed, absl::Duration usualGap);

    /// Tokens of one event; 0 if not known. A mean over many items, since single hints are off by a factor of three.
    double tokensPerEvent() const { return events_ > 0 ? hintTokens_ / events_ : 0; }
    /// Tokens a millisecond that a replica reads.
    double readRate() const;
    /// Time from the start of an attempt to the response head.
    absl::Duration connectTime() const { return connectTime_; }

private:
    double hintTokens_ = 0; ///< Sum over ended items; older items count less.
    double events_ = 0;
    double tokensRead_ = 0; ///< Sum over long readings; older ones count less.
    absl::Duration readingTime_;
    absl::Duration connectTime_ = absl::Milliseconds(10);
};

} // namespace currantlug::scheduling

#endif
