// Schedules of replicas that limit their request rate.
#include "serving/permitledger.h"

#include <fmt/format.h>

#include <algorithm>

namespace currantlug::serving {

namespace {

// The requests for a former incarnation, which ended a moment ago, arrive at the new one.
std::string keyOf(const ReplicaIncarnation &replica)
{
    return fmt::format("{} {}", replica.id, replica.address);
}

// Permits that become usable in this time may be used in the same second: 0.2 s by late use, 0.15 s by the time of
// requests between regions under load.
constexpr absl::Duration ColdWindow = absl::Milliseconds(1350);
// Part of the bound that is left to requests which the schedule doesn't know, such as those of a former issuer.
constexpr double ColdReserve = 2;
constexpr absl::Duration MaxColdBurst = absl::Seconds(1);

} // namespace

ColdSchedule coldSchedule(double requestsPerSecond, double over, double slack)
{
    const double window = absl::ToDoubleSeconds(ColdWindow);
    // The first permit after idle time comes on top of rate and burst.
    const double allowed = std::max(0.0, requestsPerSecond * over + slack - 1);
    const double rate = std::min(requestsPerSecond, allowed / window);
    const double spare = std::max(0.0, allowed - ColdReserve - rate * window);
    return {rate, rate > 0 ? std::min(MaxColdBurst, absl::Seconds(spare / rate)) : absl::ZeroDuration()};
}

PermitLedger::Schedule &PermitLedger::scheduleFor(const PermitRequest &request, double rate, absl::Duration burstTime,
                                                  Instant now)
{
    const Instant takeoverEnd = membershipChangedAt_ + settings_.takeoverTime;
    const auto [entry, isNew] = schedules_.try_emplace(keyOf(request.replica));
    Schedule &schedule = entry->second;
    const bool idle = now - schedule.lastRequestAt > settings_.takeoverTime;
    if (isNew) {
        schedule.usedUntil = std::max(now, takeoverEnd) + burstTime;
    } else if (idle && takeoverEnd > now) {
        // The requests may have gone to another node meanwhile.
        schedule.usedUntil = std::max(schedule.usedUntil, takeoverEnd + burstTime);
    } else if (schedule.rate != rate && schedule.usedUntil > now) {
        // The number of permits that are still to be used stays the same.
        schedule.usedUntil = now + (schedule.usedUntil - now) * (schedule.rate / rate);
    }
    schedule.rate = rate;
    schedule.lastRequestAt = now;
    return schedule;
}

PermitReply PermitLedger::issue(const PermitRequest &request, Instant now)
{
    const double rate = std::max(request.requestsPerSecond, settings_.minimumRate);
    const absl::Duration interval = absl::Seconds(1 / rate);
    const absl::Duration burstTime = request.burstTime.value_or(settings_.burstTime);
    Schedule &schedule = scheduleFor(request, rate, burstTime, now);
    PermitReply reply;
    const int count = std::clamp(request.count, 1, settings_.maxBatch);
    while (static_cast<int>(reply.delays.size()) < count) {
        const Instant usableAt = std::max(now, schedule.usedUntil - burstTime);
        if (usableAt - now > request.maxWait) {
            break;
        }
        schedule.usedUntil = std::max(usableAt, schedule.usedUntil) + interval;
        reply.delays.push_back(usableAt - now);
    }
    reply.nextIn = std::max(absl::ZeroDuration(), schedule.usedUntil - burstTime - now);
    return reply;
}

void PermitLedger::expire(Instant now)
{
    std::erase_if(schedules_, [&](const auto &entry) { return now - entry.second.lastRequestAt > settings_.idleTtl; });
}

} // namespace currantlug::serving
