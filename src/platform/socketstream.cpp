#include "platform/socketstream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <climits>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace currantlug::platform {

namespace {

void readAddress(const sockaddr_in &address, std::string &ip, int &port)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

bool isTransient(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

SocketStream::SocketStream(int socket, Instant deadline, absl::Duration perOperation)
    : socket_(socket)
    , deadline_(deadline)
    , perOperation_(perOperation)
{
}

bool SocketStream::is_readable() const
{
    return hasUnreadBytes() || waitFor(POLLIN, remaining());
}

bool SocketStream::is_writable() const
{
    return discardWrites_ || (!peerClosed() && waitFor(POLLOUT, remaining()));
}

ssize_t SocketStream::read(char *data, std::size_t size)
{
    while (!hasUnreadBytes()) {
        if (!waitFor(POLLIN, remaining())) {
            return -1;
        }
        const ssize_t received = recv(socket_, buffer_.data(), buffer_.size(), MSG_DONTWAIT);
        if (received == 0 || (received < 0 && !isTransient(errno))) {
            return received;
        }
        begin_ = 0;
        end_ = static_cast<std::size_t>(std::max<ssize_t>(received, 0));
    }
    const std::size_t count = std::min(size, end_ - begin_);
    std::memcpy(data, buffer_.data() + begin_, count);
    begin_ += count;
    return static_cast<ssize_t>(count);
}

ssize_t SocketStream::write(const char *data, std::size_t size)
{
    // Writes all of it, because cpp-httplib takes a short count of a header for success. MSG_DONTWAIT, because a
    // blocking send of a large body to a peer that stopped reading would outlast the deadline.
    std::size_t written = discardWrites_ ? size : 0;
    while (written < size) {
        if (!waitFor(POLLOUT, remaining())) {
            return -1;
        }
        const ssize_t sent = send(socket_, data + written, size - written, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && !isTransient(errno)) {
            return -1;
        }
        written += static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
        bytesSent_ += static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
    }
    return static_cast<ssize_t>(size);
}

void SocketStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    if (getpeername(socket_, reinterpret_cast<sockaddr *>(&address), &length) == 0) {
        readAddress(address, ip, port);
    }
}

void SocketStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    if (getsockname(socket_, reinterpret_cast<sockaddr *>(&address), &length) == 0) {
        readAddress(address, ip, port);
    }
}

bool SocketStream::peerClosed() const
{
    char byte = 0;
    const ssize_t peeked = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked == 0 || (peeked < 0 && !isTransient(errno));
}

bool SocketStream::waitForInput(absl::Duration limit) const
{
    return hasUnreadBytes() || waitFor(POLLIN, limit);
}

bool SocketStream::waitFor(short events, absl::Duration limit) const
{
    const Instant end = monotonicNow() + limit;
    for (;;) {
        // Rounded up, so that the loop does not spin during the last millisecond.
        const absl::Duration left = std::max(end - monotonicNow(), absl::ZeroDuration());
        const std::int64_t ms = absl::ToInt64Milliseconds(absl::Ceil(left, absl::Milliseconds(1)));
        pollfd entry{socket_, events, 0};
        const int ready = poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(ms, INT_MAX)));
        if (ready > 0) {
            return true;
        }
        if (ready < 0 && errno != EINTR) {
            return false;
        }
        if (monotonicNow() >= end) {
            return false;
        }
    }
}

absl::Duration SocketStream::remaining() const
{
    return std::min(perOperation_, deadline_ - monotonicNow());
}

} // namespace currantlug::platform
