// Reading, dispatching and answering on one client connection.
#include "net/serverconnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace currantlug::net::detail {

namespace {

// Bytes that may wait behind a request in progress: a client that pipelines more is read later.
constexpr std::size_t PipelineBytes = 65536;
// Memory for a body of length 1: its bytes and the values that are decoded from them.
constexpr std::uint64_t BodyMemoryFactor = 2;
// Such a body is taken whatever the budget says: usual requests and the contact between nodes go on beside large
// bodies.
constexpr std::uint64_t SmallBodyBytes = 64 << 10;
constexpr absl::Duration LingerTime = absl::Seconds(2);

int rejectionStatus(const boost::system::error_code &error)
{
    if (error == boost::beast::http::error::header_limit) {
        return 431;
    }
    return error == boost::beast::http::error::body_limit ? 413 : 400;
}

} // namespace

ServerConnection::ServerConnection(HttpServer &server, boost::asio::ip::tcp::socket socket)
    : server_(&server)
    , socket_(std::move(socket))
    , stateSince_(loopNow())
{
    resetParser();
}

void ServerConnection::start()
{
    limitSilence(socket_);
    read();
}

void ServerConnection::resetParser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(server_->limits().headerBytes);
    parser_->body_limit(server_->limits().bodyBytes);
    bodyMemory_ = server_->memoryBudget_ == nullptr ? MemoryShare() : MemoryShare(*server_->memoryBudget_);
    requestBegun_ = false;
    continueSent_ = false;
}

void ServerConnection::read()
{
    if (reading_ || closed_ || buffer_.size() > PipelineBytes) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(boost::asio::buffer(input_),
                            [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                                self->onRead(error, bytes);
                            });
}

void ServerConnection::onRead(const boost::system::error_code &error, std::size_t bytes)
{
    reading_ = false;
    if (closed_ || server_ == nullptr) {
        return;
    }
    if (error) {
        close();
        return;
    }
    if (!closeAfterWrite_) { // Else the last answer is on its way.
        buffer_.commit(boost::asio::buffer_copy(buffer_.prepare(bytes), boost::asio::buffer(input_, bytes)));
        if (call_ == nullptr) {
            parse();
        }
    }
    read();
}

void ServerConnection::parse()
{
    if (isCongested()) {
        return; // Goes on when the answers before have left.
    }
    while (buffer_.size() > 0 && !parser_->is_done()) {
        if (!requestBegun_) {
            requestBegun_ = true;
            stateSince_ = loopNow();
        }
        boost::system::error_code error;
        const std::size_t used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        if (error == boost::beast::http::error::need_more) {
            break;
        }
        if (error) {
            reject(rejectionStatus(error), {}, error.message());
            return;
        }
        if (parser_->is_header_done() && !reserveBody()) {
            Headers headers;
            headers.add("Retry-After", fmt::format("{}", absl::ToInt64Seconds(server_->limits().memoryRetryAfter)));
            reject(503, headers, "no memory for the body");
            return;
        }
        if (used == 0) {
            break;
        }
    }
    if (parser_->is_done()) {
        dispatch();
    } else if (parser_->is_header_done() && !continueSent_
               && parser_->get()[boost::beast::http::field::expect] == "100-continue") {
        continueSent_ = true;
        queue("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void ServerConnection::dispatch()
{
    auto &message = parser_->get();
    HttpRequest request;
    request.method = std::string(message.method_string().data(), message.method_string().size());
    request.target = std::string(message.target().data(), message.target().size());
    for (const auto &field : message) {
        request.headers.add({field.name_string().data(), field.name_string().size()},
                            {field.value().data(), field.value().size()});
    }
    request.body = std::move(message.body());
    closeAfterAnswer_ = !message.keep_alive();
    headRequest_ = request.method == "HEAD";
    call_ = std::make_shared<ServerCall>(weak_from_this(), std::move(request));
    call_->bodyMemory_ = std::move(bodyMemory_);
    ++server_->openCalls_;
    try {
        server_->handler_(call_);
    } catch (...) {
        // The client learns of the failure; the connection isn't read any more.
        closeAfterAnswer_ = true;
        if (call_ != nullptr) {
            const ServerCallPtr call = call_;
            call->answered() ? call->abort() : call->respond(500, {}, "internal error");
        }
        throw;
    }
}

bool ServerConnection::reserveBody()
{
    const std::uint64_t bytes =
        std::max<std::uint64_t>(parser_->content_length().value_or(0), parser_->get().body().size());
    if (bytes <= SmallBodyBytes) {
        bodyMemory_.setTo(bytes * BodyMemoryFactor);
        return true;
    }
    return bodyMemory_.growTo(bytes * BodyMemoryFactor);
}

void ServerConnection::reject(int status, const Headers &headers, std::string_view reason)
{
    closeAfterAnswer_ = true;
    headRequest_ = false;
    std::string().swap(parser_->get().body());
    bodyMemory_.release();
    call_ = std::make_shared<ServerCall>(weak_from_this(), HttpRequest{});
    ++server_->openCalls_;
    call_->respond(status, headers, reason);
}

void ServerConnection::linger()
{
    lingering_ = true;
    stateSince_ = loopNow();
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    buffer_.clear();
    read();
}

void ServerConnection::sendWhole(int status, const Headers &headers, std::string_view body)
{
    closeAfterAnswer_ = closeAfterAnswer_ || server_ == nullptr || server_->closing();
    std::string bytes = encodeResponseHead(status, headers);
    bytes.reserve(bytes.size() + body.size() + 64);
    if (closeAfterAnswer_) {
        bytes += "Connection: close\r\n";
    }
    bytes += fmt::format("Content-Length: {}\r\n\r\n", body.size());
    if (!headRequest_) {
        bytes += body;
    }
    queue(std::move(bytes));
    answerDone();
}

void ServerConnection::sendHead(int status, const Headers &headers)
{
    closeAfterAnswer_ = closeAfterAnswer_ || server_ == nullptr || server_->closing();
    std::string bytes = encodeResponseHead(status, headers);
    if (closeAfterAnswer_) {
        bytes += "Connection: close\r\n";
    }
    queue(bytes + "Transfer-Encoding: chunked\r\n\r\n");
}

void ServerConnection::sendPart(std::string_view bytes)
{
    if (!bytes.empty()) {
        queue(fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes));
    }
}

void ServerConnection::sendEnd()
{
    queue("0\r\n\r\n");
    answerDone();
}

void ServerConnection::answerDone()
{
    call_.reset();
    if (server_ != nullptr) {
        --server_->openCalls_;
    }
    if (closeAfterAnswer_ || server_ == nullptr) {
        closeAfterWrite_ = true;
        return;
    }
    stateSince_ = loopNow();
    resetParser();
    // A pipelined request is parsed from the loop, so that a handler that answers at once doesn't recurse.
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (!self->closed_ && self->server_ != nullptr && self->call_ == nullptr) {
            self->parse();
            self->read();
        }
    });
}

void ServerConnection::queue(std::string bytes)
{
    if (closed_) {
        return;
    }
    countUnsent(bytes.size(), 0);
    output_.push_back(std::move(bytes));
    if (!writing_) {
        writeNext();
    }
}

void ServerConnection::writeNext()
{
    writing_ = true;
    boost::asio::async_write(socket_, boost::asio::buffer(output_.front()),
                             [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                                 self->writing_ = false;
                                 if (self->closed_) {
                                     return;
                                 }
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 self->countUnsent(0, self->output_.front().size());
                                 self->output_.pop_front();
                                 if (self->output_.empty()) {
                                     self->onAllSent();
                                 }
                                 if (self->writing_ || self->closed_) {
                                     return; // More was queued, or the connection was given up.
                                 }
                                 if (!self->output_.empty()) {
                                     self->writeNext();
                                 } else if (self->closeAfterWrite_) {
                                     self->parser_->is_done() ? self->close() : self->linger();
                                 }
                             });
}

void ServerConnection::onAllSent()
{
    if (const auto handler = std::exchange(sentHandler_, nullptr)) {
        handler();
    }
    if (!closed_ && !closeAfterWrite_ && server_ != nullptr && call_ == nullptr) {
        parse();
        read();
    }
}

void ServerConnection::countUnsent(std::uint64_t added, std::uint64_t removed)
{
    unsent_ = unsent_ + added - removed;
    if (server_ != nullptr) {
        server_->unsentBytes_ = server_->unsentBytes_ + added - removed;
    }
}

bool ServerConnection::isCongested() const
{
    return server_ != nullptr && unsent_ > server_->congestionBytes();
}

void ServerConnection::onSent(std::function<void()> handler)
{
    sentHandler_ = std::move(handler);
}

void ServerConnection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    countUnsent(0, unsent_);
    sentHandler_ = nullptr;
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    const std::shared_ptr<ServerCall> call = std::move(call_);
    call_.reset();
    if (server_ == nullptr) {
        return;
    }
    if (call != nullptr) {
        --server_->openCalls_;
    }
    HttpServer *server = server_;
    boost::asio::post(socket_.get_executor(), [server, self = shared_from_this()] {
        if (self->server_ != nullptr) {
            server->connections_.erase(self);
        }
    });
    if (call != nullptr && call->gone_) {
        const auto handler = std::move(call->gone_);
        handler();
    }
}

void ServerConnection::checkTime(Instant now)
{
    if (call_ != nullptr || writing_) {
        return;
    }
    const ServerLimits &limits = server_->limits();
    if (lingering_) {
        if (now - stateSince_ > LingerTime) {
            close();
        }
        return;
    }
    const bool stopped = !server_->acceptor_.is_open() && !requestBegun_;
    if (!stopped && now - stateSince_ <= (requestBegun_ ? limits.headerTimeout : limits.idleTimeout)) {
        return;
    }
    // A request that has arrived and wasn't read yet is answered first.
    boost::system::error_code ignored;
    if (requestBegun_ || socket_.available(ignored) == 0) {
        close();
    }
}

} // namespace currantlug::net::detail
