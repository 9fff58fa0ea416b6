// Job service: ends of jobs, calls from peers, and takeovers of orphaned jobs.
#include "jobs/jobservice.h"

#include "core/hash.h"
#include "jobs/jobservicenames.h"
#include "telemetry/log.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <set>

namespace currantlug::jobs {

using namespace detail;
using objects::StoreOutcome;
using objects::StoreReply;
using telemetry::Level;

namespace {

constexpr absl::Duration OrphanScanRetryDelay = absl::Seconds(1);
// Between two takeovers of a job of which an object cannot be read.
constexpr absl::Duration MaxTakeoverRetryDelay = absl::Seconds(5);
// Delays after the loss of a node at which its successors search for its jobs. The successor of rank r begins with the
// delay at index r; the later searches find what an earlier successor has not taken over. A job may become recognizable
// as orphaned only once its owner counts as lost at all nodes.
constexpr std::array<absl::Duration, 3> ScanDelays{absl::ZeroDuration(), absl::Milliseconds(1500), absl::Seconds(4)};
// A job that its successor leaves for this time is taken over by any node that finds it: the views of the nodes differ,
// or the successor runs an earlier build, which chooses otherwise.
constexpr absl::Duration SuccessorTime = absl::Milliseconds(2400);
// Ranks the nodes that search for orphaned jobs after a start and for lost nodes that had run no jobs. It must differ
// from all names of nodes.
constexpr std::string_view ScannerKey = "/scanner";
// Number of nodes that search after a start. Some of them may be cut off from the store.
constexpr std::size_t StartScanners = 8;
// Number of nodes that search for the jobs of lost nodes that had run none, the period of these searches, and how many
// follow a loss. The later ones find what the successor has not taken over.
constexpr std::size_t SharedScanners = 3;
constexpr absl::Duration SharedScanPeriod = absl::Seconds(2);
constexpr int SharedScansPerLoss = 3;

} // namespace

struct JobService::EndRequest
{
    std::string jobId;
    std::string workspace;
    Instant deadline;
    std::function<void(ReadOutcome)> done;
};

// Ends of jobs

void JobService::endJob(const std::string &jobId, const std::string &workspace, std::function<void(ReadOutcome)> done)
{
    const auto request = std::make_shared<EndRequest>();
    request->jobId = jobId;
    request->workspace = workspace;
    request->deadline = net::loopNow() + context_.settings.endTimeout;
    request->done = std::move(done);
    if (owned_.contains(jobId)) {
        storeEnd(request, false);
        return;
    }
    loadRecord(jobId, false, [this, request](ReadOutcome outcome, const CachedRecord *cached) {
        if (cached == nullptr || cached->record.workspace != request->workspace) {
            request->done(cached == nullptr ? outcome : ReadOutcome::NotFound);
            return;
        }
        if (cached->record.ended) {
            request->done(ReadOutcome::Found);
            return;
        }
        if (!context_.peers.isAlive(cached->record.owner, cached->record.ownerIncarnation)) {
            storeEnd(request, true);
            return;
        }
        context_.peers.call(cached->record.owner, EndMethod,
                            {{"job", request->jobId}, {"workspace", request->workspace}}, context_.settings.peerTimeout,
                            [this, request](absl::StatusOr<Json> reply) {
                                if (reply.ok() && fieldOr<bool>(*reply, "ended", false)) {
                                    markEnded(request->jobId);
                                    request->done(ReadOutcome::Found);
                                } else {
                                    storeEnd(request, true);
                                }
                            });
    });
}

void JobService::storeEnd(const std::shared_ptr<EndRequest> &request, bool bypassCache)
{
    if (net::loopNow() > request->deadline) {
        request->done(ReadOutcome::Unavailable);
        return;
    }
    const auto retry = [this, request] {
        net::runAfter(context_.loop, context_.settings.storeRetryDelay, [this, request] { storeEnd(request, true); });
    };
    const auto replaceRecord = [this, request, retry](JobRecord record, std::uint64_t revision) {
        if (record.workspace != request->workspace) {
            request->done(ReadOutcome::NotFound);
            return;
        }
        if (record.ended) {
            markEnded(request->jobId);
            request->done(ReadOutcome::Found);
            return;
        }
        record.ended = true;
        const bool ownedHere = isOwnedHere(record);
        context_.store.replace(RecordKind, request->jobId, revision, toJson(record),
                               [this, request, retry, ownedHere](const StoreReply &reply) {
                                   if (reply.outcome == StoreOutcome::Done) {
                                       markEnded(request->jobId);
                                       if (ownedHere) {
                                           recordRevision(request->jobId, reply);
                                       } else {
                                           notifyAllOfEnd(request->jobId);
                                       }
                                       request->done(ReadOutcome::Found);
                                   } else if (reply.outcome == StoreOutcome::Conflict) {
                                       storeEnd(request, true);
                                   } else {
                                       retry();
                                   }
                               });
    };
    if (const auto owned = owned_.find(request->jobId); !bypassCache && owned != owned_.end()) {
        replaceRecord(owned->second->record, owned->second->revision);
        return;
    }
    loadRecord(request->jobId, true, [request, retry, replaceRecord](ReadOutcome outcome, const CachedRecord *cached) {
        if (outcome == ReadOutcome::NotFound) {
            request->done(ReadOutcome::NotFound);
        } else if (cached == nullptr) {
            retry();
        } else {
            replaceRecord(cached->record, cached->revision);
        }
    });
}

void JobService::recordRevision(const std::string &jobId, const StoreReply &reply)
{
    if (const auto owned = owned_.find(jobId); owned != owned_.end() && !reply.changes.empty()) {
        owned->second->revision = std::max(owned->second->revision, reply.changes.front().object.revision);
    }
}

void JobService::markEnded(const std::string &jobId)
{
    const Instant now = net::loopNow();
    endedJobs_[jobId] = now + context_.settings.retention.afterSubmission;
    if (const auto owned = owned_.find(jobId); owned != owned_.end()) {
        owned->second->retention.recordEnd(now);
        owned->second->record.ended = true;
        owned->second->runner->stop("ended");
        servePendingReads(jobId);
    }
    if (const auto cached = cachedRecords_.find(jobId); cached != cachedRecords_.end()) {
        cached->second.record.ended = true;
    }
}

void JobService::notifyAllOfEnd(const std::string &jobId)
{
    // All peers are notified: a node that lost the job to a takeover may still run it.
    for (const std::string &node : context_.peers.live()) {
        notifyOfEnd(node, jobId, EndNoticeTries);
    }
}

void JobService::notifyOfEnd(const std::string &node, const std::string &jobId, int triesLeft)
{
    context_.peers.call(node, EndedMethod, {{"job", jobId}}, context_.settings.peerTimeout,
                        [this, node, jobId, triesLeft](const absl::StatusOr<Json> &reply) {
                            if (!reply.ok() && triesLeft > 1) {
                                net::runAfter(context_.loop, EndNoticeRetryDelay, [this, node, jobId, triesLeft] {
                                    notifyOfEnd(node, jobId, triesLeft - 1);
                                });
                            }
                        });
}

// Calls from peers

bool JobService::handlePeerCall(const std::string &method, const Json &body, std::function<void(Json)> reply)
{
    const std::string jobId = fieldOr<std::string>(body, "job", "");
    const std::string workspace = fieldOr<std::string>(body, "workspace", "");
    const auto owned = owned_.find(jobId);
    const bool ownedHere = owned != owned_.end() && owned->second->record.workspace == workspace;
    if (method == ReadMethod) {
        if (!ownedHere) {
            reply({{"found", false}});
            return true;
        }
        readOwned(*owned->second, fieldOr<std::uint64_t>(body, "after", 0),
                  absl::Milliseconds(fieldOr<std::int64_t>(body, "wait_ms", 0)),
                  [reply = std::move(reply)](ReadOutcome, const ResultPage &page) {
                      reply({{"found", true}, {"page", toJson(page)}});
                  });
    } else if (method == BodyMethod) {
        if (!ownedHere) {
            reply({{"found", false}});
            return true;
        }
        JobService::readBody(jobId, workspace, fieldOr<std::string>(body, "item", ""),
                             [reply = std::move(reply)](ReadOutcome outcome, const std::string &bytes) {
                                 reply({{"found", outcome == ReadOutcome::Found}, {"body", bytes}});
                             });
    } else if (method == SubmitMethod) {
        handleForwarded(body, std::move(reply));
    } else if (method == EndMethod) {
        if (!ownedHere) {
            reply({{"ended", false}});
            return true;
        }
        endJob(jobId, workspace, [reply = std::move(reply)](ReadOutcome outcome) {
            reply({{"ended", outcome == ReadOutcome::Found}});
        });
    } else if (method == EndedMethod) {
        markEnded(jobId);
        reply(Json::object());
    } else if (method == TakenOverMethod) {
        checkOwnership(jobId);
        cachedRecords_.erase(jobId);
        reply(Json::object());
    } else if (method == ScanMethod) {
        scanOrphanedJobs();
        reply(Json::object());
    } else if (method == TextsMethod) {
        reply(textsFor(fieldOrNull(body, "keys")));
    } else {
        return false;
    }
    return true;
}

// Takeovers

std::vector<std::string> JobService::successorsOf(const std::string &owner, const serving::RegionSet &regions) const
{
    return jobs::successorsOf(owner, hostsIn(regions, jobHosts()));
}

bool JobService::isScanner(std::size_t scanners) const
{
    const std::vector<std::string> ranking = successorsOf(std::string(ScannerKey));
    const auto last = ranking.begin() + static_cast<std::ptrdiff_t>(std::min(ranking.size(), scanners));
    return std::find(ranking.begin(), last, context_.node) != last;
}

void JobService::planSharedScan()
{
    net::runAfter(context_.loop, SharedScanPeriod, [this] {
        scanOrphanedJobs();
        if (--sharedScansLeft_ > 0) {
            planSharedScan();
        }
    });
}

void JobService::onNodeLost(const std::string &node, bool heldTexts)
{
    if (!heldTexts) {
        if (isScanner(SharedScanners) && std::exchange(sharedScansLeft_, SharedScansPerLoss) == 0) {
            planSharedScan();
        }
        return;
    }
    const std::vector<std::string> successors = successorsOf(node);
    const auto rank =
        static_cast<std::size_t>(std::find(successors.begin(), successors.end(), context_.node) - successors.begin());
    for (std::size_t index = rank; index < ScanDelays.size(); ++index) {
        net::runAfter(context_.loop, ScanDelays[index], [this] { scanOrphanedJobs(); });
    }
}

void JobService::scanAfterStart()
{
    if (isScanner(StartScanners)) {
        scanOrphanedJobs();
    }
}

void JobService::scanOrphanedJobs()
{
    if (scanning_ || released_) {
        return;
    }
    scanning_ = true;
    context_.store.list(RecordKind, "", [this](StoreReply reply) { onOrphanScanReply(std::move(reply)); });
}

void JobService::onOrphanScanReply(StoreReply reply)
{
    if (reply.outcome != StoreOutcome::Done) {
        scanning_ = false;
        if (reply.outcome != StoreOutcome::NotFound) {
            net::runAfter(context_.loop, OrphanScanRetryDelay, [this] { scanOrphanedJobs(); });
        }
        return;
    }
    const Instant now = net::loopNow();
    std::set<std::string> otherSuccessors;
    for (const objects::ObjectChange &change : reply.changes) {
        const auto record = parseJobRecord(change.object.name, change.object.value);
        if (!record) {
            telemetry::log(Level::Warning, "job", "record_unreadable", {{"job", change.object.name}});
            continue;
        }
        const bool ownedHere = isOwnedHere(*record);
        if (record->ended || owned_.contains(record->id) || submissions_.contains(record->id)
            || (!ownedHere && !context_.peers.isLost(record->owner, record->ownerIncarnation))) {
            orphanedSince_.erase(change.object.name);
            continue;
        }
        if (ownedHere) {
            // The store's answer to an earlier takeover was lost.
            takeOver(*record, change.object.revision);
            continue;
        }
        const serving::RegionSet regions = regionsOf(record->host, record->path, record->workspace);
        const std::vector<std::string> successors = successorsOf(record->owner, regions);
        const Instant since = orphanedSince_.emplace(record->id, now).first->second;
        if (successors.empty()) {
            telemetry::log(Level::Warning, "job", "no_successor_at_home",
                           {{"job", record->id}, {"owner", record->owner}});
            continue;
        }
        const std::string &successor = successors.front();
        const bool waitedLong = now - since >= SuccessorTime && regions.allows(context_.settings.region);
        if (successor == context_.node || waitedLong) {
            orphanedSince_.erase(record->id);
            takeOver(*record, change.object.revision);
        } else {
            otherSuccessors.insert(successor);
        }
    }
    for (const std::string &node : otherSuccessors) {
        context_.peers.call(node, ScanMethod, Json::object(), context_.settings.peerTimeout,
                            [](const absl::StatusOr<Json> &) {});
    }
    if (reply.more && !reply.changes.empty()) {
        context_.store.list(RecordKind, reply.changes.back().object.name,
                            [this](StoreReply next) { onOrphanScanReply(std::move(next)); });
        return;
    }
    scanning_ = false;
}

absl::Duration JobService::postponeTakeover(const std::string &jobId)
{
    TakeoverRetry &retry = unreadableJobs_.try_emplace(jobId).first->second;
    retry.delay = std::clamp(retry.delay * 2, context_.settings.storeRetryDelay, MaxTakeoverRetryDelay);
    retry.notBefore = net::loopNow() + retry.delay;
    return retry.delay;
}

void JobService::takeOver(const JobRecord &record, std::uint64_t revision)
{
    const auto retry = unreadableJobs_.find(record.id);
    if (retry != unreadableJobs_.end() && net::loopNow() < retry->second.notBefore) {
        return;
    }
    if (!takingOver_.insert(record.id).second) {
        return;
    }
    telemetry::log(Level::Info, "job", "taking_over", {{"job", record.id}, {"owner", record.owner}});
    const auto scanLater = [this, id = record.id](LoadOutcome outcome) {
        takingOver_.erase(id);
        const bool unreadable = outcome == LoadOutcome::Unreadable;
        net::runAfter(context_.loop, unreadable ? postponeTakeover(id) : context_.settings.storeRetryDelay,
                      [this] { scanOrphanedJobs(); });
    };
    const auto log = std::make_shared<ResultLog>();
    loadLog(record.id, log, [this, record, revision, log, scanLater](LoadOutcome logOutcome) {
        if (logOutcome != LoadOutcome::Loaded) {
            scanLater(logOutcome);
            return;
        }
        loadParts(record, [this, record, revision, log, scanLater](LoadOutcome outcome, JobSpec spec) {
            if (outcome != LoadOutcome::Loaded) {
                scanLater(outcome);
                return;
            }
            unreadableJobs_.erase(record.id);
            claim(record, revision, std::move(spec), log, [scanLater] { scanLater(LoadOutcome::Unavailable); });
        });
    });
}

void JobService::claim(const JobRecord &record, std::uint64_t revision, JobSpec spec,
                       const std::shared_ptr<ResultLog> &log, const std::function<void()> &onFailure)
{
    JobRecord claimed = record;
    claimed.owner = context_.node;
    claimed.ownerIncarnation = context_.incarnation;
    assignTextKeys(spec);
    const auto loaded = std::make_shared<JobSpec>(std::move(spec));
    context_.store.replace(
        RecordKind, record.id, revision, toJson(claimed),
        [this, claimed, loaded, log, onFailure, pauses = pauses_](const StoreReply &reply) {
            if (reply.outcome != StoreOutcome::Done || reply.changes.empty()) {
                onFailure();
                return;
            }
            takingOver_.erase(claimed.id);
            for (const std::string &node : context_.peers.live()) {
                context_.peers.call(node, TakenOverMethod, {{"job", claimed.id}}, context_.settings.peerTimeout,
                                    [](const absl::StatusOr<Json> &) {});
            }
            const Json keys = textKeys(*loaded);
            addOwnedJob(claimed, reply.changes.front().object.revision, std::move(*loaded), std::move(*log), pauses);
            const std::shared_ptr<JobRunner> runner = owned_[claimed.id]->runner;
            runner->fence();
            // Items that are sent before the texts arrive are generated again from the start.
            runner->holdItems(context_.settings.textTimeout);
            requestTexts(
                keys, [this, id = claimed.id](const Json &texts) { applyTexts(id, texts); },
                [runner] { runner->releaseItems(); });
        });
}

void JobService::releaseJobs()
{
    released_ = true;
    for (const auto &[id, owned] : owned_) {
        owned->runner->stop("node is stopping");
        servePendingReads(id);
    }
}

} // namespace currantlug::jobs
