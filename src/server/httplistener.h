// One HTTP listener with the limits that all of the daemon's HTTP interfaces share.
#ifndef CURRANTLUG_SERVER_HTTPLISTENER_H
#define CURRANTLUG_SERVER_HTTPLISTENER_H

#include <absl/status/status.h>
#include <httplib.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace currantlug::server {

struct HttpListenerSettings
{
    std::string address = "127.0.0.1";
    int port = 0; ///< 0 takes any free port.
    std::size_t maxBodyBytes = 8 << 20; ///< Holds a step of 4,096 samples in groups of 8 with 16 kB prompts.
    std::size_t maxConnections = 2048; ///< Threads; each costs about one stack page set while idle.
    int readTimeoutSeconds = 10; ///< A caller that sends its request more slowly is cut off.
    int writeTimeoutSeconds = 10;
};

class HttpListener
{
public:
    explicit HttpListener(HttpListenerSettings settings);
    ~HttpListener();

    /// Add routes here before start().
    httplib::Server &routes() { return server_; }

    absl::Status start();
    void stop();

    /// The bound port after start().
    int port() const { return port_; }
    bool running() const { return server_.is_running(); }

private:
    /// Reaches the listening socket, which the library keeps to itself.
    class Server : public httplib::Server
    {
    public:
        void raiseBacklog();
    };

    HttpListenerSettings settings_;
    Server server_;
    std::thread thread_;
    int port_ = 0;
};

} // namespace currantlug::server

#endif
