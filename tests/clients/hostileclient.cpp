// Connecting and sending.
#include "clients/hostileclient.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>

namespace currantlug::tests {

namespace {

// Between a connection's end and the next one; a client without a pause would measure the accept queue only.
constexpr std::chrono::milliseconds ReconnectDelay(20);

} // namespace

HostileClient::HostileClient(boost::asio::io_context &loop, int port, const ClientScript &script)
    : endpoint_(boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(port))
    , script_(script)
    , socket_(loop)
    , timer_(loop)
{
    connect();
}

void HostileClient::connect()
{
    ++connection_;
    left_ = script_.repeated.empty() ? 0 : script_.bytes;
    socket_.async_connect(endpoint_, [this](const boost::system::error_code &error) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            reconnect();
            return;
        }
        read(connection_);
        write(script_.first.size(), true);
    });
}

void HostileClient::reconnect()
{
    ++connection_;
    boost::system::error_code ignored;
    socket_.close(ignored);
    timer_.expires_after(ReconnectDelay);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            connect();
        }
    });
}

void HostileClient::write(std::size_t bytes, bool first)
{
    const int connection = connection_;
    boost::asio::async_write(socket_, boost::asio::buffer(first ? script_.first : script_.repeated, bytes),
                             [this, connection](const boost::system::error_code &error, std::size_t) {
                                 if (connection != connection_) {
                                     return;
                                 }
                                 error ? reconnect() : sendNext();
                             });
}

void HostileClient::sendNext()
{
    if (left_ == 0) {
        return;
    }
    const std::size_t bytes = std::min<std::uint64_t>(left_, script_.repeated.size());
    left_ -= bytes;
    if (script_.pauseMs == 0) {
        write(bytes, false);
        return;
    }
    timer_.expires_after(std::chrono::milliseconds(script_.pauseMs));
    timer_.async_wait([this, bytes, connection = connection_](const boost::system::error_code &error) {
        if (!error && connection == connection_) {
            write(bytes, false);
        }
    });
}

void HostileClient::read(int connection)
{
    if (!script_.readsAnswers) {
        return;
    }
    socket_.async_read_some(boost::asio::buffer(received_),
                            [this, connection](const boost::system::error_code &error, std::size_t) {
                                if (connection != connection_) {
                                    return;
                                }
                                error ? reconnect() : read(connection);
                            });
}

} // namespace currantlug::tests
