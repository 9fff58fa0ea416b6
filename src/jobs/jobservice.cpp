// Submissions, ownership and the passing of time.
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

/// The answer to a submission of a job that has been accepted before. Another workspace must not learn of it.
SubmitOutcome outcomeOfRepeated(const JobSpec &spec, const JobRecord &accepted)
{
    return spec.workspace == accepted.workspace ? SubmitOutcome::Accepted : SubmitOutcome::Refused;
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

JobService::JobService(JobContext context)
    : context_(std::move(context))
{
}

bool JobService::isOurs(const JobRecord &record) const
{
    return record.owner == context_.node && record.ownerIncarnation == context_.incarnation;
}

Instant JobService::dropTime(std::int64_t submittedMs) const
{
    const absl::Duration age = std::max(absl::ZeroDuration(), absl::Now() - absl::FromUnixMillis(submittedMs));
    return net::loopNow() + std::max(absl::Seconds(10), context_.settings.retention - age)
        + context_.settings.ttlMargin;
}

// Submission

void JobService::submit(JobSpec spec, std::function<void(SubmitOutcome)> done)
{
    if (const auto owned = owned_.find(spec.id); owned != owned_.end()) {
        done(outcomeOfRepeated(spec, owned->second->record));
        return;
    }
    if (const auto known = known_.find(spec.id); known != known_.end()) {
        done(outcomeOfRepeated(spec, known->second.record));
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
        submission->parts.push_back({{"head", jobHeaderToJson(spec)}, {"items", std::move(items)}});
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
    const Json ids = itemIds(submission->spec);
    submission->texts.push_back(textsFor(ids));
    askForTexts(ids, [this, submission](const Json &texts) {
        if (submissions_.contains(submission->record.id)) {
            submission->texts.push_back(texts);
        } else {
            applyTexts(submission->record.id, texts);
        }
    });
    writePart(submission, 0);
}

void JobService::writePart(const std::shared_ptr<Submission> &submission, std::uint64_t part)
{
    if (part == submission->parts.size()) {
        writeRecord(submission);
        return;
    }
    context_.store.create(PartKind, partName(submission->record.id, part), submission->parts[part],
                          [this, submission, part](const StoreReply &reply) {
                              // A repeated submission writes the same items, so an existing part is as good.
                              if (reply.outcome == StoreOutcome::Done || reply.outcome == StoreOutcome::Conflict) {
                                  writePart(submission, part + 1);
                                  return;
                              }
                              if (reply.outcome == StoreOutcome::Unknown
                                  && net::loopNow() - submission->begun < context_.settings.submitTimeout) {
                                  net::runAfter(context_.loop, context_.settings.storeRetryDelay,
                                                [this, submission, part] { writePart(submission, part); });
                                  return;
                              }
                              finishSubmission(submission, SubmitOutcome::Refused);
                          });
}

void JobService::writeRecord(const std::shared_ptr<Submission> &submission)
{
    context_.store.create(RecordKind, submission->record.id, toJson(submission->record),
                          [this, submission](const StoreReply &reply) { onRecord(submission, reply); });
}

void JobService::onRecord(const std::shared_ptr<Submission> &submission, const StoreReply &reply)
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
    if (net::loopNow() - submission->begun > context_.settings.submitTimeout && !submission->answered) {
        submission->answered = true;
        for (const auto &done : submission->done) {
            done(SubmitOutcome::Unknown);
        }
        submission->done.clear();
    }
    // The effect must be known before the submission is forgotten: the record may exist and name this node its owner.
    net::runAfter(context_.loop, context_.settings.storeRetryDelay, [this, submission] { writeRecord(submission); });
}

void JobService::recheckRecord(const std::shared_ptr<Submission> &submission)
{
    context_.store.get(RecordKind, submission->record.id, [this, submission](StoreReply reply) {
        if (reply.outcome != StoreOutcome::Done || reply.changes.empty()) {
            net::runAfter(context_.loop, context_.settings.storeRetryDelay,
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
        const bool ours = record->submission == submission->record.submission && isOurs(*record);
        if (ours && !record->ended && !released_) {
            own(*record, object.revision, submission->spec, {});
        }
        finishSubmission(submission, outcomeOfRepeated(submission->spec, *record));
        pump();
    });
}

void JobService::finishSubmission(const std::shared_ptr<Submission> &submission, SubmitOutcome outcome)
{
    submissions_.erase(submission->record.id);
    telemetry::log(outcome == SubmitOutcome::Accepted ? Level::Info : Level::Warning, "job", "submitted",
                   {{"job", submission->record.id},
                    {"outcome", nameOf(outcome)},
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
                net::runAfter(context_.loop, context_.settings.storeRetryDelay, [this, jobId] { checkOwner(jobId); });
            }
            return;
        }
        if (!isOurs(known->record)) {
            loseOwnership(jobId);
            return;
        }
        owned->second->record = known->record;
        owned->second->revision = known->revision;
        if (known->record.ended) {
            markEnded(jobId);
        } else {
            owned->second->runner->confirmOwnership();
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
                    owned->runner->log().page(waiter.after, owned->record.total, context_.settings.maxPageBytes));
    }
    owned->waiters.clear();
    former_[jobId] = std::move(owned);
}

// Text of earlier jobs

Json JobService::itemIds(const JobSpec &spec)
{
    Json ids = Json::array();
    for (const ItemSpec &item : spec.items) {
        ids.push_back(item.id);
    }
    return ids;
}

void JobService::askForTexts(const Json &ids, const std::function<void(const Json &)> &take)
{
    for (const std::string &node : context_.peers.live()) {
        context_.peers.call(node, TextsMethod, {{"ids", ids}}, context_.settings.textTimeout,
                            [take](const absl::StatusOr<Json> &texts) {
                                if (texts.ok() && !texts->empty()) {
                                    take(*texts);
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
            if (owned->runner->isStopped()) {
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
        if (item.state == ItemState::Stored) {
            for (const ItemResult &result : runner.log().results()) {
                if (result.id == name && result.state == ResultState::Completed) {
                    texts[name] = {{"result", toJson(result)}};
                }
            }
        } else if (item.state == ItemState::Finished && !item.text.empty()) {
            const ItemResult result{name, ResultState::Completed, item.text.joinEvents(), item.text.versions};
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
    if (!context_.peers.allConnected() && now - lastRecheck_ >= context_.settings.recheckPeriod) {
        lastRecheck_ = now;
        recheckOwned();
    }
    dropOld(now);
}

void JobService::recheckOwned()
{
    std::vector<std::string> open;
    for (const auto &[id, owned] : owned_) {
        if (owned->runner->isOpen()) {
            open.push_back(id);
        }
    }
    for (const std::string &id : open) {
        checkOwner(id);
    }
}

void JobService::pump()
{
    for (const auto &[id, owned] : owned_) {
        owned->runner->sendWaitingItems();
    }
}

std::size_t JobService::openJobs() const
{
    return static_cast<std::size_t>(
        std::count_if(owned_.begin(), owned_.end(), [](const auto &entry) { return entry.second->runner->isOpen(); }));
}

std::map<ItemState, std::size_t> JobService::itemCounts() const
{
    std::map<ItemState, std::size_t> counts;
    for (const auto &[id, owned] : owned_) {
        if (owned->runner->isOpen()) {
            for (const Item &item : owned->runner->tracker().items()) {
                ++counts[item.state];
            }
        }
    }
    return counts;
}

void JobService::dropOld(Instant now)
{
    absl::erase_if(known_, [now](const auto &entry) { return entry.second.dropAt <= now; });
    absl::erase_if(former_, [now](const auto &entry) { return entry.second->dropAt <= now; });
    absl::erase_if(copies_, [now](const auto &entry) { return entry.second.dropAt <= now; });
    std::vector<std::string> old;
    for (const auto &[id, owned] : owned_) {
        if (owned->dropAt <= now && !owned->runner->isOpen()) {
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
