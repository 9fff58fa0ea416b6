// The endpoints that this daemon knows, flat and addressed by index, with what is known of each one's load and health.
#ifndef CURRANTLUG_ROUTING_ENDPOINTTABLE_H
#define CURRANTLUG_ROUTING_ENDPOINTTABLE_H

#include "core/ids.h"
#include "core/instant.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace currantlug::routing {

/// What the configuration and the VM list say about an endpoint.
struct EndpointInfo
{
    EndpointId id;
    PoolId pool;
    ZoneId zone;
    RegionId region;
    bool cheap = false; ///< Can vanish with its whole availability zone on seconds' notice.
};

/// What the endpoint says about itself. `age` is the time since it measured this.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double kvUsed = 0; ///< Share of the KV cache in use, 0 to 1.
    std::uint64_t weightVersion = 0;
    std::string role; ///< Empty: serves everything.
    bool leaving = false;
    absl::Duration age;
};

/// Position in the table; stable while the endpoint is listed.
using EndpointIndex = std::uint32_t;

/// One row. Invariant: ownRequests and ownTokens count exactly the attempts that Dispatcher has open there.
struct EndpointState
{
    EndpointInfo info;
    bool listed = false; ///< False for a removed endpoint whose attempts are still open, and for a free row.
    bool leaving = false; ///< Gets no new work; only a new listing after removal returns it.
    std::uint32_t ownRequests = 0;
    double ownTokens = 0; ///< Expected tokens still to come for own requests.
    std::optional<LoadReport> report;
    Instant reportMeasuredAt;
    std::uint32_t ownRequestsAtReport = 0; ///< Own requests when the report arrived, to separate the others' load.
    std::uint32_t consecutiveFailures = 0;
    Instant ejectedUntil;
    double tokensPerSecond = 0; ///< Smoothed rate per stream, 0 while unknown.
};

/// When failing endpoints are taken out of the choice.
struct EndpointTableSettings
{
    std::uint32_t failuresToEject = 3;
    absl::Duration ejectFor = absl::Seconds(5); ///< Doubles with each further failure, up to maxEject.
    absl::Duration maxEject = absl::Seconds(60);
};

/// Rows are found by id or by pool. Not thread-safe.
class EndpointTable
{
public:
    explicit EndpointTable(EndpointTableSettings settings = {});

    /// Adds an endpoint or changes its listing. A leaving endpoint stays leaving until it was removed.
    EndpointIndex upsert(const EndpointInfo &info);
    /// Takes an endpoint out of the choice. Its row is freed when its last own request is closed.
    void remove(const EndpointId &id);

    std::optional<EndpointIndex> find(const EndpointId &id) const;
    const EndpointState &at(EndpointIndex index) const { return rows_[index]; }
    /// Rows of listed endpoints of the pool, in the order of listing.
    const std::vector<EndpointIndex> &inPool(const PoolId &pool) const;

    /// Takes a load report; an older one than the last is ignored.
    void report(const EndpointId &id, const LoadReport &report, Instant now);
    void setLeaving(const EndpointId &id);

    void open(EndpointIndex index, double tokens);
    void close(EndpointIndex index, double tokensLeft);
    void progress(EndpointIndex index, double tokens);
    void succeeded(EndpointIndex index);
    void connectionFailed(EndpointIndex index, Instant now);
    /// Feeds the smoothed token rate of a stream with one finished response.
    void observeRate(EndpointIndex index, double tokensPerSecond);

    /// Whether new work may go there at all: listed, not leaving, not ejected.
    bool available(EndpointIndex index, Instant now) const;
    /// Requests of other daemons, estimated from the last report.
    std::uint32_t othersRequests(EndpointIndex index) const;

private:
    void freeRow(EndpointIndex index);

    EndpointTableSettings settings_;
    std::vector<EndpointState> rows_;
    std::vector<EndpointIndex> free_;
    absl::flat_hash_map<EndpointId, EndpointIndex> byId_;
    absl::flat_hash_map<PoolId, std::vector<EndpointIndex>> byPool_;
};

} // namespace currantlug::routing

#endif
