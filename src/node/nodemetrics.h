// Counters, gauges and histograms of a node. The number of label values is bounded and doesn't depend on workspaces,
// routes or jobs.
#ifndef CURRANTLUG_NODE_NODEMETRICS_H
#define CURRANTLUG_NODE_NODEMETRICS_H

#include "control/controller.h"
#include "jobs/itemtracker.h"
#include "scheduling/modelshares.h"
#include "serving/gatewayconfig.h"
#include "serving/replicatable.h"
#include "telemetry/metrics.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace currantlug::node {

/// Parts of the object store's contents that a node follows.
enum class StoreView {
    Config,
    Replicas,
};

} // namespace currantlug::node

template<>
struct currantlug::EnumNames<currantlug::node::StoreView>
{
    using StoreView = currantlug::node::StoreView;
    static constexpr std::array<std::pair<StoreView, std::string_view>, 2> Table{{
        {StoreView::Config, "config"},
        {StoreView::Replicas, "replicas"},
    }};
};

namespace currantlug::node {

/// State of the node at the time of a scrape.
struct NodeStatus
{
    bool ready = false;
    bool leading = false;
    bool storeReached = false;
    bool watchesReplicas = false;
    std::map<StoreView, absl::Duration> viewAges; ///< Time since each view was last confirmed.
    std::uint64_t configVersion = 0; ///< 0 if there is none yet.
    std::size_t nodesInContact = 0; ///< Excludes this node.
    std::size_t evacuatedZones = 0;
    std::size_t openJobs = 0;
    std::map<jobs::ItemState, std::size_t> items; ///< Number of items of the open jobs by state.
    std::uint64_t connectionsOpened = 0; ///< To replicas, peers and the object store since the start.
    scheduling::DemandByModel modelDemand; ///< Of the jobs that this node runs.
    scheduling::ReplicaCounts replicaShares; ///< Empty unless this node leads.
    std::map<std::string, control::PlannedReplicas> plannedReplicas; ///< By service; empty unless this node leads.
    absl::Duration longestStall; ///< Of the event loop since the start.
};

class NodeMetrics
{
public:
    /// Counts log events as long as this object exists.
    NodeMetrics();
    ~NodeMetrics();
    NodeMetrics(const NodeMetrics &) = delete;
    NodeMetrics &operator=(const NodeMetrics &) = delete;

    telemetry::MetricsRegistry &registry() { return registry_; }

    /// Records a finished client request. `status` is 0 if no HTTP status was sent.
    void recordRequest(serving::RouteKind kind, std::string_view outcome, int status, absl::Duration elapsed);

    /// Records a finished reward call.
    void recordReward(jobs::RewardOutcome outcome, absl::Duration elapsed);

    /// Records an answered request for permits; it counts as refused if none was issued.
    void recordPermits(std::size_t issued);

    /// Updates the gauges and returns all metrics in text format.
    std::string exposition(const NodeStatus &status, const serving::ReplicaTable &replicas, Instant now);

private:
    void setReplicas(const serving::ReplicaTable &replicas, Instant now);

    telemetry::MetricsRegistry registry_;
    std::set<std::string> services_; ///< Of all replicas known so far.
};

} // namespace currantlug::node

#endif
