#include "routing/admission.h"

#include <algorithm>
#include <cmath>

namespace currantlug::routing {

namespace {

// Below this much observed busy time the rate is a guess, and guesses refuse nothing.
constexpr double MinBusySeconds = 2;

} // namespace

AdmissionControl::AdmissionControl(AdmissionSettings settings)
    : settings_(settings)
{
}

void AdmissionControl::observe(double tokens, bool workWaiting, Instant now)
{
    if (busy_ && now > at_) {
        const double elapsed = absl::ToDoubleSeconds(now - at_);
        const double keep = std::exp(-elapsed / absl::ToDoubleSeconds(settings_.rateWindow));
        tokens_ *= keep;
        busySeconds_ = busySeconds_ * keep + elapsed;
    }
    if (busy_) {
        tokens_ += tokens;
    }
    busy_ = workWaiting;
    at_ = std::max(at_, now);
}

absl::Duration AdmissionControl::expectedWait(double tokensAhead, Instant now) const
{
    const double busy = busySeconds_ + (busy_ ? std::max(0.0, absl::ToDoubleSeconds(now - at_)) : 0);
    if (tokensAhead <= 0 || busy < MinBusySeconds) {
        return absl::ZeroDuration();
    }
    return tokens_ <= 0 ? absl::InfiniteDuration() : absl::Seconds(tokensAhead * busy / tokens_);
}

std::optional<absl::Duration> AdmissionControl::refuse(double tokensAhead, absl::Duration ownService,
                                                       std::optional<Instant> deadline, Instant now) const
{
    const absl::Duration wait = expectedWait(tokensAhead, now);
    const absl::Duration allowed = deadline ? *deadline - now - ownService : settings_.maxWait;
    if (!settings_.enabled || wait <= allowed) {
        return std::nullopt;
    }
    // The queue is short enough for this caller's deadline once the excess has been served.
    return std::clamp(wait - allowed, settings_.minRetryAfter, settings_.maxRetryAfter);
}

} // namespace currantlug::routing
