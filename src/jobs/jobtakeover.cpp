// Ends of jobs, calls of other nodes, and take-overs of jobs whose owner is gone.
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

struct JobService::Ending
{
    std::string jobId;
    std::string workspace;
    Instant until;
    std::function<void(ReadOutcome)> done;
};

// Ends

void JobService::end(const std::string &jobId, const std::string &workspace, std::function<void(ReadOutcome)> done)
{
    const auto ending = std::make_shared<Ending>();
    ending->jobId = jobId;
    ending->workspace = workspace;
    ending->until = net::loopNow() + context_.settings.endTimeout;
    ending->done = std::move(done);
    if (owned_.contains(jobId)) {
        endStored(ending, false);
        return;
    }
    withRecord(jobId, false, [this, ending](ReadOutcome outcome, const Known *known) {
        if (known == nullptr || known->record.workspace != ending->workspace) {
            ending->done(known == nullptr ? outcome : ReadOutcome::NotFound);
            return;
        }
        if (known->record.ended) {
            ending->done(ReadOutcome::Found);
            return;
        }
        if (!context_.peers.isAlive(known->record.owner, known->record.ownerIncarnation)) {
            endStored(ending, true);
            return;
        }
        context_.peers.call(known->record.owner, EndMethod, {{"job", ending->jobId}, {"workspace", ending->workspace}},
                            context_.settings.peerTimeout, [this, ending](absl::StatusOr<Json> reply) {
                                if (reply.ok() && fieldOr<bool>(*reply, "ended", false)) {
                                    markEnded(ending->jobId);
                                    ending->done(ReadOutcome::Found);
                                } else {
                                    endStored(ending, true);
                                }
                            });
    });
}

void JobService::endStored(const std::shared_ptr<Ending> &ending, bool fresh)
{
    if (net::loopNow() > ending->until) {
        ending->done(ReadOutcome::Unsure);
        return;
    }
    const auto retry = [this, ending] {
        net::runAfter(context_.loop, context_.settings.storeRetryDelay, [this, ending] { endStored(ending, true); });
    };
    const auto store = [this, ending, retry](JobRecord record, std::uint64_t revision) {
        if (record.workspace != ending->workspace) {
            ending->done(ReadOutcome::NotFound);
            return;
        }
        if (record.ended) {
            markEnded(ending->jobId);
            ending->done(ReadOutcome::Found);
            return;
        }
        record.ended = true;
        const bool ours = isOurs(record);
        context_.store.replace(RecordKind, ending->jobId, revision, toJson(record),
                               [this, ending, retry, ours](const StoreReply &reply) {
                                   if (reply.outcome == StoreOutcome::Done) {
                                       markEnded(ending->jobId);
                                       if (!ours) {
                                           announceEnd(ending->jobId);
                                       }
                                       ending->done(ReadOutcome::Found);
                                   } else if (reply.outcome == StoreOutcome::Conflict) {
                                       endStored(ending, true);
                                   } else {
                                       retry();
                                   }
                               });
    };
    if (const auto owned = owned_.find(ending->jobId); !fresh && owned != owned_.end()) {
        store(owned->second->record, owned->second->revision);
        return;
    }
    withRecord(ending->jobId, true, [ending, retry, store](ReadOutcome outcome, const Known *known) {
        if (outcome == ReadOutcome::NotFound) {
            ending->done(ReadOutcome::NotFound);
        } else if (known == nullptr) {
            retry();
        } else {
            store(known->record, known->revision);
        }
    });
}

void JobService::markEnded(const std::string &jobId)
{
    if (const auto owned = owned_.find(jobId); owned != owned_.end()) {
        owned->second->record.ended = true;
        owned->second->runner->stop("ended");
        serveWaiters(jobId);
    }
    if (const auto known = known_.find(jobId); known != known_.end()) {
        known->second.record.ended = true;
    }
}

void JobService::announceEnd(const std::string &jobId)
{
    // All nodes are told: one that lost the job to a take-over may still run it.
    for (const std::string &node : context_.peers.live()) {
        tellEnded(node, jobId, EndAnnouncements);
    }
}

void JobService::tellEnded(const std::string &node, const std::string &jobId, int attempts)
{
    context_.peers.call(node, EndedMethod, {{"job", jobId}}, context_.settings.peerTimeout,
                        [this, node, jobId, attempts](const absl::StatusOr<Json> &reply) {
                            if (!reply.ok() && attempts > 1) {
                                net::runAfter(context_.loop, AnnouncePause,
                                              [this, node, jobId, attempts] { tellEnded(node, jobId, attempts - 1); });
                            }
                        });
}

// Other nodes

bool JobService::peerCall(const std::string &method, const Json &body, std::function<void(Json)> reply)
{
    const std::string jobId = fieldOr<std::string>(body, "job", "");
    const std::string workspace = fieldOr<std::string>(body, "workspace", "");
    const auto owned = owned_.find(jobId);
    const bool ours = owned != owned_.end() && owned->second->record.workspace == workspace;
    if (method == ReadMethod) {
        if (!ours) {
            reply({{"found", false}});
            return true;
        }
        readOwned(*owned->second, fieldOr<std::uint64_t>(body, "after", 0),
                  absl::Milliseconds(fieldOr<std::int64_t>(body, "wait_ms", 0)),
                  [reply = std::move(reply)](ReadOutcome, const ResultPage &page) {
                      reply({{"found", true}, {"page", toJson(page)}});
                  });
    } else if (method == BodyMethod) {
        if (!ours) {
            reply({{"found", false}});
            return true;
        }
        JobService::body(jobId, workspace, fieldOr<std::string>(body, "item", ""),
                         [reply = std::move(reply)](ReadOutcome outcome, const std::string &bytes) {
                             reply({{"found", outcome == ReadOutcome::Found}, {"body", bytes}});
                         });
    } else if (method == EndMethod) {
        if (!ours) {
            reply({{"ended", false}});
            return true;
        }
        end(jobId, workspace, [reply = std::move(reply)](ReadOutcome outcome) {
            reply({{"ended", outcome == ReadOutcome::Found}});
        });
    } else if (method == EndedMethod) {
        markEnded(jobId);
        reply(Json::object());
    } else if (method == TakenMethod) {
        checkOwner(jobId);
        known_.erase(jobId);
        reply(Json::object());
    } else if (method == TextsMethod) {
        reply(textsFor(fieldOrNull(body, "ids")));
    } else {
        return false;
    }
    return true;
}

// Take-over

void JobService::scanOrphans()
{
    if (scanning_ || released_) {
        return;
    }
    scanning_ = true;
    context_.store.list(RecordKind, "", [this](StoreReply reply) { onScan(std::move(reply)); });
}

void JobService::onScan(StoreReply reply)
{
    if (reply.outcome != StoreOutcome::Done) {
        scanning_ = false;
        if (reply.outcome != StoreOutcome::NotFound) {
            net::runAfter(context_.loop, absl::Seconds(1), [this] { scanOrphans(); });
        }
        return;
    }
    for (const objects::ObjectChange &change : reply.changes) {
        const auto record = parseJobRecord(change.object.name, change.object.value);
        if (!record) {
            telemetry::log(Level::Warning, "job", "record_unreadable", {{"job", change.object.name}});
            continue;
        }
        const bool mine = isOurs(*record);
        if (record->ended || owned_.contains(record->id) || submissions_.contains(record->id)
            || (!mine && !context_.peers.isLost(record->owner, record->ownerIncarnation))) {
            continue;
        }
        std::string winner = context_.node;
        if (mine) {
            // A take-over whose answer was lost.
            takeOver(*record, change.object.revision);
            continue;
        }
        for (const std::string &node : context_.peers.live()) {
            if (rendezvousWeight(record->id, node) > rendezvousWeight(record->id, winner)) {
                winner = node;
            }
        }
        if (winner == context_.node) {
            takeOver(*record, change.object.revision);
        }
    }
    if (reply.more && !reply.changes.empty()) {
        context_.store.list(RecordKind, reply.changes.back().object.name,
                            [this](StoreReply next) { onScan(std::move(next)); });
        return;
    }
    scanning_ = false;
}

void JobService::takeOver(const JobRecord &record, std::uint64_t revision)
{
    if (takingOver_.contains(record.id)) {
        return;
    }
    takingOver_.insert(record.id);
    JobRecord mine = record;
    mine.owner = context_.node;
    mine.ownerIncarnation = context_.incarnation;
    telemetry::log(Level::Info, "job", "taking_over", {{"job", record.id}, {"owner", record.owner}});
    context_.store.replace(RecordKind, record.id, revision, toJson(mine), [this, mine](const StoreReply &reply) {
        if (reply.outcome != StoreOutcome::Done || reply.changes.empty()) {
            takingOver_.erase(mine.id);
            net::runAfter(context_.loop, context_.settings.storeRetryDelay, [this] { scanOrphans(); });
            return;
        }
        for (const std::string &node : context_.peers.live()) {
            context_.peers.call(node, TakenMethod, {{"job", mine.id}}, context_.settings.peerTimeout,
                                [](const absl::StatusOr<Json> &) {});
        }
        const std::uint64_t owned = reply.changes.front().object.revision;
        const auto log = std::make_shared<ResultLog>();
        const auto failed = [this, mine] {
            // The record names this node, so nobody else takes the job: load it again.
            takingOver_.erase(mine.id);
            net::runAfter(context_.loop, context_.settings.storeRetryDelay, [this, mine] {
                withRecord(mine.id, true, [this](ReadOutcome, const Known *known) {
                    if (known != nullptr && !known->record.ended) {
                        takeOver(known->record, known->revision);
                    }
                });
            });
        };
        loadLog(mine.id, log, [this, mine, owned, log, failed](bool logLoaded) {
            if (!logLoaded) {
                failed();
                return;
            }
            loadParts(mine, [this, mine, owned, log, failed](bool loaded, const JobSpec &spec) {
                if (!loaded) {
                    failed();
                    return;
                }
                takingOver_.erase(mine.id);
                own(mine, owned, spec, std::move(*log));
                owned_[mine.id]->runner->fence();
                askForTexts(itemIds(spec), [this, id = mine.id](const Json &texts) { applyTexts(id, texts); });
                pump();
            });
        });
    });
}

void JobService::release()
{
    released_ = true;
    for (const auto &[id, owned] : owned_) {
        owned->runner->stop("node is stopping");
        serveWaiters(id);
    }
}

} // namespace currantlug::jobs
