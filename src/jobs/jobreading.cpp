// Job service: reads of results and item bodies, which are answered by the owner, forwarded to it, or answered from the
// store.
#include "jobs/jobservice.h"

#include "core/hash.h"
#include "jobs/jobservicenames.h"
#include "telemetry/log.h"

#include <absl/time/clock.h>

#include <algorithm>

namespace currantlug::jobs {

using namespace detail;
using objects::StoreOutcome;
using objects::StoreReply;
using telemetry::Level;

namespace {

void logReadFailure(const std::string &jobId, std::string_view what, const StoreReply &reply)
{
    telemetry::log(Level::Warning, "job", "read_failed",
                   {{"job", jobId},
                    {"what", what},
                    {"outcome", nameOf(reply.outcome)},
                    {"http_status", reply.httpStatus},
                    {"objects", reply.changes.size()}});
}

} // namespace

// Results

void JobService::loadRecord(const std::string &jobId, bool bypassCache, RecordCallback done)
{
    if (const auto cached = cachedRecords_.find(jobId); !bypassCache && cached != cachedRecords_.end()) {
        done(ReadOutcome::Found, &cached->second);
        return;
    }
    context_.store.get(RecordKind, jobId, [this, jobId, done = std::move(done)](const StoreReply &reply) {
        if (reply.outcome == StoreOutcome::NotFound) {
            done(ReadOutcome::NotFound, nullptr);
            return;
        }
        const bool usable = reply.outcome == StoreOutcome::Done && !reply.changes.empty();
        const auto record = usable ? parseJobRecord(jobId, reply.changes.front().object.value) : std::nullopt;
        if (!record) {
            done(ReadOutcome::Unavailable, nullptr);
            return;
        }
        CachedRecord &cached = cachedRecords_[jobId];
        cached = {*record, reply.changes.front().object.revision, minimumRetention(record->submittedMs)};
        done(ReadOutcome::Found, &cached);
    });
}

void JobService::read(const std::string &jobId, const std::string &workspace, std::uint64_t after, absl::Duration wait,
                      PageCallback done)
{
    const auto owned = owned_.find(jobId);
    if (owned == owned_.end()) {
        readRemote(jobId, workspace, after, wait, false, std::move(done));
    } else if (owned->second->record.workspace != workspace) {
        done(ReadOutcome::NotFound, {});
    } else {
        readOwned(*owned->second, after, wait, std::move(done));
    }
}

void JobService::readOwned(OwnedJob &owned, std::uint64_t after, absl::Duration wait, PageCallback done)
{
    owned.retention.recordUse(net::loopNow());
    const ResultLog &log = owned.runner->log();
    if (after < log.size() || !owned.runner->isOpen() || wait <= absl::ZeroDuration()) {
        done(ReadOutcome::Found, log.page(after, owned.record.total, context_.settings.maxPageBytes));
        return;
    }
    owned.pendingReads.push_back({after, net::loopNow() + wait, std::move(done)});
}

void JobService::onResultsStored(const std::string &jobId)
{
    if (const auto owned = owned_.find(jobId); owned != owned_.end()) {
        owned->second->retention.recordUse(net::loopNow());
    }
    servePendingReads(jobId);
}

void JobService::servePendingReads(const std::string &jobId)
{
    const auto found = owned_.find(jobId);
    if (found == owned_.end()) {
        return;
    }
    OwnedJob &owned = *found->second;
    const Instant now = net::loopNow();
    std::vector<PendingRead> kept;
    std::vector<PendingRead> ready;
    for (PendingRead &pendingRead : owned.pendingReads) {
        const bool due =
            pendingRead.after < owned.runner->log().size() || pendingRead.deadline <= now || !owned.runner->isOpen();
        (due ? ready : kept).push_back(std::move(pendingRead));
    }
    owned.pendingReads = std::move(kept);
    for (const PendingRead &pendingRead : ready) {
        pendingRead.done(
            ReadOutcome::Found,
            owned.runner->log().page(pendingRead.after, owned.record.total, context_.settings.maxPageBytes));
    }
}

void JobService::readRemote(const std::string &jobId, const std::string &workspace, std::uint64_t after,
                            absl::Duration wait, bool bypassCache, PageCallback done)
{
    loadRecord(jobId, bypassCache, [=, this, done = std::move(done)](ReadOutcome outcome, const CachedRecord *cached) {
        if (cached == nullptr || cached->record.workspace != workspace) {
            done(cached == nullptr ? outcome : ReadOutcome::NotFound, {});
            return;
        }
        const JobRecord record = cached->record;
        const bool ownerAlive = context_.peers.isAlive(record.owner, record.ownerIncarnation);
        if (!ownerAlive && !bypassCache && !record.ended) {
            // The owner may have changed since the record was read.
            readRemote(jobId, workspace, after, wait, true, done);
            return;
        }
        if (!ownerAlive) {
            readFromStore(record, after, done);
            return;
        }
        const Json call{
            {"job", jobId}, {"workspace", workspace}, {"after", after}, {"wait_ms", absl::ToInt64Milliseconds(wait)}};
        context_.peers.call(record.owner, ReadMethod, call, wait + context_.settings.peerTimeout,
                            [=, this](absl::StatusOr<Json> reply) {
                                auto page = reply.ok() && fieldOr<bool>(*reply, "found", false)
                                    ? parseResultPage((*reply)["page"])
                                    : std::nullopt;
                                if (page) {
                                    done(ReadOutcome::Found, std::move(*page));
                                } else if (reply.ok() && !bypassCache) {
                                    readRemote(jobId, workspace, after, wait, true, done);
                                } else {
                                    readFromStore(record, after, done);
                                }
                            });
    });
}

void JobService::readFromStore(const JobRecord &record, std::uint64_t after, PageCallback done)
{
    const auto cachedLog = cachedLogs_.find(record.id);
    const auto log = std::make_shared<ResultLog>(cachedLog == cachedLogs_.end() ? ResultLog() : cachedLog->second.log);
    if (after < log->size()) {
        done(ReadOutcome::Found, log->page(after, record.total, context_.settings.maxPageBytes));
        return;
    }
    loadLog(record.id, log, [this, record, after, log, done = std::move(done)](LoadOutcome outcome) {
        if (outcome != LoadOutcome::Loaded) {
            done(ReadOutcome::Unavailable, {});
            return;
        }
        cachedLogs_[record.id] = {*log, minimumRetention(record.submittedMs)};
        done(ReadOutcome::Found, log->page(after, record.total, context_.settings.maxPageBytes));
    });
}

void JobService::loadLog(const std::string &jobId, const std::shared_ptr<ResultLog> &log,
                         std::function<void(LoadOutcome)> done)
{
    const std::string last = log->nextSegment() == 0 ? std::string() : segmentName(log->nextSegment() - 1);
    context_.store.list(resultKind(jobId), last, [this, jobId, log, done = std::move(done)](const StoreReply &reply) {
        if (reply.outcome == StoreOutcome::NotFound) {
            done(LoadOutcome::Loaded);
            return;
        }
        if (reply.outcome != StoreOutcome::Done) {
            logReadFailure(jobId, "results", reply);
            done(LoadOutcome::Unavailable);
            return;
        }
        for (const objects::ObjectChange &change : reply.changes) {
            const auto segment = parseSegment(log->nextSegment(), change.object.value);
            if (change.object.name != segmentName(log->nextSegment()) || !segment || !log->append(*segment)) {
                telemetry::log(Level::Error, "job", "segment_unreadable",
                               {{"job", jobId}, {"segment", change.object.name}});
                done(LoadOutcome::Unreadable);
                return;
            }
        }
        if (reply.more && !reply.changes.empty()) {
            loadLog(jobId, log, done);
        } else {
            done(LoadOutcome::Loaded);
        }
    });
}

// Bodies of items

void JobService::readBody(const std::string &jobId, const std::string &workspace, const std::string &itemId,
                          BodyCallback done)
{
    if (const auto owned = owned_.find(jobId); owned != owned_.end()) {
        const auto index = owned->second->runner->tracker().find(itemId);
        const bool found = owned->second->record.workspace == workspace && index.has_value();
        if (found) {
            owned->second->retention.recordUse(net::loopNow());
        }
        done(found ? ReadOutcome::Found : ReadOutcome::NotFound,
             found ? owned->second->runner->tracker().items()[*index].spec.body : std::string());
        return;
    }
    loadRecord(jobId, false, [=, this, done = std::move(done)](ReadOutcome outcome, const CachedRecord *cached) {
        if (cached == nullptr || cached->record.workspace != workspace) {
            done(cached == nullptr ? outcome : ReadOutcome::NotFound, {});
            return;
        }
        const JobRecord record = cached->record;
        if (!context_.peers.isAlive(record.owner, record.ownerIncarnation)) {
            readBodyFromStore(record, itemId, done);
            return;
        }
        context_.peers.call(record.owner, BodyMethod, {{"job", jobId}, {"item", itemId}, {"workspace", workspace}},
                            context_.settings.peerTimeout, [=, this](absl::StatusOr<Json> reply) {
                                if (reply.ok() && fieldOr<bool>(*reply, "found", false)) {
                                    done(ReadOutcome::Found, fieldOr<std::string>(*reply, "body", ""));
                                } else {
                                    readBodyFromStore(record, itemId, done);
                                }
                            });
    });
}

void JobService::readBodyFromStore(const JobRecord &record, const std::string &itemId, BodyCallback done)
{
    loadParts(record, [itemId, done = std::move(done)](LoadOutcome outcome, const JobSpec &spec) {
        if (outcome != LoadOutcome::Loaded) {
            done(ReadOutcome::Unavailable, {});
            return;
        }
        const auto found = std::find_if(spec.items.begin(), spec.items.end(),
                                        [&itemId](const ItemSpec &item) { return item.id == itemId; });
        done(found == spec.items.end() ? ReadOutcome::NotFound : ReadOutcome::Found,
             found == spec.items.end() ? std::string() : found->body);
    });
}

void JobService::loadParts(const JobRecord &record, std::function<void(LoadOutcome, JobSpec)> done)
{
    const auto spec = std::make_shared<JobSpec>();
    spec->id = record.id;
    spec->workspace = record.workspace;
    spec->host = record.host;
    spec->path = record.path;
    loadPart(record, 0, spec, std::move(done));
}

void JobService::loadPart(const JobRecord &record, std::uint64_t part, const std::shared_ptr<JobSpec> &spec,
                          std::function<void(LoadOutcome, JobSpec)> done)
{
    if (part == record.parts) {
        const bool complete = spec->items.size() == record.total;
        done(complete ? LoadOutcome::Loaded : LoadOutcome::Unavailable, std::move(*spec));
        return;
    }
    storeFor(regionsOf(record.host, record.path, record.workspace))
        .get(PartKind, partName(record.id, part),
             [this, record, part, spec, done = std::move(done)](const StoreReply &reply) {
                 if (reply.outcome != StoreOutcome::Done || reply.changes.empty()) {
                     logReadFailure(record.id, "items", reply);
                     done(LoadOutcome::Unavailable, {});
                     return;
                 }
                 if (!readJobPart(reply.changes.front().object.value, *spec)) {
                     telemetry::log(Level::Error, "job", "items_unreadable", {{"job", record.id}, {"part", part}});
                     done(LoadOutcome::Unreadable, {});
                     return;
                 }
                 loadPart(record, part + 1, spec, done);
             });
}

} // namespace currantlug::jobs
