// Event-driven HTTP/1.1 server. One request at a time on a connection; answers may be sent later, whole or in parts.
#ifndef CURRANTLUG_NET_HTTPSERVER_H
#define CURRANTLUG_NET_HTTPSERVER_H

#include "net/clientrefusal.h"
#include "net/deferredturns.h"
#include "net/eventloop.h"
#include "net/httpmessage.h"
#include "net/memorybudget.h"

#include <absl/status/status.h>
#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace currantlug::net {

namespace detail {
class ServerConnection;
}

/// What a client may send and how long it may take.
struct ServerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 32ULL << 20;
    absl::Duration headerTimeout = absl::Seconds(10); ///< From a request's first byte to its end.
    absl::Duration idleTimeout = absl::Seconds(60); ///< Between requests.
    /// An answer in parts is congested while more than this waits for its client.
    std::uint64_t unsentBytes = 256 << 10;
    /// Sent with the refusal of a body for lack of memory. Bodies that large arrive within a second or so.
    absl::Duration memoryRetryAfter = absl::Seconds(1);
};

/// What the connections of one listener may take of the process. The defaults don't refuse any request inside
/// ServerLimits while the event loop keeps up.
struct CrowdLimits
{
    /// Open connections; 0 for no bound. Beyond it an unfinished or idle connection is closed for a new one.
    std::size_t connections = 0;
    /// Bytes of empty lines before a request.
    std::size_t emptyLineBytes = 1024;
    /// Processor time that a connection may use at once, and the part of the time since then in which it is earned
    /// back. A connection that has used more waits for DeferredTurns.
    absl::Duration turnBurst = absl::Milliseconds(20);
    double turnShare = 0.2;
    /// Header fields of a request that is still taken while `busyTurns` connections wait for DeferredTurns.
    std::size_t fieldsWhenBusy = 200;
    std::size_t busyTurns = 8;
};

/// One request and the way to answer it. Held by shared_ptr; an answer after the client has gone is dropped.
class ServerCall
{
public:
    ServerCall(std::weak_ptr<detail::ServerConnection> connection, HttpRequest request)
        : connection_(std::move(connection))
        , request_(std::move(request))
    {
    }

    const HttpRequest &request() const { return request_; }
    /// The body, which request() no longer has after this.
    std::string takeBody() { return std::exchange(request_.body, {}); }

    /// The whole answer. Call once.
    void respond(int status, const Headers &headers, std::string_view body);
    /// Starts an answer of unknown length; write() and then finish() or abort() follow.
    void begin(int status, const Headers &headers);
    void write(std::string_view bytes);
    /// True if the client reads too slowly: what was written waits here. The writer should pause until onSent().
    bool isCongested() const;
    /// Calls the handler once, when all that was written has left. Not called if the client goes first.
    void onSent(std::function<void()> handler);
    void finish();
    /// Closes the connection, so that what was sent doesn't look complete.
    void abort();

    bool answered() const { return answered_; }
    /// Called when the client closes the connection before the answer is complete.
    void onClientGone(std::function<void()> handler) { gone_ = std::move(handler); }

private:
    friend class detail::ServerConnection;
    std::weak_ptr<detail::ServerConnection> connection_;
    HttpRequest request_;
    MemoryShare bodyMemory_; ///< Held until the call is destroyed.
    MemoryShare headMemory_; ///< Held until the call is destroyed.
    std::function<void()> gone_;
    bool answered_ = false;
};

using ServerCallPtr = std::shared_ptr<ServerCall>;

class HttpServer
{
public:
    using Handler = std::function<void(ServerCallPtr)>;

    HttpServer(Loop &loop, Handler handler);
    ~HttpServer();

    /// kUnavailable if the address is in use or not there yet, so that a later call may succeed; kFailedPrecondition if
    /// it can't be bound for another reason.
    absl::Status listen(const Endpoint &endpoint);
    /// Heads, bodies, pipelined bytes and unsent answers take their memory from the budget, which must outlive this
    /// server and its calls. A request that doesn't fit is answered with 503 before it is read whole.
    void setMemoryBudget(MemoryBudget &budget);
    /// Connections that have used much processor time wait there. Without it they go on like others.
    void setDeferredTurns(DeferredTurns &turns) { turns_ = &turns; }
    void setCrowdLimits(const CrowdLimits &limits) { crowd_ = limits; }
    const RefusalCounts &refusals() const { return refusals_; }
    std::size_t connections() const { return connections_.size(); }
    void setLimits(const ServerLimits &limits) { limits_ = limits; }
    const ServerLimits &limits() const { return limits_; }
    /// From here on each answer asks its client to use another connection.
    void startClosing() { closing_ = true; }
    /// Bytes of answers that wait for their clients.
    std::uint64_t unsentBytes() const { return unsentBytes_; }
    /// Stops accepting and closes connections that carry no request.
    void stopAccepting();
    bool closing() const { return closing_; }
    /// Requests that were read and not yet answered.
    std::size_t openCalls() const { return openCalls_; }
    /// The port in use, for a server that was bound to port 0.
    unsigned short port() const { return acceptor_.local_endpoint().port(); }

private:
    friend class detail::ServerConnection;
    /// Part of the memory budget that all answers together may take while they wait for slow clients.
    static constexpr double UnsentFraction = 0.25; // An eighth of the memory of the process.
    static constexpr std::uint64_t MinUnsentBytes = 16 << 10; ///< Of one answer, however many wait.

    void accept();
    void sweep();
    /// Closes a connection on which no request was handed on, so that there is room for a new one. Returns false if
    /// there is none.
    bool makeRoom();
    /// The connection whose unfinished request holds most memory; null if none holds any.
    std::shared_ptr<detail::ServerConnection> largestUnfinished() const;
    void count(ClientRefusal reason) { ++refusals_[static_cast<std::size_t>(reason)]; }
    bool isBusy() const { return turns_ != nullptr && turns_->waiting() >= crowd_.busyTurns; }
    /// Unsent bytes from which an answer is congested.
    std::uint64_t congestionBytes() const;
    /// True if the unsent answers of all listeners take more than the reserve of the budget.
    bool isShortOfMemoryForAnswers() const;

    Loop &loop_;
    Handler handler_;
    boost::asio::ip::tcp::acceptor acceptor_;
    ServerLimits limits_;
    MemoryBudget *memoryBudget_ = nullptr; ///< Null: no limit.
    DeferredTurns *turns_ = nullptr; ///< Null: no connection is deferred.
    CrowdLimits crowd_;
    RefusalCounts refusals_{}; ///< Since the start.
    std::array<char, 16384> input_; ///< For the read under way on any connection.
    bool closing_ = false;
    std::size_t openCalls_ = 0;
    std::uint64_t unsentBytes_ = 0; ///< Sum over the connections.
    std::set<std::shared_ptr<detail::ServerConnection>> connections_;
};

} // namespace currantlug::net

#endif
