// HTTP server of the stand-ins: one thread per connection, and faults that need the connection itself.
#ifndef CURRANTLUG_STANDINS_STANDINSERVER_H
#define CURRANTLUG_STANDINS_STANDINSERVER_H

#include "core/instant.h"
#include "core/json.h"
#include "standins/faults.h"

#include <absl/status/status.h>
#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace currantlug::standins {

/// Serves one handler for all methods and paths. `POST /faults` is answered here.
class StandinServer
{
public:
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

    explicit StandinServer(Handler handler);
    ~StandinServer();
    StandinServer(const StandinServer &) = delete;
    StandinServer &operator=(const StandinServer &) = delete;

    /// Listens on 127.0.0.1; port 0 takes a free one.
    absl::Status start(int port);
    /// Closes all connections and joins all threads. `onStop` wakes handlers that wait for something else.
    void stop(const std::function<void()> &onStop = {});
    int port() const { return port_; }
    bool stopping() const { return stopping_; }

    FaultTable &faults() { return faults_; }
    /// Called for a crash fault from `POST /faults`.
    void onCrash(std::function<void(absl::Duration downTime)> crash) { crash_ = std::move(crash); }

    /// Shuts all connections down and refuses new ones for `downTime`.
    void closeConnections(absl::Duration downTime);

    /// The calling handler's connection is closed without any further byte.
    static void dropAnswer();
    /// The peer of the calling handler's connection has closed it.
    static bool peerClosed();
    /// Waits inside a handler; false when the stand-in stops or the peer closes the connection first.
    bool pause(absl::Duration time);
    /// The same, but goes on when the peer closes the connection.
    bool pauseUnattended(absl::Duration time);

private:
    class Http;

    void handle(const httplib::Request &request, httplib::Response &response);
    void addFault(const httplib::Request &request, httplib::Response &response);
    void serveConnection(int socket);
    bool wait(absl::Duration time, bool watchPeer);
    bool enter(int socket);
    void leave(int socket);

    Handler handler_;
    std::function<void(absl::Duration)> crash_;
    FaultTable faults_;
    std::unique_ptr<Http> http_;
    std::thread listener_;
    int port_ = 0;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::condition_variable changed_; ///< Signalled on stop.
    std::set<int> sockets_; ///< Open connections. A socket is closed only after it left this set.
    Instant refuseUntil_;
};

/// {"error":{"code","message"}} with a status.
void answerError(httplib::Response &response, int status, std::string_view code, std::string_view message);
void answerJson(httplib::Response &response, const Json &json);
/// [[name,value]...] as received.
Json headersJson(const httplib::Request &request);
/// Milliseconds of the monotonic clock, comparable between processes of one machine.
std::int64_t monotonicMs();

} // namespace currantlug::standins

#endif
