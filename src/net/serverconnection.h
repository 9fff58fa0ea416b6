// One client connection of HttpServer.
#ifndef CURRANTLUG_NET_SERVERCONNECTION_H
#define CURRANTLUG_NET_SERVERCONNECTION_H

#include "net/httpserver.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <deque>
#include <optional>

namespace currantlug::net::detail {

class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(HttpServer &server, boost::asio::ip::tcp::socket socket);

    void start();
    void close();
    /// Closes if the time of the present state is used up, or if the server stops and no request is open.
    void checkTime(Instant now);
    /// The server is being destroyed: no call back into it.
    void detach() { server_ = nullptr; }

    void sendWhole(int status, const Headers &headers, std::string_view body);
    void sendHead(int status, const Headers &headers);
    void sendPart(std::string_view bytes);
    void sendEnd();
    bool isCongested() const;
    void onSent(std::function<void()> handler);

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void resetParser();
    void read();
    void onRead(const boost::system::error_code &error, std::size_t bytes);
    /// Parses what is buffered; hands a complete request to the server's handler.
    void parse();
    void dispatch();
    /// Enlarges the share of the memory budget to what the body needs. Returns false if the budget doesn't allow it.
    bool reserveBody();
    /// Answers before the request was read whole. The connection is closed after that.
    void reject(int status, const Headers &headers, std::string_view reason);
    /// Reads and drops what the client still sends: bytes that nobody reads would reset the connection, and the answer
    /// with it.
    void linger();
    void queue(std::string bytes);
    void writeNext();
    /// Goes on with what waited for the client to read.
    void onAllSent();
    /// Accounts for bytes that are queued or have left.
    void countUnsent(std::uint64_t added, std::uint64_t removed);
    void answerDone();

    HttpServer *server_; ///< Null once the server is gone.
    boost::asio::ip::tcp::socket socket_;
    std::array<char, 16384> input_; ///< For the read under way: buffer_ may be consumed meanwhile.
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    MemoryShare bodyMemory_; ///< For the body being read.
    std::shared_ptr<ServerCall> call_; ///< The request being handled; null between requests.
    std::deque<std::string> output_; ///< The front element is being written.
    std::uint64_t unsent_ = 0; ///< Bytes of output_.
    std::function<void()> sentHandler_; ///< Called when output_ is empty.
    bool reading_ = false;
    bool writing_ = false;
    bool closed_ = false;
    bool closeAfterWrite_ = false;
    bool lingering_ = false; ///< All is sent; what arrives is dropped.
    bool closeAfterAnswer_ = false; ///< The client or the server asked for one answer only.
    bool headRequest_ = false;
    bool continueSent_ = false;
    Instant stateSince_; ///< Start of the idle time or of the request being read.
    bool requestBegun_ = false;
};

} // namespace currantlug::net::detail

#endif
