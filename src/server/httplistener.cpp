// Set-up and shutdown of one cpp-httplib server.
#include "server/httplistener.h"

#include "core/error.h"
#include "server/connectionthreads.h"

#include <utility>

namespace currantlug::server {

namespace {

// Keep-alive connections are closed after this many requests only to bound one caller's hold on a thread.
constexpr std::size_t MaxRequestsPerConnection = 10000;
constexpr int KeepAliveSeconds = 5;

// The packaged library listens with a backlog of 5, which a burst of reconnecting callers overflows.
constexpr int ListenBacklog = 512;

} // namespace

void HttpListener::Server::raiseBacklog()
{
    ::listen(svr_sock_, ListenBacklog);
}

HttpListener::HttpListener(HttpListenerSettings settings)
    : settings_(std::move(settings))
{
    const std::size_t maxConnections = settings_.maxConnections;
    server_.new_task_queue = [maxConnections] { return new ConnectionThreads(maxConnections); };
    server_.set_payload_max_length(settings_.maxBodyBytes);
    server_.set_keep_alive_max_count(MaxRequestsPerConnection);
    server_.set_keep_alive_timeout(KeepAliveSeconds);
    server_.set_read_timeout(settings_.readTimeoutSeconds);
    server_.set_write_timeout(settings_.writeTimeoutSeconds);
    server_.set_tcp_nodelay(true);
    // SO_REUSEADDR only: cpp-httplib's default, SO_REUSEPORT, lets two daemons share a port without an error.
    server_.set_socket_options([](socket_t socket) {
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
}

HttpListener::~HttpListener()
{
    stop();
}

absl::Status HttpListener::start()
{
    if (settings_.port == 0) {
        port_ = server_.bind_to_any_port(settings_.address);
    } else {
        port_ = server_.bind_to_port(settings_.address, settings_.port) ? settings_.port : -1;
    }
    if (port_ <= 0) {
        return makeError(absl::StatusCode::kUnavailable, Step::Settings,
                         settings_.address + ":" + std::to_string(settings_.port), Outcome::NotRun,
                         "cannot listen on this address");
    }
    server_.raiseBacklog();
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    // This version of the library has no call that waits for the accept loop; stop() needs the loop to be running.
    while (!server_.is_running()) {
        std::this_thread::yield();
    }
    return absl::OkStatus();
}

void HttpListener::stop()
{
    if (!thread_.joinable()) {
        return;
    }
    server_.stop();
    thread_.join();
}

} // namespace currantlug::server
