// This daemon's place in the member list: joins, watches the others, removes dead ones, drains and leaves.
#ifndef CURRANTLUG_SERVICES_MEMBERSERVICE_H
#define CURRANTLUG_SERVICES_MEMBERSERVICE_H

#include "membership/addressanswer.h"
#include "membership/liveness.h"
#include "membership/membershipdriver.h"
#include "membership/relays.h"
#include "mesh/mesh.h"
#include "platform/httpobjectstore.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace currantlug::services {

struct MemberServiceSettings
{
    membership::LivenessSettings liveness;
    membership::AddressSettings addresses;
    absl::Duration pushTimeout = absl::Seconds(2);
    absl::Duration tick = absl::Milliseconds(500);
    std::vector<mesh::Peer> seeds; ///< Daemons to ask while the store is down and no list is known.
};

/// The configuration's head, as the member list needs it.
struct HeadAccess
{
    std::function<std::uint64_t()> current;
    std::function<bool()> readFromStore; ///< False if the store was not reached.
    std::function<bool(const DaemonId &, std::uint64_t)> catchUpWith; ///< False if this daemon's head stays behind.
};

/// The member list in use, and whether its last change is known to be in effect.
struct MemberSnapshot
{
    membership::MemberList list;
    bool confirmed = false;
    membership::Suspects suspects;
};

/// Thread-safe. start() and stop() are called from one thread.
class MemberService
{
public:
    using OnList = std::function<void(const MemberSnapshot &)>;

    /// `mesh` and `store` must outlive the service. Call registerHandlers() before the mesh starts.
    MemberService(membership::Member self, mesh::Mesh &mesh, platform::HttpObjectStore &store,
                  MemberServiceSettings settings);
    ~MemberService();

    void registerHandlers();
    void setOnList(OnList onList) { onList_ = std::move(onList); }
    /// How the service reaches the configuration. Set before the mesh starts.
    void setHeadAccess(HeadAccess access) { heads_ = std::move(access); }

    /// `self` with the addresses that are known only after the listeners started.
    void start(std::string callerAddress, std::string meshAddress);
    void stop();

    /// Called by the configuration service: the daemon is synchronised and may serve.
    void setReady() { ready_.store(true); }

    /// Begins a drain; the list shows it as soon as the store takes the change.
    void drain();
    /// Takes this daemon off the list, at the end of a drain. False if the store did not take it.
    bool leave();

    absl::StatusOr<membership::MemberChange> forceRemove(const DaemonId &id);
    absl::StatusOr<membership::MemberChange> removeDead(const DaemonId &id);

    MemberSnapshot snapshot() const;
    membership::Member self() const;
    bool isDraining() const { return draining_.load(); }
    bool isRelay() const;
    membership::AddressAnswer addresses(std::string_view caller, const ZoneId &zone) const;
    std::optional<DaemonId> ownerOf(std::string_view key) const;
    /// Whether this daemon is one of the few that compete for a lease: each competitor reads it about once a second.
    bool isLeaseCandidate(std::string_view lease) const;
    std::vector<DaemonId> pullOrder() const;
    /// All members but this daemon.
    std::vector<DaemonId> others() const;

    /// Uses a list if it is newer than the one in use. Call it only when this daemon holds a head that is as new as the
    /// list: majorities of lists two versions apart need share no member, so the head has to come along with the list.
    void adopt(const membership::MemberList &list, bool confirmed);

    /// Reads the list from the store, as relays do once a second, and takes it over.
    absl::Status refresh();

private:
    /// MemberPusherLike over the mesh.
    class Pusher
    {
    public:
        explicit Pusher(MemberService &service)
            : service_(service)
        {
        }
        int pushMembers(const membership::MemberList &list);

    private:
        MemberService &service_;
    };

    void run();
    void keepListed();
    void judgeOthers();
    bool takeOver(const membership::MemberList &list, bool confirmed);
    void takeChange(const absl::StatusOr<membership::MemberChange> &change);
    void updatePeersLocked();
    std::size_t rankLocked(std::string_view key) const;
    std::string incarnationOf(const DaemonId &id) const;

    membership::Member self_;
    mesh::Mesh &mesh_;
    MemberServiceSettings settings_;
    platform::HttpObjectStore &store_;
    Pusher pusher_;
    membership::MembershipDriver<platform::HttpObjectStore, Pusher> driver_;
    OnList onList_;
    HeadAccess heads_;

    mutable std::mutex mutex_; ///< Guards list_, confirmed_, liveness_.
    membership::MemberList list_;
    bool confirmed_ = false;
    membership::Liveness liveness_;

    std::atomic<bool> ready_{false};
    std::atomic<bool> draining_{false};
    std::atomic<bool> left_{false};
    std::mutex stopMutex_;
    std::condition_variable stopChanged_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace currantlug::services

#endif
