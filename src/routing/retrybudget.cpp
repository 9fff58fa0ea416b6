#include "routing/retrybudget.h"

#include <algorithm>
#include <cmath>

namespace currantlug::routing {

RetryBudget::RetryBudget(RetrySettings settings, std::uint64_t seed)
    : settings_(settings)
    , credit_(settings.startCredit)
    , random_(seed)
{
}

void RetryBudget::succeeded()
{
    credit_ = std::min(settings_.maxCredit, credit_ + settings_.shareOfSuccesses);
}

std::optional<absl::Duration> RetryBudget::retryDelay(std::uint32_t attempts)
{
    if (attempts >= settings_.maxAttempts) {
        return std::nullopt;
    }
    if (!settings_.enabled) {
        return absl::ZeroDuration();
    }
    return spend() ? std::optional(backoff(attempts)) : std::nullopt;
}

absl::Duration RetryBudget::backoff(std::uint32_t attempts)
{
    const int doublings = static_cast<int>(std::min(attempts, 20U)) - 1;
    const absl::Duration bound =
        std::min(settings_.maxDelay, std::ldexp(1.0, std::max(doublings, 0)) * settings_.baseDelay);
    return std::uniform_real_distribution<double>(0, 1)(random_) * bound;
}

bool RetryBudget::spend()
{
    if (credit_ < 1) {
        return false;
    }
    credit_ -= 1;
    return true;
}

} // namespace currantlug::routing
