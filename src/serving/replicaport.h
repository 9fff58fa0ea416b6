// How a node talks to replicas and back to clients. The platform folder fills these calls in; tests pass fakes.
#ifndef CURRANTLUG_SERVING_REPLICAPORT_H
#define CURRANTLUG_SERVING_REPLICAPORT_H

#include "net/httpclient.h"
#include "net/httpmessage.h"
#include "serving/replica.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace currantlug::serving {

/// A request for a replica, as yet without the platform's own fields.
struct OutboundRequest
{
    std::string id; ///< Of the client's attempt or of a job's item.
    std::string method;
    std::string target;
    std::string host;
    std::string workspace; ///< Empty on open routes.
    net::Headers headers; ///< Passed on as they are: nothing that concerns one connection, no key.
    std::string body;
    std::optional<absl::Duration> remaining; ///< Time that the client still waits.
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event that is held already.
};

/// The head of a replica's answer, decoded.
struct ReplicaHead
{
    int status = 0;
    bool notRun = false; ///< The replica states that it did not run the request.
    bool instanceMismatch = false; ///< Another replica has the address.
    bool requestMismatch = false; ///< The answer belongs to another request: nothing of it may be used.
    std::optional<ReplicaLoad> load;
    std::optional<std::uint64_t> weightVersion;
    std::string signature; ///< Signature of the replica.
};

struct ReplicaHandlers
{
    std::function<void(const ReplicaHead &, const net::HttpResponse &)> onHead;
    std::function<void(std::string_view)> onBody; ///< Empty: the body is collected.
    /// The complete answer, or the error with its outcome. Exactly once, unless the call is cancelled.
    std::function<void(const ReplicaHead &, absl::StatusOr<net::HttpResponse>)> onDone;
};

/// One event of a generated stream.
struct StreamEvent
{
    std::uint64_t id = 0; ///< Grows by one from event to event.
    std::string data;
    std::optional<std::uint64_t> weightVersion; ///< Set where the weights changed: from this event on.
};

struct EventHandlers
{
    std::function<void(const ReplicaHead &)> onHead;
    std::function<void(StreamEvent)> onEvent;
    /// OK if the stream came to its proper end. Exactly once, unless the call is cancelled.
    std::function<void(const ReplicaHead &, absl::Status)> onDone;
};

struct ReplicaPort
{
    /// Sends a request whose answer is a stream of events.
    std::function<net::CallId(const Replica &, const OutboundRequest &, const net::ClientLimits &, EventHandlers)>
        generate;
    std::function<net::CallId(const Replica &, const OutboundRequest &, const net::ClientLimits &, ReplicaHandlers)>
        send;
    std::function<void(net::CallId)> cancel;
};

/// A client's request, decoded.
struct InboundRequest
{
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    std::string key; ///< Empty where none came.
    std::optional<absl::Duration> deadline; ///< The client waits this long.
    std::optional<std::uint64_t> resumeAfter;
    net::Headers headers; ///< What may be passed on.
    std::string body;
    Instant arrived;
};

/// Where an answer goes: either respond() once, or begin(), parts and one of finish() and abort().
struct ResponseSink
{
    std::function<void(int status, const net::Headers &, std::string_view body)> respond;
    std::function<void(int status, const net::Headers &)> begin;
    std::function<void(std::string_view)> write;
    std::function<void()> finish;
    std::function<void()> abort;
    std::function<void(std::function<void()>)> onClientGone;
};

/// A refusal of our own. `retryAfter` zero: none is sent.
void rejectRequest(const ResponseSink &sink, int status, std::string_view reason, absl::Duration retryAfter);

} // namespace currantlug::serving

#endif
