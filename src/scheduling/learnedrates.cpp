// Learning of reading rates, event lengths and connection times.
#include "scheduling/learnedrates.h"

#include <algorithm>

namespace currantlug::scheduling {

namespace {

constexpr double Decay = 0.99; // Of the sums with each item: about the last hundred items count.
constexpr double HeadSmoothing = 0.1; // Weight of the newest response head.
// Reading fewer tokens takes less time than the noise of an event.
constexpr double MinTokensRead = 2000;
// Services were measured at 346 and 672 tokens a millisecond. The assumed rate is lower, so that a move is not
// underestimated before the first measurement.
constexpr double AssumedReadRate = 300;
constexpr double MinReadRate = 20; // Bounds the effect of first events that were late for other reasons.
constexpr double MaxReadRate = 2000;

} // namespace

void LearnedRates::recordItem(double hintTokens, double events)
{
    if (hintTokens > 0 && events > 0) {
        hintTokens_ = hintTokens_ * Decay + hintTokens;
        events_ = events_ * Decay + events;
    }
}

void LearnedRates::recordHead(absl::Duration elapsed)
{
    connectTime_ += (elapsed - connectTime_) * HeadSmoothing;
}

void LearnedRates::recordFirstEvent(double tokensRead, absl::Duration elapsed, absl::Duration usualGap)
{
    if (tokensRead < MinTokensRead || usualGap <= absl::ZeroDuration()) {
        return;
    }
    tokensRead_ = tokensRead_ * Decay + tokensRead;
    readingTime_ = readingTime_ * Decay + std::max(absl::Milliseconds(tokensRead / MaxReadRate), elapsed - usualGap);
}

double LearnedRates::readRate() const
{
    if (tokensRead_ == 0) {
        return AssumedReadRate;
    }
    return std::clamp(tokensRead_ / absl::ToDoubleMilliseconds(readingTime_), MinReadRate, MaxReadRate);
}

} // namespace currantlug::scheduling
