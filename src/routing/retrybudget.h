// Bounds retries to a share of successes, with full-jitter backoff, so that an outage is not followed by a retry storm.
#ifndef CURRANTLUG_ROUTING_RETRYBUDGET_H
#define CURRANTLUG_ROUTING_RETRYBUDGET_H

#include "core/instant.h"

#include <cstdint>
#include <optional>
#include <random>

namespace currantlug::routing {

struct RetrySettings
{
    bool enabled = true; ///< Off: immediate retries without a budget, up to maxAttempts.
    double shareOfSuccesses = 0.1;
    double startCredit = 10; ///< Retries that a daemon may make before its first success.
    double maxCredit = 100; ///< Credit saved in good times; bounds the retries after an outage.
    std::uint32_t maxAttempts = 4;
    absl::Duration baseDelay = absl::Milliseconds(100);
    absl::Duration maxDelay = absl::Seconds(10);
};

/// Credit is earned by successes and spent by retries. Not thread-safe.
class RetryBudget
{
public:
    RetryBudget(RetrySettings settings, std::uint64_t seed);

    void succeeded();
    /// Spends credit for a retry after `attempts` failed attempts; nullopt if it must not be retried.
    std::optional<absl::Duration> retryDelay(std::uint32_t attempts);
    /// Random delay between zero and the exponential bound for this attempt.
    absl::Duration backoff(std::uint32_t attempts);
    double credit() const { return credit_; }
    /// Spends one unit for other extra load (hedges); false if there is none.
    bool spend();

private:
    RetrySettings settings_;
    double credit_ = 0;
    std::mt19937_64 random_;
};

} // namespace currantlug::routing

#endif
