#include "routing/hedgepolicy.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace currantlug::routing {

namespace {

constexpr std::size_t RatesKept = 128;
// A stream's first tokens come in bursts, so its rate is judged only after this time.
constexpr absl::Duration MinimumAge = absl::Seconds(2);

} // namespace

HedgePolicy::HedgePolicy(HedgeSettings settings)
    : settings_(settings)
{
}

void HedgePolicy::observeRate(double tokensPerSecond)
{
    recent_.push_back(tokensPerSecond);
    if (recent_.size() > RatesKept) {
        recent_.pop_front();
    }
    std::vector<double> sorted(recent_.begin(), recent_.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    median_ = *middle;
}

bool HedgePolicy::shouldHedge(const WorkItem &item, std::uint32_t groupRemaining, const AttemptProgress &progress,
                              std::size_t runningAttempts, std::size_t runningHedges, Instant now) const
{
    if (!settings_.enabled || !item.repeatable || item.group == 0 || groupRemaining > settings_.maxGroupRemaining) {
        return false;
    }
    const double allowed = std::max(1.0, std::floor(settings_.maxShare * static_cast<double>(runningAttempts)));
    if (static_cast<double>(runningHedges) >= allowed) {
        return false;
    }
    if (now - progress.lastTokenAt >= settings_.silence) {
        return true;
    }
    const absl::Duration age = now - progress.startedAt;
    return progress.started && median_ > 0 && age >= MinimumAge
        && progress.tokens / absl::ToDoubleSeconds(age) < median_ / settings_.slowerThanMedian;
}

} // namespace currantlug::routing
