// HTTP servers on a free port of 127.0.0.1 for tests of the clients.
#ifndef CURRANTLUG_TESTS_ENDPOINTS_LOCALSERVER_H
#define CURRANTLUG_TESTS_ENDPOINTS_LOCALSERVER_H

#include "core/json.h"

#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <future>
#include <string>
#include <thread>

namespace currantlug::fakes {

/// cpp-httplib server that stops with the test.
class LocalServer
{
public:
    explicit LocalServer(const std::function<void(httplib::Server &)> &addHandlers)
    {
        addHandlers(server_);
        port_ = server_.bind_to_any_port("127.0.0.1");
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        // stop() has no effect before the server runs.
        while (!server_.is_running()) {
            std::this_thread::yield();
        }
    }
    ~LocalServer()
    {
        release_.set_value();
        server_.stop();
        thread_.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /// Ready when the test ends; handlers that must hang wait for it.
    std::shared_future<void> end() const { return end_; }

private:
    httplib::Server server_;
    std::promise<void> release_;
    std::shared_future<void> end_ = release_.get_future().share();
    int port_ = 0;
    std::thread thread_;
};

/// Reads one request per connection, answers with fixed bytes and then closes, or waits for the client to close.
class RawServer
{
public:
    RawServer(std::string answer, bool closeAfter)
        : answer_(std::move(answer))
        , closeAfter_(closeAfter)
        , listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        ::bind(listener_, reinterpret_cast<sockaddr *>(&address), size);
        ::listen(listener_, 8);
        ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { serve(); });
    }
    ~RawServer()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void serve()
    {
        for (int client = ::accept(listener_, nullptr, nullptr); client >= 0;
             client = ::accept(listener_, nullptr, nullptr)) {
            char buffer[4096];
            if (::recv(client, buffer, sizeof(buffer), 0) > 0) {
                ::send(client, answer_.data(), answer_.size(), MSG_NOSIGNAL);
            }
            while (!closeAfter_ && ::recv(client, buffer, sizeof(buffer), 0) > 0) { }
            ::close(client);
        }
    }

    std::string answer_;
    bool closeAfter_;
    int listener_;
    int port_ = 0;
    std::thread thread_;
};

/// Event stream of an engine: one chunk per version in `versions`, then the closing event with their summary.
inline std::string engineEvents(const std::string &id, const std::vector<std::uint64_t> &versions, bool closing = true)
{
    std::string body;
    Json segments = Json::array();
    for (const std::uint64_t version : versions) {
        const Json event = {{"id", id}, {"choices", {{{"text", "t"}, {"weight_version", version}}}}};
        body += "data: " + event.dump() + "\n\n";
        segments.push_back({{"weight_version", version}, {"tokens", 1}});
    }
    if (closing) {
        const Json event = {{"id", id},
                            {"choices", {{{"text", ""}, {"finish_reason", "stop"}}}},
                            {"usage", {{"completion_tokens", versions.size()}}},
                            {"segments", segments}};
        body += "data: " + event.dump() + "\n\ndata: [DONE]\n\n";
    }
    return body;
}

} // namespace currantlug::fakes

#endif
