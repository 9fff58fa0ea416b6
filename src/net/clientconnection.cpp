// Connecting, sending one request at a time and reading its answer.
#include "net/clientconnection.h"

#include "core/httpsyntax.h"

#include <absl/strings/numbers.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <utility>

namespace currantlug::net::detail {

namespace {

constexpr std::size_t ReadChunkBytes = 16384;
// Idle time of a kept connection whose peer states none.
constexpr absl::Duration DefaultKeepAlive = absl::Seconds(4);
// A connection isn't reused in the last part of the idle time that its peer allows.
constexpr double KeepAliveShare = 0.7;
constexpr int MaxInformationalAnswers = 16; // Usual peers send one or two.

absl::Duration keepAliveOf(const Headers &headers)
{
    const std::string_view field = headers.valueOr("Keep-Alive", "");
    const std::size_t at = field.find("timeout=");
    int seconds = 0;
    if (at == std::string_view::npos) {
        return DefaultKeepAlive;
    }
    std::string_view digits = field.substr(at + 8);
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    return absl::SimpleAtoi(std::string(digits), &seconds) ? absl::Seconds(seconds) : DefaultKeepAlive;
}

} // namespace

ClientConnection::ClientConnection(HttpClient &client, std::string peer)
    : client_(&client)
    , peer_(std::move(peer))
    , socket_(client.loop_)
    , timer_(client.loop_)
{
}

void ClientConnection::start(CallId id, HttpRequest request, const ClientLimits &limits, ClientHandlers handlers)
{
    const Instant now = loopNow();
    id_ = id;
    limits_ = limits;
    handlers_ = std::move(handlers);
    response_ = {};
    headPassed_ = false;
    sent_ = false;
    paused_ = false;
    waitsForMemory_ = false;
    headRequest_ = request.method == "HEAD";
    informationalCount_ = 0;
    resetParser();
    auto encoded = encodeRequestHead(request);
    if (!encoded.ok()) {
        boost::asio::post(client_->loop_, [self = shared_from_this(), id, status = encoded.status()] {
            if (self->id_ == id) {
                self->fail(status.code(), errorContext(status).step, std::string(status.message()));
            }
        });
        return;
    }
    outputHead_ = *std::move(encoded);
    outputBody_ = std::move(request.body);
    connectUntil_ = now + limits.connect;
    totalUntil_ = now + limits.total;
    silenceUntil_ = now + limits.silence;
    if (connected_) {
        arm(nextLimit());
        send();
    } else {
        connect();
    }
}

void ClientConnection::resetParser()
{
    parser_.emplace();
    parser_->header_limit(limits_.headBytes);
    if (handlers_.onBody) {
        parser_->body_limit(boost::none);
    } else {
        parser_->body_limit(limits_.bodyBytes);
    }
    parser_->skip(headRequest_);
}

void ClientConnection::connect()
{
    const auto endpoint = parseEndpoint(peer_);
    if (!endpoint) {
        boost::asio::post(client_->loop_, [self = shared_from_this()] {
            self->fail(absl::StatusCode::kInvalidArgument, Step::Connect, "not an address");
        });
        return;
    }
    ++client_->connectionsOpened_;
    arm(nextLimit());
    socket_.async_connect(*endpoint, [self = shared_from_this()](const boost::system::error_code &error) {
        if (self->closed_ || self->id_ == 0) {
            return;
        }
        if (error) {
            self->fail(absl::StatusCode::kUnavailable, Step::Connect, error.message());
            return;
        }
        self->connected_ = true;
        limitSilence(self->socket_);
        self->send();
    });
}

void ClientConnection::send()
{
    sent_ = true;
    writing_ = true;
    const std::array<boost::asio::const_buffer, 2> output{boost::asio::buffer(outputHead_),
                                                          boost::asio::buffer(outputBody_)};
    boost::asio::async_write(socket_, output,
                             [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                                 std::string().swap(self->outputBody_);
                                 // A peer may answer before it has read a long body and then close: the answer is read
                                 // all the same. After a failure the request stays incomplete, so the connection isn't
                                 // used again.
                                 self->writing_ = static_cast<bool>(error);
                             });
    read();
}

void ClientConnection::resume()
{
    if (std::exchange(paused_, false)) {
        silenceUntil_ = loopNow() + limits_.silence;
        arm(nextLimit());
        read();
    }
}

void ClientConnection::resumeCollecting()
{
    if (!waitsForMemory_ || client_ == nullptr) {
        return;
    }
    if (!client_->mayCollect(id_, collected_)) {
        client_->scheduleResume();
        return;
    }
    waitsForMemory_ = false;
    silenceUntil_ = loopNow() + limits_.silence;
    arm(nextLimit());
    read();
}

void ClientConnection::read()
{
    if (reading_ || paused_ || waitsForMemory_ || closed_) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(buffer_.prepare(ReadChunkBytes),
                            [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                                self->onRead(error, bytes);
                            });
}

void ClientConnection::onRead(const boost::system::error_code &error, std::size_t bytes)
{
    reading_ = false;
    if (closed_ || id_ == 0) {
        return;
    }
    const CallId id = id_;
    buffer_.commit(bytes);
    silenceUntil_ = loopNow() + limits_.silence;
    parse(error == boost::asio::error::eof);
    if (closed_ || id_ != id) {
        return;
    }
    if (error) {
        fail(absl::StatusCode::kUnavailable, Step::ReadAnswer, error.message());
        return;
    }
    read();
}

void ClientConnection::parse(bool endOfStream)
{
    boost::system::error_code error;
    while (buffer_.size() > 0 && !parser_->is_done()) {
        // The head by itself first: the parser reserves the stated length before it reads a body.
        parser_->eager(parser_->is_header_done());
        const std::size_t used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        if (error && error != boost::beast::http::error::need_more) {
            fail(absl::StatusCode::kDataLoss, Step::ReadAnswer, error.message());
            return;
        }
        if (parser_->is_header_done() && parser_->content_length().value_or(0) > limits_.bodyBytes) {
            fail(absl::StatusCode::kDataLoss, Step::ReadAnswer, "body too long");
            return;
        }
        if (parser_->is_header_done() && !headPassed_) {
            if (const std::string_view flaw = headFlaw(); !flaw.empty()) {
                fail(absl::StatusCode::kDataLoss, Step::ReadAnswer, flaw);
                return;
            }
        }
        if (isInformational()) {
            if (parser_->is_done()) {
                if (++informationalCount_ > MaxInformationalAnswers) {
                    fail(absl::StatusCode::kDataLoss, Step::ReadAnswer, "too many informational answers");
                    return;
                }
                resetParser();
            }
        } else if (parser_->is_header_done() && (!passHead() || !passBody())) {
            return;
        }
        if (error || used == 0) {
            break;
        }
    }
    if (!parser_->is_done() && buffer_.size() > limits_.headBytes) {
        // Only a head, a line of a chunk or its trailers wait for more bytes.
        fail(absl::StatusCode::kDataLoss, Step::ReadAnswer, "line too long");
        return;
    }
    if (endOfStream && parser_->is_header_done() && !parser_->is_done()) {
        // The end of the connection ends a body that states no length. It proves nothing while the request is on its
        // way: a write that fails takes the socket's error, and the next read then reports an end instead of a reset.
        if (!isRequestDelivered()) {
            fail(absl::StatusCode::kDataLoss, Step::ReadAnswer, "connection ended before the request was sent");
            return;
        }
        parser_->put_eof(error);
    }
    if (parser_->is_done()) {
        complete();
    }
}

bool ClientConnection::isInformational() const
{
    const unsigned status = parser_->is_header_done() ? parser_->get().result_int() : 0;
    return status / 100 == 1;
}

std::string_view ClientConnection::headFlaw() const
{
    const auto &message = parser_->get();
    std::string_view flaw = responseStatusFlaw(static_cast<int>(message.result_int()));
    for (const auto &field : message) {
        if (flaw.empty()) {
            flaw = responseFieldFlaw({field.name_string().data(), field.name_string().size()},
                                     {field.value().data(), field.value().size()});
        }
    }
    return flaw;
}

bool ClientConnection::isRequestDelivered()
{
    if (writing_) {
        return false;
    }
    int unacknowledged = 0;
    const bool known = ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
    return !known || unacknowledged == 0;
}

bool ClientConnection::passHead()
{
    if (headPassed_) {
        return true;
    }
    headPassed_ = true;
    const auto &message = parser_->get();
    response_.status = static_cast<int>(message.result_int());
    for (const auto &field : message) {
        response_.headers.add({field.name_string().data(), field.name_string().size()},
                              {field.value().data(), field.value().size()});
    }
    const CallId id = id_;
    if (handlers_.onHead && !handlers_.onHead(response_)) {
        if (id_ == id && !closed_) {
            drop();
        }
        return false;
    }
    return id_ == id && !closed_;
}

void ClientConnection::countCollected(std::uint64_t bytes)
{
    if (client_ != nullptr) {
        client_->collectedBytes_ = client_->collectedBytes_ - collected_ + bytes;
        if (bytes == 0) {
            client_->collecting_.erase(id_);
        }
    }
    collected_ = bytes;
}

bool ClientConnection::collectBody()
{
    countCollected(parser_->get().body().size());
    if (client_ == nullptr || collected_ == 0) {
        return true;
    }
    const bool waits = limits_.overLimit == OverLimit::Wait;
    const std::uint64_t counted = waits ? collected_ : client_->collectedBytes_;
    if (collected_ > HttpClient::SmallBodyBytes && counted > client_->collectedLimit_) {
        fail(absl::StatusCode::kResourceExhausted, Step::ReadAnswer, "no memory for the body");
        return false;
    }
    if (waits) {
        client_->collecting_.insert(id_);
        waitsForMemory_ = !client_->mayCollect(id_, collected_);
        if (waitsForMemory_) {
            client_->scheduleResume();
        }
    }
    return true;
}

bool ClientConnection::passBody()
{
    const CallId id = id_;
    if (!handlers_.onBody) {
        return collectBody();
    }
    if (parser_->get().body().empty()) {
        return true;
    }
    const std::string part = std::move(parser_->get().body());
    parser_->get().body().clear();
    // Copied, since the handler may cancel the call and with it destroy the stored function.
    const auto handler = handlers_.onBody;
    handler(part);
    return id_ == id && !closed_;
}

void ClientConnection::complete()
{
    response_.body = std::move(parser_->get().body());
    const auto done = std::move(handlers_.onDone);
    const CallId id = id_;
    HttpResponse response = std::move(response_);
    // A peer that answered before it has read the whole body still expects the rest of it.
    const bool reuse = parser_->keep_alive() && buffer_.size() == 0 && !writing_ && client_ != nullptr;
    countCollected(0);
    id_ = 0;
    handlers_ = {};
    if (client_ != nullptr) {
        client_->ended(id);
    }
    if (reuse) {
        idleUntil_ = loopNow() + keepAliveOf(response.headers) * KeepAliveShare;
        client_->giveBack(shared_from_this());
    } else {
        drop();
    }
    if (done) {
        done(std::move(response));
    }
}

void ClientConnection::fail(absl::StatusCode code, Step step, std::string_view message)
{
    if (id_ == 0) {
        return;
    }
    const auto done = std::move(handlers_.onDone);
    const Outcome outcome = sent_ ? Outcome::MayHaveRun : Outcome::NotRun;
    drop();
    if (done) {
        done(makeError(code, step, peer_, outcome, message));
    }
}

void ClientConnection::drop()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    boost::system::error_code ignored;
    timer_.cancel(ignored);
    socket_.close(ignored);
    countCollected(0);
    const CallId id = std::exchange(id_, 0);
    if (client_ != nullptr && id != 0) {
        // The connection may be destroyed with its entry, so the handlers go last.
        const auto self = shared_from_this();
        client_->ended(id);
    }
    // Not destroyed here: drop() may have been called from one of them.
    boost::asio::post(socket_.get_executor(), [handlers = std::move(handlers_)] {});
    handlers_ = {};
}

bool ClientConnection::usable(Instant now) const
{
    // Bytes may have arrived that watchIdle() has not seen yet. They would be read as the answer to the next request.
    boost::system::error_code ignored;
    return !closed_ && now < idleUntil_ && socket_.available(ignored) == 0;
}

void ClientConnection::watchIdle()
{
    if (watching_ || closed_) {
        return;
    }
    watching_ = true;
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](const boost::system::error_code &error) {
                           self->watching_ = false;
                           if (!error && self->id_ == 0) {
                               self->drop();
                           }
                       });
}

Instant ClientConnection::nextLimit() const
{
    const Instant limit = paused_ || waitsForMemory_ ? totalUntil_ : std::min(totalUntil_, silenceUntil_);
    return connected_ ? limit : std::min(limit, connectUntil_);
}

void ClientConnection::arm(Instant until)
{
    // One timer system call per call in the usual case: an armed timer that fires early looks again.
    if (armedUntil_ <= until || until == Instant(absl::InfiniteDuration())) {
        return;
    }
    armedUntil_ = until;
    timer_.expires_after(absl::ToChronoNanoseconds(std::max(absl::ZeroDuration(), until - loopNow())));
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) { self->onTimer(error); });
}

void ClientConnection::onTimer(const boost::system::error_code &error)
{
    if (error || closed_) {
        return;
    }
    armedUntil_ = Instant(absl::InfiniteDuration());
    if (id_ == 0) {
        return;
    }
    const Instant limit = nextLimit();
    if (loopNow() >= limit && waitsForMemory_) {
        fail(absl::StatusCode::kResourceExhausted, Step::ReadAnswer, "no memory for the body in time");
    } else if (loopNow() >= limit) {
        fail(absl::StatusCode::kDeadlineExceeded, connected_ ? Step::ReadAnswer : Step::Connect, "time limit");
    } else {
        arm(limit);
    }
}

} // namespace currantlug::net::detail
