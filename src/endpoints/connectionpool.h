// HTTP connections to endpoints: deadlines that hold against a peer sending byte by byte, and reuse only after a
// completely read answer.
#ifndef CURRANTLUG_ENDPOINTS_CONNECTIONPOOL_H
#define CURRANTLUG_ENDPOINTS_CONNECTIONPOOL_H

#include "core/error.h"
#include "core/instant.h"
#include "endpoints/cancelflag.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <absl/time/time.h>
#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace currantlug::endpoints {

struct ConnectionPoolSettings
{
    absl::Duration connectTimeout = absl::Seconds(2);
    absl::Duration maxIdleAge = absl::Seconds(30); ///< Older idle connections are closed instead of reused.
    std::size_t maxIdlePerEndpoint = 16;
};

/// Deadlines of one call, counted from its start.
struct CallDeadlines
{
    absl::Duration firstProgress = absl::Seconds(30); ///< From the start to the first progress mark.
    absl::Duration idle = absl::Seconds(10); ///< Between two progress marks after that.
    absl::Duration total = absl::Minutes(10);
};

/// One HTTP connection. Used by one call at a time.
class Connection
{
public:
    Connection(std::string address, const std::string &host, int port, absl::Duration connectTimeout);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    httplib::Client &client() { return client_; }
    const std::string &address() const { return address_; }

    /// Makes reads and writes of the call fail at once. Safe from any thread.
    void interrupt();

    /// True when the connection is open, and neither closed by the peer nor holding unread bytes.
    bool clean();

private:
    friend class ConnectionPool;

    std::string address_;
    httplib::Client client_;
    std::mutex mutex_;
    int descriptor_ = -1; ///< Duplicate of the socket, so that interrupt() never touches a reused number.
    bool interrupted_ = false;
    Instant idleSince_;
};

/// Owner of connections and of the thread that watches deadlines. Thread-safe.
class ConnectionPool
{
public:
    explicit ConnectionPool(ConnectionPoolSettings settings = {});
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// What the pool reports of an exchange.
    struct Exchange
    {
        bool complete = false; ///< The whole HTTP answer was read.
        bool cancelled = false;
        bool deadlineExceeded = false;
        httplib::Error error = httplib::Error::Unknown;
        std::string_view flaw; ///< Why the head of the answer can't be used; empty if it can.
        Outcome outcome = Outcome::MayHaveRun;
    };

    /// Marks progress of a running exchange, which moves its idle deadline.
    class Progress
    {
    public:
        void mark();

    private:
        friend class ConnectionPool;
        std::atomic<std::int64_t> last_{0}; ///< Nanoseconds on the monotonic clock; 0 before the first mark.
    };

    /// Takes an idle clean connection to "host:port", where `reuse` allows it, or a new one that connects when it
    /// sends. Errors: kInvalidArgument for an address that cannot be read.
    absl::StatusOr<std::unique_ptr<Connection>> take(std::string_view address, bool reuse = true);

    /// Sends the request and reads the answer through the request's receivers. The receivers get no part of an answer
    /// whose head can't be used.
    Exchange run(Connection &connection, httplib::Request &request, httplib::Response &response,
                 const CallDeadlines &deadlines, Progress &progress, CancelFlag *cancel);

    /// Keeps a connection for reuse when it is clean. Call it only after a completely read and matching answer.
    void giveBack(std::unique_ptr<Connection> connection);

    /// Closes the idle connections to an endpoint.
    void closeIdle(std::string_view address);
    std::size_t idleCount(std::string_view address) const;

private:
    struct Watched;
    void watch();

    /// Moves the connections of all endpoints that were idle for too long to `old`. Needs the lock.
    void sweepIdle(Instant now, std::vector<std::unique_ptr<Connection>> &old);

    ConnectionPoolSettings settings_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<std::unique_ptr<Connection>>, std::less<>> idle_;
    std::map<std::uint64_t, Watched *> watched_; ///< Running exchanges; each removes itself before it returns.
    std::uint64_t nextWatched_ = 1;
    Instant lastSweep_ = monotonicNow();
    bool stopping_ = false;
    std::thread watcher_;
};

/// The error of an exchange that did not complete.
absl::Status exchangeError(const ConnectionPool::Exchange &exchange, std::string_view peer);

} // namespace currantlug::endpoints

#endif
