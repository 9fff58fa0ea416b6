// The node's view of the configuration, the replicas and the other nodes. It follows the object store and falls back to
// snapshots of peers during a store outage.
#include "node/node.h"

#include "telemetry/log.h"

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
    config_ = std::move(*config);
    configObject_ = object;
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

void Node::onReplicaObject(const ObjectChange &change)
{
    const std::string &id = change.object.name;
    const Instant now = net::loopNow();
    // A snapshot of a peer during a store outage may have been newer than the change that the mirror reports now.
    if (const auto stored = replicaObjects_.find(id);
        stored != replicaObjects_.end() && stored->second.revision > change.object.revision) {
        return;
    }
    if (change.removed) {
        const bool registryUnstable =
            replicaMirror_.failing() || now - replicaMirror_.recoveredAt() < RegistryUnstableTime;
        telemetry::log(Level::Info, "replica", "removed", {{"replica", id}, {"registry_unsteady", registryUnstable}});
        replicaObjects_.erase(id);
        replicas_.remove(id, registryUnstable, now);
        return;
    }
    replicaObjects_[id] = change.object;
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
    replicas_.update(std::move(*entry));
    jobs_->dispatchItems();
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
    } else {
        telemetry::log(Level::Warning, "node", "registration_unreadable", {{"node", change.object.name}});
    }
}

void Node::registerNode()
{
    if (registered_ || stopping_) {
        return;
    }
    NodeInfo info = this->info();
    // The registration holds only what doesn't change between restarts, so that a restart at the same address needs no
    // write to the store.
    info.incarnation.clear();
    info.ready = info.storeReached = info.leading = false;
    info.configRevision = 0;
    const auto retryLater = [this] { net::runAfter(loop_, RegistrationRetryDelay, [this] { registerNode(); }); };
    const Json value = node::toJson(info);
    binding_.store.create(NodeKind, settings_.name, value, [this, value, retryLater](const StoreReply &reply) {
        if (reply.outcome == StoreOutcome::Done) {
            registered_ = true;
        } else if (reply.outcome != StoreOutcome::Conflict) {
            retryLater();
        } else {
            binding_.store.replace(NodeKind, settings_.name, 0, value, [this, retryLater](const StoreReply &replaced) {
                registered_ = replaced.outcome == StoreOutcome::Done;
                if (!registered_) {
                    retryLater();
                }
            });
        }
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
            binding_.store.remove(NodeKind, name, [](const StoreReply &) {});
            lost[name] = now;
        }
    }
    lostNodes_ = std::move(lost);
}

// Synchronization with peers

void Node::syncFromPeer()
{
    bool configOutdated = false;
    for (const NodeInfo &node : mesh_.contacts()) {
        configOutdated =
            configOutdated || (config_ ? node.configRevision > config_->revision : node.configRevision > 0);
    }
    const bool mirrorsStale = !storeReached() || !replicaMirror_.current();
    if (syncingFromPeer_ || (!configOutdated && !mirrorsStale)) {
        return;
    }
    std::string peer = mesh_.peerWithStore();
    if (peer.empty() && !config_ && !mesh_.live().empty()) {
        peer = mesh_.live().front();
    }
    if (peer.empty()) {
        return;
    }
    syncingFromPeer_ = true;
    mesh_.call(peer, "node/snapshot", {{"config", config_ ? config_->revision : 0}}, SnapshotTimeout,
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
    if (!reply.contains("replicas") || replicaMirror_.current()) {
        return;
    }
    std::map<std::string, objects::StoredObject> listed;
    for (const Json &entry : reply["replicas"]) {
        objects::StoredObject object = decodeObject(entry);
        const auto known = replicaObjects_.find(object.name);
        listed[object.name] = object;
        if (known == replicaObjects_.end() || known->second.revision < object.revision) {
            onReplicaObject({std::move(object), false});
        }
    }
    std::vector<std::string> missing;
    for (const auto &[id, object] : replicaObjects_) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        replicaObjects_.erase(id);
        replicas_.remove(id, true, net::loopNow());
    }
}

} // namespace currantlug::node
