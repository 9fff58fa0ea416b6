#include "platform/httpclient.h"

#include "core/instant.h"
#include "platform/responseflaw.h"
#include "platform/socketstream.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <mutex>

namespace currantlug::platform {

namespace {

/// A descriptor that is closed when replaced or destroyed.
class Descriptor
{
public:
    Descriptor() = default;
    ~Descriptor() { reset(-1); }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;

    void reset(int fd)
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
        fd_ = fd;
    }
    int get() const { return fd_; }

private:
    int fd_ = -1;
};

/// One connection. Overrides the step of cpp-httplib that starts once the socket is connected.
class Connection final : public httplib::ClientImpl
{
public:
    explicit Connection(const HttpClientSettings &settings)
        : ClientImpl(settings.host, settings.port)
    {
        const auto connectTimeout = absl::ToChronoMicroseconds(settings.connectTimeout);
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(connectTimeout);
        set_connection_timeout(seconds.count(), (connectTimeout - seconds).count());
        set_url_encode(false);
        // Header and body are separate writes; Nagle's algorithm would hold the body back for a delayed ACK.
        set_tcp_nodelay(true);
        set_socket_options([userTimeout = settings.tcpUserTimeout](int fd) {
            const unsigned ms = static_cast<unsigned>(absl::ToInt64Milliseconds(userTimeout));
            if (ms > 0) {
                setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
            }
        });
    }

    bool perform(httplib::Request &request, httplib::Response &response, absl::Duration limit,
                 const std::function<void(int)> &onConnected)
    {
        limit_ = limit;
        onConnected_ = &onConnected;
        bytesSent_ = 0;
        unread_ = false;
        httplib::Error error = httplib::Error::Success;
        const bool complete = send(request, response, error);
        failure_ = httplib::to_string(error);
        return complete;
    }

    std::size_t bytesSent() const { return bytesSent_; }
    const std::string &failure() const { return failure_; }

    /// Open, nothing received beyond the answer, and no end of stream.
    bool reusable() const
    {
        if (unread_ || is_socket_open() == 0) {
            return false;
        }
        pollfd entry{socket(), POLLIN | POLLRDHUP, 0};
        return poll(&entry, 1, 0) == 0;
    }

private:
    bool process_socket(const Socket &socket, std::function<bool(httplib::Stream &)> callback) override
    {
        SocketStream stream(socket.sock, monotonicNow() + limit_, absl::InfiniteDuration());
        if (*onConnected_) {
            (*onConnected_)(socket.sock);
        }
        const bool complete = callback(stream);
        bytesSent_ = stream.bytesSent();
        unread_ = stream.hasUnreadBytes();
        return complete;
    }

    absl::Duration limit_;
    const std::function<void(int)> *onConnected_ = nullptr;
    std::size_t bytesSent_ = 0;
    bool unread_ = false;
    std::string failure_;
};

httplib::Request makeRequest(const HttpCall &call)
{
    httplib::Request request;
    request.method = call.method;
    request.path = call.target;
    request.body = call.body;
    for (const auto &[name, value] : call.headers) {
        request.headers.emplace(name, value);
    }
    if (!call.body.empty()) {
        request.headers.emplace("Content-Type", "application/json");
    } else if (call.method == "DELETE") {
        // cpp-httplib servers read the body of a DELETE without a length until the connection ends.
        request.headers.emplace("Content-Length", "0");
    }
    return request;
}

} // namespace

struct HttpClient::Pool
{
    struct Idle
    {
        std::unique_ptr<Connection> connection;
        Instant since;
    };

    std::unique_ptr<Connection> take(const HttpClientSettings &settings)
    {
        const std::lock_guard lock(mutex);
        while (!idle.empty()) {
            Idle last = std::move(idle.back());
            idle.pop_back();
            if (monotonicNow() - last.since <= settings.maxIdleTime && last.connection->reusable()) {
                return std::move(last.connection);
            }
        }
        return nullptr;
    }

    void put(std::unique_ptr<Connection> connection, std::size_t limit)
    {
        const std::lock_guard lock(mutex);
        if (idle.size() < limit) {
            idle.push_back({std::move(connection), monotonicNow()});
        }
    }

    mutable std::mutex mutex;
    std::vector<Idle> idle; ///< The most recently used one is last and is used first.
    Descriptor hooked; ///< Duplicate handed to the hook of the last call.
};

bool parsePeer(std::string_view address, HttpClientSettings &settings)
{
    const std::size_t colon = address.rfind(':');
    int port = 0;
    if (colon == std::string_view::npos || colon == 0
        || !absl::SimpleAtoi(std::string(address.substr(colon + 1)), &port) || port <= 0 || port > 65535) {
        return false;
    }
    settings.host = std::string(address.substr(0, colon));
    settings.port = port;
    return true;
}

HttpClient::HttpClient(HttpClientSettings settings)
    : settings_(std::move(settings))
    , peer_(fmt::format("{}:{}", settings_.host, settings_.port))
    , pool_(std::make_unique<Pool>())
{
}

HttpClient::~HttpClient() = default;

absl::StatusOr<HttpAnswer> HttpClient::call(const HttpCall &call, Step step, const AnswerCheck &check,
                                            const SocketHook &hook)
{
    const bool pooled = settings_.maxIdleConnections > 0 && !hook;
    std::unique_ptr<Connection> connection = pooled ? pool_->take(settings_) : nullptr;
    if (!connection) {
        connection = std::make_unique<Connection>(settings_);
        connection->set_keep_alive(pooled);
    }
    std::function<void(int)> onConnected;
    if (hook) {
        onConnected = [this, &hook](int fd) {
            const std::lock_guard lock(pool_->mutex);
            pool_->hooked.reset(::dup(fd));
            if (pool_->hooked.get() < 0) {
                // Without a descriptor for the guard nothing may be sent.
                ::shutdown(fd, SHUT_RDWR);
                return;
            }
            hook(pool_->hooked.get());
        };
    }
    httplib::Request request = makeRequest(call);
    httplib::Response response;
    if (!connection->perform(request, response, settings_.callTimeout + call.extraTime, onConnected)) {
        const Outcome outcome = connection->bytesSent() == 0 ? Outcome::NotRun : Outcome::MayHaveRun;
        return makeError(absl::StatusCode::kUnavailable, step, peer_, outcome,
                         fmt::format("{} {}: {}", call.method, call.target, connection->failure()));
    }
    if (const std::string_view flaw = responseFlaw(response); !flaw.empty()) {
        return makeError(absl::StatusCode::kUnavailable, step, peer_, Outcome::MayHaveRun,
                         fmt::format("{} {}: {}", call.method, call.target, flaw));
    }
    HttpAnswer answer{response.status, std::move(response.body)};
    if (check && !check(answer)) {
        return makeError(absl::StatusCode::kUnavailable, step, peer_, Outcome::MayHaveRun,
                         fmt::format("{} {}: the answer (status {}) does not belong to the request", call.method,
                                     call.target, answer.status));
    }
    if (pooled && connection->reusable()) {
        pool_->put(std::move(connection), settings_.maxIdleConnections);
    }
    return answer;
}

std::size_t HttpClient::idleConnections() const
{
    const std::lock_guard lock(pool_->mutex);
    return pool_->idle.size();
}

std::string percentEncode(std::string_view text, bool keepSlashes)
{
    std::string result;
    result.reserve(text.size());
    for (const char c : text) {
        const bool alphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
        if (alphanumeric || c == '-' || c == '_' || c == '.' || c == '~' || (c == '/' && keepSlashes)) {
            result += c;
        } else {
            result += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return result;
}

} // namespace currantlug::platform
