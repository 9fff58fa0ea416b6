// Runs client requests at replicas: choice of the service, retries, hedged requests and time limits.
//
// Designed for a stream of small requests to plain services with a few replicas each, some of which are unresponsive,
// slow, full or draining. A request of a safe route without a response after the hedge delay is also sent to a second
// replica. A request that is not idempotent is retried only if it is known that the previous replica did not run it.
//
// A request under which replicas ended isn't hedged and is repeated less, and is refused once it is known to be the
// cause.
//
// A request to a replica that limits its request rate waits for a permit, unless it would then be late: it is refused
// at once, with the time when a permit is expected. Replicas without a limit are used first, and get all hedged
// requests.
#ifndef CURRANTLUG_SERVING_REQUESTRUNNER_H
#define CURRANTLUG_SERVING_REQUESTRUNNER_H

#include "net/eventloop.h"
#include "serving/crashsuspects.h"
#include "serving/gatewayconfig.h"
#include "serving/permitissuer.h"
#include "serving/replicaport.h"
#include "serving/replicatable.h"

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace currantlug::serving {

struct RequestRunnerSettings
{
    /// A request of a safe route is hedged after this fraction of the route's target latency.
    double hedgeFraction = 0.5;
    /// A request waits for a permit for up to this fraction of the route's target latency, and of the time left.
    double permitWaitFraction = 0.5;
    /// Clients that return at the time of the next permit are spread by up to this fraction of the wait.
    double retryAfterSpread = 0.5;
    absl::Duration connectTimeout = absl::Milliseconds(400); ///< Several round trips between regions.
    absl::Duration retryAfter = absl::Milliseconds(250); ///< Sent with rejections; about one backoff of a replica.
    absl::Duration defaultTimeout = absl::Seconds(30); ///< Used if the client states no deadline.
    /// Sent with the refusal of a request that crashes replicas. It is refused for minutes.
    absl::Duration crashRetryAfter = absl::Seconds(60);
    /// Sent with a refusal that only another configuration can lift.
    absl::Duration configRetryAfter = absl::Seconds(5);
    int checkTries = 3; ///< Checks of a replica that lost a connection, while their outcome isn't known.
    absl::Duration checkRetryDelay = absl::Milliseconds(100);
    /// The final response is sent this long before the deadline, so that it arrives in time.
    absl::Duration responseMargin = absl::Milliseconds(20);
};

class RequestRunner
{
public:
    struct Observer
    {
        /// Called when a replica starts to run a request of a workspace.
        std::function<void(const std::string &workspace)> started;
        /// Called when the final response was sent or the request was aborted (status 0), for example because the
        /// client disconnected. `outcome` is a fixed text.
        std::function<void(RouteKind kind, std::string_view outcome, int status, absl::Duration duration)> finished;
        /// Called when a replica is found to have ended under a request.
        std::function<void(const SuspectStatement &)> crashed = {};
    };

    RequestRunner(net::Loop &loop, ReplicaTable &replicas, CrashSuspects &suspects, ReplicaPort port,
                  PermitSource permits, RequestRunnerSettings settings, Observer observer);

    /// `regions`: those in which the request may be served. It is refused if there are none.
    void run(InboundRequest request, const Route &route, const std::string &workspace, const RegionSet &regions,
             ResponseSink sink);

private:
    struct ActiveRequest;
    struct Attempt
    {
        std::string replica;
        net::CallId call = 0;
        bool pending = true;
        bool responseBegan = false;
    };
    using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;

    void startAttempt(const ActiveRequestPtr &active);
    void sendAttempt(const ActiveRequestPtr &active, Replica &replica);
    /// How long the request may wait for a permit from now on.
    absl::Duration permitWaitNow(const ActiveRequest &active) const;
    /// Obtains a permit for a replica with a request limit at `now`; then sends the request there, or tries the next
    /// replica.
    void awaitPermit(const ActiveRequestPtr &active, const Replica &replica, Instant now);
    void onPermitReply(const ActiveRequestPtr &active, const ReplicaIncarnation &incarnation, const PermitReply &reply);
    void onPermitUsable(const ActiveRequestPtr &active, const ReplicaIncarnation &incarnation);
    void refuseWithoutReplica(const ActiveRequestPtr &active);
    /// Refuses a request that is known to crash replicas. Returns false for any other one.
    bool refuseCrashing(const ActiveRequestPtr &active);
    /// True if too many replicas ended under the request to send it once more for this client attempt.
    bool isSuspect(ActiveRequest &active) const;
    static const std::string &digestOf(ActiveRequest &active);
    /// Handles a connection to a replica that ended before the response was complete.
    void onConnectionLost(const ActiveRequestPtr &active, const Replica &replica);
    /// Finds out whether a replica that lost a connection has ended.
    void checkReplica(const Replica &replica, int triesLeft);
    void onReplicaChecked(const Replica &replica, ReplicaLiveness liveness);
    void onHead(const ActiveRequestPtr &active, std::size_t index, const ReplicaHead &head,
                const net::HttpResponse &response);
    void onDone(const ActiveRequestPtr &active, std::size_t index, const ReplicaHead &head,
                absl::StatusOr<net::HttpResponse> response);
    /// Stops reading from the replica while the client doesn't keep up.
    void pauseIfCongested(const ActiveRequest &active, net::CallId call);
    void scheduleHedge(const ActiveRequestPtr &active);
    void onAttemptFailed(const ActiveRequestPtr &active, bool notRun, bool full);
    void sendResponse(const ActiveRequestPtr &active, const net::HttpResponse &response);
    void onDeadline(const ActiveRequestPtr &active);
    void finish(const ActiveRequestPtr &active, std::string_view outcome, int status);
    void releaseAttempt(const ActiveRequestPtr &active, std::size_t index);
    bool canRetry(const ActiveRequest &active) const;

    net::Loop &loop_;
    ReplicaTable &replicas_;
    CrashSuspects &suspects_;
    std::set<std::string> checking_; ///< Ids of replicas that are being checked.
    ReplicaPort port_;
    PermitSource permits_;
    RequestRunnerSettings settings_;
    std::mt19937_64 random_{std::random_device{}()};
    Observer observer_;
};

} // namespace currantlug::serving

#endif
