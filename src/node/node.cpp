// Wiring of a node's parts and their periodic work.
#include "node/node.h"

#include "core/hash.h"
#include "telemetry/log.h"

#include <absl/time/clock.h>

#include <algorithm>

namespace currantlug::node {

using objects::ObjectChange;
using objects::StoreOutcome;
using objects::StoreReply;
using telemetry::Level;

namespace {

constexpr const char *NodeKind = "nodes";
constexpr absl::Duration FastPeriod = absl::Milliseconds(100);
constexpr absl::Duration SlowPeriod = absl::Milliseconds(1000);
// After its start a node looks for orphans while contact to the others comes up; an owner counts as gone only once it
// was found restarted, refusing or silent.
constexpr absl::Duration FirstScans[]
    = {absl::Milliseconds(400), absl::Milliseconds(1000), absl::Milliseconds(2600), absl::Milliseconds(5000)};
// An orphan may be found only after its owner counts as lost everywhere: look again.
constexpr absl::Duration LaterScans[] = {absl::ZeroDuration(), absl::Milliseconds(1500), absl::Seconds(4)};
// Registrations of nodes that nobody reaches for this long are removed.
constexpr absl::Duration ForgetAfter = absl::Seconds(30);
constexpr absl::Duration SnapshotTimeout = absl::Milliseconds(800);
constexpr absl::Duration RelayTimeout = absl::Milliseconds(2500); // A store call's own limit and the way between.
constexpr absl::Duration DirectPause = absl::Seconds(2); // Before the store is asked directly again after a failure.
constexpr absl::Duration AnswerTtl = absl::Seconds(1);
constexpr std::size_t EnoughAddresses = 2; // A client whose address fails needs another one.
constexpr std::size_t MaxAddresses = 64;
constexpr absl::Duration RefusalRetryAfter = absl::Milliseconds(300); // About a connection set-up and a store call.

objects::MirrorSettings replicaMirrorSettings()
{
    objects::MirrorSettings settings;
    // Replicas that leave must be known within 2.5 s; each call is paid for.
    settings.pause = absl::Milliseconds(1200);
    return settings;
}

Json toJson(const objects::StoredObject &object)
{
    return {{"name", object.name}, {"revision", object.revision}, {"value", object.value}};
}

objects::StoredObject parseObject(const Json &value)
{
    objects::StoredObject object;
    object.name = fieldOr<std::string>(value, "name", "");
    object.revision = fieldOr<std::uint64_t>(value, "revision", 0);
    object.value = value.is_object() && value.contains("value") ? value["value"] : Json();
    return object;
}

Json encodeReply(const StoreReply &reply)
{
    Json changes = Json::array();
    for (const ObjectChange &change : reply.changes) {
        changes.push_back(toJson(change.object));
    }
    return {{"outcome", nameOf(reply.outcome)}, {"as_of", reply.asOf}, {"more", reply.more}, {"changes", changes}};
}

std::optional<StoreReply> parseReply(const Json &value)
{
    const auto outcome = parseEnum<StoreOutcome>(fieldOr<std::string>(value, "outcome", ""));
    if (!outcome) {
        return std::nullopt;
    }
    StoreReply reply;
    reply.outcome = *outcome;
    reply.asOf = fieldOr<std::uint64_t>(value, "as_of", 0);
    reply.more = fieldOr<bool>(value, "more", false);
    for (const Json &change : value.contains("changes") ? value["changes"] : Json::array()) {
        reply.changes.push_back({parseObject(change), false});
    }
    return reply;
}

serving::ReplicaTableSettings tableSettings(const NodeSettings &settings)
{
    serving::ReplicaTableSettings table;
    table.availabilityZone = settings.availabilityZone;
    table.region = settings.region;
    table.regionOfZone = settings.regionOfZone;
    return table;
}

lease::LeaseSettings leaseSettings(const NodeSettings &settings)
{
    // A holder stops well before the limit within which two holders must not take turns, and a successor waits for
    // more than the limit after it last saw a sign of the holder.
    lease::LeaseSettings lease;
    lease.duration = settings.leaseLimit * 0.8;
    lease.renewEvery = settings.leaseLimit * 0.3;
    lease.margin = settings.leaseLimit * 0.2;
    lease.sendBound = settings.leaseLimit * 0.2;
    lease.tcpUserTimeout = absl::ZeroDuration();
    lease.idNamesMachine = true;
    return lease;
}

} // namespace

Node::Node(net::Loop &loop, net::HttpClient &client, NodeSettings settings, PlatformBinding binding)
    : loop_(loop)
    , settings_(std::move(settings))
    , binding_(std::move(binding))
    , incarnation_(randomHex(6))
    , replicas_(tableSettings(settings_))
    , counts_(settings_.usageWindow)
    , mesh_(loop, client, {}, [this] { return info(); })
    , requests_(loop, replicas_, binding_.replicas, {},
                [this](const std::string &workspace) { counts_.add(workspace, absl::Now()); })
    , configMirror_(loop, binding_.store, binding_.configKind, {},
                    [this](const ObjectChange &change) { onConfigObject(change); })
    , replicaMirror_(loop, binding_.store, binding_.replicaKind, replicaMirrorSettings(),
                     [this](const ObjectChange &change) { onReplicaObject(change); })
    , nodeMirror_(loop, binding_.store, NodeKind, {}, [this](const ObjectChange &change) { onNodeObject(change); })
    , startedAt_(net::loopNow())
{
    const auto config = [this] { return config_ ? &*config_ : nullptr; };
    const jobs::PeerPort peers{
        [this](const std::string &node, const std::string &method, Json body, absl::Duration timeout,
               jobs::PeerPort::Callback done) {
            mesh_.call(node, method, std::move(body), timeout, std::move(done));
        },
        [this] { return mesh_.live(); },
        [this](const std::string &node, const std::string &incarnation) { return mesh_.isAlive(node, incarnation); },
        [this](const std::string &node, const std::string &incarnation) { return mesh_.isGone(node, incarnation); },
        [this] { return mesh_.allInContact(); }};
    jobs::JobSettings jobSettings;
    jobSettings.keep = settings_.statusTime;
    jobs_ = std::make_unique<jobs::JobService>(jobs::JobContext{
        loop, replicas_, binding_.replicas, relayedStore(), peers, config,
        [this]() -> const std::map<std::string, std::string> & {
            return controller_->leading() ? controller_->modelByReplica() : remotePlan_;
        },
        settings_.name, incarnation_, jobSettings});
    control::ControllerContext context{
        loop,
        replicas_,
        relayedStore(),
        peers,
        binding_.duties,
        binding_.controlKinds,
        config,
        [this] {
            const auto contacts = mesh_.contacts();
            return std::any_of(contacts.begin(), contacts.end(), [](const NodeInfo &node) { return node.leading; });
        },
        [this] {
            const auto contacts = mesh_.contacts();
            return static_cast<int>(std::count_if(contacts.begin(), contacts.end(), [this](const NodeInfo &node) {
                return node.name < settings_.name && !node.leading && !node.stopping && node.storeReached;
            }));
        },
        [this] { return storeReached(); },
        settings_.name,
        settings_.name + "@" + settings_.controlAddress,
        counts_,
        leaseSettings(settings_),
        {}};
    context.settings.returnAfter = settings_.leaseLimit * 1.5;
    controller_ = std::make_unique<control::Controller>(std::move(context));
    mesh_.setHandler([this](const std::string &method, const Json &body, std::function<void(Json)> reply) {
        return peerCall(method, body, std::move(reply));
    });
    mesh_.onLost([this](const std::string &) {
        for (const absl::Duration delay : LaterScans) {
            net::runAfter(loop_, delay, [this] { jobs_->scanOrphans(); });
        }
    });
    mesh_.setExtra([this]() -> Json {
        return controller_->leading() ? Json{{"plan", controller_->modelByReplica()}} : Json();
    });
    mesh_.onExtra([this](const Json &extra) {
        if (extra.is_object() && extra.contains("plan") && extra["plan"].is_object()) {
            remotePlan_.clear();
            for (const auto &[replica, model] : extra["plan"].items()) {
                remotePlan_[replica] = model.is_string() ? model.get<std::string>() : std::string();
            }
        }
    });
}

void Node::start()
{
    telemetry::log(Level::Info, "node", "started",
                   {{"node", settings_.name},
                    {"incarnation", incarnation_},
                    {"zone", settings_.availabilityZone},
                    {"front", settings_.frontAddress}});
    addSeeds(settings_.seeds);
    configMirror_.start();
    replicaMirror_.start();
    nodeMirror_.start();
    registerNode();
    mesh_.start();
    net::runEvery(loop_, FastPeriod, [this] { fast(); });
    net::runEvery(loop_, SlowPeriod, [this] { slow(); });
    for (const absl::Duration delay : FirstScans) {
        net::runAfter(loop_, delay, [this] { jobs_->scanOrphans(); });
    }
}

void Node::stop()
{
    stopping_ = true;
    jobs_->release();
    controller_->release();
}

void Node::addSeeds(const std::vector<std::string> &seeds)
{
    for (const std::string &seed : seeds) {
        mesh_.addSeed(seed);
    }
}

bool Node::storeReached() const
{
    return configMirror_.synced() && !configMirror_.failing();
}

bool Node::ready() const
{
    return !stopping_ && config_.has_value();
}

NodeInfo Node::info() const
{
    NodeInfo info;
    info.name = settings_.name;
    info.incarnation = incarnation_;
    info.control = settings_.controlAddress;
    info.front = settings_.frontAddress;
    info.availabilityZone = settings_.availabilityZone;
    info.region = settings_.region;
    info.stopping = stopping_;
    info.ready = ready();
    info.storeReached = storeReached();
    info.leading = controller_ != nullptr && controller_->leading();
    info.configRevision = config_ ? config_->revision : 0;
    return info;
}

absl::Duration Node::answerTtl() const
{
    return std::min(AnswerTtl, settings_.answerTtlMax);
}

net::ServerLimits Node::limits() const
{
    return config_ ? config_->limits : net::ServerLimits{};
}

std::vector<std::string> Node::addressesFor(const std::string &region, const std::string &availabilityZone) const
{
    std::vector<NodeInfo> nodes = mesh_.contacts();
    nodes.push_back(info());
    std::vector<std::string> addresses;
    const auto take = [&](const auto &fits) {
        for (const NodeInfo &node : nodes) {
            if (node.ready && !node.stopping && !node.front.empty() && fits(node)
                && std::find(addresses.begin(), addresses.end(), node.front) == addresses.end()
                && addresses.size() < MaxAddresses) {
                addresses.push_back(node.front);
            }
        }
        return addresses.size() >= EnoughAddresses;
    };
    if (!take([&](const NodeInfo &node) { return node.availabilityZone == availabilityZone; })
        && !take([&](const NodeInfo &node) { return node.region == region; })) {
        take([](const NodeInfo &) { return true; });
    }
    return addresses;
}

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
    jobs_->pump();
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
    jobs_->pump();
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
    const auto again = [this] {
        net::runAfter(loop_, absl::Seconds(1), [this] { registerNode(); });
    };
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

// Requests

std::optional<std::string> Node::authorizeJobCall(const serving::InboundRequest &request,
                                                  const serving::AnswerSink &sink) const
{
    if (!config_) {
        serving::refuse(sink, 503, "no configuration yet", RefusalRetryAfter);
        return std::nullopt;
    }
    if (config_->workspaces.empty()) {
        return std::string();
    }
    const serving::Workspace *workspace = config_->workspaceOfKey(request.key);
    if (workspace == nullptr) {
        telemetry::log(Level::Warning, "request", "key_refused",
                       {telemetry::requestId(request.id), {"config_version", config_->version}});
        serving::refuse(sink, 401, "unknown key", absl::ZeroDuration());
        return std::nullopt;
    }
    return workspace->name;
}

void Node::handleRequest(serving::InboundRequest request, serving::AnswerSink sink)
{
    if (!config_) {
        serving::refuse(sink, 503, "no configuration yet", RefusalRetryAfter);
        return;
    }
    const serving::Route *route = config_->match(request.host, net::pathOf(request.target));
    if (route == nullptr || route->services.empty()) {
        telemetry::log(Level::Warning, "request", "no_route",
                       {telemetry::requestId(request.id),
                        {"host", request.host},
                        {"config_version", config_->version}});
        serving::refuse(sink, 404, "no route", absl::ZeroDuration());
        return;
    }
    std::string workspace;
    if (!route->open) {
        const auto authorized = authorizeJobCall(request, sink);
        if (!authorized) {
            return;
        }
        workspace = *authorized;
    } else if (const serving::Workspace *known = config_->workspaceOfKey(request.key)) {
        workspace = known->name;
    }
    if (request.id.empty()) {
        serving::refuse(sink, 400, "the request has no id", absl::ZeroDuration());
        return;
    }
    if (route->kind != serving::RouteKind::Rollout) {
        requests_.run(std::move(request), *route, workspace, std::move(sink));
        return;
    }
    auto spec = binding_.parseJob(request, workspace);
    if (!spec.ok()) {
        telemetry::log(Level::Warning, "job", "unreadable",
                       {telemetry::requestId(request.id), {"message", std::string(spec.status().message())}});
        serving::refuse(sink, 400, std::string(spec.status().message()), absl::ZeroDuration());
        return;
    }
    if (!storeReached() && mesh_.peerWithStore().empty()) {
        serving::refuse(sink, 503, "the object store is away", RefusalRetryAfter);
        return;
    }
    jobs_->submit(*std::move(spec), [sink = std::move(sink)](jobs::SubmitOutcome outcome) {
        switch (outcome) {
        case jobs::SubmitOutcome::Accepted:
            sink.respond(202, {}, "");
            return;
        case jobs::SubmitOutcome::Refused:
            serving::refuse(sink, 503, "not accepted", RefusalRetryAfter);
            return;
        case jobs::SubmitOutcome::Unknown:
            serving::refuse(sink, 502, "not known whether it was accepted", absl::ZeroDuration());
            return;
        }
    });
}

// Store calls through other nodes

void Node::relay(Json call, std::function<void(const objects::StoreCallback &)> direct, objects::StoreCallback done)
{
    const auto throughPeer = [this, call](const std::string &peer, StoreOutcome before, objects::StoreCallback then) {
        mesh_.call(peer, "store/call", call, RelayTimeout,
                   [before, then = std::move(then)](const absl::StatusOr<Json> &reply) {
                       const auto decoded = reply.ok() ? parseReply(*reply) : std::nullopt;
                       if (decoded) {
                           then(*decoded);
                           return;
                       }
                       const bool untouched = before == StoreOutcome::Refused && !reply.ok()
                           && errorContext(reply.status()).outcome == Outcome::NotRun;
                       StoreReply failed;
                       failed.outcome = untouched ? StoreOutcome::Refused : StoreOutcome::Unknown;
                       then(failed);
                   });
    };
    const std::string peer = mesh_.peerWithStore();
    if (!peer.empty() && (!storeReached() || net::loopNow() < directAgainAt_)) {
        throughPeer(peer, StoreOutcome::Refused, std::move(done));
        return;
    }
    direct([this, throughPeer, done = std::move(done)](const StoreReply &reply) {
        const bool failed = reply.outcome == StoreOutcome::Refused || reply.outcome == StoreOutcome::Unknown;
        const std::string other = failed ? mesh_.peerWithStore() : std::string();
        if (other.empty()) {
            done(reply);
            return;
        }
        directAgainAt_ = net::loopNow() + DirectPause;
        throughPeer(other, reply.outcome, done);
    });
}

objects::ObjectPort Node::relayedStore()
{
    const objects::ObjectPort direct = binding_.store;
    objects::ObjectPort port = direct;
    port.get = [this, direct](const std::string &kind, const std::string &name, objects::StoreCallback done) {
        relay({{"op", "get"}, {"kind", kind}, {"name", name}},
              [direct, kind, name](const objects::StoreCallback &then) { direct.get(kind, name, then); },
              std::move(done));
    };
    port.list = [this, direct](const std::string &kind, const std::string &after, objects::StoreCallback done) {
        relay({{"op", "list"}, {"kind", kind}, {"name", after}},
              [direct, kind, after](const objects::StoreCallback &then) { direct.list(kind, after, then); },
              std::move(done));
    };
    port.create = [this, direct](const std::string &kind, const std::string &name, const Json &value,
                                 objects::StoreCallback done) {
        relay({{"op", "create"}, {"kind", kind}, {"name", name}, {"value", value}},
              [direct, kind, name, value](const objects::StoreCallback &then) {
                  direct.create(kind, name, value, then);
              },
              std::move(done));
    };
    port.replace = [this, direct](const std::string &kind, const std::string &name, std::uint64_t revision,
                                  const Json &value, objects::StoreCallback done) {
        relay({{"op", "replace"}, {"kind", kind}, {"name", name}, {"revision", revision}, {"value", value}},
              [direct, kind, name, revision, value](const objects::StoreCallback &then) {
                  direct.replace(kind, name, revision, value, then);
              },
              std::move(done));
    };
    return port;
}

// Other nodes

bool Node::peerCall(const std::string &method, const Json &body, std::function<void(Json)> reply)
{
    if (method == "usage/counts") {
        reply(controller_->usageOf(fieldOr<std::uint64_t>(body, "window", 0)));
        return true;
    }
    if (method == "node/snapshot") {
        reply(snapshot(fieldOr<std::uint64_t>(body, "config", 0)));
        return true;
    }
    if (method == "store/call") {
        const auto done = [reply = std::move(reply)](const StoreReply &result) { reply(encodeReply(result)); };
        const std::string op = fieldOr<std::string>(body, "op", "");
        const std::string kind = fieldOr<std::string>(body, "kind", "");
        const std::string name = fieldOr<std::string>(body, "name", "");
        const Json value = body.contains("value") ? body["value"] : Json();
        if (op == "get") {
            binding_.store.get(kind, name, done);
        } else if (op == "list") {
            binding_.store.list(kind, name, done);
        } else if (op == "create") {
            binding_.store.create(kind, name, value, done);
        } else if (op == "replace") {
            binding_.store.replace(kind, name, fieldOr<std::uint64_t>(body, "revision", 0), value, done);
        } else {
            return false;
        }
        return true;
    }
    return jobs_->peerCall(method, body, std::move(reply));
}

Json Node::snapshot(std::uint64_t configRevision) const
{
    Json reply = Json::object();
    if (config_ && config_->revision > configRevision) {
        reply["config"] = toJson(configObject_);
    }
    if (replicaMirror_.synced() && !replicaMirror_.failing()) {
        Json replicas = Json::array();
        for (const auto &[id, object] : replicaObjects_) {
            replicas.push_back(toJson(object));
        }
        reply["replicas"] = std::move(replicas);
    }
    return reply;
}

void Node::catchUp()
{
    bool behind = false;
    for (const NodeInfo &node : mesh_.contacts()) {
        behind = behind || (config_ ? node.configRevision > config_->revision : node.configRevision > 0);
    }
    const bool blind = !storeReached() || replicaMirror_.failing() || !replicaMirror_.synced();
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
        applyConfig(parseObject(reply["config"]), "node");
    }
    const bool blind = replicaMirror_.failing() || !replicaMirror_.synced();
    if (!reply.contains("replicas") || !blind) {
        return;
    }
    std::map<std::string, objects::StoredObject> listed;
    for (const Json &entry : reply["replicas"]) {
        objects::StoredObject object = parseObject(entry);
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

// Periodic work

void Node::fast()
{
    replicas_.expire(net::loopNow());
    if (!stopping_) {
        controller_->poll();
    }
    jobs_->tick();
}

void Node::slow()
{
    catchUp();
    forgetLostNodes();
}

} // namespace currantlug::node
