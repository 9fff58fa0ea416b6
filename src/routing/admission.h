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

/// One per pool: service rate while work was waiting, and the expected wait that follows. Idle time does not count, as
/// a quiet pool is not a slow one. Not thread-safe.
class AdmissionControl
{
public:
    explicit AdmissionControl(AdmissionSettings settings = {});

    /// Notes tokens served since the last call and whether work is waiting now.
    void observe(double tokens, bool workWaiting, Instant now);
    /// Expected time until `tokensAhead` are served; zero while no rate is known.
    absl::Duration expectedWait(double tokensAhead, Instant now) const;
    /// nullopt to queue the work, or the time after which the caller should come back.
    std::optional<absl::Duration> refuse(double tokensAhead, absl::Duration ownService, std::optional<Instant> deadline,
                                         Instant now) const;

private:
    AdmissionSettings settings_;
    double tokens_ = 0; ///< Tokens served while work waited; decays with rateWindow.
    double busySeconds_ = 0; ///< Time during which work waited; decays likewise.
    bool busy_ = false;
    Instant at_;
};

} // namespace currantlug::routing

#endif
