// Keeps the dispatcher's view of the endpoints: the configuration in force, load reports and the platform's VM list.
#ifndef CURRANTLUG_SERVICES_ENDPOINTSERVICE_H
#define CURRANTLUG_SERVICES_ENDPOINTSERVICE_H

#include "config/configstate.h"
#include "endpoints/loadpoller.h"
#include "membership/endpointlist.h"
#include "platform/vmlistclient.h"
#include "services/dispatchgate.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace currantlug::services {

struct EndpointServiceSettings
{
    absl::Duration pollInterval = absl::Seconds(1); ///< Of load reports and of the VM list.
    absl::Duration pollTimeout = absl::Seconds(1);
    std::size_t pollThreads = 4;
};

/// One row of the operators' list of endpoints.
struct EndpointRow
{
    membership::EndpointEntry entry;
    std::optional<endpoints::LoadReport> load;
};

/// Thread-safe. start() and stop() are called from one thread.
class EndpointService
{
public:
    /// Region of an availability zone, empty where unknown.
    using RegionOf = std::function<RegionId(const ZoneId &)>;

    EndpointService(DispatchGate &gate, endpoints::ConnectionPool &pool, platform::VmListClient &vms, RegionOf regionOf,
                    EndpointServiceSettings settings);
    ~EndpointService();

    void start();
    void stop();

    /// Takes over pools, limits and weights of a new state.
    void applyState(const config::ConfigState &state);

    std::vector<EndpointRow> rows() const;

private:
    void run();
    void pollLoads();
    void pollVms();
    void takeLoad(const EndpointId &id, const absl::StatusOr<endpoints::LoadReport> &report);
    void announceLeaving();

    DispatchGate &gate_;
    endpoints::LoadPoller poller_;
    platform::VmListClient &vms_;
    RegionOf regionOf_;
    EndpointServiceSettings settings_;

    mutable std::mutex mutex_; ///< Guards the members below up to loads_.
    membership::EndpointList list_;
    std::map<EndpointId, config::Endpoint> configured_;
    std::set<EndpointId> announcedLeaving_; ///< Endpoints that the gate knows to be leaving.
    std::map<EndpointId, endpoints::LoadReport> loads_;

    std::mutex stopMutex_;
    std::condition_variable stopChanged_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace currantlug::services

#endif
