#include "standins/standinserver.h"

#include "platform/socketstream.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <list>
#include <vector>

namespace currantlug::standins {

namespace {

constexpr absl::Duration KeepAlive = absl::Seconds(60);
constexpr absl::Duration OperationTimeout = absl::Seconds(30);
constexpr absl::Duration PauseSlice = absl::Milliseconds(20); ///< How often a waiting handler looks at its peer.
constexpr int ListenBacklog = 1024; ///< cpp-httplib's 5 makes bursts of connections wait for a SYN retransmission.

/// The connection that the current thread serves.
thread_local platform::SocketStream *currentStream = nullptr;

/// One thread per connection: a fixed pool would be exhausted by waiting watches and streams.
class ConnectionThreads final : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> serve) override
    {
        const std::lock_guard lock(mutex_);
        joinFinished();
        threads_.emplace_back();
        const auto self = std::prev(threads_.end());
        *self = std::thread([this, self, serve = std::move(serve)] {
            serve();
            const std::lock_guard finishedLock(mutex_);
            finished_.push_back(self);
        });
    }

    void shutdown() override
    {
        std::list<std::thread> threads;
        {
            const std::lock_guard lock(mutex_);
            finished_.clear();
            threads.swap(threads_);
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    }

private:
    void joinFinished()
    {
        for (const auto &thread : finished_) {
            thread->join();
            threads_.erase(thread);
        }
        finished_.clear();
    }

    std::mutex mutex_;
    std::list<std::thread> threads_;
    std::vector<std::list<std::thread>::iterator> finished_;
};

} // namespace

/// Gives each connection to the stand-in instead of to cpp-httplib's own loop, which offers no access to sockets.
class StandinServer::Http final : public httplib::Server
{
public:
    explicit Http(StandinServer &owner)
        : owner_(owner)
    {
        const auto handle = [&owner](const httplib::Request &request, httplib::Response &response) {
            owner.handle(request, response);
        };
        const std::string anyPath = "[^]*";
        Get(anyPath, handle).Post(anyPath, handle).Put(anyPath, handle).Patch(anyPath, handle);
        Delete(anyPath, handle).Options(anyPath, handle);
        new_task_queue = [] { return new ConnectionThreads; };
        set_tcp_nodelay(true);
        // SO_REUSEADDR only: cpp-httplib's default, SO_REUSEPORT, lets two programs share a port without an error.
        set_socket_options([](int fd) {
            const int on = 1;
            setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        });
    }

    void raiseBacklog() { ::listen(svr_sock_, ListenBacklog); }

    bool serveOne(httplib::Stream &stream, bool &closed)
    {
        return process_request(stream, false, closed, [](httplib::Request &request) {
            // cpp-httplib reads a body without a length until the connection ends.
            if (!request.has_header("Content-Length") && !request.has_header("Transfer-Encoding")) {
                request.headers.emplace("Content-Length", "0");
            }
        });
    }

private:
    bool process_and_close_socket(int socket) override
    {
        owner_.serveConnection(socket);
        ::shutdown(socket, SHUT_RDWR);
        ::close(socket);
        return true;
    }

    StandinServer &owner_;
};

StandinServer::StandinServer(Handler handler)
    : handler_(std::move(handler))
{
}

StandinServer::~StandinServer()
{
    stop();
}

absl::Status StandinServer::start(int port)
{
    stopping_ = false;
    http_ = std::make_unique<Http>(*this);
    port_ = port == 0 ? http_->bind_to_any_port("127.0.0.1") : port;
    if (port_ <= 0 || (port != 0 && !http_->bind_to_port("127.0.0.1", port))) {
        http_.reset();
        return absl::UnavailableError(fmt::format("cannot listen on port {}", port));
    }
    http_->raiseBacklog();
    listener_ = std::thread([this] { http_->listen_after_bind(); });
    // stop() has no effect on a cpp-httplib server that is not running yet.
    while (!http_->is_running()) {
        std::this_thread::yield();
    }
    return absl::OkStatus();
}

void StandinServer::stop(const std::function<void()> &onStop)
{
    if (!http_) {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    if (onStop) {
        onStop();
    }
    http_->stop();
    closeConnections(absl::ZeroDuration());
    listener_.join();
    http_.reset();
}

void StandinServer::closeConnections(absl::Duration downTime)
{
    const std::lock_guard lock(mutex_);
    refuseUntil_ = monotonicNow() + downTime;
    for (const int socket : sockets_) {
        // The connection that asked for the crash still gets its answer.
        if (currentStream == nullptr || currentStream->socket() != socket) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
}

void StandinServer::dropAnswer()
{
    currentStream->discardWrites();
}

bool StandinServer::peerClosed()
{
    return currentStream->peerClosed();
}

bool StandinServer::pause(absl::Duration time)
{
    return wait(time, true);
}

bool StandinServer::pauseUnattended(absl::Duration time)
{
    return wait(time, false);
}

bool StandinServer::wait(absl::Duration time, bool watchPeer)
{
    const Instant end = monotonicNow() + time;
    std::unique_lock lock(mutex_);
    for (Instant now = monotonicNow(); now < end; now = monotonicNow()) {
        if (stopping_ || (watchPeer && peerClosed())) {
            return false;
        }
        changed_.wait_for(lock, absl::ToChronoNanoseconds(std::min(end - now, PauseSlice)));
    }
    return !stopping_;
}

void StandinServer::handle(const httplib::Request &request, httplib::Response &response)
{
    if (request.path == "/faults") {
        addFault(request, response);
        return;
    }
    if (request.path == "/audit" || request.path == "/settings" || request.path == "/vms") {
        handler_(request, response);
        return;
    }
    Fault fault;
    if (faults_.take(FaultKind::Lag, request.path, fault) && !pause(fault.delay)) {
        return;
    }
    if (faults_.take(FaultKind::Fail, request.path, fault)) {
        answerError(response, 503, "injected", "injected failure");
        return;
    }
    if (faults_.take(FaultKind::Hang, request.path, fault)) {
        pause(fault.delay == absl::ZeroDuration() ? absl::InfiniteDuration() : fault.delay);
        dropAnswer();
        return;
    }
    if (faults_.take(FaultKind::LoseAnswer, request.path, fault)) {
        dropAnswer();
    }
    handler_(request, response);
}

void StandinServer::addFault(const httplib::Request &request, httplib::Response &response)
{
    const std::optional<Json> body = parseJson(request.body);
    const absl::StatusOr<Fault> fault =
        request.method == "POST" && body ? parseFault(*body) : absl::InvalidArgumentError("expected a POST of JSON");
    if (!fault.ok()) {
        answerError(response, 400, "invalid", std::string(fault.status().message()));
        return;
    }
    answerJson(response, Json::object());
    if (fault->kind != FaultKind::Crash) {
        faults_.add(*fault);
    } else if (crash_) {
        crash_(fault->delay);
    }
}

void StandinServer::serveConnection(int socket)
{
    if (!enter(socket)) {
        return;
    }
    platform::SocketStream stream(socket, Instant(absl::InfiniteDuration()), OperationTimeout);
    currentStream = &stream;
    bool closed = false;
    while (!stopping_ && !closed && stream.waitForInput(KeepAlive)) {
        if (!http_->serveOne(stream, closed) || stream.discardsWrites()) {
            break;
        }
    }
    currentStream = nullptr;
    leave(socket);
}

bool StandinServer::enter(int socket)
{
    const std::lock_guard lock(mutex_);
    if (stopping_ || monotonicNow() < refuseUntil_) {
        return false;
    }
    sockets_.insert(socket);
    return true;
}

void StandinServer::leave(int socket)
{
    const std::lock_guard lock(mutex_);
    sockets_.erase(socket);
}

void answerError(httplib::Response &response, int status, std::string_view code, std::string_view message)
{
    response.status = status;
    response.set_content(Json{{"error", {{"code", code}, {"message", message}}}}.dump(), "application/json");
}

void answerJson(httplib::Response &response, const Json &json)
{
    response.status = 200;
    response.set_content(json.dump(-1, ' ', false, Json::error_handler_t::replace), "application/json");
}

Json headersJson(const httplib::Request &request)
{
    Json result = Json::array();
    for (const auto &[name, value] : request.headers) {
        result.push_back({name, value});
    }
    return result;
}

std::int64_t monotonicMs()
{
    return absl::ToInt64Milliseconds(monotonicNow().sinceOrigin());
}

} // namespace currantlug::standins
