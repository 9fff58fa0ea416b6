// Listing, watching and retrying.
#include "objects/objectmirror.h"

#include "telemetry/log.h"

#include <algorithm>

namespace currantlug::objects {

using telemetry::Level;

ObjectMirror::ObjectMirror(net::Loop &loop, ObjectPort port, std::string kind, MirrorSettings settings, Changed changed)
    : loop_(loop)
    , port_(std::move(port))
    , kind_(std::move(kind))
    , settings_(settings)
    , changed_(std::move(changed))
{
}

void ObjectMirror::start()
{
    if (std::exchange(running_, true)) {
        return;
    }
    list("");
}

void ObjectMirror::list(std::string after)
{
    if (!running_) {
        return;
    }
    if (after.empty()) {
        listed_.clear();
        listAsOf_ = 0;
    }
    port_.list(kind_, std::move(after), [this, generation = generation_](const StoreReply &reply) {
        if (generation == generation_) {
            onList(reply);
        }
    });
}

void ObjectMirror::onList(const StoreReply &reply)
{
    if (reply.outcome != StoreOutcome::Done) {
        failed(reply, [this] { list(""); });
        return;
    }
    answered();
    if (listAsOf_ == 0) {
        listAsOf_ = reply.asOf;
    }
    for (const ObjectChange &change : reply.changes) {
        listed_[change.object.name] = change.object.revision;
        apply(change);
    }
    if (reply.more && !reply.changes.empty()) {
        list(reply.changes.back().object.name);
        return;
    }
    std::vector<std::string> gone;
    for (const auto &[name, revision] : known_) {
        if (!listed_.contains(name)) {
            gone.push_back(name);
        }
    }
    for (const std::string &name : gone) {
        apply({{name, listAsOf_, {}, {}}, true});
    }
    listed_.clear();
    // Changes made between two pages are delivered again by the watch, which starts at the first page's revision.
    asOf_ = listAsOf_;
    if (!std::exchange(synced_, true)) {
        telemetry::log(Level::Info, "objects", "synced", {{"kind", kind_}, {"revision", asOf_}});
    }
    watch();
}

void ObjectMirror::watch()
{
    if (!running_) {
        return;
    }
    port_.watch(kind_, asOf_, failing() ? settings_.probeWait : settings_.wait,
                [this, generation = generation_](const StoreReply &reply) {
                    if (generation == generation_) {
                        onWatch(reply);
                    }
                });
}

void ObjectMirror::onWatch(const StoreReply &reply)
{
    if (reply.outcome == StoreOutcome::HistoryGone) {
        telemetry::log(Level::Info, "objects", "history_gone", {{"kind", kind_}, {"revision", asOf_}});
        answered();
        list("");
        return;
    }
    if (reply.outcome != StoreOutcome::Done) {
        failed(reply, [this] { watch(); });
        return;
    }
    answered();
    for (const ObjectChange &change : reply.changes) {
        apply(change);
    }
    asOf_ = std::max(asOf_, reply.asOf);
    if (reply.changes.empty()) {
        watch();
    } else {
        net::runAfter(loop_, settings_.pause, [this, generation = generation_] {
            if (generation == generation_) {
                watch();
            }
        });
    }
}

void ObjectMirror::failed(const StoreReply &reply, std::function<void()> again)
{
    if (failures_++ == 0) {
        failingSince_ = net::loopNow();
        telemetry::log(Level::Warning, "objects", "store_lost",
                       {{"kind", kind_},
                        {"outcome", nameOf(reply.outcome)},
                        {"http_status", reply.httpStatus},
                        {"revision", asOf_}});
    }
    const absl::Duration delay =
        std::min(settings_.lastRetry, settings_.firstRetry * (1 << std::min(failures_ - 1, 8)));
    net::runAfter(loop_, delay, [this, generation = generation_, again = std::move(again)] {
        if (generation == generation_) {
            again();
        }
    });
}

void ObjectMirror::answered()
{
    lastAnswer_ = net::loopNow();
    if (failures_ > 0) {
        telemetry::log(Level::Info, "objects", "store_regained",
                       {{"kind", kind_},
                        {"gone_ms", absl::ToInt64Milliseconds(lastAnswer_ - failingSince_)},
                        {"failures", failures_}});
        failures_ = 0;
        recoveredAt_ = lastAnswer_;
    }
}

void ObjectMirror::apply(const ObjectChange &change)
{
    const auto found = known_.find(change.object.name);
    if (change.removed) {
        if (found != known_.end() && change.object.revision >= found->second) {
            known_.erase(found);
            changed_(change);
        }
        return;
    }
    if (found != known_.end() && found->second >= change.object.revision) {
        return;
    }
    known_[change.object.name] = change.object.revision;
    changed_(change);
}

} // namespace currantlug::objects
