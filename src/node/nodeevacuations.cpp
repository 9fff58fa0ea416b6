// The node's view of the evacuated zones, and the log of replicas that become cold or warm.
#include "node/node.h"

#include "telemetry/log.h"

#include <utility>

namespace currantlug::node {

using telemetry::Level;

bool Node::followsEvacuations() const
{
    return settings_.evacuateTime.has_value() && !binding_.evacuationKind.empty();
}

bool Node::evacuationsKnown() const
{
    // A node that finds neither the store nor a peer that knows them serves with what it has.
    return !followsEvacuations() || evacuations_.isKnown() || net::loopNow() - startedAt_ > *settings_.evacuateTime;
}

void Node::onEvacuationObject(const objects::ObjectChange &change)
{
    if (!change.removed) {
        mirroredEvacuations_.zones.insert(change.object.name);
    } else if (mirroredEvacuations_.zones.erase(change.object.name) > 0) {
        mirroredEvacuations_.ended[change.object.name] = change.object.revision;
    }
}

void Node::syncEvacuations()
{
    const Instant now = net::loopNow();
    // While the mirror lists anew its revision stays, so a part of the list isn't taken for all.
    if (evacuationMirror_.synced()) {
        mirroredEvacuations_.revision = evacuationMirror_.revision();
        mergeEvacuations(mirroredEvacuations_, "store");
    }
    evacuations_.expire(now);
}

void Node::mergeEvacuations(const serving::EvacuationView &view, std::string_view source)
{
    const Instant now = net::loopNow();
    const bool wasKnown = evacuations_.isKnown();
    const auto changes = evacuations_.merge(view, now);
    for (const serving::EvacuationChange &change : changes) {
        replicas_.setEvacuated(change.zone, change.evacuated, now);
        telemetry::log(Level::Info, "zone", change.evacuated ? "evacuated" : "evacuation_ended",
                       {{"zone", change.zone},
                        {"source", source},
                        {"revision", view.revision},
                        {"store_age_ms", absl::ToInt64Milliseconds(evacuationMirror_.age(now))}});
    }
    if (!changes.empty()) {
        jobs_->tick(); // Moves the items that run in an evacuated zone.
    }
    if (!changes.empty() || (!wasKnown && evacuations_.isKnown())) {
        jobs_->dispatchItems();
    }
}

void Node::listEvacuations(std::function<void(bool)> done)
{
    if (!followsEvacuations()) {
        done(true);
        return;
    }
    listEvacuationsAfter("", {}, std::move(done));
}

void Node::listEvacuationsAfter(const std::string &name, serving::EvacuationView view, std::function<void(bool)> done)
{
    binding_.store.list(
        binding_.evacuationKind, name,
        [this, view = std::move(view), done = std::move(done)](const objects::StoreReply &reply) mutable {
            if (reply.outcome != objects::StoreOutcome::Done) {
                done(false);
                return;
            }
            // Changes after the first page may be missing on the later ones.
            view.revision = view.revision == 0 ? reply.asOf : view.revision;
            for (const objects::ObjectChange &change : reply.changes) {
                view.zones.insert(change.object.name);
            }
            if (reply.more && !reply.changes.empty()) {
                listEvacuationsAfter(reply.changes.back().object.name, std::move(view), std::move(done));
                return;
            }
            mergeEvacuations(view, "store");
            done(true);
        });
}

void Node::reportColdReplicas(Instant now)
{
    std::set<std::string> cold;
    for (const auto &[id, replica] : replicas_.all()) {
        if (!replica.isCold(now)) {
            continue;
        }
        cold.insert(id);
        if (!coldReplicas_.contains(id)) {
            const bool failed = replica.coldUntil == Instant(absl::InfiniteDuration());
            telemetry::log(Level::Info, "replica", "cold",
                           {{"replica", id},
                            {"service", replica.entry.service},
                            {"zone", replica.entry.availabilityZone},
                            {"failed", failed},
                            {"left_ms", failed ? 0 : absl::ToInt64Milliseconds(replica.coldUntil - now)},
                            {"limit_per_s", replica.coldLimit}});
        }
    }
    for (const std::string &id : coldReplicas_) {
        if (!cold.contains(id)) {
            telemetry::log(Level::Info, "replica", "warm", {{"replica", id}});
        }
    }
    coldReplicas_ = std::move(cold);
}

} // namespace currantlug::node
