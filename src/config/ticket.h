// Tickets: numbered configuration changes. A ticket carries the whole new state of every object it touches.
#ifndef CURRANTLUG_CONFIG_TICKET_H
#define CURRANTLUG_CONFIG_TICKET_H

#include "config/flatmap.h"
#include "config/problem.h"
#include "core/enumnames.h"
#include "core/ids.h"
#include "core/json.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace currantlug::config {

/// Largest ticket and largest state, in bytes of JSON. Both are one value of the object store, which holds up to 1 MB.
inline constexpr std::size_t MaxObjectBytes = 1'000'000;

using ModelVersionId = NamedId<struct ModelVersionTag>;

enum class PoolKind {
    Engine,
    Service,
};

struct Workspace
{
    double weight = 1; ///< Share of contended endpoints relative to other workspaces; above 0.
    double tokensPerSecond = 0; ///< Rate limit; 0 means no limit.
    std::uint64_t maxInFlight = 0; ///< Requests at once; 0 means no limit.

    friend bool operator==(const Workspace &, const Workspace &) = default;
};

struct Key
{
    WorkspaceId workspace;
    std::string digest; ///< SHA-256 of the key as 64 lower-case hexadecimal digits.

    friend bool operator==(const Key &, const Key &) = default;
};

struct Route
{
    WorkspaceId workspace; ///< Empty exactly when the route is open.
    bool open = false; ///< Needs no key.
    PoolId pool;
    PoolKind kind = PoolKind::Engine;
    bool repeatable = false; ///< Calls may be retried and hedged.
    std::string keyField; ///< Field of the request body that may hold the key; empty for none.

    friend bool operator==(const Route &, const Route &) = default;
};

struct Endpoint
{
    EndpointId name;
    std::string address; ///< IPv4 address and port, "10.0.0.1:8000".
    ZoneId zone;
    bool cheap = false; ///< May vanish on seconds' notice.
    bool checksFencing = false; ///< Rejects orders with a stale fencing token.

    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

struct Pool
{
    PoolKind kind = PoolKind::Engine;
    std::string model; ///< Empty exactly for services.
    std::vector<Endpoint> endpoints;
    std::uint64_t min = 0; ///< Replicas ordered at least.
    std::uint64_t max = 0; ///< Replicas ordered at most; at least min.
    double spendPerHour = 0; ///< Upper bound of what the pool may cost.

    friend bool operator==(const Pool &, const Pool &) = default;
};

struct ModelVersion
{
    std::string model;
    std::uint64_t version = 0;

    friend bool operator==(const ModelVersion &, const ModelVersion &) = default;
};

/// The objects of one ticket or of one state.
struct ObjectSet
{
    FlatMap<WorkspaceId, Workspace> workspaces;
    FlatMap<KeyId, Key> keys;
    FlatMap<RouteId, Route> routes;
    FlatMap<PoolId, Pool> pools;
    FlatMap<ModelVersionId, ModelVersion> modelVersions;

    bool empty() const;
    friend bool operator==(const ObjectSet &, const ObjectSet &) = default;
};

/// The objects that a ticket removes. Removing a key withdraws it.
struct RemovalSet
{
    std::vector<WorkspaceId> workspaces;
    std::vector<KeyId> keys;
    std::vector<RouteId> routes;
    std::vector<PoolId> pools;
    std::vector<ModelVersionId> modelVersions;

    bool empty() const;
    friend bool operator==(const RemovalSet &, const RemovalSet &) = default;
};

struct Ticket
{
    std::uint64_t number = 0; ///< Position in the sequence of tickets; the first is 1.
    std::string nonce; ///< Tells the filer's own write from another one; the filer sets it where it is empty.
    std::string author;
    std::string note;
    std::int64_t filedMs = 0; ///< Wall time in ms since the epoch, for display only.
    ObjectSet set;
    RemovalSet remove;

    friend bool operator==(const Ticket &, const Ticket &) = default;
};

/// Reads a ticket. Reports all problems at once (kInvalidArgument); unknown fields are problems, so that a misspelt
/// field never takes effect as its default.
absl::StatusOr<Ticket> parseTicket(const Json &json);

/// Parses and reads a stored or sent ticket; also checks the size limit.
absl::StatusOr<Ticket> parseTicketText(std::string_view text);

Json toJson(const Ticket &ticket);

/// Paths like "keys/k1" of the objects that both tickets set or remove.
std::vector<std::string> touchedByBoth(const Ticket &a, const Ticket &b);

/// True if the tickets are the same operator's change: equal but for the time they were filed.
bool sameChange(const Ticket &a, const Ticket &b);

} // namespace currantlug::config

template<>
struct currantlug::EnumNames<currantlug::config::PoolKind>
{
    using PoolKind = currantlug::config::PoolKind;
    static constexpr std::array<std::pair<PoolKind, std::string_view>, 2> Table{{
        {PoolKind::Engine, "engine"},
        {PoolKind::Service, "service"},
    }};
};

#endif
