// Endpoint orders and weight roll-outs, by the one daemon that holds the lease for them.
#ifndef CURRANTLUG_SERVICES_FLEETSERVICE_H
#define CURRANTLUG_SERVICES_FLEETSERVICE_H

#include "config/configstate.h"
#include "fleet/orderjournal.h"
#include "fleet/replicaplanner.h"
#include "fleet/rolloutplanner.h"
#include "lease/leasekeeper.h"
#include "platform/endpointorderclient.h"
#include "platform/httpobjectstore.h"
#include "services/endpointservice.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace currantlug::services {

struct FleetServiceSettings
{
    absl::Duration tick = absl::Seconds(1);
    lease::LeaseSettings lease;
    fleet::ReplicaPlannerSettings replicas;
    fleet::RolloutPlannerSettings rollout;
    double replicaTokensPerSecond = 400; ///< What one replica serves at a batch size with acceptable stream rate.
    double lastingPrice = 1; ///< Per replica and hour, in the unit of the tickets' spend_per_hour.
    double cheapPrice = 0.3;
};

/// What this daemon knows of a pool's load.
struct PoolLoad
{
    double arrivingTokensPerSecond = 0; ///< Of the whole site, estimated.
    double outstandingTokens = 0;
};

/// What the service reads from the other parts.
struct FleetInputs
{
    std::function<std::shared_ptr<const config::ConfigState>()> state;
    std::function<std::vector<EndpointRow>()> endpoints;
    std::function<PoolLoad(const PoolId &)> load;
    std::function<std::vector<ZoneId>()> zones; ///< All availability zones of the site.
    std::function<bool()> candidate; ///< Whether this daemon should compete for the lease.
};

/// Thread-safe. start() and stop() are called from one thread.
class FleetService
{
public:
    FleetService(const DaemonId &self, platform::HttpObjectStore &store, platform::HttpClientSettings orderClient,
                 FleetInputs inputs, FleetServiceSettings settings);
    ~FleetService();

    void start();
    void stop();

    bool holdsLease() const { return keeper_.holds(); }

private:
    void run();
    void act();
    absl::Status orderEndpoints();
    absl::Status orderPool(const PoolId &id, const config::Pool &pool);
    absl::Status orderPlace(const fleet::OrderPlace &place, const fleet::OrderTotals &totals);
    absl::Status send(const fleet::OrderPlace &place, const fleet::OrderRecord &record);
    fleet::PoolDemand demandOf(const PoolId &id, const config::Pool &pool) const;
    void rollOutWeights();
    void orderWeights(const EndpointId &id, const std::string &address, std::uint64_t version,
                      fleet::RolloutPlanner &planner);

    DaemonId self_;
    FleetInputs inputs_;
    FleetServiceSettings settings_;
    lease::LeaseKeeper<platform::HttpObjectStore> keeper_;
    platform::EndpointOrderClient orders_;

    // Used by the thread only.
    fleet::OrderJournal<platform::HttpObjectStore> journal_;
    std::optional<std::uint64_t> loadedTerm_; ///< Term for which the journal was read.
    std::map<PoolId, fleet::ReplicaPlanner> replicaPlanners_;
    std::map<PoolId, fleet::RolloutPlanner> rolloutPlanners_;

    std::mutex stopMutex_;
    std::condition_variable stopChanged_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace currantlug::services

#endif
