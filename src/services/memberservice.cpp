// Membership loop of one daemon.
#include "services/memberservice.h"

#include "core/error.h"
#include "services/meshcalls.h"
#include "telemetry/log.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace currantlug::services {

using membership::Member;
using membership::MemberChange;
using membership::MemberList;
using membership::MemberState;

namespace {

// Up to this many members every daemon keeps a link to every other one; above it only links in use are kept.
constexpr std::size_t FullMeshMembers = 32;

// A removal asks a majority first; relays take turns by their rank so that they do not all ask at once.
constexpr std::size_t RemovingRelays = 2;

// Two can fail together before a lease waits for a change of the member list.
constexpr std::size_t LeaseCandidates = 3;

} // namespace

MemberService::MemberService(Member self, mesh::Mesh &mesh, platform::HttpObjectStore &store,
                             MemberServiceSettings settings)
    : self_(std::move(self))
    , mesh_(mesh)
    , settings_(std::move(settings))
    , store_(store)
    , pusher_(*this)
    , driver_(store, pusher_)
    , liveness_(settings_.liveness)
{
}

MemberService::~MemberService()
{
    stop();
}

void MemberService::registerHandlers()
{
    mesh_.setHandler("members_push", [this](const mesh::PeerInfo &from, const Json &body) {
        const auto list = MemberList::fromJson(body.value("members", Json()));
        if (list.ok() && heads_.catchUpWith(from.id, fieldOr<std::uint64_t>(body, "head", 0))) {
            adopt(*list, fieldOr<bool>(body, "confirmed", false));
        }
        const std::lock_guard lock(mutex_);
        return Json{{"version", list_.version()}, {"incarnation", self_.incarnation}};
    });
}

void MemberService::start(std::string callerAddress, std::string meshAddress)
{
    {
        const std::lock_guard lock(mutex_);
        self_.callerAddress = std::move(callerAddress);
        self_.meshAddress = std::move(meshAddress);
        updatePeersLocked();
    }
    {
        const std::lock_guard lock(stopMutex_);
        stopping_ = false;
    }
    thread_ = std::thread([this] { run(); });
}

void MemberService::stop()
{
    {
        const std::lock_guard lock(stopMutex_);
        stopping_ = true;
    }
    stopChanged_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void MemberService::run()
{
    std::unique_lock lock(stopMutex_);
    while (!stopping_) {
        lock.unlock();
        judgeOthers();
        keepListed();
        lock.lock();
        stopChanged_.wait_for(lock, absl::ToChronoMilliseconds(settings_.tick), [this] { return stopping_; });
    }
}

void MemberService::keepListed()
{
    if (left_.load()) {
        return;
    }
    std::optional<MemberState> listed;
    bool confirmed = false;
    {
        const std::lock_guard lock(mutex_);
        const Member *entry = list_.find(self_.id);
        if (entry != nullptr && entry->incarnation == self_.incarnation) {
            listed = entry->state;
        }
        confirmed = confirmed_;
    }
    if (!listed) {
        takeChange(driver_.join(self()));
    } else if (draining_.load() && *listed != MemberState::Draining) {
        takeChange(driver_.drain(self_.id, self_.incarnation));
    } else if (ready_.load() && *listed == MemberState::Joining) {
        takeChange(driver_.setState(self_.id, self_.incarnation, MemberState::Serving));
    } else if (!confirmed && isRelay()) {
        takeChange(driver_.confirm());
    }
}

void MemberService::judgeOthers()
{
    std::vector<membership::DeadMember> dead;
    std::size_t rank = 0;
    {
        const std::lock_guard lock(mutex_);
        for (const Member &member : list_.members()) {
            if (const std::optional<Instant> heard = mesh_.lastHeard(member.id)) {
                liveness_.heard(member.id, *heard);
            }
        }
        liveness_.update(monotonicNow());
        dead = liveness_.dead();
        rank = rankLocked("remove-dead");
    }
    if (rank >= RemovingRelays) {
        return;
    }
    for (const membership::DeadMember &member : dead) {
        takeChange(driver_.removeDead(member.id, member.incarnation));
    }
}

void MemberService::takeChange(const absl::StatusOr<MemberChange> &change)
{
    if (change.ok()) {
        takeOver(change->list, change->confirmed);
        return;
    }
    if (change.status().code() != absl::StatusCode::kNotFound
        && change.status().code() != absl::StatusCode::kAlreadyExists) {
        telemetry::log(telemetry::Level::Warning, "membership", "change_failed",
                       telemetry::errorFields(change.status()));
    }
    // A list that another daemon changed meanwhile explains most failures; the next round decides on the newer one.
    refresh().IgnoreError();
}

absl::Status MemberService::refresh()
{
    const absl::StatusOr<MemberList> list = driver_.read();
    if (!list.ok()) {
        return list.status();
    }
    takeOver(*list, false);
    return absl::OkStatus();
}

bool MemberService::takeOver(const MemberList &list, bool confirmed)
{
    {
        const std::lock_guard lock(mutex_);
        if (list.version() == list_.version() && (confirmed_ || !confirmed)) {
            return true;
        }
    }
    if (!heads_.readFromStore()) {
        return false;
    }
    adopt(list, confirmed);
    return true;
}

void MemberService::adopt(const MemberList &list, bool confirmed)
{
    {
        const std::lock_guard lock(mutex_);
        if (list.version() < list_.version() || (list.version() == list_.version() && (confirmed_ || !confirmed))) {
            return;
        }
        // A change of state leaves the set as it was, so a confirmed set stays confirmed.
        const bool sameSet = confirmed_ && list_.isFollowedBy(list) && list.members().size() == list_.members().size();
        list_ = list;
        confirmed_ = confirmed || sameSet;
        std::vector<Member> others;
        std::copy_if(list_.members().begin(), list_.members().end(), std::back_inserter(others),
                     [this](const Member &member) { return member.id != self_.id; });
        liveness_.watch(others, monotonicNow());
        updatePeersLocked();
    }
    if (onList_) {
        onList_(snapshot());
    }
}

void MemberService::updatePeersLocked()
{
    std::vector<mesh::Peer> peers;
    for (const Member &member : list_.members()) {
        if (member.id != self_.id) {
            peers.push_back({member.id, member.meshAddress, list_.members().size() <= FullMeshMembers});
        }
    }
    for (const mesh::Peer &seed : settings_.seeds) {
        const bool listed =
            std::any_of(peers.begin(), peers.end(), [&](const auto &peer) { return peer.id == seed.id; });
        if (!listed && seed.id != self_.id && list_.version() == 0) {
            peers.push_back(seed);
        }
    }
    mesh_.setPeers(std::move(peers));
}

int MemberService::Pusher::pushMembers(const MemberList &list)
{
    // Nobody is asked to hold a list before this daemon holds it together with the head.
    if (!service_.takeOver(list, false)) {
        return 0;
    }
    const std::vector<DaemonId> voters = list.voters();
    std::vector<DaemonId> others;
    int acknowledged = 0;
    for (const DaemonId &id : voters) {
        if (id == service_.self_.id) {
            ++acknowledged;
        } else {
            others.push_back(id);
        }
    }
    const Json body{{"members", list.toJson()}, {"confirmed", false}, {"head", service_.heads_.current()}};
    for (const MeshAnswer &answer :
         callAll(service_.mesh_, others, "members_push", body, service_.settings_.pushTimeout)) {
        if (answer.body.ok() && fieldOr<std::uint64_t>(*answer.body, "version", 0) >= list.version()) {
            ++acknowledged;
        }
    }
    return acknowledged;
}

void MemberService::drain()
{
    draining_.store(true);
    stopChanged_.notify_all();
}

bool MemberService::leave()
{
    const absl::StatusOr<MemberChange> change = driver_.leave(self_.id, self_.incarnation);
    if (change.ok() || change.status().code() == absl::StatusCode::kNotFound) {
        left_.store(true);
        return true;
    }
    return false;
}

absl::StatusOr<MemberChange> MemberService::forceRemove(const DaemonId &id)
{
    auto change = driver_.forceRemove(id, incarnationOf(id));
    takeChange(change);
    return change;
}

absl::StatusOr<MemberChange> MemberService::removeDead(const DaemonId &id)
{
    auto change = driver_.removeDead(id, incarnationOf(id));
    takeChange(change);
    return change;
}

std::string MemberService::incarnationOf(const DaemonId &id) const
{
    const std::lock_guard lock(mutex_);
    const Member *entry = list_.find(id);
    return entry == nullptr ? "" : entry->incarnation;
}

MemberSnapshot MemberService::snapshot() const
{
    const std::lock_guard lock(mutex_);
    return {list_, confirmed_, liveness_.suspects()};
}

Member MemberService::self() const
{
    const std::lock_guard lock(mutex_);
    Member self = self_;
    if (draining_.load()) {
        self.state = MemberState::Draining;
    }
    return self;
}

bool MemberService::isRelay() const
{
    const std::lock_guard lock(mutex_);
    const std::vector<DaemonId> relays = membership::relaysOf(list_, liveness_.suspects(), self_.zone);
    return relays.size() < membership::RelaysPerZone
        || std::find(relays.begin(), relays.end(), self_.id) != relays.end();
}

membership::AddressAnswer MemberService::addresses(std::string_view caller, const ZoneId &zone) const
{
    const std::lock_guard lock(mutex_);
    return membership::addressAnswer(list_, liveness_.suspects(), self_, caller, zone, settings_.addresses);
}

std::optional<DaemonId> MemberService::ownerOf(std::string_view key) const
{
    const std::lock_guard lock(mutex_);
    return membership::ownerOf(list_, liveness_.suspects(), key);
}

std::size_t MemberService::rankLocked(std::string_view key) const
{
    const auto ranked = membership::rankedServing(list_, liveness_.suspects(), key);
    std::size_t rank = 0;
    while (rank < ranked.size() && ranked[rank]->id != self_.id) {
        ++rank;
    }
    return rank == ranked.size() ? std::numeric_limits<std::size_t>::max() : rank;
}

bool MemberService::isLeaseCandidate(std::string_view lease) const
{
    const std::lock_guard lock(mutex_);
    return rankLocked(lease) < LeaseCandidates;
}

std::vector<DaemonId> MemberService::pullOrder() const
{
    const std::lock_guard lock(mutex_);
    std::vector<DaemonId> order = membership::pullOrder(list_, liveness_.suspects(), self_);
    if (order.empty()) {
        for (const mesh::Peer &seed : settings_.seeds) {
            order.push_back(seed.id);
        }
    }
    return order;
}

std::vector<DaemonId> MemberService::others() const
{
    const std::lock_guard lock(mutex_);
    std::vector<DaemonId> ids;
    for (const Member &member : list_.members()) {
        if (member.id != self_.id) {
            ids.push_back(member.id);
        }
    }
    if (ids.empty()) {
        for (const mesh::Peer &seed : settings_.seeds) {
            ids.push_back(seed.id);
        }
    }
    return ids;
}

} // namespace currantlug::services
