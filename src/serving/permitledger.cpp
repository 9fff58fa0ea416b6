// Schedules of replicas that limit their request rate.
#include "serving/permitledger.h"

#include <fmt/format.h>

#include <algorithm>

namespace currantlug::serving {

namespace {

std::string keyOf(const ReplicaIncarnation &replica)
{
    return fmt::format("{} {} {}", replica.id, replica.address, replica.startedAtMs);
}

} // namespace

PermitLedger::Schedule &PermitLedger::scheduleFor(const PermitRequest &request, double rate, Instant now)
{
    const Instant takeoverEnd = membershipChangedAt_ + settings_.takeoverTime;
    const auto [entry, isNew] = schedules_.try_emplace(keyOf(request.replica));
    Schedule &schedule = entry->second;
    const bool idle = now - schedule.lastRequestAt > settings_.takeoverTime;
    if (isNew) {
        schedule.usedUntil = std::max(now, takeoverEnd) + settings_.burstTime;
    } else if (idle && takeoverEnd > now) {
        // The requests may have gone to another node meanwhile.
        schedule.usedUntil = std::max(schedule.usedUntil, takeoverEnd + settings_.burstTime);
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
    Schedule &schedule = scheduleFor(request, rate, now);
    PermitReply reply;
    const int count = std::clamp(request.count, 1, settings_.maxBatch);
    while (static_cast<int>(reply.delays.size()) < count) {
        const Instant usableAt = std::max(now, schedule.usedUntil - settings_.burstTime);
        if (usableAt - now > request.maxWait) {
            break;
        }
        schedule.usedUntil = std::max(usableAt, schedule.usedUntil) + interval;
        reply.delays.push_back(usableAt - now);
    }
    reply.nextIn = std::max(absl::ZeroDuration(), schedule.usedUntil - settings_.burstTime - now);
    return reply;
}

void PermitLedger::expire(Instant now)
{
    std::erase_if(schedules_, [&](const auto &entry) { return now - entry.second.lastRequestAt > settings_.idleTtl; });
}

} // namespace currantlug::serving
