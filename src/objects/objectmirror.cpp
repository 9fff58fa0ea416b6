// Listing and watching of the object store, and retries with exponential backoff.
#include "objects/objectmirror.h"

#include "telemetry/log.h"

#include <algorithm>

namespace currantlug::objects {

using telemetry::Level;

ObjectMirror::ObjectMirror(net::Loop &loop, ObjectPort port, std::string kind, MirrorSettings settings,
                           ChangeHandler changeHandler)
    : loop_(loop)
    , port_(std::move(port))
    , kind_(std::move(kind))
    , settings_(settings)
    , changeHandler_(std::move(changeHandler))
{
}

void ObjectMirror::start()
{
    if (std::exchange(running_, true)) {
        return;
    }
    list("");
}

void ObjectMirror::setWatchWait(absl::Duration wait)
{
    const bool shorter = wait < settings_.watchWait;
    settings_.watchWait = wait;
    if (shorter && running_ && synced_) {
        ++generation_;
        watch();
    }
}

void ObjectMirror::list(std::string after)
{
    if (!running_) {
        return;
    }
    if (after.empty()) {
        listedNames_.clear();
        listRevision_ = 0;
    }
    const bool mayBeStale = synced_ && settings_.pollPeriod > absl::ZeroDuration() && port_.listStale;
    const auto &call = mayBeStale ? port_.listStale : port_.list;
    call(kind_, std::move(after), [this, generation = generation_](const StoreReply &reply) {
        if (generation == generation_) {
            onList(reply);
        }
    });
}

void ObjectMirror::onList(const StoreReply &reply)
{
    if (reply.outcome != StoreOutcome::Done) {
        onFailure(reply, [this] { list(""); });
        return;
    }
    onSuccess();
    if (listRevision_ == 0) {
        listRevision_ = reply.asOf;
    }
    for (const ObjectChange &change : reply.changes) {
        listedNames_[change.object.name] = change.object.revision;
        // An unknown revision is at most that of the store.
        applyDated(change, reply.asOf);
    }
    if (reply.more && !reply.changes.empty()) {
        list(reply.changes.back().object.name);
        return;
    }
    std::vector<std::string> removedNames;
    for (const auto &[name, revision] : knownRevisions_) {
        if (!listedNames_.contains(name)) {
            removedNames.push_back(name);
        }
    }
    for (const std::string &name : removedNames) {
        apply({{name, listRevision_, {}, {}}, true});
    }
    listedNames_.clear();
    // The watch starts at the revision of the first page, so that it also delivers changes made while the later pages
    // were read. apply() ignores the changes that are already known.
    watchRevision_ = listRevision_;
    if (!std::exchange(synced_, true)) {
        telemetry::log(Level::Info, "objects", "synced", {{"kind", kind_}, {"revision", watchRevision_}});
    }
    watch();
}

void ObjectMirror::watch()
{
    if (!running_) {
        return;
    }
    if (settings_.pollPeriod > absl::ZeroDuration()) {
        net::runAfter(loop_, settings_.pollPeriod, [this, generation = generation_] {
            if (generation == generation_) {
                list("");
            }
        });
        return;
    }
    port_.watch(kind_, watchRevision_, failing() ? settings_.probeWatchWait : settings_.watchWait,
                [this, generation = generation_](const StoreReply &reply) {
                    if (generation == generation_) {
                        onWatch(reply);
                    }
                });
}

void ObjectMirror::onWatch(const StoreReply &reply)
{
    if (reply.outcome == StoreOutcome::HistoryUnavailable) {
        telemetry::log(Level::Info, "objects", "history_gone",
                       {{"kind", kind_}, {"revision", watchRevision_}, {"http_status", reply.httpStatus}});
        onSuccess();
        list("");
        return;
    }
    if (reply.outcome != StoreOutcome::Done) {
        onFailure(reply, [this] { watch(); });
        return;
    }
    onSuccess();
    std::uint64_t lastRevision = watchRevision_;
    for (const ObjectChange &change : reply.changes) {
        // Events come in the order of their revisions: an unknown one is above that of the event before it.
        applyDated(change, lastRevision + 1);
        lastRevision = std::max(lastRevision + 1, change.object.revision);
    }
    watchRevision_ = std::max(watchRevision_, reply.asOf);
    if (reply.changes.empty()) {
        watch();
    } else {
        net::runAfter(loop_, settings_.batchDelay, [this, generation = generation_] {
            if (generation == generation_) {
                watch();
            }
        });
    }
}

void ObjectMirror::onFailure(const StoreReply &reply, std::function<void()> retry)
{
    if (failures_++ == 0) {
        failingSince_ = net::loopNow();
        telemetry::log(Level::Warning, "objects", "store_lost",
                       {{"kind", kind_},
                        {"outcome", nameOf(reply.outcome)},
                        {"http_status", reply.httpStatus},
                        {"revision", watchRevision_},
                        {"view_age_ms", absl::ToInt64Milliseconds(age(failingSince_))}});
    }
    const absl::Duration delay =
        std::min(settings_.maxBackoff, settings_.initialBackoff * (1 << std::min(failures_ - 1, 8)));
    net::runAfter(loop_, delay, [this, generation = generation_, retry = std::move(retry)] {
        if (generation == generation_) {
            retry();
        }
    });
}

void ObjectMirror::onSuccess()
{
    lastResponseAt_ = net::loopNow();
    if (failures_ > 0) {
        telemetry::log(Level::Info, "objects", "store_regained",
                       {{"kind", kind_},
                        {"gone_ms", absl::ToInt64Milliseconds(lastResponseAt_ - failingSince_)},
                        {"failures", failures_}});
        failures_ = 0;
        recoveredAt_ = lastResponseAt_;
    }
}

void ObjectMirror::applyDated(const ObjectChange &change, std::uint64_t revisionIfUnknown)
{
    if (change.object.revision != 0) {
        apply(change);
    } else {
        apply({{change.object.name, revisionIfUnknown, {}, {}, change.object.error}, change.removed});
    }
}

void ObjectMirror::apply(const ObjectChange &change)
{
    const auto found = knownRevisions_.find(change.object.name);
    if (change.removed) {
        if (found != knownRevisions_.end() && change.object.revision >= found->second) {
            knownRevisions_.erase(found);
            changeHandler_(change);
        }
        return;
    }
    if (found != knownRevisions_.end() && found->second >= change.object.revision) {
        return;
    }
    knownRevisions_[change.object.name] = change.object.revision;
    changeHandler_(change);
}

} // namespace currantlug::objects
