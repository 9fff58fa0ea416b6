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
    bool isCongested() const;
    /// Memory of a request that isn't whole yet; 0 if there is none, or if it was handed on or refused.
    std::uint64_t unfinishedBytes() const;
    /// Refuses the unfinished request, so that others have memory.
    void giveUp();
    /// How readily the connection is closed for a new one: 0 never, since a request was handed on or its answer is on
    /// its way; 1 idle after an answer, 2 nothing sent yet, 3 a request isn't whole, 4 refused already.
    int closePreference() const;
    Instant stateSince() const { return stateSince_; }
    void onSent(std::function<void()> handler);

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void resetParser();
    void read();
    void onRead(const boost::system::error_code &error, std::size_t bytes);
    /// Parses what is buffered; hands a complete request to the server's handler.
    void parse();
    void dispatch();
    /// Parses from the loop, after the connections that wait; after all others if this one has used much processor
    /// time.
    void scheduleParse();
    void chargeTurn(absl::Duration used);
    /// Drops empty lines before a request. Returns false if there were too many, and the request was refused.
    bool skipEmptyLines();
    /// Accounts for a head of which this much was read. Returns false if the memory budget doesn't allow it.
    bool reserveHead(std::uint64_t textBytes, std::uint64_t fields);
    /// Enlarges the share of the memory budget to what the body needs. Returns false if the budget doesn't allow it.
    bool reserveBody();
    /// Enlarges a share; unfinished requests that hold more than this connection are given up for it.
    bool growOrDisplace(MemoryShare &share, std::uint64_t bytes);
    void refuseForMemory(ClientRefusal reason, std::string_view text);
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
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    MemoryShare bodyMemory_; ///< For the body being read, if it is large.
    MemoryShare smallBodyMemory_; ///< For the body being read, if it is small.
    MemoryShare headMemory_; ///< For the head being read and its copy in the request.
    MemoryShare pipelinedMemory_; ///< For buffer_.
    MemoryShare unsentMemory_; ///< For output_.
    std::uint64_t headText_ = 0; ///< Bytes of the head being read.
    std::uint64_t headFields_ = 0; ///< Fields of the head being read.
    absl::Duration credit_; ///< Processor time that may be used at once; negative: turns are deferred.
    Instant creditSince_;
    bool headCounted_ = false;
    bool parseScheduled_ = false;
    bool answered_ = false; ///< At least one answer was complete.
    std::size_t emptyLineBytes_ = 0; ///< Before the next request.
    std::shared_ptr<ServerCall> call_; ///< The request being handled; null between requests.
    std::deque<std::string> output_; ///< The front element is being written.
    std::uint64_t unsent_ = 0; ///< Bytes of output_.
    std::size_t written_ = 0; ///< Bytes of the first of output_ that have left.
    Instant writtenAt_; ///< When the client last took bytes, or output_ was last empty.
    Instant queuedAt_; ///< When output_ was last empty.
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
