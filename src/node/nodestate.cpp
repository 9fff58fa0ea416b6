// What a node believes of configuration, replicas and other nodes, and where it learns it.
#include "node/node.h"

#include "telemetry/log.h"

namespace currantlug::node {

using objects::ObjectChange;
using objects::StoreOutcome;
using objects::StoreReply;
using telemetry::Level;

namespace {

// Registrations of nodes that nobody reaches for this long are removed.
constexpr absl::Duration ForgetAfter = absl::Seconds(30);
constexpr absl::Duration SnapshotTimeout = absl::Milliseconds(800);

} // namespace

// Configuration, replicas, nodes

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
    // While the store was away, another node may have told newer news than the mirror now catches up with.
    if (const auto held = replicaObjects_.find(id);
        held != replicaObjects_.end() && held->second.revision > change.object.revision) {
        return;
    }
    if (change.removed) {
        const bool unsteady = replicaMirror_.failing() || now - replicaMirror_.recoveredAt() < absl::Seconds(3);
        telemetry::log(Level::Info, "replica", "removed", {{"replica", id}, {"registry_unsteady", unsteady}});
        replicaObjects_.erase(id);
        replicas_.remove(id, unsteady, now);
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
    if (known == nullptr || known->entry.draining != entry->draining || known->entry.bornMs != entry->bornMs) {
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
    // Only what stays the same as long as the node's address does: a restart then changes nothing in the store.
    info.incarnation.clear();
    info.ready = info.storeReached = info.leading = false;
    info.configRevision = 0;
    const auto again = [this] { net::runAfter(loop_, absl::Seconds(1), [this] { registerNode(); }); };
    const Json value = node::toJson(info);
    binding_.store.create(NodeKind, settings_.name, value, [this, value, again](const StoreReply &reply) {
        if (reply.outcome == StoreOutcome::Done) {
            registered_ = true;
        } else if (reply.outcome != StoreOutcome::Conflict) {
            again();
        } else {
            binding_.store.replace(NodeKind, settings_.name, 0, value, [this, again](const StoreReply &replaced) {
                registered_ = replaced.outcome == StoreOutcome::Done;
                if (!registered_) {
                    again();
                }
            });
        }
    });
}

void Node::forgetLostNodes()
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
        if (now - lost[name] > ForgetAfter) {
            telemetry::log(Level::Info, "node", "forgotten", {{"node", name}});
            binding_.store.remove(NodeKind, name, [](const StoreReply &) {});
            lost[name] = now;
        }
    }
    lostNodes_ = std::move(lost);
}

// News from other nodes

void Node::catchUp()
{
    bool behind = false;
    for (const NodeInfo &node : mesh_.contacts()) {
        behind = behind || (config_ ? node.configRevision > config_->revision : node.configRevision > 0);
    }
    const bool blind = !storeReached() || !replicaMirror_.current();
    if (catchingUp_ || (!behind && !blind)) {
        return;
    }
    std::string peer = mesh_.peerWithStore();
    if (peer.empty() && !config_ && !mesh_.live().empty()) {
        peer = mesh_.live().front();
    }
    if (peer.empty()) {
        return;
    }
    catchingUp_ = true;
    mesh_.call(peer, "node/snapshot", {{"config", config_ ? config_->revision : 0}}, SnapshotTimeout,
               [this](const absl::StatusOr<Json> &reply) {
                   catchingUp_ = false;
                   if (reply.ok() && reply->is_object()) {
                       onSnapshot(*reply);
                   }
               });
}

void Node::onSnapshot(const Json &reply)
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
    std::vector<std::string> gone;
    for (const auto &[id, object] : replicaObjects_) {
        if (!listed.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const std::string &id : gone) {
        replicaObjects_.erase(id);
        replicas_.remove(id, true, net::loopNow());
    }
}

} // namespace currantlug::node
