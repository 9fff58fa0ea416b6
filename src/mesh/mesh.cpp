// Start, stop and calls.
#include "mesh/mesh.h"

#include "mesh/meshimpl.h"
#include "telemetry/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <iterator>

namespace currantlug::mesh {

using detail::PendingCall;
using detail::Subsystem;
using detail::unavailable;
using telemetry::Level;

namespace {

// Ticks per heartbeat: bounds how late a ping or the end of a silent link is noticed.
constexpr int TicksPerHeartbeat = 5;

} // namespace

void Mesh::Impl::setHandler(std::string_view type, Handler handler)
{
    assert(state_ == State::New);
    handlers_[std::string(type)] = std::move(handler);
}

absl::Status Mesh::Impl::start()
{
    {
        const std::lock_guard lock(mutex_);
        if (state_ != State::New) {
            return unavailable(settings_.self, Outcome::NotRun, "the mesh was started before");
        }
        state_ = State::Running;
    }
    pool_.start(settings_.workers);
    TransportEvents events;
    events.opened = [this](ConnectionId connection, bool dialled) { opened(connection, dialled); };
    events.received = [this](ConnectionId connection, const std::string &bytes) { received(connection, bytes); };
    events.closed = [this](ConnectionId connection, const std::string &reason) { closed(connection, reason); };
    events.tick = [this] { tick(); };
    events.tickInterval = settings_.heartbeat / TicksPerHeartbeat;
    events.fault = [](const std::string &message) {
        telemetry::log(Level::Error, Subsystem, "transport_fault", {{"message", message}});
    };
    const absl::Status status = transport_->start(std::move(events));
    if (!status.ok()) {
        const std::lock_guard lock(mutex_);
        state_ = State::Stopped;
        return unavailable(settings_.self, Outcome::NotRun, std::string(status.message()));
    }
    return absl::OkStatus();
}

void Mesh::Impl::stop()
{
    {
        const std::lock_guard lock(mutex_);
        if (state_ != State::Running) {
            return;
        }
        state_ = State::Stopping;
        for (auto &[number, call] : pending_) {
            call->done = true;
            call->result = unavailable(call->peer, Outcome::MayHaveRun, "the mesh stopped before the reply");
            call->ready.notify_all();
        }
        linkChanged_.notify_all();
    }
    // Replies of handlers that still run go out before the links close.
    pool_.stop();
    {
        const std::lock_guard lock(mutex_);
        state_ = State::Stopped;
    }
    transport_->stop();
}

void Mesh::Impl::setPeers(std::vector<Peer> peers)
{
    const std::lock_guard lock(mutex_);
    for (const ConnectionId connection : links_.setPeers(std::move(peers))) {
        closeLink(connection, "peer removed or moved");
    }
    // Daemons that left the site are forgotten; a linked daemon may be unlisted because it joined only now.
    for (auto entry = heard_.begin(); entry != heard_.end();) {
        const bool known = links_.peer(entry->first) != nullptr || links_.best(entry->first) != nullptr;
        entry = known ? std::next(entry) : heard_.erase(entry);
    }
    if (state_ == State::Running) {
        for (const Peer &peer : links_.dueDials(monotonicNow())) {
            dial(peer);
        }
    }
    linkChanged_.notify_all();
}

void Mesh::Impl::dial(const Peer &peer)
{
    links_.dialled(peer.id, transport_->connect(peer.address));
}

absl::StatusOr<ConnectionId> Mesh::Impl::awaitLink(Lock &lock, const DaemonId &peer, Deadline deadline)
{
    while (state_ == State::Running) {
        if (const auto *entry = links_.best(peer); entry != nullptr) {
            return entry->first;
        }
        const Reach reach = links_.reach(peer, monotonicNow());
        if (reach == Reach::Unknown) {
            return unavailable(peer, Outcome::NotRun, "not a known daemon");
        }
        if (reach == Reach::Backoff) {
            return unavailable(peer, Outcome::NotRun, "no link: " + links_.lastError(peer));
        }
        if (reach == Reach::Dialable) {
            dial(*links_.peer(peer));
        }
        if (linkChanged_.wait_until(lock, deadline) == std::cv_status::timeout && links_.best(peer) == nullptr) {
            return unavailable(peer, Outcome::NotRun, "no link within the timeout");
        }
    }
    return unavailable(peer, Outcome::NotRun, "the mesh is not running");
}

absl::StatusOr<Json> Mesh::Impl::call(const DaemonId &peer, std::string_view type, Json body, absl::Duration timeout)
{
    const Deadline deadline = std::chrono::steady_clock::now()
        + absl::ToChronoNanoseconds(std::clamp(timeout, absl::ZeroDuration(), absl::Hours(1)));
    Lock lock(mutex_);
    const std::uint64_t number = nextRequest_++;
    lock.unlock();
    std::string bytes = encodeRequest(type, number, std::move(body));
    if (bytes.size() > settings_.maxMessageBytes) {
        return makeError(absl::StatusCode::kInvalidArgument, Step::Mesh, peer.str(), Outcome::NotRun,
                         fmt::format("the request of {} bytes exceeds the message limit", bytes.size()));
    }
    lock.lock();
    const absl::StatusOr<ConnectionId> connection = awaitLink(lock, peer, deadline);
    if (!connection.ok()) {
        return connection.status();
    }
    const auto pending = std::make_shared<PendingCall>();
    pending->peer = peer;
    pending->connection = *connection;
    pending_[number] = pending;
    Link &link = *links_.find(*connection);
    ++link.callsPending;
    link.lastUsed = monotonicNow();
    send(*connection, link, std::move(bytes));
    const bool answered = pending->ready.wait_until(lock, deadline, [&pending] { return pending->done; });
    pending_.erase(number);
    if (Link *still = links_.find(*connection); still != nullptr) {
        --still->callsPending;
    }
    if (!answered) {
        return makeError(absl::StatusCode::kDeadlineExceeded, Step::Mesh, peer.str(), Outcome::MayHaveRun,
                         fmt::format("no reply to {} within the timeout", type));
    }
    return std::move(pending->result);
}

Mesh::Mesh(MeshSettings settings, std::unique_ptr<Transport> transport)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(transport)))
{
}

Mesh::~Mesh() = default;

void Mesh::setHandler(std::string_view type, Handler handler)
{
    impl_->setHandler(type, std::move(handler));
}

absl::Status Mesh::start()
{
    return impl_->start();
}

void Mesh::stop()
{
    impl_->stop();
}

std::uint16_t Mesh::port() const
{
    return impl_->port();
}

void Mesh::setPeers(std::vector<Peer> peers)
{
    impl_->setPeers(std::move(peers));
}

absl::StatusOr<Json> Mesh::call(const DaemonId &peer, std::string_view type, Json body, absl::Duration timeout)
{
    return impl_->call(peer, type, std::move(body), timeout);
}

std::optional<Instant> Mesh::lastHeard(const DaemonId &peer) const
{
    return impl_->lastHeard(peer);
}

bool Mesh::isLinked(const DaemonId &peer) const
{
    return impl_->isLinked(peer);
}

std::vector<LinkStats> Mesh::linkStats() const
{
    return impl_->linkStats();
}

MeshStats Mesh::stats() const
{
    return impl_->stats();
}

} // namespace currantlug::mesh
