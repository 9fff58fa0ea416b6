// The node's view of the configuration, the replicas and the other nodes. It follows the object store and falls back to
// snapshots of peers during a store outage.
#include "node/node.h"

#include "telemetry/log.h"
#include "telemetry/processusage.h"

#include <algorithm>
#include <set>
#include <utility>

namespace currantlug::node {

using objects::ObjectChange;
using objects::StoreOutcome;
using objects::StoreReply;
using telemetry::Level;

namespace {

// The registration of a node that is out of contact with the leader for this long is removed.
constexpr absl::Duration UnregisterAfter = absl::Seconds(30);
constexpr absl::Duration SnapshotTimeout = absl::Milliseconds(800);
// The registry of replicas counts as unstable for this long after its mirror has recovered from a failure.
constexpr absl::Duration RegistryUnstableTime = absl::Seconds(3);
constexpr absl::Duration RegistrationRetryDelay = absl::Seconds(1);

} // namespace

// Changes of the configuration, the replicas and the registered nodes

void Node::onConfigObject(const ObjectChange &change)
{
    if (!change.removed && change.object.name == binding_.configName) {
        applyConfig(change.object, "store");
    }
}

void Node::applyConfig(const objects::StoredObject &object, std::string_view source)
{
    if (config_ && object.revision <= config_->revision) {
        return;
    }
    auto config = binding_.parseConfig(object);
    if (!config) {
        telemetry::log(Level::Error, "config", "unreadable", {{"revision", object.revision}, {"source", source}});
        return;
    }
    config->revision = object.revision;
    if (!config_) {
        telemetry::log(Level::Info, "node", "ready",
                       {{"after_ms", absl::ToInt64Milliseconds(net::loopNow() - startedAt_)},
                        {"processor_ms", absl::ToInt64Milliseconds(telemetry::processorTime())}});
    }
    config_ = std::move(*config);
    configObject_ = object;
    std::map<std::string, serving::ColdRule> coldRules;
    for (const auto &[name, service] : config_->services) {
        if (service.coldTime > absl::ZeroDuration() && service.coldRequestsPerSecond > 0) {
            coldRules[name] = {service.coldTime, service.coldRequestsPerSecond};
        }
    }
    replicas_.setColdRules(std::move(coldRules));
    telemetry::log(Level::Info, "config", "in_force",
                   {{"version", config_->version},
                    {"revision", config_->revision},
                    {"source", source},
                    {"routes", config_->routes.size()},
                    {"workspaces", config_->workspaces.size()}});
    if (configHandler_) {
        configHandler_();
    }
    jobs_->dispatchItems();
}

bool Node::registryUnstable() const
{
    return replicaMirror_.failing() || net::loopNow() - replicaMirror_.recoveredAt() < RegistryUnstableTime;
}

absl::Duration Node::replicaViewAge(Instant now) const
{
    return replicaMirror_.running() ? replicaMirror_.age(now) : replicaFollower_.silence(now);
}

bool Node::replicasCurrent() const
{
    if (replicaMirror_.running()) {
        return replicaMirror_.current();
    }
    return replicaFollower_.following()
        && replicaFollower_.silence(net::loopNow()) < watchPlan_.patience(WatchPlanSettings{});
}

void Node::onReplicaObject(const ObjectChange &change, bool registryUnstable)
{
    const std::string &id = change.object.name;
    const Instant now = net::loopNow();
    // Another source may have reported something newer than this one.
    if (!replicaJournal_.record(change, now)) {
        return;
    }
    if (change.removed) {
        telemetry::log(Level::Info, "replica", "removed", {{"replica", id}, {"registry_unsteady", registryUnstable}});
        replicas_.remove(id, registryUnstable, now);
        return;
    }
    auto entry = binding_.parseReplica(change.object);
    if (!entry) {
        telemetry::log(Level::Warning, "replica", "entry_unreadable",
                       {{"replica", id}, {"revision", change.object.revision}});
        replicas_.remove(id, false, now);
        return;
    }
    const serving::Replica *known = replicas_.find(id);
    if (known == nullptr || known->entry.draining != entry->draining
        || known->entry.startedAtMs != entry->startedAtMs) {
        telemetry::log(Level::Info, "replica", "entry",
                       {{"replica", id},
                        {"service", entry->service},
                        {"address", entry->address},
                        {"zone", entry->availabilityZone},
                        {"draining", entry->draining},
                        {"spot", entry->spot},
                        {"revision", change.object.revision}});
    }
    replicas_.update(std::move(*entry), now);
    jobs_->dispatchItems();
}

void Node::removeMissingReplicas(const std::function<bool(const std::string &)> &isRegistered, std::uint64_t revision,
                                 bool registryUnstable)
{
    std::vector<std::string> missing;
    for (const auto &[id, object] : replicaJournal_.objects()) {
        if (!isRegistered(id)) {
            missing.push_back(id);
        }
    }
    const Instant now = net::loopNow();
    for (const std::string &id : missing) {
        if (revision > 0) {
            onReplicaObject({{id, revision, {}, {}}, true}, registryUnstable);
            continue;
        }
        telemetry::log(Level::Info, "replica", "removed", {{"replica", id}, {"registry_unsteady", registryUnstable}});
        replicaJournal_.recordMissing(id, now);
        replicas_.remove(id, registryUnstable, now);
    }
}

void Node::onReplicaLeaving(const serving::ReplicaIncarnation &incarnation, StatementSource source)
{
    if (!replicas_.recordLeaving(incarnation)) {
        return;
    }
    const serving::Replica *replica = replicas_.find(incarnation.id);
    telemetry::log(Level::Info, "replica", "leaving",
                   {{"replica", incarnation.id},
                    {"address", incarnation.address},
                    {"started_at_ms", incarnation.startedAtMs},
                    {"source", nameOf(source)},
                    {"registered_draining", replica->entry.draining},
                    {"in_flight", replica->inFlight},
                    {"view_age_ms", absl::ToInt64Milliseconds(replicaViewAge(net::loopNow()))}});
}

void Node::onReplicaStatement(const serving::ReplicaStatement &statement)
{
    if (statement.leaving) {
        onReplicaLeaving(statement.replica, StatementSource::Answer);
    }
    // A response without a limit may have been sent before one that states a limit, and arrive later.
    const Instant statedAt = statement.requestLimit ? net::loopNow() : statement.requestSentAt;
    onReplicaLimit({statement.replica, statement.requestLimit, statedAt}, StatementSource::Answer);
}

void Node::onReplicaLimit(const serving::LimitStatement &statement, StatementSource source)
{
    if (!replicas_.recordLimit(statement, source == StatementSource::Answer)) {
        return;
    }
    const serving::Replica *replica = replicas_.find(statement.replica.id);
    telemetry::log(Level::Info, "replica", statement.requestLimit ? "limited" : "limit_lifted",
                   {{"replica", statement.replica.id},
                    {"service", replica->entry.service},
                    {"limit_per_s", statement.requestLimit.value_or(0)},
                    {"source", nameOf(source)},
                    {"stated_ms_ago", absl::ToInt64Milliseconds(net::loopNow() - statement.statedAt)},
                    {"in_flight", replica->inFlight}});
}

void Node::onReplicaDelta(const ReplicaDelta &delta)
{
    sourceUnstable_ = delta.registryUnstable;
    std::set<std::string> listed;
    for (const ObjectChange &change : delta.changes) {
        if (!change.removed) {
            listed.insert(change.object.name);
        }
        onReplicaObject(change, sourceUnstable_);
    }
    if (delta.complete) {
        removeMissingReplicas([&listed](const std::string &id) { return listed.contains(id); }, 0, sourceUnstable_);
    }
}

void Node::updateWatchPlan()
{
    const Instant now = net::loopNow();
    if (replicaMirror_.running() && replicaMirror_.current()) {
        if (std::exchange(snapshotApplied_, false)) {
            // The snapshot may have been older than what the mirror had reported. It reports everything again.
            setWatching(false, "after a snapshot");
            setWatching(true, "after a snapshot");
        } else if (!std::exchange(mirrorChecked_, true)) {
            // A peer may have reported replicas that the mirror never saw.
            removeMissingReplicas([this](const std::string &id) { return replicaMirror_.knows(id); },
                                  replicaMirror_.revision(), registryUnstable());
        }
    }
    std::vector<std::string> zoneNodes;
    for (const NodeInfo &node : mesh_.contacts()) {
        if (node.availabilityZone == settings_.availabilityZone && !node.stopping && node.storeReached) {
            zoneNodes.push_back(node.name);
        }
    }
    const WatchPlanSettings planSettings;
    watchPlan_ = planWatch(planSettings, settings_.name, std::move(zoneNodes));
    // The leader orders replicas and weights, so it knows them at first hand.
    if (watchPlan_.watches || controller_->leading()) {
        setWatching(true, "planned");
        return;
    }
    replicaFollower_.follow(watchPlan_.sources, now);
    if (replicaMirror_.running() && replicaFollower_.silence(now) < planSettings.silenceLimit) {
        // The mirror goes on until a source has answered.
        if (replicaFollower_.answered()) {
            setWatching(false, "planned");
        }
    } else if (!replicaMirror_.running() && replicaFollower_.silence(now) > watchPlan_.patience(planSettings)) {
        setWatching(true, "sources silent");
    }
}

void Node::setWatching(bool watching, std::string_view reason)
{
    if (watching && reason == "planned") {
        replicaFollower_.follow({}, net::loopNow());
    }
    if (watching == replicaMirror_.running()) {
        return;
    }
    telemetry::log(Level::Info, "node", watching ? "watching_replicas" : "following_replicas",
                   {{"reason", reason}, {"rank", watchPlan_.rank}, {"sources", watchPlan_.sources.size()}});
    if (watching) {
        mirrorChecked_ = false;
        replicaMirror_.forget();
        replicaMirror_.start();
        if (followsEvacuations()) {
            evacuationMirror_.forget();
            mirroredEvacuations_ = {};
            evacuationMirror_.start();
        }
        configMirror_.setWatchWait(boundedWatchWait(settings_.viewAgeLimit()));
    } else {
        replicaMirror_.stop();
        evacuationMirror_.stop();
        configMirror_.setWatchWait(FollowerWatchWait);
    }
}

void Node::onNodeObject(const ObjectChange &change)
{
    if (change.removed) {
        mesh_.removeNode(change.object.name);
        if (change.object.name == settings_.name && !stopping_) {
            registered_ = false;
            registerNode();
        }
        return;
    }
    if (const auto info = parseNodeInfo(change.object.value)) {
        mesh_.add(info->name, info->control);
        if (info->name == settings_.name && info->control != settings_.controlAddress) {
            // Left by an earlier process at another address.
            binding_.store.replace(
                NodeKind, settings_.name, change.object.revision, registration(), [](const StoreReply &reply) {
                    telemetry::log(Level::Info, "node", "registration_replaced", {{"outcome", nameOf(reply.outcome)}});
                });
        }
    } else {
        telemetry::log(Level::Warning, "node", "registration_unreadable", {{"node", change.object.name}});
    }
}

Json Node::registration() const
{
    NodeInfo info = this->info();
    // The registration holds only what doesn't change between restarts, so that a restart at the same address needs no
    // change of it.
    info.incarnation.clear();
    info.ready = info.storeReached = info.leading = info.holdsTexts = false;
    info.leavingReplicas.clear();
    info.replicaLimits.clear();
    info.crashSuspects.clear();
    info.modelDemand.clear();
    info.evacuations.reset();
    info.configRevision = 0;
    return node::toJson(info);
}

void Node::registerNode()
{
    if (registered_ || stopping_) {
        return;
    }
    binding_.store.create(NodeKind, settings_.name, registration(), [this](const StoreReply &reply) {
        registered_ = reply.outcome == StoreOutcome::Done || reply.outcome == StoreOutcome::Conflict;
        if (!registered_) {
            net::runAfter(loop_, RegistrationRetryDelay, [this] { registerNode(); });
        }
        // Listed after the registration: of two nodes that start together, the later one finds the earlier one.
        nodeMirror_.start();
    });
}

void Node::unregisterLostNodes()
{
    if (!controller_->leading()) {
        lostNodes_.clear();
        return;
    }
    std::map<std::string, Instant> lost;
    const Instant now = net::loopNow();
    for (const std::string &name : mesh_.outOfContact()) {
        const auto found = lostNodes_.find(name);
        lost[name] = found == lostNodes_.end() ? now : found->second;
        if (now - lost[name] > UnregisterAfter) {
            telemetry::log(Level::Info, "node", "forgotten", {{"node", name}});
            binding_.store.remove(NodeKind, name, 0, [](const StoreReply &) {});
            lost[name] = now;
        }
    }
    lostNodes_ = std::move(lost);
}

// Synchronization with peers

void Node::syncFromPeer()
{
    const std::vector<NodeInfo> contacts = mesh_.contacts();
    const auto newest =
        std::max_element(contacts.begin(), contacts.end(), [](const NodeInfo &one, const NodeInfo &other) {
            return one.configRevision < other.configRevision;
        });
    const bool configOutdated = newest != contacts.end() && newest->configRevision > configRevision();
    const bool mirrorsStale = !storeReached() || !replicasCurrent();
    if (!configOutdated && !mirrorsStale) {
        return;
    }
    std::string peer = configOutdated ? newest->name : mesh_.peerWithStore();
    if (peer.empty() && !config_ && !mesh_.live().empty()) {
        peer = mesh_.live().front();
    }
    if (!peer.empty()) {
        fetchSnapshot(peer);
    }
}

void Node::fetchSnapshot(const std::string &peer)
{
    if (std::exchange(syncingFromPeer_, true)) {
        return;
    }
    mesh_.call(peer, "node/snapshot", {{"config", configRevision()}}, SnapshotTimeout,
               [this](const absl::StatusOr<Json> &reply) {
                   syncingFromPeer_ = false;
                   if (reply.ok() && reply->is_object()) {
                       applySnapshot(*reply);
                   }
               });
}

void Node::applySnapshot(const Json &reply)
{
    if (reply.contains("config")) {
        applyConfig(decodeObject(reply["config"]), "node");
    }
    if (reply.contains("evacuations") && followsEvacuations()) {
        mergeEvacuations(parseEvacuationView(reply["evacuations"]), "snapshot");
    }
    if (!reply.contains("replicas") || replicasCurrent()) {
        return;
    }
    snapshotApplied_ = true;
    std::set<std::string> listed;
    for (const Json &entry : reply["replicas"]) {
        objects::StoredObject object = decodeObject(entry);
        listed.insert(object.name);
        onReplicaObject({std::move(object), false}, true);
    }
    removeMissingReplicas([&listed](const std::string &id) { return listed.contains(id); }, 0, true);
}

} // namespace currantlug::node
