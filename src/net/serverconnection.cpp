// Reading, dispatching and answering on one client connection.
#include "net/serverconnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace currantlug::net::detail {

namespace {

// Bytes that may wait behind a request in progress: a client that pipelines more is read later.
constexpr std::size_t PipelineBytes = 65536;
// Memory for a body of length 1: its bytes and the values that are decoded from them.
constexpr std::uint64_t BodyMemoryFactor = 2;
// Such a body may use the reserve of the budget: usual requests and the contact between nodes go on beside large
// bodies.
constexpr std::uint64_t SmallBodyBytes = 64 << 10;
// Memory of a field beyond its text: the parser's node, and two strings in the request.
constexpr std::uint64_t FieldBytes = 200;
// The text of a head stands in the parser and in the request.
constexpr std::uint64_t HeadCopies = 2;
// Unfinished requests that are given up for one that needs memory.
constexpr int MaxDisplaced = 8;
// Above this the buffer of a connection is given back once it is empty.
constexpr std::size_t KeptBufferBytes = 4096;
constexpr absl::Duration LingerTime = absl::Seconds(2);
// When memory is short, a connection whose client takes nothing for the first time, or not all for the second, is
// closed.
constexpr absl::Duration WriteStallTimeout = absl::Seconds(2);
constexpr absl::Duration WriteTimeout = absl::Seconds(10);
constexpr std::uint64_t SmallAnswerBytes = 16 << 10; // Such a connection stays.

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
    , credit_(server.crowd_.turnBurst)
    , creditSince_(loopNow())
    , stateSince_(creditSince_)
{
    if (MemoryBudget *budget = server.memoryBudget_) {
        pipelinedMemory_ = MemoryShare(*budget, MemoryKind::Pipelined);
        unsentMemory_ = MemoryShare(*budget, MemoryKind::Unsent);
    }
    boost::system::error_code ignored;
    socket_.non_blocking(true, ignored);
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
    MemoryBudget *budget = server_->memoryBudget_;
    bodyMemory_ = budget == nullptr ? MemoryShare() : MemoryShare(*budget);
    smallBodyMemory_ = budget == nullptr ? MemoryShare() : MemoryShare(*budget, MemoryKind::SmallBody);
    headMemory_ = budget == nullptr ? MemoryShare() : MemoryShare(*budget, MemoryKind::Head);
    headText_ = 0;
    headFields_ = 0;
    headCounted_ = false;
    emptyLineBytes_ = 0;
    requestBegun_ = false;
    continueSent_ = false;
}

void ServerConnection::read()
{
    if (reading_ || closed_ || server_ == nullptr || parseScheduled_ || buffer_.size() > PipelineBytes
        || (isCongested() && !lingering_)) {
        return;
    }
    reading_ = true;
    // The bytes are read into a buffer that all connections share, so that one that waits holds none.
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](boost::system::error_code error) {
                           std::size_t bytes = 0;
                           if (!error && !self->closed_ && self->server_ != nullptr) {
                               bytes = self->socket_.read_some(boost::asio::buffer(self->server_->input_), error);
                           }
                           self->onRead(error, bytes);
                       });
}

void ServerConnection::onRead(const boost::system::error_code &error, std::size_t bytes)
{
    reading_ = false;
    if (closed_ || server_ == nullptr) {
        return;
    }
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
        read();
        return;
    }
    if (error) {
        close();
        return;
    }
    if (!closeAfterWrite_) { // Else the last answer is on its way.
        buffer_.commit(boost::asio::buffer_copy(buffer_.prepare(bytes), boost::asio::buffer(server_->input_, bytes)));
        if (!growOrDisplace(pipelinedMemory_, buffer_.capacity())) {
            if (call_ == nullptr) {
                refuseForMemory(ClientRefusal::HeadMemory, "no memory for the request");
                return;
            }
            pipelinedMemory_.setTo(buffer_.capacity());
            return; // Reads on after the answer.
        }
        if (call_ == nullptr && !parseScheduled_) {
            if (credit_ < absl::ZeroDuration()) {
                scheduleParse();
            } else {
                parse();
            }
        }
    }
    read();
}

void ServerConnection::scheduleParse()
{
    if (parseScheduled_ || closed_ || server_ == nullptr) {
        return;
    }
    parseScheduled_ = true;
    const auto turn = [self = shared_from_this()] {
        self->parseScheduled_ = false;
        if (!self->closed_ && self->server_ != nullptr && self->call_ == nullptr && !self->closeAfterWrite_) {
            self->parse();
        }
        self->read();
    };
    chargeTurn(absl::ZeroDuration());
    if (credit_ < absl::ZeroDuration() && server_->turns_ != nullptr) {
        server_->turns_->add(turn);
    } else {
        boost::asio::post(socket_.get_executor(), turn);
    }
}

void ServerConnection::chargeTurn(absl::Duration used)
{
    if (server_ == nullptr) {
        return;
    }
    const Instant now = loopNow();
    const CrowdLimits &limits = server_->crowd_;
    credit_ = std::min(limits.turnBurst, credit_ + (now - creditSince_) * limits.turnShare) - used;
    creditSince_ = now;
}

bool ServerConnection::skipEmptyLines()
{
    if (requestBegun_) {
        return true;
    }
    const std::string_view bytes(static_cast<const char *>(buffer_.data().data()), buffer_.size());
    const std::size_t empty = std::min(bytes.find_first_not_of("\r\n"), bytes.size());
    buffer_.consume(empty);
    emptyLineBytes_ += empty;
    if (emptyLineBytes_ <= server_->crowd_.emptyLineBytes) {
        return true;
    }
    server_->count(ClientRefusal::EmptyLines);
    reject(400, {}, "too many empty lines");
    return false;
}

bool ServerConnection::reserveHead(std::uint64_t textBytes, std::uint64_t fields)
{
    headText_ += textBytes;
    headFields_ = fields;
    return growOrDisplace(headMemory_, HeadCopies * (headText_ + headFields_ * FieldBytes));
}

bool ServerConnection::growOrDisplace(MemoryShare &share, std::uint64_t bytes)
{
    if (share.growTo(bytes)) {
        return true;
    }
    for (int i = 0; i < MaxDisplaced && server_->memoryBudget_->giveUpLargerThan(unfinishedBytes()); ++i) {
        if (share.growTo(bytes)) {
            return true;
        }
    }
    return false;
}

void ServerConnection::refuseForMemory(ClientRefusal reason, std::string_view text)
{
    server_->count(reason);
    Headers headers;
    headers.add("Retry-After", fmt::format("{}", absl::ToInt64Seconds(server_->limits().memoryRetryAfter)));
    reject(503, headers, text);
}

void ServerConnection::parse()
{
    if (isCongested()) {
        return; // Goes on when the answers before have left.
    }
    const Instant begin = loopNow();
    if (!skipEmptyLines()) {
        return;
    }
    while (buffer_.size() > 0 && !parser_->is_done()) {
        if (!requestBegun_) {
            requestBegun_ = true;
            stateSince_ = loopNow();
        }
        boost::system::error_code error;
        const char *text = static_cast<const char *>(buffer_.data().data());
        const std::size_t used = parser_->put(buffer_.data(), error);
        if (!headCounted_) {
            headCounted_ = parser_->is_header_done();
            const auto &fields = parser_->get();
            const auto lines =
                headCounted_ ? std::distance(fields.begin(), fields.end()) : std::count(text, text + used, '\n');
            const std::uint64_t count = static_cast<std::uint64_t>(lines) + (headCounted_ ? 0 : headFields_);
            const std::uint64_t most = server_->limits().headerBytes;
            const std::uint64_t headBytes = std::min<std::uint64_t>(used, most - std::min(headText_, most));
            if (!reserveHead(headBytes, count)) {
                refuseForMemory(ClientRefusal::HeadMemory, "no memory for the head");
                return;
            }
            if (headCounted_ && headFields_ > server_->crowd_.fieldsWhenBusy && server_->isBusy()) {
                refuseForMemory(ClientRefusal::Fields, "too many fields at present");
                return;
            }
        }
        buffer_.consume(used);
        if (error == boost::beast::http::error::need_more) {
            break;
        }
        if (error) {
            server_->count(ClientRefusal::Unreadable);
            reject(rejectionStatus(error), {}, error.message());
            return;
        }
        if (parser_->is_header_done() && !reserveBody()) {
            refuseForMemory(ClientRefusal::BodyMemory, "no memory for the body");
            return;
        }
        if (used == 0) {
            break;
        }
    }
    if (buffer_.size() == 0 && buffer_.capacity() > KeptBufferBytes) {
        buffer_ = {};
        pipelinedMemory_.release();
    }
    if (parser_->is_done()) {
        try {
            dispatch();
        } catch (...) {
            chargeTurn(loopNow() - begin);
            throw;
        }
    } else if (parser_->is_header_done() && !continueSent_
               && parser_->get()[boost::beast::http::field::expect] == "100-continue") {
        continueSent_ = true;
        queue("HTTP/1.1 100 Continue\r\n\r\n");
    }
    chargeTurn(loopNow() - begin);
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
    call_->bodyMemory_ = bodyMemory_.bytes() > 0 ? std::move(bodyMemory_) : std::move(smallBodyMemory_);
    call_->headMemory_ = std::move(headMemory_);
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
        return growOrDisplace(smallBodyMemory_, bytes * BodyMemoryFactor);
    }
    smallBodyMemory_.release();
    return bodyMemory_.growTo(bytes * BodyMemoryFactor);
}

void ServerConnection::reject(int status, const Headers &headers, std::string_view reason)
{
    closeAfterAnswer_ = true;
    headRequest_ = false;
    resetParser(); // Gives back what was read, and what it took of the memory budget.
    buffer_ = {};
    pipelinedMemory_.release();
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
    buffer_ = {};
    pipelinedMemory_.release();
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
    answered_ = true;
    stateSince_ = loopNow();
    resetParser();
    // A pipelined request is parsed from the loop, so that a handler that answers at once doesn't recurse, and other
    // connections come first.
    if (buffer_.size() > 0) {
        scheduleParse();
    } else {
        read();
    }
}

void ServerConnection::queue(std::string bytes)
{
    if (closed_) {
        return;
    }
    countUnsent(bytes.size(), 0);
    output_.push_back(std::move(bytes));
    if (!writing_) {
        writtenAt_ = queuedAt_ = loopNow();
        writeNext();
    }
}

void ServerConnection::writeNext()
{
    writing_ = true;
    socket_.async_write_some(boost::asio::buffer(output_.front()) + written_,
                             [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                                 self->writing_ = false;
                                 if (self->closed_) {
                                     return;
                                 }
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 self->writtenAt_ = loopNow();
                                 self->written_ += bytes;
                                 if (self->written_ < self->output_.front().size()) {
                                     self->writeNext();
                                     return;
                                 }
                                 self->written_ = 0;
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
    if (!closed_ && !closeAfterWrite_ && server_ != nullptr) {
        if (call_ == nullptr && buffer_.size() > 0) {
            scheduleParse();
        }
        read();
    }
}

void ServerConnection::countUnsent(std::uint64_t added, std::uint64_t removed)
{
    unsent_ = unsent_ + added - removed;
    unsentMemory_.setTo(unsent_);
    if (server_ != nullptr) {
        server_->unsentBytes_ = server_->unsentBytes_ + added - removed;
    }
}

bool ServerConnection::isCongested() const
{
    return server_ != nullptr && unsent_ > server_->congestionBytes();
}

std::uint64_t ServerConnection::unfinishedBytes() const
{
    if (closed_ || call_ != nullptr || closeAfterWrite_ || lingering_ || unsent_ > 0) {
        return 0;
    }
    return bodyMemory_.bytes() + smallBodyMemory_.bytes() + headMemory_.bytes() + pipelinedMemory_.bytes();
}

void ServerConnection::giveUp()
{
    refuseForMemory(ClientRefusal::GivenUp, "no memory for the request");
}

int ServerConnection::closePreference() const
{
    if (closed_ || call_ != nullptr || writing_) {
        return 0;
    }
    if (lingering_ || closeAfterWrite_) {
        return 4;
    }
    return requestBegun_ ? 3 : answered_ ? 1 : 2;
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
    bodyMemory_.release();
    smallBodyMemory_.release();
    headMemory_.release();
    pipelinedMemory_.release();
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
    const bool isSlow = now - writtenAt_ > WriteStallTimeout || now - queuedAt_ > WriteTimeout;
    if (writing_ && unsent_ > SmallAnswerBytes && isSlow && server_->isShortOfMemoryForAnswers()) {
        server_->count(ClientRefusal::Unread);
        close();
        return;
    }
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
    if (requestBegun_ || emptyLineBytes_ > 0 || socket_.available(ignored) == 0) {
        if (requestBegun_ || emptyLineBytes_ > 0) {
            server_->count(ClientRefusal::Time);
        }
        close();
    }
}

} // namespace currantlug::net::detail
