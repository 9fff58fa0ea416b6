// Job service: how long jobs are kept, and the removal of expired ones from memory and from the store.
#include "jobs/jobservice.h"

#include "jobs/jobservicenames.h"
#include "telemetry/log.h"

#include <absl/time/clock.h>

#include <algorithm>

namespace currantlug::jobs {

using namespace detail;
using objects::StoreOutcome;
using objects::StoreReply;
using telemetry::Level;

Instant JobService::minimumRetention(std::int64_t submittedMs) const
{
    const RetentionSettings &settings = context_.settings.retention;
    const absl::Duration age = std::max(absl::ZeroDuration(), absl::Now() - absl::FromUnixMillis(submittedMs));
    return net::loopNow() + std::max(settings.afterTakeover, settings.afterSubmission - age)
        + context_.settings.ttlMargin;
}

void JobService::removeExpired(Instant now)
{
    absl::erase_if(orphanedSince_, [this, now](const auto &entry) {
        return now - entry.second > context_.settings.retention.afterSubmission;
    });
    absl::erase_if(unreadableJobs_, [this, now](const auto &entry) {
        return now - entry.second.notBefore > context_.settings.retention.afterSubmission;
    });
    absl::erase_if(endedJobs_, [now](const auto &entry) { return entry.second <= now; });
    absl::erase_if(cachedRecords_, [now](const auto &entry) { return entry.second.expiresAt <= now; });
    absl::erase_if(formerlyOwned_, [now](const auto &entry) { return entry.second->retention.isPastMinimum(now); });
    absl::erase_if(cachedLogs_, [now](const auto &entry) { return entry.second.expiresAt <= now; });
    std::vector<std::string> expired;
    for (const auto &[id, owned] : owned_) {
        // The runners of a stopping node have no open work, but another node takes their jobs over.
        const bool leftToSuccessor = released_ && !owned->record.ended;
        if (now >= owned->nextRemoval && !leftToSuccessor
            && owned->retention.isExpired(context_.settings.retention, owned->runner->isOpen(), now)) {
            expired.push_back(id);
        }
    }
    for (const std::string &id : expired) {
        removeRecord(id);
    }
}

void JobService::removeRecord(const std::string &jobId)
{
    OwnedJob &owned = *owned_[jobId];
    owned.nextRemoval = Instant(absl::InfiniteDuration());
    // The record is removed first: without it no node looks for the other objects.
    context_.store.remove(RecordKind, jobId, owned.revision,
                          [this, jobId](const StoreReply &reply) { onRecordRemoved(jobId, reply); });
}

void JobService::onRecordRemoved(const std::string &jobId, const StoreReply &reply)
{
    const auto found = owned_.find(jobId);
    if (found == owned_.end()) {
        return; // The ownership was lost meanwhile.
    }
    OwnedJob &owned = *found->second;
    if (reply.outcome == StoreOutcome::Done || reply.outcome == StoreOutcome::NotFound) {
        telemetry::log(Level::Info, "job", "removed",
                       {{"job", jobId}, {"ended", owned.record.ended}, {"results", owned.runner->log().size()}});
        removeItemsAndResults(owned);
        owned_.erase(found);
        return;
    }
    owned.nextRemoval = net::loopNow() + context_.settings.removalRetryDelay;
    telemetry::log(Level::Warning, "job", "not_removed", {{"job", jobId}, {"outcome", nameOf(reply.outcome)}});
    if (reply.outcome == StoreOutcome::Conflict) {
        checkOwnership(jobId);
    }
}

void JobService::removeItemsAndResults(const OwnedJob &owned)
{
    const std::string &jobId = owned.record.id;
    const auto logFailure = [jobId](const StoreReply &reply) {
        if (reply.outcome != StoreOutcome::Done && reply.outcome != StoreOutcome::NotFound) {
            telemetry::log(Level::Warning, "job", "objects_left", {{"job", jobId}, {"outcome", nameOf(reply.outcome)}});
        }
    };
    for (std::uint64_t part = 0; part < owned.record.parts; ++part) {
        context_.store.remove(PartKind, partName(jobId, part), 0, logFailure);
    }
    for (std::uint64_t segment = 0; segment < owned.runner->log().nextSegment(); ++segment) {
        context_.store.remove(resultKind(jobId), segmentName(segment), 0, logFailure);
    }
}

} // namespace currantlug::jobs
