// One connection of HttpClient to a peer.
#ifndef CURRANTLUG_NET_CLIENTCONNECTION_H
#define CURRANTLUG_NET_CLIENTCONNECTION_H

#include "net/httpclient.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string_view>

namespace currantlug::net::detail {

class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection(HttpClient &client, std::string peer);

    void start(CallId id, HttpRequest request, const ClientLimits &limits, ClientHandlers handlers);
    void pause() { paused_ = true; }
    void resume();
    /// Goes on with a body that waits for memory, if there is some.
    void resumeCollecting();
    /// Closes without a report.
    void drop();
    /// Waits for the peer to close an idle connection or to send bytes that belong to no request.
    void watchIdle();
    /// True if an idle connection can take a request: no bytes have arrived that belong to no request.
    bool usable(Instant now) const;
    void detach() { client_ = nullptr; }
    const std::string &peer() const { return peer_; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void send();
    void read();
    void onRead(const boost::system::error_code &error, std::size_t bytes);
    void parse(bool endOfStream);
    void resetParser();
    /// True while the answer being read is informational; a final one follows it.
    bool isInformational() const;
    /// Returns why the head that was read can't be that of an answer, or an empty text if it can.
    std::string_view headFlaw() const;
    /// False if the handler gave the answer up.
    bool passHead();
    /// False if the body is too long.
    bool passBody();
    /// True once the request was written and the peer has acknowledged all of its bytes. Where the system doesn't tell
    /// that, the write alone decides.
    bool isRequestDelivered();
    void countCollected(std::uint64_t bytes);
    /// Counts a body that is being collected. False if the call failed for lack of memory.
    bool collectBody();
    void complete();
    void fail(absl::StatusCode code, Step step, std::string_view message);
    void arm(Instant until);
    void onTimer(const boost::system::error_code &error);
    Instant nextLimit() const;

    HttpClient *client_; ///< Null once the client is gone.
    std::string peer_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::string outputHead_; ///< Of the present request, without its body.
    std::string outputBody_;
    CallId id_ = 0; ///< 0 between calls.
    ClientLimits limits_;
    ClientHandlers handlers_;
    HttpResponse response_;
    bool headPassed_ = false;
    bool connected_ = false;
    bool sent_ = false; ///< Bytes of the present request may have left.
    bool writing_ = false; ///< Bytes of a request are still to be sent; the output must not change.
    bool reading_ = false;
    bool paused_ = false; ///< Nothing is read until resume().
    bool waitsForMemory_ = false; ///< Nothing is read until resumeCollecting().
    int informationalCount_ = 0; ///< Informational answers to the present request.
    std::uint64_t collected_ = 0; ///< Bytes of the present body that the client counts.
    bool closed_ = false;
    bool watching_ = false;
    bool headRequest_ = false;
    Instant connectUntil_;
    Instant totalUntil_;
    Instant silenceUntil_;
    Instant armedUntil_ = Instant(absl::InfiniteDuration()); ///< When the timer fires; infinite when not armed.
    Instant idleUntil_; ///< A kept connection isn't used from here on.
};

} // namespace currantlug::net::detail

#endif
