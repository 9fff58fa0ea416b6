// Accepting connections and passing answers to them.
#include "net/httpserver.h"

#include "core/error.h"
#include "net/serverconnection.h"

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace currantlug::net {

namespace {

constexpr absl::Duration SweepPeriod = absl::Milliseconds(500);

} // namespace

void ServerCall::respond(int status, const Headers &headers, std::string_view body)
{
    if (std::exchange(answered_, true)) {
        return;
    }
    if (const auto connection = connection_.lock()) {
        connection->sendWhole(status, headers, body);
    }
}

void ServerCall::begin(int status, const Headers &headers)
{
    answered_ = true;
    if (const auto connection = connection_.lock()) {
        connection->sendHead(status, headers);
    }
}

void ServerCall::write(std::string_view bytes)
{
    if (const auto connection = connection_.lock()) {
        connection->sendPart(bytes);
    }
}

bool ServerCall::isCongested() const
{
    const auto connection = connection_.lock();
    return connection != nullptr && connection->isCongested();
}

void ServerCall::onSent(std::function<void()> handler)
{
    if (const auto connection = connection_.lock()) {
        connection->onSent(std::move(handler));
    }
}

void ServerCall::finish()
{
    if (const auto connection = connection_.lock()) {
        connection->sendEnd();
    }
}

void ServerCall::abort()
{
    answered_ = true;
    gone_ = nullptr;
    if (const auto connection = connection_.lock()) {
        connection->close();
    }
}

HttpServer::HttpServer(Loop &loop, Handler handler)
    : loop_(loop)
    , handler_(std::move(handler))
    , acceptor_(loop)
{
}

HttpServer::~HttpServer()
{
    if (memoryBudget_ != nullptr) {
        memoryBudget_->removeHolder(this);
    }
    for (const auto &connection : connections_) {
        connection->detach();
        connection->close();
    }
}

void HttpServer::setMemoryBudget(MemoryBudget &budget)
{
    memoryBudget_ = &budget;
    budget.addHolder(this,
                     {[this] {
                          const auto connection = largestUnfinished();
                          return connection == nullptr ? 0 : connection->unfinishedBytes();
                      },
                      [this] {
                          if (const auto connection = largestUnfinished()) {
                              connection->giveUp();
                          }
                      }});
}

std::shared_ptr<detail::ServerConnection> HttpServer::largestUnfinished() const
{
    std::shared_ptr<detail::ServerConnection> largest;
    std::uint64_t bytes = 0;
    for (const auto &connection : connections_) {
        if (connection->unfinishedBytes() > bytes) {
            bytes = connection->unfinishedBytes();
            largest = connection;
        }
    }
    return largest;
}

bool HttpServer::makeRoom()
{
    std::shared_ptr<detail::ServerConnection> chosen;
    for (const auto &connection : connections_) {
        if (connection->closePreference() > 0
            && (chosen == nullptr || connection->closePreference() > chosen->closePreference()
                || (connection->closePreference() == chosen->closePreference()
                    && connection->stateSince() < chosen->stateSince()))) {
            chosen = connection;
        }
    }
    if (chosen == nullptr) {
        return false;
    }
    chosen->close();
    chosen->detach(); // It may outlive this server once it isn't listed any more.
    connections_.erase(chosen);
    return true;
}

absl::Status HttpServer::listen(const Endpoint &endpoint)
{
    boost::system::error_code error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
        acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
        acceptor_.bind(endpoint, error);
    }
    if (!error) {
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        const bool mayBeFreeLater =
            error == boost::asio::error::address_in_use || error == boost::system::errc::address_not_available;
        return makeError(mayBeFreeLater ? absl::StatusCode::kUnavailable : absl::StatusCode::kFailedPrecondition,
                         Step::Settings, fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port()),
                         Outcome::NotRun, error.message());
    }
    accept();
    runEvery(loop_, SweepPeriod, [this] { sweep(); });
    return absl::OkStatus();
}

void HttpServer::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
        if (!acceptor_.is_open()) {
            return;
        }
        if (error) {
            // Out of descriptors, most likely: pause, so that the loop doesn't spin.
            runAfter(loop_, absl::Milliseconds(50), [this] { accept(); });
            return;
        }
        // First, so that an exception below, for lack of memory, doesn't end the service.
        accept();
        if (crowd_.connections > 0 && connections_.size() >= crowd_.connections) {
            count(ClientRefusal::Connections);
            if (!makeRoom()) {
                return; // All connections carry requests; this one is closed unread.
            }
        }
        const auto connection = std::make_shared<detail::ServerConnection>(*this, std::move(socket));
        connections_.insert(connection);
        connection->start();
    });
}

std::uint64_t HttpServer::congestionBytes() const
{
    if (memoryBudget_ == nullptr) {
        return limits_.unsentBytes;
    }
    if (isShortOfMemoryForAnswers()) {
        return 0; // Nothing more is read or produced for a client before it has read what it was sent.
    }
    const auto together = static_cast<std::uint64_t>(static_cast<double>(memoryBudget_->limit()) * UnsentFraction);
    return std::min(limits_.unsentBytes,
                    std::max(MinUnsentBytes, together / std::max<std::size_t>(1, connections_.size())));
}

bool HttpServer::isShortOfMemoryForAnswers() const
{
    return memoryBudget_ != nullptr && memoryBudget_->usedOf(MemoryKind::Unsent) > memoryBudget_->reserve();
}

void HttpServer::stopAccepting()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    sweep();
}

void HttpServer::sweep()
{
    const Instant now = loopNow();
    const auto connections = connections_;
    for (const auto &connection : connections) {
        connection->checkTime(now);
    }
}

} // namespace currantlug::net
