// Folds tickets into the state in force and checks tickets against it.
#include "config/configstate.h"

#include "config/objectjson.h"
#include "config/objectkinds.h"
#include "core/hash.h"

#include <cassert>

namespace currantlug::config {

namespace {

using Need = FieldReader::Need;

// Reports references from `path` to an object that the state after the ticket does not have.
template<class Objects, class Id, class Removed>
void checkReference(const Objects &objects, const Id &id, const Removed &removed, std::string_view kind,
                    const std::string &path, Problems &problems)
{
    if (objects.contains(id)) {
        return;
    }
    if (std::find(removed.begin(), removed.end(), id) != removed.end()) {
        problems.push_back({fmt::format("remove/{}/{}", kind, id.str()), "an object that is not in use",
                            fmt::format("one that {} uses", path)});
    } else {
        problems.push_back({path, fmt::format("the name of one of the {}", kind), id.str()});
    }
}

void checkRemovals(const ObjectSet &before, const RemovalSet &remove, Problems &problems)
{
    detail::forEachKind([&](const char *kind, auto objects, auto removed) {
        for (const auto &id : remove.*removed) {
            if (!(before.*objects).contains(id)) {
                problems.push_back({fmt::format("remove/{}/{}", kind, id.str()), "an object that exists", "none"});
            }
        }
    });
}

void checkKeys(const ObjectSet &after, const Ticket &ticket, Problems &problems)
{
    absl::flat_hash_map<std::string, KeyId> owner;
    for (const auto &[id, key] : after.keys) {
        const std::string path = fmt::format("keys/{}", id.str());
        checkReference(after.workspaces, key.workspace, ticket.remove.workspaces, "workspaces", path + "/workspace",
                       problems);
        const auto [place, isNew] = owner.emplace(key.digest, id);
        if (!isNew) {
            problems.push_back(
                {path + "/digest", "a digest of its own", fmt::format("that of keys/{}", place->second.str())});
        }
    }
}

void checkRoutes(const ObjectSet &after, const Ticket &ticket, Problems &problems)
{
    for (const auto &[id, route] : after.routes) {
        const std::string path = fmt::format("routes/{}", id.str());
        if (!route.open) {
            checkReference(after.workspaces, route.workspace, ticket.remove.workspaces, "workspaces",
                           path + "/workspace", problems);
        }
        checkReference(after.pools, route.pool, ticket.remove.pools, "pools", path + "/pool", problems);
        const Pool *pool = after.pools.find(route.pool);
        if (pool != nullptr && pool->kind != route.kind) {
            problems.push_back({path + "/kind", fmt::format("the kind of its pool ({})", nameOf(pool->kind)),
                                std::string(nameOf(route.kind))});
        }
    }
}

void checkEndpoints(const ObjectSet &after, Problems &problems)
{
    absl::flat_hash_map<std::string, std::string> nameOwner;
    absl::flat_hash_map<std::string, std::string> addressOwner;
    for (const auto &[id, pool] : after.pools) {
        for (std::size_t i = 0; i < pool.endpoints.size(); ++i) {
            const Endpoint &endpoint = pool.endpoints[i];
            const std::string path = fmt::format("pools/{}/endpoints/{}", id.str(), i);
            if (const auto [place, isNew] = nameOwner.emplace(endpoint.name.str(), path); !isNew) {
                problems.push_back({path + "/name", "a name of its own", "that of " + place->second});
            }
            if (const auto [place, isNew] = addressOwner.emplace(endpoint.address, path); !isNew) {
                problems.push_back({path + "/address", "an address of its own", "that of " + place->second});
            }
        }
    }
}

void checkModels(const ObjectSet &before, const ObjectSet &after, const Ticket &ticket, Problems &problems)
{
    absl::flat_hash_map<std::string, std::string> owner;
    for (const auto &[id, version] : after.modelVersions) {
        const auto [place, isNew] = owner.emplace(version.model, id.str());
        if (!isNew) {
            problems.push_back({fmt::format("model_versions/{}/model", id.str()), "a model of its own",
                                "that of model_versions/" + place->second});
        }
    }
    for (const ModelVersionId &id : ticket.remove.modelVersions) {
        const ModelVersion *removed = before.modelVersions.find(id);
        for (const auto &[poolId, pool] : after.pools) {
            if (removed != nullptr && pool.model == removed->model && !owner.contains(pool.model)) {
                problems.push_back({fmt::format("remove/model_versions/{}", id.str()), "an object that is not in use",
                                    fmt::format("the version of the model of pools/{}", poolId.str())});
            }
        }
    }
}

void checkSize(std::string_view path, std::size_t bytes, Problems &problems)
{
    if (bytes > MaxObjectBytes) {
        problems.push_back(
            {std::string(path), fmt::format("at most {} bytes", MaxObjectBytes), fmt::format("{} bytes", bytes)});
    }
}

} // namespace

void ConfigState::apply(const Ticket &ticket)
{
    assert(ticket.number == number_ + 1);
    // Both sets of digests leave the index before the new ones enter it, so that a digest may move between keys.
    for (const KeyId &id : ticket.remove.keys) {
        dropDigest(id);
    }
    for (const auto &[id, key] : ticket.set.keys) {
        dropDigest(id);
    }
    detail::forEachKind([&](const char *, auto objects, auto removed) {
        for (const auto &id : ticket.remove.*removed) {
            (objects_.*objects).erase(id);
        }
        for (const auto &[id, object] : ticket.set.*objects) {
            (objects_.*objects).set(id, object);
        }
    });
    for (const auto &[id, key] : ticket.set.keys) {
        keyByDigest_[key.digest] = id;
    }
    number_ = ticket.number;
}

void ConfigState::dropDigest(const KeyId &id)
{
    const Key *key = objects_.keys.find(id);
    if (key == nullptr) {
        return;
    }
    const auto entry = keyByDigest_.find(key->digest);
    if (entry != keyByDigest_.end() && entry->second == id) {
        keyByDigest_.erase(entry);
    }
}

Problems ConfigState::validate(const Ticket &ticket) const
{
    Problems problems;
    if (ticket.number != number_ + 1) {
        problems.push_back({"number", std::to_string(number_ + 1), std::to_string(ticket.number)});
        return problems;
    }
    if (ticket.set.empty() && ticket.remove.empty()) {
        problems.push_back({"set", "a change of some object", "nothing"});
    }
    ConfigState after = *this;
    after.apply(ticket);
    checkRemovals(objects_, ticket.remove, problems);
    checkKeys(after.objects_, ticket, problems);
    checkRoutes(after.objects_, ticket, problems);
    checkEndpoints(after.objects_, problems);
    checkModels(objects_, after.objects_, ticket, problems);
    checkSize("ticket", config::toJson(ticket).dump().size(), problems);
    // A larger state could not be written as a snapshot, and daemons could not load it.
    checkSize("state after the ticket", after.toJson().dump().size(), problems);
    return problems;
}

std::optional<KeyId> ConfigState::findKeyByDigest(const std::string &digest) const
{
    const auto found = keyByDigest_.find(digest);
    return found == keyByDigest_.end() ? std::nullopt : std::optional(found->second);
}

const ModelVersion *ConfigState::findModelVersion(std::string_view model) const
{
    for (const auto &[id, version] : objects_.modelVersions) {
        if (version.model == model) {
            return &version;
        }
    }
    return nullptr;
}

Json ConfigState::content() const
{
    return {{"number", number_}, {"objects", config::toJson(objects_)}};
}

std::string ConfigState::digest() const
{
    return sha256Hex(content().dump());
}

Json ConfigState::toJson() const
{
    Json json = content();
    json["digest"] = sha256Hex(json.dump());
    return json;
}

absl::StatusOr<ConfigState> ConfigState::fromJson(const Json &json)
{
    constexpr std::size_t DigestBytes = 64;
    Problems problems;
    ConfigState state;
    FieldReader reader(json, "snapshot", problems);
    state.number_ = reader.count("number", Need::Required);
    const std::string digest = reader.text("digest", Need::Required, DigestBytes);
    if (const Json *objects = reader.field("objects", Need::Required, "an object"); objects != nullptr) {
        state.objects_ = parseObjects(*objects, "snapshot/objects", problems);
    }
    reader.finish();
    if (absl::Status status = problemsToStatus(problems); !status.ok()) {
        return status;
    }
    if (state.digest() != digest) {
        return absl::DataLossError(fmt::format("snapshot {} does not match its digest", state.number_));
    }
    for (const auto &[id, key] : state.objects_.keys) {
        state.keyByDigest_[key.digest] = id;
    }
    return state;
}

absl::StatusOr<ConfigState> ConfigState::fromText(std::string_view text)
{
    const std::optional<Json> json = parseJson(text);
    if (!json) {
        return absl::DataLossError("a snapshot is not JSON");
    }
    return fromJson(*json);
}

} // namespace currantlug::config
