// Chooses an endpoint for a unit of work: two baselines, and a score whose parts can be switched off one by one.
#ifndef CURRANTLUG_ROUTING_ENDPOINTCHOOSER_H
#define CURRANTLUG_ROUTING_ENDPOINTCHOOSER_H

#include "core/enumnames.h"
#include "routing/endpointtable.h"
#include "routing/prefixindex.h"
#include "routing/workitem.h"

#include <optional>
#include <vector>

namespace currantlug::routing {

/// How an endpoint is chosen among those that may run the work.
enum class ChoicePolicy {
    RoundRobin,
    LeastLoaded,
    Scored,
};

} // namespace currantlug::routing

template<>
struct currantlug::EnumNames<currantlug::routing::ChoicePolicy>
{
    using E = currantlug::routing::ChoicePolicy;
    static constexpr std::array<std::pair<E, std::string_view>, 3> Table{{
        {E::RoundRobin, "round_robin"},
        {E::LeastLoaded, "least_loaded"},
        {E::Scored, "scored"},
    }};
};

namespace currantlug::routing {

/// Policy, switches of the score's parts, and the in-flight budget of an endpoint.
struct ChooserSettings
{
    ChoicePolicy policy = ChoicePolicy::Scored;
    bool prefixLocality = true;
    bool regionCost = true;
    bool versionPreference = true;
    bool evictionRisk = true;
    bool reportAgeing = true;
    bool measuredSpeed = true; ///< Counts load on slow endpoints higher.
    bool suspicion = true; ///< Avoids endpoints with recent failures or overdue load reports.
    absl::Duration reportOverdue = absl::Seconds(3); ///< Reports come once a second; three missed ones are no accident.
    ZoneId ownZone;
    RegionId ownRegion;
    /// Requests that all daemons together keep on one endpoint; 0 is no bound, which also makes the fair queue useless,
    /// because work then waits in the engines. 22 is measured (docs/policy.md); sites set their engines' useful batch.
    std::uint32_t inFlightBudget = 22;
    std::uint32_t liveDaemons = 1; ///< Each may always use its equal share of the budget.
    absl::Duration reportHalfLife = absl::Seconds(3); ///< Weight of a load report halves with this age.
};

/// Stateless apart from the round-robin position.
class EndpointChooser
{
public:
    explicit EndpointChooser(ChooserSettings settings);

    /// An available endpoint of the work's pool that may run it and has room; `excluded` ones are not considered.
    std::optional<EndpointIndex> choose(const WorkItem &item, const EndpointTable &table, const PrefixIndex &prefixes,
                                        const std::vector<EndpointId> &excluded, Instant now);

    /// Whether any endpoint of the pool has room for anything.
    bool anyRoom(const PoolId &pool, const EndpointTable &table, Instant now) const;
    /// Whether the rules allow this work there: version, and lasting where the work must not be lost.
    static bool mayRun(const WorkItem &item, const EndpointState &endpoint);

    const ChooserSettings &settings() const { return settings_; }
    void setLiveDaemons(std::uint32_t count) { settings_.liveDaemons = count > 0 ? count : 1; }

private:
    /// What the score compares an endpoint with.
    struct PoolView
    {
        double medianRate = 0;
        std::uint64_t newestVersion = 0;
    };

    bool isSuspect(const EndpointState &endpoint, Instant now) const;
    void dropSuspects(const WorkItem &item, std::vector<EndpointIndex> &candidates, const EndpointTable &table,
                      Instant now) const;
    bool hasRoom(EndpointIndex index, const EndpointTable &table, Instant now) const;
    double othersLoad(EndpointIndex index, const EndpointTable &table, Instant now) const;
    double score(const WorkItem &item, EndpointIndex index, const EndpointTable &table, const PrefixIndex &prefixes,
                 const PoolView &view, Instant now) const;

    ChooserSettings settings_;
    std::uint64_t turn_ = 0;
};

} // namespace currantlug::routing

#endif
