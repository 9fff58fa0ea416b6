// The inside of Mesh: shared by mesh.cpp (start, stop and calls) and meshevents.cpp (events, requests and replies).
#ifndef CURRANTLUG_MESH_MESHIMPL_H
#define CURRANTLUG_MESH_MESHIMPL_H

#include "mesh/linktable.h"
#include "mesh/mesh.h"
#include "mesh/message.h"
#include "mesh/workerpool.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>

namespace currantlug::mesh {

namespace detail {

inline constexpr const char *Subsystem = "mesh";

/// A call that waits for its reply. Guarded by the mutex of the mesh.
struct PendingCall
{
    DaemonId peer;
    ConnectionId connection = 0;
    bool done = false;
    absl::StatusOr<Json> result = absl::UnknownError("no reply");
    std::condition_variable ready;
};

inline absl::Status unavailable(const DaemonId &peer, Outcome outcome, std::string_view message)
{
    return makeError(absl::StatusCode::kUnavailable, Step::Mesh, peer.str(), outcome, message);
}

} // namespace detail

/// One mutex guards all state; it is never held while a handler runs.
class Mesh::Impl
{
public:
    Impl(MeshSettings settings, std::unique_ptr<Transport> transport)
        : settings_(std::move(settings))
        , transport_(std::move(transport))
        , pool_(settings_.maxQueuedRequests)
        , links_(settings_)
    {
    }

    ~Impl() { stop(); }

    void setHandler(std::string_view type, Handler handler);

    absl::Status start();
    void stop();
    void setPeers(std::vector<Peer> peers);
    absl::StatusOr<Json> call(const DaemonId &peer, std::string_view type, Json body, absl::Duration timeout);

    std::uint16_t port() const { return transport_->port(); }

    std::optional<Instant> lastHeard(const DaemonId &peer) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = heard_.find(peer);
        return found == heard_.end() ? std::nullopt : std::optional(found->second);
    }

    bool isLinked(const DaemonId &peer)
    {
        const std::lock_guard lock(mutex_);
        return links_.best(peer) != nullptr;
    }

    std::vector<LinkStats> linkStats() const
    {
        const std::lock_guard lock(mutex_);
        return links_.stats();
    }

    MeshStats stats() const
    {
        const std::lock_guard lock(mutex_);
        return stats_;
    }

private:
    enum class State { New, Running, Stopping, Stopped };
    using Lock = std::unique_lock<std::mutex>;
    using Deadline = std::chrono::steady_clock::time_point;

    // Events, on the io thread.
    void opened(ConnectionId connection, bool dialled);
    void received(ConnectionId connection, const std::string &bytes);
    void closed(ConnectionId connection, const std::string &reason);
    void tick();

    // With the mutex held.
    void handleHello(ConnectionId connection, Link &link, const Message &message, Instant now);
    void handleMessage(ConnectionId connection, Link &link, Message message, Instant now);
    void handleReply(ConnectionId connection, Link &link, Message &message);
    void handleRequest(ConnectionId connection, Link &link, Message message);
    void dial(const Peer &peer);
    void send(ConnectionId connection, Link &link, std::string bytes);
    void closeLink(ConnectionId connection, const std::string &reason);
    absl::StatusOr<ConnectionId> awaitLink(Lock &lock, const DaemonId &peer, Deadline deadline);
    void failPending(ConnectionId connection, std::string_view reason);

    // On a worker thread.
    void serve(ConnectionId connection, const PeerInfo &peer, const Message &request);
    std::string runHandler(const PeerInfo &peer, const Message &request) const;

    const MeshSettings settings_;
    const std::unique_ptr<Transport> transport_;
    std::map<std::string, Handler> handlers_; ///< Constant after start.
    WorkerPool pool_;

    mutable std::mutex mutex_;
    std::condition_variable linkChanged_; ///< A link came up, or an attempt ended, or the mesh stops.
    State state_ = State::New;
    LinkTable links_;
    std::map<std::uint64_t, std::shared_ptr<detail::PendingCall>> pending_; ///< By request number.
    std::uint64_t nextRequest_ = 1;
    std::map<DaemonId, Instant> heard_;
    MeshStats stats_;
};

} // namespace currantlug::mesh

#endif
