// Interfaces of a node to replicas and to its clients. The platform folder implements them; tests pass fakes.
#ifndef CURRANTLUG_SERVING_REPLICAPORT_H
#define CURRANTLUG_SERVING_REPLICAPORT_H

#include "core/enumnames.h"
#include "net/httpclient.h"
#include "net/httpmessage.h"
#include "serving/replica.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace currantlug::serving {

/// A request to a replica, without the platform's own header fields, which the implementation adds.
struct OutboundRequest
{
    std::string id; ///< Id of the client's request or of the job's item.
    std::string method;
    std::string target;
    std::string host;
    std::string workspace; ///< Empty on routes that need no key.
    net::Headers headers; ///< Forwarded unchanged: no hop-by-hop fields and no API key.
    std::string body;
    std::optional<absl::Duration> remaining; ///< Time left until the final response is due.
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event already received.
};

/// Decoded head of a replica's response.
struct ReplicaHead
{
    int status = 0;
    bool notRun = false; ///< The replica states that it did not run the request.
    bool instanceMismatch = false; ///< The address now belongs to another replica.
    bool requestMismatch = false; ///< The response is not shown to belong to this request and must not be used.
    bool leaving = false; ///< The replica is about to end and must get no more requests.
    /// Requests a second that the replica takes from all nodes together; none if it states no limit.
    std::optional<double> requestLimit;
    std::optional<ReplicaLoad> load;
    std::optional<std::uint64_t> weightVersion;
    std::string signature; ///< Signature by the replica.
};

struct ReplicaHandlers
{
    std::function<void(const ReplicaHead &, const net::HttpResponse &)> onHead;
    std::function<void(std::string_view)> onBody; ///< If empty, the body is collected and passed to onDone.
    /// Receives the complete response, or an error with its outcome. Called exactly once unless the call is cancelled.
    std::function<void(const ReplicaHead &, absl::StatusOr<net::HttpResponse>)> onDone;
};

/// One event of a generated stream.
struct StreamEvent
{
    std::uint64_t id = 0; ///< Increases by one with each event.
    std::string data;
    std::optional<std::uint64_t> weightVersion; ///< Set if the weights changed: applies from this event on.
};

struct EventHandlers
{
    std::function<void(const ReplicaHead &)> onHead;
    std::function<void(StreamEvent)> onEvent;
    /// The status is OK if the stream ended normally. Called exactly once unless the call is cancelled.
    std::function<void(const ReplicaHead &, absl::Status)> onDone;
};

/// What a check of a replica has shown.
enum class ReplicaLiveness {
    Alive,
    Ended, ///< Nothing listens at its address, or another replica.
    Unknown,
};

struct ReplicaPort
{
    /// Sends a request whose response is a stream of events.
    std::function<net::CallId(const Replica &, OutboundRequest, const net::ClientLimits &, EventHandlers)> generate;
    std::function<net::CallId(const Replica &, OutboundRequest, const net::ClientLimits &, ReplicaHandlers)> send;
    std::function<void(net::CallId)> cancel;
    /// Stops reading a response until resume(), so that the replica has to wait. Both may be empty.
    std::function<void(net::CallId)> pause = {};
    std::function<void(net::CallId)> resume = {};
    /// Checks whether a replica lives, without running a request. May be empty.
    std::function<void(const Replica &, std::function<void(ReplicaLiveness)>)> check = {};
};

/// A decoded client request.
struct InboundRequest
{
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    std::string key; ///< API key; empty if the request has none.
    std::optional<absl::Duration> deadline; ///< How long the client waits, counted from `arrived`.
    std::optional<std::uint64_t> resumeAfter;
    net::Headers headers; ///< Header fields that may be forwarded to a replica.
    std::string body;
    Instant arrived;
};

/// Destination of the response to a client: either one call of respond(), or begin(), any number of write() and then
/// finish() or abort().
struct ResponseSink
{
    std::function<void(int status, const net::Headers &, std::string_view body)> respond;
    std::function<void(int status, const net::Headers &)> begin;
    std::function<void(std::string_view)> write;
    std::function<void()> finish;
    std::function<void()> abort;
    std::function<void(std::function<void()>)> onClientGone;
    /// True if the client reads more slowly than the parts come. The writer should pause until onSent().
    std::function<bool()> isCongested = {};
    /// Calls the handler once, when all that was written has left.
    std::function<void(std::function<void()>)> onSent = {};
};

/// Sends an error response of the node's own. No `Retry-After` field is sent if `retryAfter` is zero.
void rejectRequest(const ResponseSink &sink, int status, std::string_view reason, absl::Duration retryAfter);

} // namespace currantlug::serving

template<>
struct currantlug::EnumNames<currantlug::serving::ReplicaLiveness>
{
    using ReplicaLiveness = currantlug::serving::ReplicaLiveness;
    static constexpr std::array<std::pair<ReplicaLiveness, std::string_view>, 3> Table{{
        {ReplicaLiveness::Alive, "alive"},
        {ReplicaLiveness::Ended, "ended"},
        {ReplicaLiveness::Unknown, "unknown"},
    }};
};

#endif
