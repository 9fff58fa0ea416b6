// Settings of a node: its identity and location, the addresses that it listens at and calls, and the time limits of the
// deployment.
#ifndef CURRANTLUG_NODE_NODESETTINGS_H
#define CURRANTLUG_NODE_NODESETTINGS_H

#include <absl/time/time.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace currantlug::node {

struct NodeSettings
{
    std::string name;
    std::string availabilityZone;
    std::string region;
    std::map<std::string, std::string> regionOfZone;
    std::string frontAddress; ///< "IP:PORT" for clients; empty on machines that serve no clients.
    std::string readyAddress;
    std::string directoryAddress;
    std::string controlAddress;
    std::string metricsAddress; ///< Metrics aren't served if empty.
    std::string address; ///< IP address of the machine; may be empty.
    double processorShare = 1; ///< Processor time that the node may use, in cores.
    std::uint64_t memoryBytes = 256 << 20; ///< Memory that the process may use before it is killed.
    std::size_t maxDescriptors = 0; ///< Descriptors that the process may open; 0 if unknown, for no bound.
    std::vector<std::string> seeds; ///< Control addresses of some peers for the first contact. They may be down.
    std::string storeAddress; ///< Address of the object store.
    std::string dutyAddress; ///< Address that receives replica scaling orders and usage reports.
    bool reportsUsage = false;
    bool ordersReplicas = false;
    absl::Duration grace = absl::Seconds(8); ///< Grace period from the stop signal to the kill.
    absl::Duration leaseTtl = absl::Seconds(3); ///< Two different holders must not act within this time.
    absl::Duration configApplyTime = absl::Milliseconds(2500); ///< Within which a configuration must be in force.
    absl::Duration drainTime = absl::Milliseconds(2500); ///< Within which a leaving replica must get no more requests.
    /// Within which the replicas of an evacuated zone must get no more requests; zones are never evacuated if not set.
    std::optional<absl::Duration> evacuateTime;
    /// A cold replica must get no more than `coldOver` times the rate that it takes, and `coldSlack` requests more, in
    /// any second.
    double coldOver = 1.5;
    double coldSlack = 5;
    absl::Duration usageWindow = absl::Seconds(5);
    absl::Duration jobRetention = absl::Seconds(120); ///< Time for which a job can be read after its submission.
    absl::Duration maxAddressTtl = absl::Seconds(5); ///< Upper bound for the TTL of answers to address queries.

    /// Budgets for bodies and for answers that are collected. The rest of the memory is for code, state and the buffers
    /// of connections.
    std::uint64_t bodyMemory() const { return memoryBytes / 2; }
    std::uint64_t collectedMemory() const { return memoryBytes / 8; }

    /// Maximum age of what a node knows of the configuration and the replicas.
    absl::Duration viewAgeLimit() const { return std::min(configApplyTime, drainTime); }
};

} // namespace currantlug::node

#endif
