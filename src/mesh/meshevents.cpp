// The io thread's side of the mesh (events and messages), and the worker's side of a request.
#include "mesh/meshimpl.h"
#include "telemetry/log.h"

#include <fmt/format.h>

namespace currantlug::mesh {

using detail::PendingCall;
using detail::Subsystem;
using detail::unavailable;
using telemetry::Level;

void Mesh::Impl::opened(ConnectionId connection, bool dialled)
{
    const std::lock_guard lock(mutex_);
    if (const Link *known = links_.find(connection); dialled && (known == nullptr || known->closing)) {
        return;
    }
    links_.opened(connection, dialled, monotonicNow());
    send(connection, *links_.find(connection), encodeHello(settings_));
}

void Mesh::Impl::received(ConnectionId connection, const std::string &bytes)
{
    std::optional<Message> message = decodeMessage(bytes);
    const std::lock_guard lock(mutex_);
    Link *link = links_.find(connection);
    if (link == nullptr || link->closing) {
        return;
    }
    if (!message) {
        ++stats_.brokenMessages;
        closeLink(connection, "broken message");
        return;
    }
    const Instant now = monotonicNow();
    stats_.bytesReceived += bytes.size();
    ++stats_.messagesReceived;
    link->stats.bytesReceived += bytes.size();
    ++link->stats.messagesReceived;
    link->lastReceived = now;
    if (!link->up) {
        handleHello(connection, *link, *message, now);
        return;
    }
    heard_[link->stats.peer.id] = now;
    handleMessage(connection, *link, std::move(*message), now);
}

void Mesh::Impl::handleHello(ConnectionId connection, Link &link, const Message &message, Instant now)
{
    const absl::StatusOr<PeerInfo> peer = acceptHello(message, settings_);
    std::string refusal;
    if (!peer.ok()) {
        refusal = std::string(peer.status().message());
    } else if (peer->id == settings_.self) {
        refusal = fmt::format("a daemon named {} is this daemon itself", peer->id.str());
    } else if (!link.expected.empty() && link.expected != peer->id) {
        refusal = fmt::format("expected {}, found {}", link.expected.str(), peer->id.str());
    }
    if (!refusal.empty()) {
        ++stats_.helloRefused;
        closeLink(connection, refusal);
        return;
    }
    for (const ConnectionId stale : links_.up(connection, *peer, now)) {
        closeLink(stale, "earlier incarnation of the peer");
    }
    heard_[peer->id] = now;
    ++stats_.linksOpened;
    telemetry::log(Level::Info, Subsystem, "link_up",
                   {telemetry::peer(peer->id.str()), {"incarnation", peer->incarnation}});
    linkChanged_.notify_all();
}

void Mesh::Impl::handleMessage(ConnectionId connection, Link &link, Message message, Instant now)
{
    if (message.type == PingType && message.id) {
        send(connection, link, encodePong(*message.id));
    } else if (message.replyTo) {
        if (message.type != PongType) {
            link.lastUsed = now;
            handleReply(connection, link, message);
        }
    } else if (message.id) {
        link.lastUsed = now;
        handleRequest(connection, link, std::move(message));
    }
    // Anything else is a type of a later protocol version that expects no reply.
}

void Mesh::Impl::handleReply(ConnectionId connection, Link &link, Message &message)
{
    const auto found = pending_.find(*message.replyTo);
    // Only the link that carried the request may answer it; a late reply finds no call.
    if (found == pending_.end() || found->second->connection != connection || found->second->done) {
        return;
    }
    PendingCall &call = *found->second;
    if (message.error.is_object()) {
        call.result = decodeError(message.error, link.stats.peer.id);
    } else {
        call.result = std::move(message.body);
    }
    call.done = true;
    call.ready.notify_all();
}

void Mesh::Impl::handleRequest(ConnectionId connection, Link &link, Message message)
{
    const std::uint64_t number = *message.id;
    if (handlers_.count(message.type) == 0) {
        const std::string text = fmt::format("no handler for {}", message.type);
        send(connection, link,
             encodeErrorReply(number,
                              makeError(absl::StatusCode::kUnimplemented, Step::Mesh, "", Outcome::NotRun, text)));
        return;
    }
    const bool queued =
        pool_.submit([this, connection, peer = link.stats.peer,
                      request = std::make_shared<Message>(std::move(message))] { serve(connection, peer, *request); });
    if (queued) {
        ++link.serving;
        return;
    }
    send(connection, link,
         encodeErrorReply(number,
                          makeError(absl::StatusCode::kResourceExhausted, Step::Mesh, "", Outcome::NotRun,
                                    "too many waiting requests")));
}

void Mesh::Impl::serve(ConnectionId connection, const PeerInfo &peer, const Message &request)
{
    std::string reply = runHandler(peer, request);
    const std::lock_guard lock(mutex_);
    Link *link = links_.find(connection);
    if (link == nullptr) {
        return;
    }
    --link->serving;
    if (!link->closing && state_ != State::Stopped) {
        link->lastUsed = monotonicNow();
        send(connection, *link, std::move(reply));
    }
}

std::string Mesh::Impl::runHandler(const PeerInfo &peer, const Message &request) const
{
    std::string problem;
    try {
        std::string reply = encodeReply(*request.id, handlers_.at(request.type)(peer, request.body));
        if (reply.size() <= settings_.maxMessageBytes) {
            return reply;
        }
        problem = fmt::format("the reply of {} bytes exceeds the message limit", reply.size());
    } catch (const std::exception &error) {
        problem = fmt::format("the handler failed: {}", error.what());
    }
    telemetry::log(Level::Error, Subsystem, "request_failed",
                   {telemetry::peer(peer.id.str()), {"type", request.type}, {"message", problem}});
    return encodeErrorReply(*request.id, makeError(absl::StatusCode::kInternal, Step::Mesh, "", Outcome::Ran, problem));
}

void Mesh::Impl::closed(ConnectionId connection, const std::string &reason)
{
    const std::lock_guard lock(mutex_);
    const Link *link = links_.find(connection);
    if (link == nullptr) {
        return;
    }
    const DaemonId peer = link->up ? link->stats.peer.id : link->expected;
    telemetry::log(link->up ? Level::Info : Level::Debug, Subsystem, "link_closed",
                   {telemetry::peer(peer.str()), {"reason", reason}, {"up", link->up}});
    links_.closed(connection, reason, monotonicNow());
    failPending(connection, reason);
    linkChanged_.notify_all();
}

void Mesh::Impl::tick()
{
    const std::lock_guard lock(mutex_);
    if (state_ != State::Running) {
        return;
    }
    const Instant now = monotonicNow();
    const DueActions actions = links_.due(now);
    for (const auto &[connection, reason] : actions.closes) {
        const Link &link = *links_.find(connection);
        stats_.linksSilent += now - link.lastReceived > settings_.heartbeatLimit ? 1 : 0;
        closeLink(connection, reason);
    }
    for (const ConnectionId connection : actions.pings) {
        Link &link = *links_.find(connection);
        link.lastPing = now;
        send(connection, link, encodePing(nextRequest_++));
    }
    for (const Peer &peer : links_.dueDials(now)) {
        dial(peer);
    }
}

void Mesh::Impl::send(ConnectionId connection, Link &link, std::string bytes)
{
    link.lastSent = monotonicNow();
    link.stats.bytesSent += bytes.size();
    ++link.stats.messagesSent;
    stats_.bytesSent += bytes.size();
    ++stats_.messagesSent;
    transport_->send(connection, std::move(bytes));
}

void Mesh::Impl::closeLink(ConnectionId connection, const std::string &reason)
{
    Link *link = links_.find(connection);
    if (link != nullptr && !link->closing) {
        link->closing = true;
        transport_->close(connection, reason);
    }
}

void Mesh::Impl::failPending(ConnectionId connection, std::string_view reason)
{
    for (auto &[number, call] : pending_) {
        if (call->connection == connection && !call->done) {
            call->done = true;
            call->result =
                unavailable(call->peer, Outcome::MayHaveRun, fmt::format("link lost before the reply: {}", reason));
            call->ready.notify_all();
        }
    }
}

} // namespace currantlug::mesh
