// Wraps the handlers of each call of a replica port.
#include "serving/observedport.h"

#include <utility>

namespace currantlug::serving {

namespace {

/// Passes on what the head of a response says about its replica.
class StatementReader
{
public:
    StatementReader(const StatementHandler &onStatement, const Replica &replica)
        : onStatement_(onStatement)
        , replica_(incarnationOf(replica.entry))
        , sentAt_(net::loopNow())
    {
    }

    void read(const ReplicaHead &head) const
    {
        if (!head.requestMismatch && !head.instanceMismatch) {
            onStatement_({replica_, head.leaving, head.requestLimit, sentAt_});
        }
    }

private:
    StatementHandler onStatement_;
    ReplicaIncarnation replica_;
    Instant sentAt_;
};

} // namespace

ReplicaPort observedPort(const ReplicaPort &port, const StatementHandler &onStatement)
{
    ReplicaPort wrapped = port;
    wrapped.generate = [generate = port.generate, onStatement](const Replica &replica, OutboundRequest request,
                                                               const net::ClientLimits &limits,
                                                               EventHandlers handlers) {
        handlers.onHead = [reader = StatementReader(onStatement, replica),
                           inner = std::move(handlers.onHead)](const ReplicaHead &head) {
            reader.read(head);
            inner(head);
        };
        return generate(replica, std::move(request), limits, std::move(handlers));
    };
    wrapped.send = [send = port.send, onStatement](const Replica &replica, OutboundRequest request,
                                                   const net::ClientLimits &limits, ReplicaHandlers handlers) {
        handlers.onHead = [reader = StatementReader(onStatement, replica), inner = std::move(handlers.onHead)](
                              const ReplicaHead &head, const net::HttpResponse &response) {
            reader.read(head);
            if (inner) {
                inner(head, response);
            }
        };
        return send(replica, std::move(request), limits, std::move(handlers));
    };
    return wrapped;
}

} // namespace currantlug::serving
