// Submissions, reads, ends and take-overs.
#include "jobs/jobservice.h"

#include "core/hash.h"
#include "telemetry/log.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace currantlug::jobs {

using objects::StoreOutcome;
using objects::StoreReply;
using telemetry::Level;

namespace {

constexpr const char *RecordKind = "jobs";
constexpr const char *PartKind = "job-items";
constexpr const char *ReadMethod = "job/read";
constexpr const char *BodyMethod = "job/body";
constexpr const char *EndMethod = "job/end";
constexpr const char *EndedMethod = "job/ended";
constexpr const char *TakenMethod = "job/taken";
constexpr const char *TextsMethod = "job/texts";
// An end is told to the other nodes until they answer, so often.
constexpr int EndAnnouncements = 5;
constexpr absl::Duration AnnouncePause = absl::Milliseconds(400);

void logReadFailure(const std::string &jobId, std::string_view what, const StoreReply &reply)
{
    telemetry::log(Level::Warning, "job", "read_failed",
                   {{"job", jobId},
                    {"what", what},
                    {"outcome", nameOf(reply.outcome)},
                    {"http_status", reply.httpStatus},
                    {"objects", reply.changes.size()}});
}

std::string partName(const std::string &jobId, std::uint64_t part)
{
    return absl::StrCat(jobId, ".", part);
}

} // namespace

struct JobService::Submission
{
    JobSpec spec;
    JobRecord record;
    std::vector<Json> parts;
    std::vector<std::function<void(SubmitOutcome)>> done;
    std::vector<Json> texts; ///< Answers of other nodes about items of earlier jobs.
    Instant begun;
    bool recordSent = false; ///< A create call of the record may take effect.
    bool answered = false;
};

struct JobService::Ending
{
    std::string jobId;
    std::string workspace;
    Instant until;
    std::function<void(ReadOutcome)> done;
};

JobService::JobService(JobContext context)
    : context_(std::move(context))
{
}

Instant JobService::dropTime(std::int64_t submittedMs) const
{
    const absl::Duration age = std::max(absl::ZeroDuration(), absl::Now() - absl::FromUnixMillis(submittedMs));
    return net::loopNow() + std::max(absl::Seconds(10), context_.settings.keep - age) + context_.settings.ttlMargin;
}

// Submission

void JobService::submit(JobSpec spec, std::function<void(SubmitOutcome)> done)
{
    if (const auto owned = owned_.find(spec.id); owned != owned_.end()) {
        done(owned->second->record.workspace == spec.workspace ? SubmitOutcome::Accepted : SubmitOutcome::Refused);
        return;
    }
    if (const auto known = known_.find(spec.id); known != known_.end()) {
        done(known->second.record.workspace == spec.workspace ? SubmitOutcome::Accepted : SubmitOutcome::Refused);
        return;
    }
    if (const auto open = submissions_.find(spec.id); open != submissions_.end()) {
        open->second->done.push_back(std::move(done));
        return;
    }
    if (released_) {
        done(SubmitOutcome::Refused);
        return;
    }
    const auto submission = std::make_shared<Submission>();
    submission->begun = net::loopNow();
    submission->done.push_back(std::move(done));
    JobRecord &record = submission->record;
    record.id = spec.id;
    record.workspace = spec.workspace;
    record.host = spec.host;
    record.path = spec.path;
    record.owner = context_.node;
    record.ownerIncarnation = context_.incarnation;
    record.submission = randomHex(8);
    record.submittedMs = absl::ToUnixMillis(absl::Now());
    record.total = spec.items.size();
    Json items = Json::array();
    std::size_t bytes = 0;
    const auto cut = [&] {
        submission->parts.push_back({{"head", headToJson(spec)}, {"items", std::move(items)}});
        items = Json::array();
        bytes = 0;
    };
    for (const ItemSpec &item : spec.items) {
        items.push_back(toJson(item));
        bytes += item.body.size() * 4 / 3 + 512;
        if (bytes > context_.settings.partBytes) {
            cut();
        }
    }
    if (!items.empty() || submission->parts.empty()) {
        cut();
    }
    record.parts = submission->parts.size();
    submission->spec = std::move(spec);
    submissions_[record.id] = submission;
    askForTexts(submission);
    writePart(submission, 0);
}

void JobService::writePart(const std::shared_ptr<Submission> &submission, std::uint64_t part)
{
    if (part == submission->parts.size()) {
        writeRecord(submission);
        return;
    }
    context_.store.create(PartKind, partName(submission->record.id, part), submission->parts[part],
                          [this, submission, part](StoreReply reply) {
                              // A repeated submission writes the same items, so an existing part is as good.
                              if (reply.outcome == StoreOutcome::Done || reply.outcome == StoreOutcome::Conflict) {
                                  writePart(submission, part + 1);
                                  return;
                              }
                              if (reply.outcome == StoreOutcome::Unknown
                                  && net::loopNow() - submission->begun < context_.settings.submitLimit) {
                                  net::runAfter(context_.loop, context_.settings.storeRetry,
                                                [this, submission, part] { writePart(submission, part); });
                                  return;
                              }
                              finishSubmission(submission, SubmitOutcome::Refused);
                          });
}

void JobService::writeRecord(const std::shared_ptr<Submission> &submission)
{
    context_.store.create(RecordKind, submission->record.id, toJson(submission->record),
                          [this, submission](StoreReply reply) { onRecord(submission, std::move(reply)); });
}

void JobService::onRecord(const std::shared_ptr<Submission> &submission, StoreReply reply)
{
    if (reply.outcome == StoreOutcome::Done) {
        const std::uint64_t revision = reply.changes.empty() ? 0 : reply.changes.front().object.revision;
        if (!released_) {
            own(submission->record, revision, submission->spec, {});
        }
        for (const Json &texts : submission->texts) {
            applyTexts(submission->record.id, texts);
        }
        finishSubmission(submission, SubmitOutcome::Accepted);
        pump();
        return;
    }
    if (reply.outcome == StoreOutcome::Conflict) {
        recheckRecord(submission);
        return;
    }
    const bool first = !submission->recordSent;
    submission->recordSent = submission->recordSent || reply.outcome == StoreOutcome::Unknown;
    if (reply.outcome == StoreOutcome::Refused && first) {
        finishSubmission(submission, SubmitOutcome::Refused);
        return;
    }
    if (net::loopNow() - submission->begun > context_.settings.submitLimit && !submission->answered) {
        submission->answered = true;
        for (const auto &done : submission->done) {
            done(SubmitOutcome::Unknown);
        }
        submission->done.clear();
    }
    // The effect must be known before the submission is forgotten: the record may exist and name this node its owner.
    net::runAfter(context_.loop, context_.settings.storeRetry, [this, submission] { writeRecord(submission); });
}

void JobService::recheckRecord(const std::shared_ptr<Submission> &submission)
{
    context_.store.get(RecordKind, submission->record.id, [this, submission](StoreReply reply) {
        if (reply.outcome != StoreOutcome::Done || reply.changes.empty()) {
            net::runAfter(context_.loop, context_.settings.storeRetry,
                          [this, submission] { writeRecord(submission); });
            return;
        }
        const objects::StoredObject &object = reply.changes.front().object;
        const auto record = parseJobRecord(object.name, object.value);
        if (!record) {
            finishSubmission(submission, SubmitOutcome::Unknown);
            return;
        }
        known_[record->id] = {*record, object.revision, dropTime(record->submittedMs)};
        const bool ours = record->submission == submission->record.submission && record->owner == context_.node
            && record->ownerIncarnation == context_.incarnation;
        if (ours && !record->ended && !released_) {
            own(*record, object.revision, submission->spec, {});
        }
        finishSubmission(submission, record->workspace == submission->spec.workspace ? SubmitOutcome::Accepted
                                                                                     : SubmitOutcome::Refused);
        pump();
    });
}

void JobService::finishSubmission(const std::shared_ptr<Submission> &submission, SubmitOutcome outcome)
{
    submissions_.erase(submission->record.id);
    telemetry::log(outcome == SubmitOutcome::Accepted ? Level::Info : Level::Warning, "job", "submitted",
                   {{"job", submission->record.id},
                    {"outcome", static_cast<int>(outcome)},
                    {"items", submission->record.total},
                    {"model", submission->spec.model},
                    {"step", submission->spec.step},
                    {"min_version", submission->spec.minVersion},
                    {"took_ms", absl::ToInt64Milliseconds(net::loopNow() - submission->begun)}});
    const auto callbacks = std::move(submission->done);
    for (const auto &done : callbacks) {
        done(outcome);
    }
}

void JobService::own(const JobRecord &record, std::uint64_t revision, JobSpec spec, ResultLog log)
{
    auto owned = std::make_unique<Owned>();
    owned->record = record;
    owned->revision = revision;
    owned->dropAt = dropTime(record.submittedMs);
    owned->runner = std::make_shared<JobRunner>(
        context_, std::move(spec), record.submittedMs, std::move(log),
        JobRunner::Hooks{[this, id = record.id] { serveWaiters(id); }, [this, id = record.id] { checkOwner(id); }});
    loseOwnership(record.id);
    owned_[record.id] = std::move(owned);
    known_.erase(record.id);
    copies_.erase(record.id);
}

void JobService::checkOwner(const std::string &jobId)
{
    withRecord(jobId, true, [this, jobId](ReadOutcome outcome, const Known *known) {
        const auto owned = owned_.find(jobId);
        if (owned == owned_.end()) {
            return;
        }
        if (known == nullptr) {
            if (outcome == ReadOutcome::Unsure) {
                net::runAfter(context_.loop, context_.settings.storeRetry, [this, jobId] { checkOwner(jobId); });
            }
            return;
        }
        if (known->record.owner != context_.node || known->record.ownerIncarnation != context_.incarnation) {
            loseOwnership(jobId);
            return;
        }
        owned->second->record = known->record;
        owned->second->revision = known->revision;
        if (known->record.ended) {
            markEnded(jobId);
        } else {
            owned->second->runner->confirmOwner();
        }
    });
}

void JobService::loseOwnership(const std::string &jobId)
{
    const auto found = owned_.find(jobId);
    if (found == owned_.end()) {
        return;
    }
    std::unique_ptr<Owned> owned = std::move(found->second);
    owned_.erase(found);
    owned->runner->stop("another node owns it");
    for (const Waiter &waiter : owned->waiters) {
        waiter.done(ReadOutcome::Found,
                    owned->runner->log().page(waiter.after, owned->record.total, context_.settings.pageBytes));
    }
    owned->waiters.clear();
    former_[jobId] = std::move(owned);
}

// Text of earlier jobs

void JobService::askForTexts(const std::shared_ptr<Submission> &submission)
{
    Json ids = Json::array();
    for (const ItemSpec &item : submission->spec.items) {
        ids.push_back(item.id);
    }
    submission->texts.push_back(textsFor(ids));
    for (const std::string &node : context_.peers.live()) {
        context_.peers.call(node, TextsMethod, {{"ids", ids}}, context_.settings.textTimeout,
                            [this, submission](absl::StatusOr<Json> reply) {
                                if (!reply.ok() || reply->empty()) {
                                    return;
                                }
                                if (submissions_.contains(submission->record.id)) {
                                    submission->texts.push_back(*std::move(reply));
                                } else {
                                    applyTexts(submission->record.id, *reply);
                                }
                            });
    }
}

Json JobService::textsFor(const Json &ids) const
{
    Json texts = Json::object();
    if (!ids.is_array()) {
        return texts;
    }
    for (const auto *jobs : {&owned_, &former_}) {
        for (const auto &[jobId, owned] : *jobs) {
            if (owned->runner->stopped()) {
                addTexts(*owned->runner, ids, texts);
            }
        }
    }
    return texts;
}

void JobService::addTexts(JobRunner &runner, const Json &ids, Json &texts)
{
    for (const Json &id : ids) {
        const std::string name = id.is_string() ? id.get<std::string>() : std::string();
        const auto index = runner.tracker().find(name);
        if (!index) {
            continue;
        }
        const Item &item = runner.tracker().items()[*index];
        if (item.state == ItemState::Listed) {
            for (const ItemResult &result : runner.log().results()) {
                if (result.id == name && result.state == ResultState::Completed) {
                    texts[name] = {{"result", toJson(result)}};
                }
            }
        } else if (item.state == ItemState::Finished && !item.text.empty()) {
            const ItemResult result{name, ResultState::Completed, item.text.joined(), item.text.versions};
            texts[name] = {{"result", toJson(result)}};
        } else if (!item.text.empty()) {
            texts[name] = {{"text", toJson(item.text)}};
        }
    }
}

void JobService::applyTexts(const std::string &jobId, const Json &texts)
{
    const auto found = owned_.find(jobId);
    if (found == owned_.end() || !texts.is_object()) {
        return;
    }
    JobRunner &runner = *found->second->runner;
    for (const auto &[id, entry] : texts.items()) {
        if (entry.contains("result")) {
            if (const auto result = parseItemResult(entry["result"])) {
                runner.reuseResult(*result);
            }
        } else if (entry.contains("text")) {
            if (const auto text = parseItemText(entry["text"])) {
                runner.reuseText(id, *text);
            }
        }
    }
}

// Reading

void JobService::withRecord(const std::string &jobId, bool fresh, RecordCallback done)
{
    if (const auto known = known_.find(jobId); !fresh && known != known_.end()) {
        done(ReadOutcome::Found, &known->second);
        return;
    }
    context_.store.get(RecordKind, jobId, [this, jobId, done = std::move(done)](StoreReply reply) {
        if (reply.outcome == StoreOutcome::NotFound) {
            done(ReadOutcome::NotFound, nullptr);
            return;
        }
        const bool usable = reply.outcome == StoreOutcome::Done && !reply.changes.empty();
        const auto record = usable ? parseJobRecord(jobId, reply.changes.front().object.value) : std::nullopt;
        if (!record) {
            done(ReadOutcome::Unsure, nullptr);
            return;
        }
        Known &known = known_[jobId];
        known = {*record, reply.changes.front().object.revision, dropTime(record->submittedMs)};
        done(ReadOutcome::Found, &known);
    });
}

void JobService::read(const std::string &jobId, const std::string &workspace, std::uint64_t after,
                      absl::Duration wait, PageCallback done)
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

void JobService::readOwned(Owned &owned, std::uint64_t after, absl::Duration wait, PageCallback done)
{
    const ResultLog &log = owned.runner->log();
    if (after < log.size() || owned.runner->stopped() || owned.runner->complete() || wait <= absl::ZeroDuration()) {
        done(ReadOutcome::Found, log.page(after, owned.record.total, context_.settings.pageBytes));
        return;
    }
    owned.waiters.push_back({after, net::loopNow() + wait, std::move(done)});
}

void JobService::serveWaiters(const std::string &jobId)
{
    const auto found = owned_.find(jobId);
    if (found == owned_.end()) {
        return;
    }
    Owned &owned = *found->second;
    const Instant now = net::loopNow();
    std::vector<Waiter> kept;
    std::vector<Waiter> ready;
    for (Waiter &waiter : owned.waiters) {
        const bool due = waiter.after < owned.runner->log().size() || waiter.until <= now || owned.runner->stopped()
            || owned.runner->complete();
        (due ? ready : kept).push_back(std::move(waiter));
    }
    owned.waiters = std::move(kept);
    for (const Waiter &waiter : ready) {
        waiter.done(ReadOutcome::Found,
                    owned.runner->log().page(waiter.after, owned.record.total, context_.settings.pageBytes));
    }
}

void JobService::readRemote(const std::string &jobId, const std::string &workspace, std::uint64_t after,
                            absl::Duration wait, bool fresh, PageCallback done)
{
    withRecord(jobId, fresh, [=, this, done = std::move(done)](ReadOutcome outcome, const Known *known) {
        if (known == nullptr || known->record.workspace != workspace) {
            done(known == nullptr ? outcome : ReadOutcome::NotFound, {});
            return;
        }
        const JobRecord record = known->record;
        const bool ownerAlive = context_.peers.isAlive(record.owner, record.ownerIncarnation);
        if (!ownerAlive && !fresh && !record.ended) {
            // The owner may have changed since the record was read.
            readRemote(jobId, workspace, after, wait, true, done);
            return;
        }
        if (!ownerAlive) {
            readStored(record, after, done);
            return;
        }
        const Json call{{"job", jobId},
                        {"workspace", workspace},
                        {"after", after},
                        {"wait_ms", absl::ToInt64Milliseconds(wait)}};
        context_.peers.call(record.owner, ReadMethod, call, wait + context_.settings.peerTimeout,
                            [=, this](absl::StatusOr<Json> reply) {
                                auto page = reply.ok() && reply->value("found", false)
                                    ? parseResultPage((*reply)["page"])
                                    : std::nullopt;
                                if (page) {
                                    done(ReadOutcome::Found, std::move(*page));
                                } else if (reply.ok() && !fresh) {
                                    readRemote(jobId, workspace, after, wait, true, done);
                                } else {
                                    readStored(record, after, done);
                                }
                            });
    });
}

void JobService::readStored(const JobRecord &record, std::uint64_t after, PageCallback done)
{
    const auto copy = copies_.find(record.id);
    const auto log = std::make_shared<ResultLog>(copy == copies_.end() ? ResultLog() : copy->second.log);
    if (after < log->size()) {
        done(ReadOutcome::Found, log->page(after, record.total, context_.settings.pageBytes));
        return;
    }
    loadLog(record.id, log, [this, record, after, log, done = std::move(done)](bool loaded) {
        if (!loaded) {
            done(ReadOutcome::Unsure, {});
            return;
        }
        copies_[record.id] = {*log, dropTime(record.submittedMs)};
        done(ReadOutcome::Found, log->page(after, record.total, context_.settings.pageBytes));
    });
}

void JobService::loadLog(const std::string &jobId, std::shared_ptr<ResultLog> log, std::function<void(bool)> done)
{
    const std::string last = log->nextSegment() == 0 ? std::string() : segmentName(log->nextSegment() - 1);
    context_.store.list(resultKind(jobId), last, [this, jobId, log, done = std::move(done)](StoreReply reply) {
        if (reply.outcome == StoreOutcome::NotFound) {
            done(true);
            return;
        }
        if (reply.outcome != StoreOutcome::Done) {
            logReadFailure(jobId, "results", reply);
            done(false);
            return;
        }
        for (const objects::ObjectChange &change : reply.changes) {
            const auto segment = parseSegment(log->nextSegment(), change.object.value);
            if (change.object.name != segmentName(log->nextSegment()) || !segment || !log->append(*segment)) {
                telemetry::log(Level::Error, "job", "segment_unreadable",
                               {{"job", jobId}, {"segment", change.object.name}});
                done(false);
                return;
            }
        }
        if (reply.more && !reply.changes.empty()) {
            loadLog(jobId, log, done);
        } else {
            done(true);
        }
    });
}

// Bodies of items

void JobService::body(const std::string &jobId, const std::string &workspace, const std::string &itemId,
                      BodyCallback done)
{
    if (const auto owned = owned_.find(jobId); owned != owned_.end()) {
        const auto index = owned->second->runner->tracker().find(itemId);
        const bool found = owned->second->record.workspace == workspace && index.has_value();
        done(found ? ReadOutcome::Found : ReadOutcome::NotFound,
             found ? owned->second->runner->tracker().items()[*index].spec.body : std::string());
        return;
    }
    withRecord(jobId, false, [=, this, done = std::move(done)](ReadOutcome outcome, const Known *known) {
        if (known == nullptr || known->record.workspace != workspace) {
            done(known == nullptr ? outcome : ReadOutcome::NotFound, {});
            return;
        }
        const JobRecord record = known->record;
        if (!context_.peers.isAlive(record.owner, record.ownerIncarnation)) {
            bodyFromStore(record, itemId, done);
            return;
        }
        context_.peers.call(record.owner, BodyMethod, {{"job", jobId}, {"item", itemId}, {"workspace", workspace}},
                            context_.settings.peerTimeout, [=, this](absl::StatusOr<Json> reply) {
                                if (reply.ok() && reply->value("found", false)) {
                                    done(ReadOutcome::Found, fieldOr<std::string>(*reply, "body", ""));
                                } else {
                                    bodyFromStore(record, itemId, done);
                                }
                            });
    });
}

void JobService::bodyFromStore(const JobRecord &record, const std::string &itemId, BodyCallback done)
{
    loadParts(record, [itemId, done = std::move(done)](bool loaded, const JobSpec &spec) {
        if (!loaded) {
            done(ReadOutcome::Unsure, {});
            return;
        }
        const auto found = std::find_if(spec.items.begin(), spec.items.end(),
                                        [&itemId](const ItemSpec &item) { return item.id == itemId; });
        done(found == spec.items.end() ? ReadOutcome::NotFound : ReadOutcome::Found,
             found == spec.items.end() ? std::string() : found->body);
    });
}

void JobService::loadParts(const JobRecord &record, std::function<void(bool, JobSpec)> done)
{
    const auto spec = std::make_shared<JobSpec>();
    spec->id = record.id;
    spec->workspace = record.workspace;
    spec->host = record.host;
    spec->path = record.path;
    loadPart(record, 0, spec, std::move(done));
}

void JobService::loadPart(const JobRecord &record, std::uint64_t part, std::shared_ptr<JobSpec> spec,
                          std::function<void(bool, JobSpec)> done)
{
    if (part == record.parts) {
        const bool whole = spec->items.size() == record.total;
        done(whole, std::move(*spec));
        return;
    }
    context_.store.get(PartKind, partName(record.id, part),
                       [this, record, part, spec, done = std::move(done)](StoreReply reply) {
                           if (reply.outcome != StoreOutcome::Done || reply.changes.empty()) {
                               logReadFailure(record.id, "items", reply);
                               done(false, {});
                               return;
                           }
                           const Json &value = reply.changes.front().object.value;
                           bool readable = value.is_object() && value.contains("head") && value.contains("items")
                               && readHead(value["head"], *spec);
                           for (const Json &entry : readable ? value["items"] : Json::array()) {
                               auto item = parseItemSpec(entry);
                               readable = readable && item.has_value();
                               if (item) {
                                   spec->items.push_back(std::move(*item));
                               }
                           }
                           if (!readable) {
                               telemetry::log(Level::Error, "job", "items_unreadable",
                                              {{"job", record.id}, {"part", part}});
                               done(false, {});
                               return;
                           }
                           loadPart(record, part + 1, spec, done);
                       });
}

// Ends

void JobService::end(const std::string &jobId, const std::string &workspace, std::function<void(ReadOutcome)> done)
{
    const auto ending = std::make_shared<Ending>();
    ending->jobId = jobId;
    ending->workspace = workspace;
    ending->until = net::loopNow() + context_.settings.endLimit;
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
        context_.peers.call(known->record.owner, EndMethod,
                            {{"job", ending->jobId}, {"workspace", ending->workspace}},
                            context_.settings.peerTimeout, [this, ending](absl::StatusOr<Json> reply) {
                                if (reply.ok() && reply->value("ended", false)) {
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
        net::runAfter(context_.loop, context_.settings.storeRetry, [this, ending] { endStored(ending, true); });
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
        const bool ours = record.owner == context_.node && record.ownerIncarnation == context_.incarnation;
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
        const auto attempt = std::make_shared<std::function<void(int)>>();
        *attempt = [this, node, jobId, attempt](int left) {
            context_.peers.call(node, EndedMethod, {{"job", jobId}}, context_.settings.peerTimeout,
                                [this, attempt, left](const absl::StatusOr<Json> &reply) {
                                    if (reply.ok() || left == 0) {
                                        *attempt = nullptr;
                                        return;
                                    }
                                    net::runAfter(context_.loop, AnnouncePause, [attempt, left] { (*attempt)(left - 1); });
                                });
        };
        (*attempt)(EndAnnouncements);
    }
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
        reply(textsFor(body.contains("ids") ? body["ids"] : Json::array()));
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
        const bool mine = record->owner == context_.node && record->ownerIncarnation == context_.incarnation;
        if (record->ended || owned_.contains(record->id) || submissions_.contains(record->id)
            || (!mine && !context_.peers.isGone(record->owner, record->ownerIncarnation))) {
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
    takingOver_[record.id] = net::loopNow();
    JobRecord mine = record;
    mine.owner = context_.node;
    mine.ownerIncarnation = context_.incarnation;
    telemetry::log(Level::Info, "job", "taking_over", {{"job", record.id}, {"owner", record.owner}});
    context_.store.replace(RecordKind, record.id, revision, toJson(mine), [this, mine](const StoreReply &reply) {
        if (reply.outcome != StoreOutcome::Done || reply.changes.empty()) {
            takingOver_.erase(mine.id);
            net::runAfter(context_.loop, context_.settings.storeRetry, [this] { scanOrphans(); });
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
            net::runAfter(context_.loop, context_.settings.storeRetry, [this, mine] {
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
            loadParts(mine, [this, mine, owned, log, failed](bool loaded, JobSpec spec) {
                if (!loaded) {
                    failed();
                    return;
                }
                takingOver_.erase(mine.id);
                own(mine, owned, std::move(spec), std::move(*log));
                owned_[mine.id]->runner->fence();
                Json ids = Json::array();
                for (const ItemSpec &item : owned_[mine.id]->runner->spec().items) {
                    ids.push_back(item.id);
                }
                for (const std::string &node : context_.peers.live()) {
                    context_.peers.call(node, TextsMethod, {{"ids", ids}}, context_.settings.textTimeout,
                                        [this, id = mine.id](const absl::StatusOr<Json> &texts) {
                                            if (texts.ok()) {
                                                applyTexts(id, *texts);
                                            }
                                        });
                }
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

// Time

void JobService::tick()
{
    const Instant now = net::loopNow();
    for (const auto &[id, owned] : owned_) {
        owned->runner->tick();
    }
    std::vector<std::string> waiting;
    for (const auto &[id, owned] : owned_) {
        if (!owned->waiters.empty()) {
            waiting.push_back(id);
        }
    }
    for (const std::string &id : waiting) {
        serveWaiters(id);
    }
    if (!context_.peers.allInContact() && now - lastRecheck_ >= context_.settings.recheckPeriod) {
        lastRecheck_ = now;
        recheckOwned();
    }
    dropOld(now);
}

void JobService::recheckOwned()
{
    std::vector<std::string> open;
    for (const auto &[id, owned] : owned_) {
        if (owned->runner->stopped() || owned->runner->complete()) {
            continue;
        }
        open.push_back(id);
    }
    for (const std::string &id : open) {
        checkOwner(id);
    }
}

void JobService::pump()
{
    for (const auto &[id, owned] : owned_) {
        owned->runner->pump();
    }
}

std::size_t JobService::openJobs() const
{
    return static_cast<std::size_t>(std::count_if(owned_.begin(), owned_.end(), [](const auto &entry) {
        return !entry.second->runner->stopped() && !entry.second->runner->complete();
    }));
}

void JobService::dropOld(Instant now)
{
    absl::erase_if(known_, [now](const auto &entry) { return entry.second.dropAt <= now; });
    absl::erase_if(former_, [now](const auto &entry) { return entry.second->dropAt <= now; });
    absl::erase_if(copies_, [now](const auto &entry) { return entry.second.dropAt <= now; });
    std::vector<std::string> old;
    for (const auto &[id, owned] : owned_) {
        if (owned->dropAt <= now && (owned->runner->stopped() || owned->runner->complete())) {
            old.push_back(id);
        }
    }
    for (const std::string &id : old) {
        const Owned &owned = *owned_[id];
        const auto ignore = [](const StoreReply &) {};
        // The record goes first: without it nobody looks for the rest.
        context_.store.remove(RecordKind, id, ignore);
        for (std::uint64_t part = 0; part < owned.record.parts; ++part) {
            context_.store.remove(PartKind, partName(id, part), ignore);
        }
        for (std::uint64_t segment = 0; segment < owned.runner->log().nextSegment(); ++segment) {
            context_.store.remove(resultKind(id), segmentName(segment), ignore);
        }
        owned_.erase(id);
    }
}

} // namespace currantlug::jobs
