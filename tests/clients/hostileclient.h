// A client that sends prepared bytes without regard to what the server answers.
#ifndef CURRANTLUG_TESTS_CLIENTS_HOSTILECLIENT_H
#define CURRANTLUG_TESTS_CLIENTS_HOSTILECLIENT_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <limits>
#include <string>

namespace currantlug::tests {

/// What a client sends on each of its connections.
struct ClientScript
{
    std::string first; ///< Sent once.
    std::string repeated = {}; ///< Sent again and again after that; empty: the connection stays open and silent.
    std::uint64_t bytes = std::numeric_limits<std::uint64_t>::max(); ///< Of `repeated`, in all.
    bool readsAnswers = false;
    int pauseMs = 0; ///< Before each repetition.
};

/// Connects again when its connection ends.
class HostileClient
{
public:
    HostileClient(boost::asio::io_context &loop, int port, const ClientScript &script);
    HostileClient(const HostileClient &) = delete;
    HostileClient &operator=(const HostileClient &) = delete;

private:
    void connect();
    void reconnect();
    void write(std::size_t bytes, bool first);
    void sendNext();
    void read(int connection);

    boost::asio::ip::tcp::endpoint endpoint_;
    const ClientScript &script_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::array<char, 16384> received_{};
    std::uint64_t left_ = 0; ///< Bytes of `repeated` still to send on this connection.
    int connection_ = 0; ///< Number of the present connection; handlers of earlier ones do nothing.
};

} // namespace currantlug::tests

#endif
