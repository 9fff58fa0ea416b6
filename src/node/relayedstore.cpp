// Relays store calls to peers and executes those that peers relay to this node.
#include "node/relayedstore.h"

#include "core/error.h"

namespace currantlug::node {

using objects::StoreCallback;
using objects::StoredObject;
using objects::StoreOutcome;
using objects::StoreReply;

namespace {

constexpr absl::Duration RelayTimeout = absl::Milliseconds(2500); // Limit of a store call plus transfer between nodes.
constexpr absl::Duration DirectRetryDelay = absl::Seconds(2); // After a failed direct call.

Json encodeReply(const StoreReply &reply)
{
    Json changes = Json::array();
    for (const objects::ObjectChange &change : reply.changes) {
        changes.push_back(encodeObject(change.object));
    }
    return {{"outcome", nameOf(reply.outcome)}, {"as_of", reply.asOf}, {"more", reply.more}, {"changes", changes}};
}

std::optional<StoreReply> decodeReply(const Json &value)
{
    const auto outcome = parseEnum<StoreOutcome>(fieldOr<std::string>(value, "outcome", ""));
    if (!outcome) {
        return std::nullopt;
    }
    StoreReply reply;
    reply.outcome = *outcome;
    reply.asOf = fieldOr<std::uint64_t>(value, "as_of", 0);
    reply.more = fieldOr<bool>(value, "more", false);
    for (const Json &change : fieldOrNull(value, "changes")) {
        reply.changes.push_back({decodeObject(change), false});
    }
    return reply;
}

} // namespace

Json encodeObject(const StoredObject &object)
{
    return {{"name", object.name}, {"revision", object.revision}, {"value", object.value}};
}

StoredObject decodeObject(const Json &value)
{
    StoredObject object;
    object.name = fieldOr<std::string>(value, "name", "");
    object.revision = fieldOr<std::uint64_t>(value, "revision", 0);
    object.value = fieldOrNull(value, "value");
    return object;
}

StoreOutcome joinedOutcome(StoreOutcome direct, StoreOutcome throughPeer)
{
    return direct == StoreOutcome::Unknown && throughPeer == StoreOutcome::Refused ? StoreOutcome::Unknown
                                                                                   : throughPeer;
}

RelayedStore::RelayedStore(objects::ObjectPort direct, PeerMesh &mesh, std::function<bool()> storeReached)
    : direct_(std::move(direct))
    , mesh_(mesh)
    , storeReached_(std::move(storeReached))
{
}

void RelayedStore::callThroughPeer(const std::string &peer, const Json &call, StoreOutcome directOutcome,
                                   StoreCallback done)
{
    mesh_.call(peer, Method, call, RelayTimeout,
               [directOutcome, done = std::move(done)](const absl::StatusOr<Json> &reply) {
                   auto decoded = reply.ok() ? decodeReply(*reply) : std::nullopt;
                   if (!decoded) {
                       const bool notExecuted = !reply.ok() && errorContext(reply.status()).outcome == Outcome::NotRun;
                       decoded.emplace().outcome = notExecuted ? StoreOutcome::Refused : StoreOutcome::Unknown;
                   }
                   decoded->outcome = joinedOutcome(directOutcome, decoded->outcome);
                   done(*decoded);
               });
}

void RelayedStore::callWithFallback(const Json &call, const serving::RegionSet &regions, const DirectCall &direct,
                                    StoreCallback done)
{
    const std::string peer = mesh_.peerWithStore(regions);
    if (!peer.empty() && (!storeReached_() || net::loopNow() < nextDirectCall_)) {
        callThroughPeer(peer, call, StoreOutcome::Refused, std::move(done));
        return;
    }
    direct([this, call, regions, done = std::move(done)](const StoreReply &reply) {
        const bool failed = reply.outcome == StoreOutcome::Refused || reply.outcome == StoreOutcome::Unknown;
        const std::string other = failed ? mesh_.peerWithStore(regions) : std::string();
        if (other.empty()) {
            done(reply);
            return;
        }
        nextDirectCall_ = net::loopNow() + DirectRetryDelay;
        callThroughPeer(other, call, reply.outcome, done);
    });
}

objects::ObjectPort RelayedStore::port(const serving::RegionSet &regions)
{
    objects::ObjectPort port = direct_;
    port.get = [this, regions](const std::string &kind, const std::string &name, StoreCallback done) {
        callWithFallback(
            {{"op", "get"}, {"kind", kind}, {"name", name}}, regions,
            [this, kind, name](const StoreCallback &then) { direct_.get(kind, name, then); }, std::move(done));
    };
    port.list = [this, regions](const std::string &kind, const std::string &after, StoreCallback done) {
        callWithFallback(
            {{"op", "list"}, {"kind", kind}, {"name", after}}, regions,
            [this, kind, after](const StoreCallback &then) { direct_.list(kind, after, then); }, std::move(done));
    };
    port.create = [this, regions](const std::string &kind, const std::string &name, const Json &value,
                                  StoreCallback done) {
        callWithFallback(
            {{"op", "create"}, {"kind", kind}, {"name", name}, {"value", value}}, regions,
            [this, kind, name, value](const StoreCallback &then) { direct_.create(kind, name, value, then); },
            std::move(done));
    };
    port.replace = [this, regions](const std::string &kind, const std::string &name, std::uint64_t revision,
                                   const Json &value, StoreCallback done) {
        callWithFallback(
            {{"op", "replace"}, {"kind", kind}, {"name", name}, {"revision", revision}, {"value", value}}, regions,
            [this, kind, name, revision, value](const StoreCallback &then) {
                direct_.replace(kind, name, revision, value, then);
            },
            std::move(done));
    };
    return port;
}

bool RelayedStore::serve(const objects::ObjectPort &direct, const Json &body, std::function<void(Json)> reply)
{
    const auto done = [reply = std::move(reply)](const StoreReply &result) { reply(encodeReply(result)); };
    const std::string op = fieldOr<std::string>(body, "op", "");
    const std::string kind = fieldOr<std::string>(body, "kind", "");
    const std::string name = fieldOr<std::string>(body, "name", "");
    const Json value = fieldOrNull(body, "value");
    if (op == "get") {
        direct.get(kind, name, done);
    } else if (op == "list") {
        direct.list(kind, name, done);
    } else if (op == "create") {
        direct.create(kind, name, value, done);
    } else if (op == "replace") {
        direct.replace(kind, name, fieldOr<std::uint64_t>(body, "revision", 0), value, done);
    } else {
        return false;
    }
    return true;
}

} // namespace currantlug::node
