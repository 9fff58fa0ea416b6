// Runs clients' requests at replicas: routing, rights, attempts, hedging and time limits.
//
// Load this answers: a stream of small calls to plain services, of whose few replicas some are dark, slow, full or
// leaving. A repeatable call that isn't answered after `hedgeDelay` is sent to a second replica as well; a call that
// can't be repeated is sent on only where the first replica states that it didn't run it.
#ifndef CURRANTLUG_SERVING_REQUESTRUNNER_H
#define CURRANTLUG_SERVING_REQUESTRUNNER_H

#include "net/eventloop.h"
#include "serving/gatewayconfig.h"
#include "serving/replicaport.h"
#include "serving/replicatable.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace currantlug::serving {

struct RequestRunnerSettings
{
    /// A repeatable call goes to a second replica after this share of its route's target latency.
    double hedgeFraction = 0.5;
    absl::Duration connectTimeout = absl::Milliseconds(400); ///< Several round trips between regions.
    absl::Duration retryAfter = absl::Milliseconds(250); ///< Sent with refusals; about one avoid period of a replica.
    absl::Duration defaultTimeout = absl::Seconds(30); ///< Where neither client nor route states one.
    /// The final answer goes out this long before the time limit, so that it arrives within it.
    absl::Duration responseMargin = absl::Milliseconds(20);
};

class RequestRunner
{
public:
    struct Observer
    {
        /// A replica has begun to run a request of a workspace.
        std::function<void(const std::string &workspace)> started;
        /// The request has got its final answer, or its client has left (status 0). `outcome` is a fixed text.
        std::function<void(RouteKind kind, std::string_view outcome, int status, absl::Duration duration)> finished;
    };

    RequestRunner(net::Loop &loop, ReplicaTable &replicas, ReplicaPort port, RequestRunnerSettings settings,
                  Observer observer);

    void run(InboundRequest request, const Route &route, const std::string &workspace, ResponseSink sink);

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
    void onHead(const ActiveRequestPtr &active, std::size_t index, const ReplicaHead &head,
                const net::HttpResponse &response);
    void onDone(const ActiveRequestPtr &active, std::size_t index, const ReplicaHead &head,
                absl::StatusOr<net::HttpResponse> response);
    void scheduleHedge(const ActiveRequestPtr &active);
    void onAttemptFailed(const ActiveRequestPtr &active, bool notRun, bool full);
    void sendResponse(const ActiveRequestPtr &active, const net::HttpResponse &response);
    void onDeadline(const ActiveRequestPtr &active);
    void finish(const ActiveRequestPtr &active, std::string_view outcome, int status);
    void releaseAttempt(const ActiveRequestPtr &active, std::size_t index);
    bool canRetry(const ActiveRequest &active) const;

    net::Loop &loop_;
    ReplicaTable &replicas_;
    ReplicaPort port_;
    RequestRunnerSettings settings_;
    Observer observer_;
};

} // namespace currantlug::serving

#endif
