// Decides whether queued work can still be served before its deadline, from the queue's length and the service rate.
#ifndef CURRANTLUG_ROUTING_ADMISSION_H
#define CURRANTLUG_ROUTING_ADMISSION_H

#include "core/instant.h"

#include <optional>

namespace currantlug::routing {

struct AdmissionSettings
{
    bool enabled = true;
    absl::Duration rateWindow = absl::Seconds(10); ///< Time constant of the smoothed service rate.
    absl::Duration maxWait = absl::Minutes(10); ///< Work without a deadline is refused beyond this wait.
    absl::Duration minRetryAfter = absl::Seconds(1);
    absl::Duration maxRetryAfter = absl::Minutes(2);
};

/// One per pool: smoothed service rate and the expected wait that follows. Not thread-safe.
class AdmissionControl
{
public:
    explicit AdmissionControl(AdmissionSettings settings = {});

    /// Notes tokens served.
    void served(double tokens, Instant now);
    /// Expected time until `tokensAhead` are served; zero while no rate is known.
    absl::Duration expectedWait(double tokensAhead, Instant now) const;
    /// nullopt to queue the work, or the time after which the caller should come back.
    std::optional<absl::Duration> refuse(double tokensAhead, absl::Duration ownService, std::optional<Instant> deadline,
                                         Instant now) const;

private:
    double rate(Instant now) const;

    AdmissionSettings settings_;
    double smoothed_ = 0; ///< Tokens, decaying exponentially with rateWindow.
    Instant at_;
    std::optional<Instant> since_; ///< First observation; the rate is corrected for the short history.
};

} // namespace currantlug::routing

#endif
