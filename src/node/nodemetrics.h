// Counters, gauges and histograms of a node. All label sets are bounded, whatever workspaces, routes and jobs there
// are.
#ifndef CURRANTLUG_NODE_NODEMETRICS_H
#define CURRANTLUG_NODE_NODEMETRICS_H

#include "jobs/itemtracker.h"
#include "serving/gatewayconfig.h"
#include "serving/replicatable.h"
#include "telemetry/metrics.h"

#include <map>
#include <string>
#include <string_view>

namespace currantlug::node {

/// What the node is in at the moment of a scrape.
struct NodeStatus
{
    bool ready = false;
    bool leading = false;
    bool storeReached = false;
    std::uint64_t configVersion = 0; ///< 0 before there is one.
    std::size_t nodesInContact = 0; ///< Without this one.
    std::size_t openJobs = 0;
    std::map<jobs::ItemState, std::size_t> items; ///< Of the open jobs.
    std::uint64_t connectionsOpened = 0; ///< To replicas, nodes and the store, since the start.
};

class NodeMetrics
{
public:
    /// Counts the log's events from here on, until destroyed.
    NodeMetrics();
    ~NodeMetrics();
    NodeMetrics(const NodeMetrics &) = delete;
    NodeMetrics &operator=(const NodeMetrics &) = delete;

    telemetry::MetricsRegistry &registry() { return registry_; }

    void recordRequest(serving::RouteKind kind, std::string_view outcome, int status, absl::Duration elapsed);

    /// Text exposition with gauges as of now.
    std::string exposition(const NodeStatus &status, const serving::ReplicaTable &replicas, Instant now);

private:
    void setReplicas(const serving::ReplicaTable &replicas, Instant now);

    telemetry::MetricsRegistry registry_;
};

} // namespace currantlug::node

#endif
