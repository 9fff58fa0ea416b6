// Decorator of a replica port that notices what replicas say about themselves in their responses: that they leave, and
// how many requests a second they take.
//
// Every request to a replica passes through the port: those of clients, items of jobs and reward calls. What a response
// says needs neither the object store nor a peer, so that a node without both heeds it as well.
#ifndef CURRANTLUG_SERVING_OBSERVEDPORT_H
#define CURRANTLUG_SERVING_OBSERVEDPORT_H

#include "serving/replicaport.h"

#include <functional>

namespace currantlug::serving {

/// What a response says about the replica that sent it.
struct ReplicaStatement
{
    ReplicaIncarnation replica; ///< That the request was sent to.
    bool leaving = false;
    std::optional<double> requestLimit; ///< Requests a second from all nodes together; none if not limited.
    Instant requestSentAt; ///< The statement is at least as recent as this.
};

using StatementHandler = std::function<void(const ReplicaStatement &)>;

/// Forwards all calls to `port`. `onStatement` is called before the handlers of each response that belongs to its
/// request.
ReplicaPort observedPort(const ReplicaPort &port, const StatementHandler &onStatement);

} // namespace currantlug::serving

#endif
