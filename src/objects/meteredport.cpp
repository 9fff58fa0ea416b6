// Wraps each operation of an object port to count its calls and measure their latency.
#include "objects/meteredport.h"

#include "core/instant.h"
#include "net/eventloop.h"

#include <type_traits>

namespace currantlug::objects {

namespace {

class CallMeter
{
public:
    CallMeter(telemetry::MetricsRegistry &metrics, std::string operation)
        : metrics_(metrics)
        , operation_(std::move(operation))
        , latency_(metrics.histogram("currantlug_store_call_seconds", "Time to the answer of an object store call.",
                                     {{"operation", operation_}}))
    {
    }

    /// Returns a callback that records the reply in the metrics and then calls `done`.
    StoreCallback wrap(StoreCallback done, bool measureLatency) const
    {
        return [*this, start = net::loopNow(), measureLatency, done = std::move(done)](StoreReply reply) {
            metrics_
                .counter("currantlug_store_calls_total", "Object store calls that ended.",
                         {{"operation", operation_}, {"outcome", std::string(nameOf(reply.outcome))}})
                .add();
            if (reply.bodyError) {
                metrics_
                    .counter("currantlug_store_answers_unreadable_total",
                             "Answers of the object store that aren't JSON.",
                             {{"operation", operation_}, {"reason", std::string(nameOf(reply.bodyError->fault))}})
                    .add();
            }
            for (const ObjectChange &change : reply.changes) {
                if (change.object.error) {
                    metrics_
                        .counter(
                            "currantlug_store_objects_unreadable_total",
                            "Objects in answers of the object store that can't be read.",
                            {{"operation", operation_}, {"reason", std::string(nameOf(change.object.error->fault))}})
                        .add();
                }
            }
            if (measureLatency) {
                latency_.record(net::loopNow() - start);
            }
            done(std::move(reply));
        };
    }

private:
    telemetry::MetricsRegistry &metrics_;
    std::string operation_;
    telemetry::LatencyHistogram &latency_;
};

/// Replaces one operation of the port by a function that wraps the callback, which is the last parameter.
template<class... Arguments>
void meter(std::type_identity_t<std::function<void(Arguments..., StoreCallback)>> &operation,
           const CallMeter &callMeter, bool measureLatency = true)
{
    operation = [callMeter, measureLatency, inner = std::move(operation)](Arguments... arguments, StoreCallback done) {
        inner(std::move(arguments)..., callMeter.wrap(std::move(done), measureLatency));
    };
}

} // namespace

ObjectPort meteredPort(ObjectPort port, telemetry::MetricsRegistry &metrics)
{
    meter<std::string, std::string>(port.get, {metrics, "get"});
    meter<std::string, std::string>(port.list, {metrics, "list"});
    if (port.listStale) {
        meter<std::string, std::string>(port.listStale, {metrics, "list_stale"});
    }
    meter<std::string, std::uint64_t, absl::Duration>(port.watch, {metrics, "watch"}, false);
    meter<std::string, std::string, Json>(port.create, {metrics, "create"});
    meter<std::string, std::string, std::uint64_t, Json>(port.replace, {metrics, "replace"});
    meter<std::string, std::string, std::uint64_t, Json>(port.replaceStatus, {metrics, "replace_status"});
    meter<std::string, std::string, std::uint64_t>(port.remove, {metrics, "remove"});
    return port;
}

} // namespace currantlug::objects
