// Wraps the handlers of each call of a replica port.
#include "serving/leavingport.h"

#include <utility>

namespace currantlug::serving {

ReplicaPort leavingPort(const ReplicaPort &port, const LeavingHandler &onLeaving)
{
    ReplicaPort wrapped = port;
    wrapped.generate = [generate = port.generate, onLeaving](const Replica &replica, const OutboundRequest &request,
                                                             const net::ClientLimits &limits, EventHandlers handlers) {
        handlers.onHead = [onLeaving, incarnation = incarnationOf(replica.entry),
                           inner = std::move(handlers.onHead)](const ReplicaHead &head) {
            if (head.leaving) {
                onLeaving(incarnation);
            }
            inner(head);
        };
        return generate(replica, request, limits, std::move(handlers));
    };
    wrapped.send = [send = port.send, onLeaving](const Replica &replica, const OutboundRequest &request,
                                                 const net::ClientLimits &limits, ReplicaHandlers handlers) {
        handlers.onHead = [onLeaving, incarnation = incarnationOf(replica.entry), inner = std::move(handlers.onHead)](
                              const ReplicaHead &head, const net::HttpResponse &response) {
            if (head.leaving) {
                onLeaving(incarnation);
            }
            if (inner) {
                inner(head, response);
            }
        };
        return send(replica, request, limits, std::move(handlers));
    };
    return wrapped;
}

} // namespace currantlug::serving
