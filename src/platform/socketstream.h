// cpp-httplib's stream over a socket, with a deadline for all operations together, a count of the bytes handed to the
// kernel, and knowledge of bytes that were received but not read.
#ifndef CURRANTLUG_PLATFORM_SOCKETSTREAM_H
#define CURRANTLUG_PLATFORM_SOCKETSTREAM_H

#include "core/instant.h"

#include <httplib.h>

#include <array>
#include <cstddef>

namespace currantlug::platform {

/// Does not own the socket. Used by one thread.
class SocketStream : public httplib::Stream
{
public:
    /// Each operation fails when it takes longer than `perOperation` or passes `deadline`.
    SocketStream(int socket, Instant deadline, absl::Duration perOperation);

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *data, std::size_t size) override;
    ssize_t write(const char *data, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    int socket() const override { return socket_; }

    /// Bytes that the kernel has taken.
    std::size_t bytesSent() const { return bytesSent_; }
    /// True while bytes received from the peer have not been read.
    bool hasUnreadBytes() const { return begin_ != end_; }
    /// The peer has closed its side or reset the connection.
    bool peerClosed() const;
    /// Waits for input until `limit`; true when there is some, which includes an end of stream.
    bool waitForInput(absl::Duration limit) const;

    /// From now on writes seem to succeed and send nothing. Stand-ins lose answers with it.
    void discardWrites() { discardWrites_ = true; }
    bool discardsWrites() const { return discardWrites_; }

private:
    bool waitFor(short events, absl::Duration limit) const;
    absl::Duration remaining() const;

    int socket_;
    Instant deadline_;
    absl::Duration perOperation_;
    std::size_t bytesSent_ = 0;
    bool discardWrites_ = false;
    std::array<char, 16384> buffer_; ///< cpp-httplib reads headers byte by byte.
    std::size_t begin_ = 0; ///< Unread bytes are buffer_[begin_, end_).
    std::size_t end_ = 0;
};

} // namespace currantlug::platform

#endif
