// The configuration in force after a number of tickets: for each object, the value of the highest ticket touching it.
#ifndef CURRANTLUG_CONFIG_CONFIGSTATE_H
#define CURRANTLUG_CONFIG_CONFIGSTATE_H

#include "config/ticket.h"

#include <absl/container/flat_hash_map.h>

namespace currantlug::config {

/// Value type; two states with the same number on one site have the same content and digest.
class ConfigState
{
public:
    /// Number of the last applied ticket, 0 before the first.
    std::uint64_t number() const { return number_; }
    const ObjectSet &objects() const { return objects_; }

    /// Applies the next ticket. The number must be number() + 1. Never refuses content: every replica must fold the
    /// stored sequence to the same state, and the filer has validated the ticket.
    void apply(const Ticket &ticket);

    /// Problems of filing the ticket on this state: its number, dangling references, removal of objects that are absent
    /// or in use, duplicate digests, endpoint names or models, and the size of the resulting state.
    Problems validate(const Ticket &ticket) const;

    const Workspace *findWorkspace(const WorkspaceId &id) const { return objects_.workspaces.find(id); }
    const Key *findKey(const KeyId &id) const { return objects_.keys.find(id); }
    const Route *findRoute(const RouteId &id) const { return objects_.routes.find(id); }
    const Pool *findPool(const PoolId &id) const { return objects_.pools.find(id); }

    /// The key with this SHA-256 digest, or nullopt. Constant time.
    std::optional<KeyId> findKeyByDigest(const std::string &digest) const;

    /// The version to run of a model, or nullptr.
    const ModelVersion *findModelVersion(std::string_view model) const;

    /// SHA-256 of number and objects; equal on all replicas with the same number.
    std::string digest() const;

    /// Snapshot {"number","digest","objects"}.
    Json toJson() const;

    /// Reads a snapshot; kDataLoss if the digest does not match, kInvalidArgument if the content is malformed.
    static absl::StatusOr<ConfigState> fromJson(const Json &json);
    static absl::StatusOr<ConfigState> fromText(std::string_view text);

    friend bool operator==(const ConfigState &a, const ConfigState &b)
    {
        return a.number_ == b.number_ && a.objects_ == b.objects_;
    }

private:
    Json content() const;
    void dropDigest(const KeyId &id);

    std::uint64_t number_ = 0;
    ObjectSet objects_;
    absl::flat_hash_map<std::string, KeyId> keyByDigest_; ///< One entry per key in objects_.
};

} // namespace currantlug::config

#endif
