// Settings of a node: who it is, where it listens and what the deployment allows.
#ifndef CURRANTLUG_NODE_NODESETTINGS_H
#define CURRANTLUG_NODE_NODESETTINGS_H

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

namespace currantlug::node {

struct NodeSettings
{
    std::string name;
    std::string availabilityZone;
    std::string region;
    std::map<std::string, std::string> regionOfZone;
    std::string frontAddress; ///< "IP:PORT" for clients; empty on machines that serve none.
    std::string readyAddress;
    std::string directoryAddress;
    std::string controlAddress;
    std::string metricsAddress; ///< Empty: metrics aren't served.
    std::string address; ///< IP address of the machine; may be empty.
    std::vector<std::string> seeds; ///< Control addresses of some nodes, which may be down.
    std::string storeAddress; ///< Object store.
    std::string dutyAddress; ///< Replica orders and usage reports.
    bool reportsUsage = false;
    bool ordersReplicas = false;
    absl::Duration grace = absl::Seconds(8); ///< From the stop signal to the kill.
    absl::Duration leaseTtl = absl::Seconds(3); ///< Within it two holders must not take turns.
    absl::Duration usageWindow = absl::Seconds(5);
    absl::Duration jobRetention = absl::Seconds(120); ///< Jobs can be read for so long.
    absl::Duration maxAddressTtl = absl::Seconds(5); ///< Clients keep an address answer at most for so long.
};

} // namespace currantlug::node

#endif
