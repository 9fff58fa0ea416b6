// Job service: submissions, ownership, reuse of text from earlier jobs, and periodic work.
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

/// Outcome of submitting a job that was accepted before. Another workspace must not learn that the job exists.
SubmitOutcome resubmissionOutcome(const JobSpec &spec, const JobRecord &accepted)
{
    return spec.workspace == accepted.workspace ? SubmitOutcome::Accepted : SubmitOutcome::Refused;
}

} // namespace

struct JobService::Submission
{
    JobSpec spec;
    JobRecord record;
    std::vector<std::size_t> partEnds; ///< Index after the last item of each part.
    std::vector<std::function<void(SubmitOutcome)>> done;
    std::vector<Json> texts; ///< Text of the items from earlier jobs, as answered by this node and its peers.
    Instant startedAt;
    bool recordMayExist = false; ///< The outcome of a call that creates the record is unknown.
    bool clientAnswered = false;
    net::MemoryShare memory; ///< For the items, which outlive the client's call if the store doesn't answer.
};

JobService::JobService(JobContext context)
    : context_(std::move(context))
    , rewards_(context_)
{
}

bool JobService::isOwnedHere(const JobRecord &record) const
{
    return record.owner == context_.node && record.ownerIncarnation == context_.incarnation;
}

// Submissions

void JobService::submit(JobSpec spec, std::function<void(SubmitOutcome)> done)
{
    submitAt(SubmitAt::BestNode, std::move(spec), std::move(done));
}

void JobService::submitAt(SubmitAt place, JobSpec spec, std::function<void(SubmitOutcome)> done)
{
    if (const auto owned = owned_.find(spec.id); owned != owned_.end()) {
        if (spec.workspace == owned->second->record.workspace) {
            owned->second->retention.recordUse(net::loopNow());
        }
        done(resubmissionOutcome(spec, owned->second->record));
        return;
    }
    if (const auto cached = cachedRecords_.find(spec.id); cached != cachedRecords_.end()) {
        done(resubmissionOutcome(spec, cached->second.record));
        return;
    }
    if (const auto pending = submissions_.find(spec.id); pending != submissions_.end()) {
        pending->second->done.push_back(std::move(done));
        return;
    }
    if (released_) {
        done(SubmitOutcome::Refused);
        return;
    }
    const auto submission = std::make_shared<Submission>();
    submission->startedAt = net::loopNow();
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
    assignTextKeys(spec);
    submission->memory = memoryFor(spec);
    submission->spec = std::move(spec);
    submissions_[record.id] = submission;
    if (place == SubmitAt::ThisNode || !forward(submission)) {
        submitHere(submission);
    }
}

net::MemoryShare JobService::memoryFor(const JobSpec &spec) const
{
    net::MemoryShare share = context_.memory == nullptr ? net::MemoryShare() : net::MemoryShare(*context_.memory);
    share.setTo(itemMemory(spec)); // An accepted job runs in any case.
    return share;
}

std::vector<JobHost> JobService::jobHosts() const
{
    std::vector<JobHost> hosts = context_.peers.jobHosts();
    hosts.push_back({context_.node, context_.settings.processorShare, true, context_.settings.region});
    return hosts;
}

serving::RegionSet JobService::regionsOf(const std::string &host, const std::string &path,
                                         const std::string &workspace) const
{
    const serving::GatewayConfig *config = context_.config();
    const serving::Route *route = config == nullptr ? nullptr : config->findRoute(host, path);
    return route == nullptr ? serving::RegionSet() : config->allowedRegions(*route, workspace);
}

objects::ObjectPort JobService::storeFor(const serving::RegionSet &regions) const
{
    return regions.isUnrestricted() || !context_.storeWithin ? context_.store : context_.storeWithin(regions);
}

bool JobService::forward(const std::shared_ptr<Submission> &submission)
{
    std::vector<std::string> models;
    if (const serving::GatewayConfig *config = context_.config()) {
        for (const auto &[name, service] : config->services) {
            models.insert(models.end(), service.models.begin(), service.models.end());
        }
    }
    const JobSpec &spec = submission->spec;
    const std::string host = chooseJobHost(spec.model, std::move(models),
                                           hostsIn(regionsOf(spec.host, spec.path, spec.workspace), jobHosts()));
    // Without a host at home the job runs here: the client itself has sent its bodies to this node.
    if (host.empty() || host == context_.node || itemMemory(spec) > context_.settings.maxForwardBytes) {
        return false;
    }
    Json items = Json::array();
    for (const ItemSpec &item : spec.items) {
        items.push_back(toJson(item));
    }
    const Json body{{"job", spec.id},    {"workspace", spec.workspace},   {"host", spec.host},
                    {"path", spec.path}, {"head", jobHeaderToJson(spec)}, {"items", std::move(items)}};
    context_.peers.call(
        host, SubmitMethod, body, context_.settings.forwardTimeout,
        [this, submission, host](const absl::StatusOr<Json> &reply) { onForwardReply(submission, host, reply); });
    return true;
}

void JobService::onForwardReply(const std::shared_ptr<Submission> &submission, const std::string &host,
                                const absl::StatusOr<Json> &reply)
{
    const std::string outcome = reply.ok() ? fieldOr<std::string>(*reply, "outcome", "unreadable answer") : "";
    if (outcome == nameOf(SubmitOutcome::Accepted)) {
        finishSubmission(submission, SubmitOutcome::Accepted);
        return;
    }
    telemetry::log(Level::Warning, "job", "not_forwarded",
                   {{"job", submission->record.id},
                    {"node", host},
                    {"reason", reply.ok() ? outcome : describeError(reply.status())}});
    // Unless the peer has refused or was not reached, it may still create the record.
    const bool notRun = reply.ok() ? outcome == nameOf(SubmitOutcome::Refused)
                                   : errorContext(reply.status()).outcome == Outcome::NotRun;
    submission->recordMayExist = !notRun;
    if (released_) {
        finishSubmission(submission, notRun ? SubmitOutcome::Refused : SubmitOutcome::Unknown);
    } else {
        submitHere(submission);
    }
}

void JobService::handleForwarded(const Json &body, std::function<void(Json)> reply)
{
    JobSpec spec;
    spec.id = fieldOr<std::string>(body, "job", "");
    spec.workspace = fieldOr<std::string>(body, "workspace", "");
    spec.host = fieldOr<std::string>(body, "host", "");
    spec.path = fieldOr<std::string>(body, "path", "");
    if (spec.id.empty() || !readJobPart(body, spec)) {
        telemetry::log(Level::Error, "job", "forwarded_unreadable", {{"job", spec.id}});
        reply({{"outcome", nameOf(SubmitOutcome::Refused)}});
        return;
    }
    submitAt(SubmitAt::ThisNode, std::move(spec), [reply = std::move(reply)](SubmitOutcome outcome) {
        reply({{"outcome", nameOf(outcome)}});
    });
}

void JobService::submitHere(const std::shared_ptr<Submission> &submission)
{
    const JobSpec &spec = submission->spec;
    submission->partEnds.clear();
    std::size_t bytes = 0;
    for (std::size_t index = 0; index < spec.items.size(); ++index) {
        bytes += spec.items[index].body.size() * 4 / 3 + 512;
        if (bytes > context_.settings.partBytes || index + 1 == spec.items.size()) {
            submission->partEnds.push_back(index + 1);
            bytes = 0;
        }
    }
    submission->record.parts = submission->partEnds.size();
    const Json keys = textKeys(spec);
    submission->texts.push_back(textsFor(keys));
    requestTexts(
        keys,
        [this, submission](const Json &texts) {
            if (submissions_.contains(submission->record.id)) {
                submission->texts.push_back(texts);
            } else {
                applyTexts(submission->record.id, texts);
            }
        },
        [] {});
    writePart(submission, 0);
}

void JobService::writePart(const std::shared_ptr<Submission> &submission, std::uint64_t part)
{
    if (part == submission->partEnds.size()) {
        writeRecord(submission);
        return;
    }
    // Encoded only when it is written: the items of a job may have tens of megabytes.
    const JobSpec &spec = submission->spec;
    Json items = Json::array();
    for (std::size_t index = part == 0 ? 0 : submission->partEnds[part - 1]; index < submission->partEnds[part];
         ++index) {
        items.push_back(toJson(spec.items[index]));
    }
    storeFor(regionsOf(spec.host, spec.path, spec.workspace))
        .create(PartKind, partName(submission->record.id, part),
                {{"head", jobHeaderToJson(spec)}, {"items", std::move(items)}},
                [this, submission, part](const StoreReply &reply) {
                    // A repeated submission writes the same items, so an existing part can be used.
                    if (reply.outcome == StoreOutcome::Done || reply.outcome == StoreOutcome::Conflict) {
                        writePart(submission, part + 1);
                        return;
                    }
                    if (reply.outcome == StoreOutcome::Unknown
                        && net::loopNow() - submission->startedAt < context_.settings.submitTimeout) {
                        net::runAfter(context_.loop, context_.settings.storeRetryDelay,
                                      [this, submission, part] { writePart(submission, part); });
                        return;
                    }
                    finishSubmission(submission,
                                     submission->recordMayExist ? SubmitOutcome::Unknown : SubmitOutcome::Refused);
                });
}

void JobService::writeRecord(const std::shared_ptr<Submission> &submission)
{
    context_.store.create(
        RecordKind, submission->record.id, toJson(submission->record),
        [this, submission, pauses = pauses_](const StoreReply &reply) { onRecordReply(submission, reply, pauses); });
}

void JobService::onRecordReply(const std::shared_ptr<Submission> &submission, const StoreReply &reply, int asOfPause)
{
    if (reply.outcome == StoreOutcome::Done) {
        const std::uint64_t revision = reply.changes.empty() ? 0 : reply.changes.front().object.revision;
        if (!released_) {
            addOwnedJob(submission->record, revision, takeItems(submission->spec), {}, asOfPause);
        }
        for (const Json &texts : submission->texts) {
            applyTexts(submission->record.id, texts);
        }
        finishSubmission(submission, SubmitOutcome::Accepted);
        dispatchItems();
        return;
    }
    if (reply.outcome == StoreOutcome::Conflict) {
        resolveRecordConflict(submission);
        return;
    }
    const bool recordAbsent = !submission->recordMayExist;
    submission->recordMayExist = submission->recordMayExist || reply.outcome == StoreOutcome::Unknown;
    if (reply.outcome == StoreOutcome::Refused && recordAbsent) {
        finishSubmission(submission, SubmitOutcome::Refused);
        return;
    }
    if (net::loopNow() - submission->startedAt > context_.settings.submitTimeout && !submission->clientAnswered) {
        submission->clientAnswered = true;
        for (const auto &done : submission->done) {
            done(SubmitOutcome::Unknown);
        }
        submission->done.clear();
    }
    // Retries until the outcome is known: the record may exist and name this node as the owner.
    net::runAfter(context_.loop, context_.settings.storeRetryDelay, [this, submission] { writeRecord(submission); });
}

void JobService::resolveRecordConflict(const std::shared_ptr<Submission> &submission)
{
    context_.store.get(RecordKind, submission->record.id, [this, submission, pauses = pauses_](StoreReply reply) {
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
        cachedRecords_[record->id] = {*record, object.revision, minimumRetention(record->submittedMs)};
        const bool ownedHere = record->submission == submission->record.submission && isOwnedHere(*record);
        if (ownedHere && !record->ended && !released_) {
            addOwnedJob(*record, object.revision, takeItems(submission->spec), {}, pauses);
        }
        finishSubmission(submission, resubmissionOutcome(submission->spec, *record));
        dispatchItems();
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
                    {"took_ms", absl::ToInt64Milliseconds(net::loopNow() - submission->startedAt)}});
    const auto callbacks = std::move(submission->done);
    for (const auto &done : callbacks) {
        done(outcome);
    }
}

void JobService::addOwnedJob(const JobRecord &record, std::uint64_t revision, JobSpec spec, ResultLog log,
                             int asOfPause)
{
    auto owned = std::make_unique<OwnedJob>(OwnedJob{
        record, revision, {}, memoryFor(spec), {}, {minimumRetention(record.submittedMs), net::loopNow()}, {}});
    const serving::GatewayConfig *config = context_.config();
    const serving::Route *route = config == nullptr ? nullptr : config->findRoute(spec.host, spec.path);
    demand_.recordJob(spec.model, expectedWork(spec), route == nullptr ? absl::InfiniteDuration() : route->resultDue,
                      net::loopNow(), spec.items.size());
    owned->runner = std::make_shared<JobRunner>(context_, rewards_, std::move(spec), record.submittedMs, std::move(log),
                                                JobRunner::Hooks{[this, id = record.id] { onResultsStored(id); },
                                                                 [this, id = record.id] { checkOwnership(id); }});
    loseOwnership(record.id);
    owned_[record.id] = std::move(owned);
    if (asOfPause != pauses_) {
        owned_[record.id]->runner->suspendSending();
        checkOwnership(record.id);
    }
    cachedRecords_.erase(record.id);
    cachedLogs_.erase(record.id);
    if (endedJobs_.contains(record.id)) {
        markEnded(record.id);
    } else {
        owned_[record.id]->runner->abandonUnsendableItems();
    }
}

void JobService::checkOwnership(const std::string &jobId)
{
    loadRecord(jobId, true, [this, jobId, pauses = pauses_](ReadOutcome outcome, const CachedRecord *cached) {
        const auto owned = owned_.find(jobId);
        if (owned == owned_.end()) {
            return;
        }
        if (pauses != pauses_) {
            checkOwnership(jobId); // The record may have changed in the pause.
            return;
        }
        if (cached == nullptr) {
            if (outcome == ReadOutcome::Unavailable) {
                net::runAfter(context_.loop, context_.settings.storeRetryDelay,
                              [this, jobId] { checkOwnership(jobId); });
            }
            return;
        }
        if (cached->revision < owned->second->revision) {
            return; // Read before this node became the owner.
        }
        if (!isOwnedHere(cached->record)) {
            loseOwnership(jobId);
            return;
        }
        owned->second->record = cached->record;
        owned->second->revision = cached->revision;
        if (cached->record.ended) {
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
    std::unique_ptr<OwnedJob> owned = std::move(found->second);
    owned_.erase(found);
    owned->runner->stop("another node owns the job");
    for (const PendingRead &pendingRead : owned->pendingReads) {
        pendingRead.done(
            ReadOutcome::Found,
            owned->runner->log().page(pendingRead.after, owned->record.total, context_.settings.maxPageBytes));
    }
    owned->pendingReads.clear();
    // The new owner asks for the texts, however old the job is.
    owned->retention.extendTo(net::loopNow() + context_.settings.retention.afterTakeover);
    formerlyOwned_[jobId] = std::move(owned);
}

// Text from earlier jobs

Json JobService::textKeys(const JobSpec &spec)
{
    Json keys = Json::array();
    for (const ItemSpec &item : spec.items) {
        keys.push_back(item.textKey);
    }
    return keys;
}

void JobService::requestTexts(const Json &keys, const std::function<void(const Json &)> &onTexts,
                              const std::function<void()> &onAll)
{
    // A node that is stopping has the texts of the jobs that it released.
    const std::vector<std::string> nodes = context_.peers.textHolders();
    if (nodes.empty()) {
        onAll();
        return;
    }
    const auto unanswered = std::make_shared<std::size_t>(nodes.size());
    for (const std::string &node : nodes) {
        context_.peers.call(node, TextsMethod, {{"keys", keys}}, context_.settings.textTimeout,
                            [onTexts, onAll, unanswered](const absl::StatusOr<Json> &texts) {
                                if (texts.ok() && !texts->empty()) {
                                    onTexts(*texts);
                                }
                                if (--*unanswered == 0) {
                                    onAll();
                                }
                            });
    }
}

Json JobService::textsFor(const Json &keys) const
{
    Json texts = Json::object();
    if (!keys.is_array()) {
        return texts;
    }
    for (const auto *jobs : {&owned_, &formerlyOwned_}) {
        for (const auto &[jobId, owned] : *jobs) {
            if (owned->runner->isStopped()) {
                addTexts(*owned->runner, keys, texts);
            }
        }
    }
    return texts;
}

void JobService::addTexts(JobRunner &runner, const Json &keys, Json &texts)
{
    for (const Json &entry : keys) {
        const std::string key = entry.is_string() ? entry.get<std::string>() : std::string();
        const auto index = runner.tracker().findByTextKey(key);
        if (!index) {
            continue;
        }
        const Item &item = runner.tracker().items()[*index];
        if (item.state == ItemState::Stored) {
            for (const ItemResult &result : runner.log().results()) {
                if (result.id == item.spec.id && result.state == ResultState::Completed) {
                    texts[key] = {{"result", toJson(result)}, {"score_key", scoreKey(item.spec)}};
                }
            }
        } else if (item.state == ItemState::Finished && !item.text.empty()) {
            const ItemResult result{item.spec.id, ResultState::Completed, item.text.joinEvents(), item.text.versions,
                                    item.score};
            texts[key] = {{"result", toJson(result)}, {"score_key", scoreKey(item.spec)}};
        } else if (!item.text.empty()) {
            texts[key] = {{"text", toJson(item.text)}};
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
    for (const auto &[key, entry] : texts.items()) {
        if (entry.contains("result")) {
            if (const auto result = parseItemResult(entry["result"])) {
                runner.reuseResult(key, *result, fieldOr<std::string>(entry, "score_key", ""));
            }
        } else if (entry.contains("text")) {
            if (const auto text = parseItemText(entry["text"])) {
                runner.reuseText(key, *text);
            }
        }
    }
}

// Periodic work

void JobService::tick()
{
    const Instant now = net::loopNow();
    for (const auto &[id, owned] : owned_) {
        owned->runner->tick();
        owned->runner->queryLoadingReplicas(loadWatch_);
    }
    loadWatch_.expire(now);
    std::vector<std::string> waiting;
    for (const auto &[id, owned] : owned_) {
        if (!owned->pendingReads.empty()) {
            waiting.push_back(id);
        }
    }
    for (const std::string &id : waiting) {
        servePendingReads(id);
    }
    if (!context_.peers.allInContact() && now - lastRecheck_ >= context_.settings.recheckPeriod) {
        lastRecheck_ = now;
        checkOwnershipOfOpenJobs();
    }
    removeExpired(now);
}

void JobService::checkOwnershipOfOpenJobs()
{
    std::vector<std::string> openJobIds;
    for (const auto &[id, owned] : owned_) {
        if (owned->runner->isOpen()) {
            openJobIds.push_back(id);
        }
    }
    for (const std::string &id : openJobIds) {
        checkOwnership(id);
    }
}

void JobService::onPaused()
{
    ++pauses_;
    for (const auto &[id, owned] : owned_) {
        owned->runner->suspendSending();
        owned->retention.recordUse(net::loopNow()); // Reads could not arrive during the pause.
    }
    checkOwnershipOfOpenJobs();
}

void JobService::dispatchItems()
{
    for (const auto &[id, owned] : owned_) {
        owned->runner->sendWaitingItems();
        owned->runner->sendRewardCalls();
    }
}

std::size_t JobService::openJobCount() const
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

} // namespace currantlug::jobs
