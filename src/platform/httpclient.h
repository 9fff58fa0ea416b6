// HTTP/1.1 calls to one peer over a pool of connections. Each call ends by a deadline that covers all its reads and
// writes, and its error says whether any byte of the request was handed to the kernel.
#ifndef CURRANTLUG_PLATFORM_HTTPCLIENT_H
#define CURRANTLUG_PLATFORM_HTTPCLIENT_H

#include "core/error.h"

#include <absl/status/statusor.h>
#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace currantlug::platform {

/// Called with the connected socket before the first byte of a call is sent, so that a guard can shut the socket down.
/// The descriptor is a duplicate that the client keeps open until its next call or its destruction, so a guard that is
/// disarmed after the call returns never touches an unrelated socket.
using SocketHook = std::function<void(int socket)>;

struct HttpClientSettings
{
    std::string host = "127.0.0.1"; ///< IP address of the peer.
    int port = 0;
    absl::Duration connectTimeout = absl::Milliseconds(500);
    absl::Duration callTimeout = absl::Seconds(2); ///< From the start of the call, without the time to connect.
    std::size_t maxIdleConnections = 8; ///< 0 gives every call its own connection.
    absl::Duration maxIdleTime = absl::Seconds(3); ///< Below the 5 s after which cpp-httplib servers close idle ones.
    absl::Duration tcpUserTimeout = absl::ZeroDuration(); ///< TCP_USER_TIMEOUT; zero keeps the kernel's default.
};

/// Splits "host:port" into the settings; false where the text has another form.
bool parsePeer(std::string_view address, HttpClientSettings &settings);

struct HttpCall
{
    std::string method = "GET";
    std::string target; ///< Path and query, already percent-encoded.
    std::vector<std::pair<std::string, std::string>> headers = {};
    std::string body = {};
    absl::Duration extraTime = absl::ZeroDuration(); ///< Added to callTimeout, for long polls.
};

struct HttpAnswer
{
    int status = 0;
    std::string body;
};

/// Thread-safe. A connection returns to the pool only after a complete answer that the caller's check accepted; before
/// it is used again it must show neither unread bytes nor an end of stream.
class HttpClient
{
public:
    /// Says whether an answer belongs to its request. Its connection is closed when it does not.
    using AnswerCheck = std::function<bool(const HttpAnswer &)>;

    explicit HttpClient(HttpClientSettings settings);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Any complete and accepted HTTP answer is a success. Errors are kUnavailable, with Outcome::NotRun when no byte
    /// was handed to the kernel and Outcome::MayHaveRun otherwise. A hook forces a connection of the call's own.
    absl::StatusOr<HttpAnswer> call(const HttpCall &call, Step step, const AnswerCheck &check = {},
                                    const SocketHook &hook = {});

    /// "host:port", as errors name the peer.
    const std::string &peer() const { return peer_; }

    /// Connections that wait in the pool.
    std::size_t idleConnections() const;

private:
    struct Pool;

    HttpClientSettings settings_;
    std::string peer_;
    std::unique_ptr<Pool> pool_;
};

/// Percent-encodes everything but unreserved characters and, when asked, '/'.
std::string percentEncode(std::string_view text, bool keepSlashes);

} // namespace currantlug::platform

#endif
