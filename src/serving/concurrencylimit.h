// Limit on the calls that this node has open at a service which other nodes use as well.
//
// Nodes share no counter. Each node raises its limit while calls succeed and lowers it when a replica refuses a call or
// reports waiting requests, so that all nodes together stay near the capacity of the service. Designed for bursts of
// short background calls, such as the reward calls of a training step, to a service that also serves clients.
#ifndef CURRANTLUG_SERVING_CONCURRENCYLIMIT_H
#define CURRANTLUG_SERVING_CONCURRENCYLIMIT_H

#include "core/instant.h"

#include <absl/time/time.h>

namespace currantlug::serving {

struct ConcurrencyLimitSettings
{
    double initial = 4;
    double minimum = 1; ///< One call stays possible, since without any answer the limit could never rise again.
    double maximum = 64;
    /// Growth by one round of successful calls after the first congestion. Before it the limit doubles with each round.
    double increaseStep = 0.2;
    double decreaseFactor = 0.6;
    /// The limit is lowered at most once in this time: the calls of one burst are refused together.
    absl::Duration decreasePeriod = absl::Milliseconds(100);
};

class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencyLimitSettings settings = {})
        : settings_(settings)
        , limit_(settings.initial)
    {
    }

    /// Takes a place for a call. Returns false if the limit is reached.
    bool tryAcquire();
    void release();

    void recordSuccess();
    void recordCongestion(Instant now);

    int inUse() const { return inUse_; }
    double limit() const { return limit_; }

private:
    ConcurrencyLimitSettings settings_;
    double limit_ = 0; ///< Between minimum and maximum.
    int inUse_ = 0;
    bool everLowered_ = false;
    Instant loweredAt_ = Instant(-absl::InfiniteDuration());
};

} // namespace currantlug::serving

#endif
