// Decorator of a replica port that notices which replicas say in their responses that they leave.
//
// Every request to a replica passes through the port: those of clients, items of jobs and reward calls. What a response
// says needs neither the object store nor a peer, so that a node without both stops using the replica as well.
#ifndef CURRANTLUG_SERVING_LEAVINGPORT_H
#define CURRANTLUG_SERVING_LEAVINGPORT_H

#include "serving/replicaport.h"

#include <functional>

namespace currantlug::serving {

using LeavingHandler = std::function<void(const ReplicaIncarnation &)>;

/// Forwards all calls to `port`. `onLeaving` is called before the handlers of a response that says so, with the
/// incarnation that the request was sent to.
ReplicaPort leavingPort(const ReplicaPort &port, const LeavingHandler &onLeaving);

} // namespace currantlug::serving

#endif
