// Dependencies and settings that the job service and its runners share: ports to replicas, store and peers.
#ifndef CURRANTLUG_JOBS_JOBCONTEXT_H
#define CURRANTLUG_JOBS_JOBCONTEXT_H

#include "jobs/job.h"
#include "jobs/jobplacement.h"
#include "jobs/jobretention.h"
#include "net/eventloop.h"
#include "net/memorybudget.h"
#include "objects/objectport.h"
#include "scheduling/learnedrates.h"
#include "serving/gatewayconfig.h"
#include "serving/replicaport.h"
#include "serving/replicatable.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace currantlug::jobs {

/// Calls to peers, and what is known of their state.
struct PeerPort
{
    using Callback = std::function<void(absl::StatusOr<Json>)>;
    std::function<void(std::string node, std::string method, Json body, absl::Duration timeout, Callback)> call;
    /// Names of the peers in contact, excluding those that are stopping.
    std::function<std::vector<std::string>()> live;
    /// True if this incarnation of the peer is in contact and isn't stopping.
    std::function<bool(const std::string &node, const std::string &incarnation)> isAlive;
    /// True if this incarnation of the peer has ended, is stopping, refuses connections or hasn't replied for some
    /// time.
    std::function<bool(const std::string &node, const std::string &incarnation)> isLost;
    /// True if every known peer is in contact.
    std::function<bool()> allInContact;
    /// Names of the peers in contact, including those that are stopping.
    std::function<std::vector<std::string>()> reachable;
    /// Those of the reachable peers that may have texts of items.
    std::function<std::vector<std::string>()> textHolders;
    /// The peers of live(), with what decides which of them runs a job.
    std::function<std::vector<JobHost>()> jobHosts;
};

struct JobSettings
{
    std::string region; ///< Of this node.
    double processorShare = 0; ///< Processor time of this node, in cores; 0 if it isn't known.
    /// Limit for a peer's answer to a submission that was forwarded to it, several store calls. Past it this node
    /// submits the job itself.
    absl::Duration forwardTimeout = absl::Seconds(1);
    /// A job whose bodies are larger than this isn't forwarded, which takes memory for several copies.
    std::size_t maxForwardBytes = 4 << 20;
    /// A finished item waits at most this long for the rest of its group before its result is stored.
    absl::Duration flushDelay = absl::Milliseconds(400);
    absl::Duration minFlushInterval = absl::Milliseconds(100); ///< Between two writes of results of one job.
    absl::Duration storeRetryDelay = absl::Milliseconds(250);
    /// An attempt is given up if its replica sends no event for this time. Loading weights pauses a stream for about a
    /// second.
    absl::Duration eventTimeout = absl::Milliseconds(2500);
    absl::Duration connectTimeout = absl::Milliseconds(500);
    absl::Duration itemRetryDelay = absl::Milliseconds(100); ///< Delay before a failed item is sent again.
    /// A waiting item is meant for the service that the weights of its route name. If that service has no room for this
    /// time, the item may go to another service of the route.
    absl::Duration serviceWait = absl::Seconds(2);
    /// Minimum age of an attempt on a slow replica: by then it has made two or three events.
    absl::Duration minTimeBeforeMove = absl::Milliseconds(150);
    int maxMoves = 3; ///< Of one item within moveWindow.
    absl::Duration moveWindow = absl::Seconds(2);
    /// An attempt whose events exceed this length is given up: a faulty replica may send events without end. Texts have
    /// some hundred kilobytes at most.
    std::size_t maxAttemptBytes = 8 << 20;
    /// The time limit of an item is this much later than its route says, since the clocks of two nodes may differ.
    absl::Duration ttlMargin = absl::Seconds(5);
    RetentionSettings retention;
    absl::Duration removalRetryDelay = absl::Seconds(10); ///< After a removal of a job whose outcome isn't known.
    std::size_t maxPageBytes = 900'000; ///< Limit of the results in one response; the store and the clients allow 1 MB.
    /// Limit of an encoded result segment, unless a single result is larger. The store allows 1 MiB for an object.
    std::size_t segmentBytes = 600'000;
    std::size_t partBytes = 600'000; ///< An object of items is closed once it exceeds this size.
    absl::Duration peerTimeout = absl::Milliseconds(800);
    absl::Duration textTimeout = absl::Milliseconds(150); ///< For the text that peers have of a new job's items.
    /// A submission whose outcome is unknown after this time is answered so, and resolved in the background.
    absl::Duration submitTimeout = absl::Milliseconds(2500);
    /// While a peer isn't in contact, the jobs of this node are read from the store with this period: the peer may have
    /// ended them or taken them over. The results that it stores must be readable here within a second.
    absl::Duration recheckPeriod = absl::Milliseconds(700);
    absl::Duration endTimeout = absl::Seconds(3);
    /// Deadline of one reward call, several times the work of a slow one. Past it the call is repeated elsewhere.
    absl::Duration rewardTimeout = absl::Seconds(2);
    /// A reward call whose route is missing is looked up again after this delay: a later configuration may have it.
    absl::Duration missingRouteDelay = absl::Milliseconds(500);
};

struct JobContext
{
    net::Loop &loop;
    serving::ReplicaTable &replicas;
    serving::ReplicaPort replicaPort;
    objects::ObjectPort store;
    PeerPort peers;
    std::function<const serving::GatewayConfig *()> config; ///< Null until a configuration is known.
    std::function<const std::map<std::string, std::string> &()> modelPlan; ///< Model by replica.
    std::string node;
    std::string incarnation;
    JobSettings settings;
    /// Called at the end of each reward call with the time since its first attempt; may be empty.
    std::function<void(RewardOutcome, absl::Duration)> rewardEnded = {};
    using VersionsCallback = std::function<void(const std::map<std::string, std::uint64_t> &versionByModel)>;
    /// Asks a replica for its weight versions; not called back without an answer. May be empty.
    std::function<void(const serving::Replica &, VersionsCallback)> queryVersions = {};
    net::MemoryBudget *memory = nullptr; ///< Counts the bodies of owned jobs; null for none.
    /// The object store for calls that carry bodies: it is reached directly or through peers in these regions. If
    /// empty, `store` is used.
    std::function<objects::ObjectPort(const serving::RegionSet &)> storeWithin = {};
    std::map<std::string, scheduling::LearnedRates> ratesByService = {};
};

} // namespace currantlug::jobs

#endif
