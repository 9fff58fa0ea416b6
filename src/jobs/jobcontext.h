// What the job service and its runners share.
#ifndef CURRANTLUG_JOBS_JOBCONTEXT_H
#define CURRANTLUG_JOBS_JOBCONTEXT_H

#include "net/eventloop.h"
#include "objects/objectport.h"
#include "serving/gatewayconfig.h"
#include "serving/replicaport.h"
#include "serving/replicatable.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace currantlug::jobs {

/// Calls to other nodes. Methods and bodies are the product's own.
struct PeerPort
{
    using Callback = std::function<void(absl::StatusOr<Json>)>;
    std::function<void(std::string node, std::string method, Json body, absl::Duration timeout, Callback)> call;
    /// Nodes in contact, without this one.
    std::function<std::vector<std::string>()> live;
    /// True if the node is in contact, serves, and is still this incarnation.
    std::function<bool(const std::string &node, const std::string &incarnation)> isAlive;
    /// True if that incarnation of the node has ended, stops, or can't be reached for some time.
    std::function<bool(const std::string &node, const std::string &incarnation)> isLost;
    /// True if every known node is in contact.
    std::function<bool()> allConnected;
    /// Nodes in contact, those that stop included, without this one.
    std::function<std::vector<std::string>()> reachable;
};

struct JobSettings
{
    /// Finished items wait this long for the rest of their group before they are stored.
    absl::Duration flushDelay = absl::Milliseconds(400);
    absl::Duration minFlushInterval = absl::Milliseconds(100); ///< Between two writes of one job's results.
    absl::Duration storeRetryDelay = absl::Milliseconds(250);
    /// A replica that sends no event for so long is given up. Loading weights pauses a stream for about a second.
    absl::Duration eventTimeout = absl::Milliseconds(2500);
    absl::Duration connectTimeout = absl::Milliseconds(500);
    absl::Duration itemRetryDelay = absl::Milliseconds(100); ///< Before a failed item is sent again.
    absl::Duration minTimeBeforeMove = absl::Milliseconds(400); ///< A run on a slow replica is moved after so long.
    int maxMovesPerItem = 3;
    /// Clocks of two nodes may differ: an item's time ends so much later than its route says.
    absl::Duration ttlMargin = absl::Seconds(5);
    absl::Duration retention = absl::Seconds(120); ///< A job can be read for so long after its submission.
    std::size_t maxPageBytes = 900'000; ///< Of results in one answer; the store and the clients allow 1 MB.
    std::size_t segmentBytes = 600'000; ///< Of text in one stored segment.
    std::size_t partBytes = 600'000; ///< Of items in one stored object.
    absl::Duration peerTimeout = absl::Milliseconds(800);
    absl::Duration textTimeout = absl::Milliseconds(150); ///< For the text that other nodes hold of a new job's items.
    /// An unanswered submission is resolved in the background after so long.
    absl::Duration submitTimeout = absl::Milliseconds(2500);
    /// Own jobs are looked up in the store while a node is out of contact: it may have stored their end or taken them
    /// over. What it lists must be shown here within a second.
    absl::Duration recheckPeriod = absl::Milliseconds(700);
    absl::Duration endTimeout = absl::Seconds(3);
};

struct JobContext
{
    net::Loop &loop;
    serving::ReplicaTable &replicas;
    serving::ReplicaPort replicaPort;
    objects::ObjectPort store;
    PeerPort peers;
    std::function<const serving::GatewayConfig *()> config; ///< Null before the first one is known.
    std::function<const std::map<std::string, std::string> &()> modelPlan; ///< Model by replica.
    std::string node;
    std::string incarnation;
    JobSettings settings;
};

} // namespace currantlug::jobs

#endif
