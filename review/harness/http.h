// Blocking HTTP/1.1 over loopback for the stand-ins of the review: messages, connections, a server and a client.
#ifndef CURRANTLUG_REVIEW_HTTP_H
#define CURRANTLUG_REVIEW_HTTP_H

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message
{
    std::string method;
    std::string target;
    int status = 0; ///< Of a response; 0 if there was none.
    Headers headers;
    std::string body;

    /// The first value of a field, or nothing.
    std::string header(std::string_view name) const;
    /// All values of a field.
    std::vector<std::string> values(std::string_view name) const;
    std::string path() const;
    std::string query(std::string_view name) const;
};

/// One TCP connection. Not copied; closes its descriptor.
class Connection
{
public:
    explicit Connection(int descriptor)
        : descriptor_(descriptor)
    {
    }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool write(std::string_view bytes) const;
    /// Reads one message. Returns false at the end of the connection or after `timeoutMs`.
    bool read(Message &message, bool response, int timeoutMs);
    /// True once the peer has closed its end.
    bool peerClosed() const;
    /// Reads and drops up to `bytes` bytes. Returns false at the end of the connection.
    bool skip(std::size_t bytes, int timeoutMs);

private:
    bool fill(int timeoutMs);

    int descriptor_;
    std::string buffer_;
};

std::string encodeResponse(int status, const Headers &headers, const std::string &body);

/// Accepts connections at a loopback address; one thread a connection.
class Server
{
public:
    /// Answers a request on its connection. Returns false to close the connection.
    using Handler = std::function<bool(const Message &, Connection &)>;

    Server(std::string address, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    const std::string &address() const { return address_; }
    /// Closes the listener and all connections.
    void stop();

private:
    void accept();
    void serve(int descriptor);

    std::string address_;
    Handler handler_;
    int listener_ = -1;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::map<int, bool> open_; ///< Descriptors of the open connections.
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// Connects to an address. Returns nothing if that fails.
std::unique_ptr<Connection> dial(const std::string &address);
std::string encodeRequest(const std::string &method, const std::string &target, const Headers &headers,
                          const std::string &body);
/// Sends one request on a new connection. The status is 0 if no whole response came within the time.
Message call(const std::string &address, const std::string &method, const std::string &target, const Headers &headers,
             const std::string &body, int timeoutMs);

} // namespace review

#endif
