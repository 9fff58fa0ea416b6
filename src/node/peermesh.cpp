// Probes, their replies and calls between nodes, sent over HTTP with CBOR bodies.
#include "node/peermesh.h"

#include "core/cbor.h"
#include "core/error.h"
#include "telemetry/log.h"

#include <absl/strings/match.h>
#include <absl/strings/strip.h>

#include <algorithm>

namespace currantlug::node {

using telemetry::Level;

namespace {

constexpr std::string_view PathPrefix = "/peer/";
constexpr const char *SyncMethod = "sync";

} // namespace

Json toJson(const serving::SuspectStatement &statement)
{
    const Instant now = net::loopNow();
    Json crashes = Json::array();
    for (const serving::ReplicaCrash &crash : statement.crashes) {
        crashes.push_back({crash.replica, absl::ToInt64Milliseconds(now - crash.at)});
    }
    Json json{{"digest", statement.digest}, {"crashes", std::move(crashes)}};
    if (statement.clearedAt) {
        json["cleared_ms_ago"] = absl::ToInt64Milliseconds(now - *statement.clearedAt);
    }
    return json;
}

std::optional<serving::SuspectStatement> parseSuspectStatement(const Json &value)
{
    const Instant now = net::loopNow();
    serving::SuspectStatement statement;
    statement.digest = fieldOr<std::string>(value, "digest", "");
    if (statement.digest.empty()) {
        return std::nullopt;
    }
    for (const Json &crash : fieldOrNull(value, "crashes")) {
        if (crash.is_array() && crash.size() == 2 && crash[0].is_string() && crash[1].is_number_integer()) {
            statement.crashes.push_back(
                {crash[0].get<std::string>(), now - absl::Milliseconds(crash[1].get<std::int64_t>())});
        }
    }
    const auto cleared = fieldOr<std::int64_t>(value, "cleared_ms_ago", -1);
    if (cleared >= 0) {
        statement.clearedAt = now - absl::Milliseconds(cleared);
    }
    return statement;
}

Json toJson(const serving::EvacuationView &view)
{
    Json ended = Json::array();
    for (const auto &[zone, revision] : view.ended) {
        ended.push_back({zone, revision});
    }
    return {{"revision", view.revision}, {"zones", view.zones}, {"ended", std::move(ended)}};
}

serving::EvacuationView parseEvacuationView(const Json &value)
{
    serving::EvacuationView view;
    const Json zones = fieldOrNull(value, "zones");
    if (!zones.is_array()) {
        return view;
    }
    for (const Json &zone : zones) {
        if (zone.is_string()) {
            view.zones.insert(zone.get<std::string>());
        }
    }
    const Json ended = fieldOrNull(value, "ended");
    for (const Json &end : ended) {
        if (end.is_array() && end.size() == 2 && end[0].is_string() && end[1].is_number_integer()) {
            view.ended[end[0].get<std::string>()] = end[1].get<std::uint64_t>();
        }
    }
    view.revision = fieldOr<std::uint64_t>(value, "revision", 0);
    return view;
}

Json toJson(const NodeInfo &info)
{
    Json json{{"name", info.name},
              {"incarnation", info.incarnation},
              {"control", info.control},
              {"front", info.front},
              {"availability_zone", info.availabilityZone},
              {"region", info.region},
              {"stopping", info.stopping},
              {"ready", info.ready},
              {"store", info.storeReached},
              {"leading", info.leading},
              {"config", info.configRevision},
              {"processor", info.processorShare},
              {"texts", info.holdsTexts}};
    for (const serving::ReplicaIncarnation &replica : info.leavingReplicas) {
        json["leaving"].push_back({replica.id, replica.address, replica.startedAtMs});
    }
    const Instant now = net::loopNow();
    for (const serving::LimitStatement &statement : info.replicaLimits) {
        json["limits"].push_back({statement.replica.id, statement.replica.address, statement.replica.startedAtMs,
                                  statement.requestLimit ? Json(*statement.requestLimit) : Json(),
                                  absl::ToInt64Milliseconds(now - statement.statedAt)});
    }
    for (const auto &[model, demand] : info.modelDemand) {
        json["demand"][model] = {{"tokens_per_s", demand.tokensPerSecond}, {"items", demand.items}};
    }
    if (info.evacuations) {
        json["evacuations"] = toJson(*info.evacuations);
    }
    for (const serving::SuspectStatement &statement : info.crashSuspects) {
        json["suspects"].push_back(toJson(statement));
    }
    return json;
}

std::optional<NodeInfo> parseNodeInfo(const Json &value)
{
    NodeInfo info;
    info.name = fieldOr<std::string>(value, "name", "");
    info.incarnation = fieldOr<std::string>(value, "incarnation", "");
    info.control = fieldOr<std::string>(value, "control", "");
    info.front = fieldOr<std::string>(value, "front", "");
    info.availabilityZone = fieldOr<std::string>(value, "availability_zone", "");
    info.region = fieldOr<std::string>(value, "region", "");
    info.stopping = fieldOr<bool>(value, "stopping", false);
    info.ready = fieldOr<bool>(value, "ready", false);
    info.storeReached = fieldOr<bool>(value, "store", false);
    info.leading = fieldOr<bool>(value, "leading", false);
    info.configRevision = fieldOr<std::uint64_t>(value, "config", 0);
    info.processorShare = fieldOr<double>(value, "processor", 0);
    info.holdsTexts = fieldOr<bool>(value, "texts", true);
    if (info.name.empty() || info.control.empty()) {
        return std::nullopt;
    }
    for (const Json &replica : fieldOrNull(value, "leaving")) {
        if (replica.is_array() && replica.size() == 3 && replica[0].is_string() && replica[1].is_string()
            && replica[2].is_number_integer()) {
            info.leavingReplicas.push_back(
                {replica[0].get<std::string>(), replica[1].get<std::string>(), replica[2].get<std::int64_t>()});
        }
    }
    if (const Json evacuations = fieldOrNull(value, "evacuations"); evacuations.is_object()) {
        info.evacuations = parseEvacuationView(evacuations);
    }
    const Json demand = fieldOrNull(value, "demand");
    for (const auto &[model, reported] : demand.items()) {
        if (demand.is_object() && reported.is_object()) {
            info.modelDemand[model] = {fieldOr<double>(reported, "tokens_per_s", 0),
                                       fieldOr<double>(reported, "items", 0)};
        } else if (demand.is_object() && reported.is_number()) {
            // Nodes of the release before state only tokens a second.
            info.modelDemand[model] = reported.get<double>();
        }
    }
    for (const Json &suspect : fieldOrNull(value, "suspects")) {
        if (auto statement = parseSuspectStatement(suspect)) {
            info.crashSuspects.push_back(*std::move(statement));
        }
    }
    const Instant now = net::loopNow();
    for (const Json &limit : fieldOrNull(value, "limits")) {
        if (limit.is_array() && limit.size() == 5 && limit[0].is_string() && limit[1].is_string()
            && limit[2].is_number_integer() && (limit[3].is_number() || limit[3].is_null())
            && limit[4].is_number_integer()) {
            serving::LimitStatement statement;
            statement.replica = {limit[0].get<std::string>(), limit[1].get<std::string>(),
                                 limit[2].get<std::int64_t>()};
            if (limit[3].is_number()) {
                statement.requestLimit = limit[3].get<double>();
            }
            statement.statedAt = now - absl::Milliseconds(limit[4].get<std::int64_t>());
            info.replicaLimits.push_back(std::move(statement));
        }
    }
    return info;
}

PeerMesh::PeerMesh(net::Loop &loop, net::HttpClient &client, PeerMeshSettings settings, std::function<NodeInfo()> self)
    : loop_(loop)
    , client_(client)
    , settings_(settings)
    , self_(std::move(self))
    , startedAt_(net::loopNow())
    , membershipChangedAt_(startedAt_)
{
}

void PeerMesh::add(const std::string &name, const std::string &control)
{
    if (name == self_().name) {
        return;
    }
    Peer &peer = peers_[name];
    if (peer.control != control) {
        peer.control = control;
        peer.lastHeard = Instant();
        peer.probedSince = net::loopNow();
        peer.refused = false;
        probe(name);
    }
}

void PeerMesh::removeNode(const std::string &name)
{
    peers_.erase(name);
}

void PeerMesh::addSeed(const std::string &control)
{
    if (control != self_().control && std::find(seeds_.begin(), seeds_.end(), control) == seeds_.end()) {
        seeds_.push_back(control);
    }
}

void PeerMesh::start()
{
    tick();
    net::runEvery(loop_, settings_.checkPeriod, [this] { tick(); });
    probeSeeds();
    net::runEvery(loop_, settings_.period, [this] { probeSeeds(); });
}

bool PeerMesh::inContact(const Peer &peer) const
{
    return peer.lastHeard != Instant() && net::loopNow() - peer.lastHeard < settings_.lostAfter;
}

void PeerMesh::tick()
{
    const Instant now = net::loopNow();
    std::vector<std::string> lost;
    std::vector<std::string> silent;
    for (auto &[name, peer] : peers_) {
        if (peer.wasInContact && !inContact(peer)) {
            membershipChangedAt_ = now;
            peer.wasInContact = false;
            lost.push_back(name);
        }
        if (now - peer.lastHeard >= settings_.period) {
            silent.push_back(name);
        }
    }
    for (const std::string &name : lost) {
        telemetry::log(Level::Warning, "mesh", "node_lost", {{"node", name}});
        lostHandler_(name, peers_[name].info.holdsTexts);
    }
    for (const std::string &name : silent) {
        probe(name);
    }
}

void PeerMesh::probeSeeds()
{
    const bool noContact =
        std::none_of(peers_.begin(), peers_.end(), [this](const auto &entry) { return inContact(entry.second); });
    if (noContact) {
        for (const std::string &seed : seeds_) {
            sendProbe(seed, "");
        }
    }
}

Json PeerMesh::stateMessage() const
{
    Json body{{"info", toJson(self_())}};
    Json state = leaderStateSource_ ? leaderStateSource_() : Json();
    if (!state.is_null()) {
        body["extra"] = std::move(state);
    }
    return body;
}

void PeerMesh::probe(const std::string &name)
{
    Peer &peer = peers_[name];
    if (peer.control.empty() || std::exchange(peer.probePending, true)) {
        return;
    }
    sendProbe(peer.control, name);
}

void PeerMesh::sendProbe(const std::string &control, const std::string &name)
{
    net::HttpRequest request;
    request.method = "POST";
    request.target = std::string(PathPrefix) + SyncMethod;
    request.headers.add("Host", control);
    request.body = encodeCbor(stateMessage());
    net::ClientLimits limits;
    limits.connect = settings_.timeout;
    limits.total = settings_.timeout;
    net::ClientHandlers handlers;
    handlers.onDone = [this, name](absl::StatusOr<net::HttpResponse> response) {
        const auto found = peers_.find(name);
        if (found != peers_.end()) {
            found->second.probePending = false;
        }
        const auto reply = response.ok() && response->status == 200 ? parseCbor(response->body) : std::nullopt;
        if (reply) {
            onProbeReply(name, *reply);
        } else if (found != peers_.end() && !response.ok() && response.status().code() == absl::StatusCode::kUnavailable
                   && errorContext(response.status()).step == Step::Connect) {
            // The connection was refused: no process listens at the address.
            found->second.lastHeard = Instant();
            found->second.refused = true;
            if (std::exchange(found->second.wasInContact, false)) {
                membershipChangedAt_ = net::loopNow();
                telemetry::log(Level::Warning, "mesh", "node_refuses", {{"node", name}});
                lostHandler_(name, found->second.info.holdsTexts);
            }
        }
    };
    client_.call(control, request, limits, std::move(handlers));
}

void PeerMesh::updatePeer(const NodeInfo &info)
{
    Peer &peer = peers_[info.name];
    if (peer.probedSince == Instant()) {
        peer.probedSince = net::loopNow();
    }
    const bool restarted = !peer.info.incarnation.empty() && peer.info.incarnation != info.incarnation;
    const bool beganStopping = info.stopping && !peer.info.stopping;
    const bool announced = peer.info.stopping;
    const bool heldTexts = restarted ? peer.info.holdsTexts : info.holdsTexts;
    peer.control = info.control;
    peer.info = info;
    if (restarted || beganStopping) {
        membershipChangedAt_ = net::loopNow();
        // A process that was ended from outside, or by itself, leaves no line of its own.
        const std::string_view event = !restarted ? "node_stopping"
            : announced                           ? "node_restarted"
                                                  : "node_restarted_unannounced";
        telemetry::log(restarted && !announced ? Level::Warning : Level::Info, "mesh", event,
                       {{"node", info.name}, {"incarnation", info.incarnation}});
        lostHandler_(info.name, heldTexts);
    }
}

void PeerMesh::recordContact(const NodeInfo &info)
{
    updatePeer(info);
    Peer &peer = peers_[info.name];
    peer.lastHeard = net::loopNow();
    peer.refused = false;
    if (!std::exchange(peer.wasInContact, true)) {
        membershipChangedAt_ = peer.lastHeard;
        telemetry::log(Level::Info, "mesh", "node_found",
                       {{"node", info.name}, {"incarnation", info.incarnation}, {"known", peers_.size()}});
    }
}

void PeerMesh::onProbeReply(const std::string &name, const Json &reply)
{
    const auto info = reply.is_object() && reply.contains("info") ? parseNodeInfo(reply["info"]) : std::nullopt;
    if (!info || info->name == self_().name || (!name.empty() && name != info->name)) {
        return;
    }
    recordContact(*info);
    if (reply.contains("extra") && info->leading) {
        leaderStateHandler_(reply["extra"]);
    }
    if (reply.contains("nodes") && reply["nodes"].is_object()) {
        for (const auto &[other, control] : reply["nodes"].items()) {
            if (control.is_string() && !peers_.contains(other)) {
                add(other, control.get<std::string>());
            }
        }
    }
}

void PeerMesh::serve(const net::ServerCallPtr &call)
{
    const net::HttpRequest &request = call->request();
    const auto respond = [call](const Json &value) {
        net::Headers headers;
        headers.add("Content-Type", "application/cbor");
        call->respond(200, headers, encodeCbor(value));
    };
    const auto body = parseCbor(request.body);
    if (!absl::StartsWith(request.target, std::string(PathPrefix)) || !body) {
        call->respond(400, {}, "unreadable call between nodes");
        return;
    }
    const std::string method = request.target.substr(PathPrefix.size());
    if (method != SyncMethod) {
        if (!handler_(method, *body, respond)) {
            call->respond(404, {}, "unknown method");
        }
        return;
    }
    const auto info = body->is_object() && body->contains("info") ? parseNodeInfo((*body)["info"]) : std::nullopt;
    if (info && info->name != self_().name) {
        recordContact(*info);
        if (body->contains("extra") && info->leading) {
            leaderStateHandler_((*body)["extra"]);
        }
    }
    Json reply = stateMessage();
    // A node without a configuration has probably just started and needs the addresses of the other nodes.
    if (info && info->configRevision == 0) {
        Json nodes = Json::object();
        for (const auto &[name, peer] : peers_) {
            nodes[name] = peer.control;
        }
        reply["nodes"] = std::move(nodes);
    }
    respond(reply);
}

void PeerMesh::call(const std::string &node, const std::string &method, const Json &body, absl::Duration timeout,
                    jobs::PeerPort::Callback done)
{
    const auto found = peers_.find(node);
    if (found == peers_.end() || found->second.control.empty()) {
        boost::asio::post(loop_, [node, done = std::move(done)] {
            done(makeError(absl::StatusCode::kUnavailable, Step::Mesh, node, Outcome::NotRun, "unknown node"));
        });
        return;
    }
    net::HttpRequest request;
    request.method = "POST";
    request.target = std::string(PathPrefix) + method;
    request.headers.add("Host", found->second.control);
    request.body = encodeCbor(body);
    net::ClientLimits limits;
    limits.connect = std::min(timeout, settings_.timeout);
    limits.total = timeout;
    net::ClientHandlers handlers;
    handlers.onDone = [node, done = std::move(done)](absl::StatusOr<net::HttpResponse> response) {
        if (!response.ok()) {
            done(response.status());
            return;
        }
        auto reply = response->status == 200 ? parseCbor(response->body) : std::nullopt;
        if (!reply) {
            done(makeError(absl::StatusCode::kDataLoss, Step::Mesh, node, Outcome::MayHaveRun, "unreadable answer"));
            return;
        }
        done(*std::move(reply));
    };
    client_.call(found->second.control, request, limits, std::move(handlers));
}

std::vector<std::string> PeerMesh::live() const
{
    std::vector<std::string> names;
    for (const auto &[name, peer] : peers_) {
        if (inContact(peer) && !peer.info.stopping) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> PeerMesh::reachable() const
{
    std::vector<std::string> names;
    for (const NodeInfo &info : contacts()) {
        names.push_back(info.name);
    }
    return names;
}

std::vector<std::string> PeerMesh::textHolders() const
{
    std::vector<std::string> names;
    for (const NodeInfo &info : contacts()) {
        if (info.holdsTexts) {
            names.push_back(info.name);
        }
    }
    return names;
}

std::vector<jobs::JobHost> PeerMesh::jobHosts() const
{
    std::vector<jobs::JobHost> hosts;
    for (const NodeInfo &info : contacts()) {
        if (!info.stopping) {
            hosts.push_back({info.name, info.processorShare, info.ready && info.storeReached, info.region});
        }
    }
    return hosts;
}

std::vector<NodeInfo> PeerMesh::contacts() const
{
    std::vector<NodeInfo> infos;
    for (const auto &[name, peer] : peers_) {
        if (inContact(peer)) {
            infos.push_back(peer.info);
        }
    }
    return infos;
}

bool PeerMesh::isAlive(const std::string &node, const std::string &incarnation) const
{
    const auto found = peers_.find(node);
    return found != peers_.end() && inContact(found->second) && !found->second.info.stopping
        && found->second.info.incarnation == incarnation;
}

bool PeerMesh::isLost(const std::string &node, const std::string &incarnation) const
{
    const Instant now = net::loopNow();
    const auto found = peers_.find(node);
    if (found == peers_.end()) {
        // The node isn't registered, or the registrations haven't been read yet.
        return node == self_().name || now - startedAt_ > settings_.lostAfter;
    }
    const Peer &peer = found->second;
    if (inContact(peer)) {
        return peer.info.stopping || peer.info.incarnation != incarnation;
    }
    return peer.refused || now - std::max(peer.probedSince, peer.lastHeard) > settings_.lostAfter;
}

double PeerMesh::contactShare() const
{
    return static_cast<double>(reachable().size() + 1) / static_cast<double>(peers_.size() + 1);
}

bool PeerMesh::allInContact() const
{
    return std::all_of(peers_.begin(), peers_.end(), [this](const auto &entry) { return inContact(entry.second); });
}

std::vector<std::string> PeerMesh::outOfContact() const
{
    std::vector<std::string> names;
    for (const auto &[name, peer] : peers_) {
        if (!inContact(peer)) {
            names.push_back(name);
        }
    }
    return names;
}

std::string PeerMesh::peerWithStore(const serving::RegionSet &regions) const
{
    for (const auto &[name, peer] : peers_) {
        if (inContact(peer) && peer.info.storeReached && regions.allows(peer.info.region)) {
            return name;
        }
    }
    return {};
}

} // namespace currantlug::node
