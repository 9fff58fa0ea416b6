// Exchange of one request and answer under deadlines that a separate thread enforces by shutting the socket down.
#include "endpoints/connectionpool.h"

#include "platform/responseflaw.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <optional>

namespace currantlug::endpoints {

namespace {

constexpr int MaxPort = 65535;

struct HostAndPort
{
    std::string host;
    int port = 0;
};

std::optional<HostAndPort> splitAddress(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    std::string_view host = address.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    int port = 0;
    const std::string_view digits = address.substr(colon + 1);
    if (!absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()), &port) || port < 1 || port > MaxPort) {
        return std::nullopt;
    }
    return HostAndPort{std::string(host), port};
}

// True for errors that arise before httplib writes the first byte of a request.
bool beforeFirstByte(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
        || error == httplib::Error::BindIPAddress;
}

} // namespace

Connection::Connection(std::string address, const std::string &host, int port, absl::Duration connectTimeout)
    : address_(std::move(address))
    , client_(host, port)
{
    client_.set_keep_alive(true);
    client_.set_tcp_nodelay(true);
    client_.set_url_encode(false);
    client_.set_decompress(false);
    client_.set_follow_location(false);
    client_.set_connection_timeout(absl::ToChronoMicroseconds(connectTimeout));
    client_.set_socket_options([this](socket_t socket) {
        const std::lock_guard lock(mutex_);
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
        descriptor_ = ::dup(socket);
        if (interrupted_) {
            ::shutdown(socket, SHUT_RDWR);
        }
    });
}

Connection::~Connection()
{
    client_.stop();
    const std::lock_guard lock(mutex_);
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

void Connection::interrupt()
{
    const std::lock_guard lock(mutex_);
    interrupted_ = true;
    if (descriptor_ >= 0) {
        ::shutdown(descriptor_, SHUT_RDWR);
    }
}

bool Connection::clean()
{
    // Asked before taking the lock: httplib holds its own lock while it calls the socket options, which take this one.
    const bool open = client_.is_socket_open() != 0;
    const std::lock_guard lock(mutex_);
    if (!open || interrupted_ || descriptor_ < 0) {
        return false;
    }
    // Anything readable is either the end of the stream or bytes that belong to no request of ours. Surplus bytes that
    // httplib has read into its buffer are not seen here, but are dropped with the exchange; those that arrive later
    // are caught by the check of the request id echo.
    pollfd waiting{descriptor_, POLLIN, 0};
    return ::poll(&waiting, 1, 0) == 0;
}

void ConnectionPool::Progress::mark()
{
    last_.store(absl::ToInt64Nanoseconds(monotonicNow().sinceOrigin()), std::memory_order_relaxed);
}

// A running exchange as the watching thread sees it.
struct ConnectionPool::Watched
{
    Connection &connection;
    Progress &progress;
    CallDeadlines deadlines;
    Instant start;
    bool fired = false; ///< Guarded by the pool's mutex.

    Instant deadline() const
    {
        const std::int64_t last = progress.last_.load(std::memory_order_relaxed);
        const Instant idle =
            last == 0 ? start + deadlines.firstProgress : Instant(absl::Nanoseconds(last)) + deadlines.idle;
        return std::min(idle, start + deadlines.total);
    }
};

ConnectionPool::ConnectionPool(ConnectionPoolSettings settings)
    : settings_(settings)
    , watcher_([this] { watch(); })
{
}

ConnectionPool::~ConnectionPool()
{
    {
        const std::lock_guard lock(mutex_);
        assert(watched_.empty());
        stopping_ = true;
    }
    changed_.notify_all();
    watcher_.join();
}

void ConnectionPool::watch()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const Instant now = monotonicNow();
        std::optional<Instant> next;
        for (const auto &[id, watched] : watched_) {
            if (watched->fired) {
                continue;
            }
            const Instant deadline = watched->deadline();
            if (deadline <= now) {
                watched->fired = true;
                watched->connection.interrupt();
                continue;
            }
            // The first progress mark can bring the deadline forward to one idle time from now.
            const Instant check = std::min(deadline, now + watched->deadlines.idle);
            next = next ? std::min(*next, check) : check;
        }
        if (next) {
            changed_.wait_for(lock, absl::ToChronoNanoseconds(*next - now));
        } else {
            changed_.wait(lock);
        }
    }
}

absl::StatusOr<std::unique_ptr<Connection>> ConnectionPool::take(std::string_view address, bool reuse)
{
    std::vector<std::unique_ptr<Connection>> doubtful; // closed outside the lock
    const Instant now = monotonicNow();
    if (reuse) {
        const std::lock_guard lock(mutex_);
        const auto found = idle_.find(address);
        while (found != idle_.end() && !found->second.empty()) {
            std::unique_ptr<Connection> connection = std::move(found->second.back());
            found->second.pop_back();
            if (now - connection->idleSince_ <= settings_.maxIdleAge && connection->clean()) {
                return connection;
            }
            doubtful.push_back(std::move(connection));
        }
    }
    const auto parts = splitAddress(address);
    if (!parts) {
        return makeError(absl::StatusCode::kInvalidArgument, currantlug::Step::Connect, address, Outcome::NotRun,
                         "address is not host:port");
    }
    return std::make_unique<Connection>(std::string(address), parts->host, parts->port, settings_.connectTimeout);
}

ConnectionPool::Exchange ConnectionPool::run(Connection &connection, httplib::Request &request,
                                             httplib::Response &response, const CallDeadlines &deadlines,
                                             Progress &progress, CancelFlag *cancel)
{
    Exchange exchange;
    if (cancel != nullptr && cancel->cancelled()) {
        exchange.cancelled = true;
        exchange.outcome = Outcome::NotRun;
        return exchange;
    }
    // The watching thread enforces the deadlines; the library's own timeouts only must not be shorter.
    connection.client().set_read_timeout(absl::ToChronoMicroseconds(deadlines.total + absl::Seconds(1)));
    connection.client().set_write_timeout(absl::ToChronoMicroseconds(deadlines.total + absl::Seconds(1)));

    Watched watched{connection, progress, deadlines, monotonicNow()};
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(mutex_);
        id = nextWatched_++;
        watched_.emplace(id, &watched);
    }
    changed_.notify_all();
    const std::uint64_t hook = cancel == nullptr ? 0 : cancel->addHook([&connection] { connection.interrupt(); });

    request.response_handler = [&exchange, handler = request.response_handler](const httplib::Response &head) {
        exchange.flaw = platform::responseFlaw(head);
        return exchange.flaw.empty() && (!handler || handler(head));
    };
    httplib::Error error = httplib::Error::Success;
    const bool sent = connection.client().send(request, response, error);

    if (cancel != nullptr) {
        cancel->removeHook(hook);
    }
    {
        const std::lock_guard lock(mutex_);
        watched_.erase(id);
    }
    if (sent) {
        exchange.flaw = platform::responseFlaw(response); // The handler isn't called for an answer without a body.
    }
    exchange.complete = sent && error == httplib::Error::Success && exchange.flaw.empty();
    exchange.cancelled = !exchange.complete && cancel != nullptr && cancel->cancelled();
    exchange.deadlineExceeded = !exchange.complete && watched.fired;
    exchange.error = error;
    exchange.outcome = exchange.complete ? Outcome::Ran
        : beforeFirstByte(error)         ? Outcome::NotRun
                                         : Outcome::MayHaveRun;
    return exchange;
}

void ConnectionPool::giveBack(std::unique_ptr<Connection> connection)
{
    if (!connection->clean()) {
        return;
    }
    std::vector<std::unique_ptr<Connection>> old; // closed outside the lock
    const Instant now = monotonicNow();
    connection->idleSince_ = now;
    const std::lock_guard lock(mutex_);
    if (now - lastSweep_ > settings_.maxIdleAge) {
        lastSweep_ = now;
        sweepIdle(now, old);
    }
    auto &idle = idle_[connection->address()];
    if (idle.size() < settings_.maxIdlePerEndpoint) {
        idle.push_back(std::move(connection));
    }
}

void ConnectionPool::sweepIdle(Instant now, std::vector<std::unique_ptr<Connection>> &old)
{
    for (auto endpoint = idle_.begin(); endpoint != idle_.end();) {
        auto &connections = endpoint->second;
        const auto firstOld = std::partition(connections.begin(), connections.end(), [&](const auto &connection) {
            return now - connection->idleSince_ <= settings_.maxIdleAge;
        });
        std::move(firstOld, connections.end(), std::back_inserter(old));
        connections.erase(firstOld, connections.end());
        endpoint = connections.empty() ? idle_.erase(endpoint) : std::next(endpoint);
    }
}

void ConnectionPool::closeIdle(std::string_view address)
{
    std::vector<std::unique_ptr<Connection>> closing;
    const std::lock_guard lock(mutex_);
    const auto found = idle_.find(address);
    if (found != idle_.end()) {
        closing = std::move(found->second);
        idle_.erase(found);
    }
}

std::size_t ConnectionPool::idleCount(std::string_view address) const
{
    const std::lock_guard lock(mutex_);
    const auto found = idle_.find(address);
    return found == idle_.end() ? 0 : found->second.size();
}

absl::Status exchangeError(const ConnectionPool::Exchange &exchange, std::string_view peer)
{
    const currantlug::Step step =
        exchange.outcome == Outcome::NotRun ? currantlug::Step::Connect : currantlug::Step::ReadAnswer;
    if (exchange.cancelled) {
        return makeError(absl::StatusCode::kCancelled, step, peer, exchange.outcome, "call was cancelled");
    }
    if (exchange.deadlineExceeded) {
        return makeError(absl::StatusCode::kDeadlineExceeded, step, peer, exchange.outcome,
                         "endpoint made no progress within the deadline");
    }
    if (!exchange.flaw.empty()) {
        return makeError(absl::StatusCode::kDataLoss, step, peer, exchange.outcome, exchange.flaw);
    }
    switch (exchange.error) {
    case httplib::Error::Connection:
        return makeError(absl::StatusCode::kUnavailable, step, peer, exchange.outcome, "connection failed");
    case httplib::Error::ConnectionTimeout:
        return makeError(absl::StatusCode::kUnavailable, step, peer, exchange.outcome, "connection timed out");
    case httplib::Error::Write:
        return makeError(absl::StatusCode::kUnavailable, currantlug::Step::Send, peer, exchange.outcome,
                         "connection broke while the request was sent");
    default:
        return makeError(absl::StatusCode::kUnavailable, step, peer, exchange.outcome,
                         "connection broke before the answer was complete");
    }
}

} // namespace currantlug::endpoints
