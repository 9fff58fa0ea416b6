// One client connection of HttpServer.
#ifndef CURRANTLUG_NET_SERVERCONNECTION_H
#define CURRANTLUG_NET_SERVERCONNECTION_H

#include "net/httpserver.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

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

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void resetParser();
    void read();
    void onRead(const boost::system::error_code &error, std::size_t bytes);
    /// Parses what is buffered; hands a complete request to the server's handler.
    void parse();
    void dispatch();
    void reject(const boost::system::error_code &error);
    void queue(std::string bytes);
    void writeNext();
    void answerDone();

    HttpServer *server_; ///< Null once the server is gone.
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::shared_ptr<ServerCall> call_; ///< The request being handled; null between requests.
    std::deque<std::string> output_; ///< The front element is being written.
    bool reading_ = false;
    bool writing_ = false;
    bool closed_ = false;
    bool closeAfterWrite_ = false;
    bool closeAfterAnswer_ = false; ///< The client or the server asked for one answer only.
    bool headRequest_ = false;
    bool continueSent_ = false;
    Instant stateSince_; ///< Start of the idle time or of the request being read.
    bool requestBegun_ = false;
};

} // namespace currantlug::net::detail

#endif
