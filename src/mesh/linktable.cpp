// Rules for links: which one to use, when to ping, when to give up and when to dial again.
#include "mesh/linktable.h"

#include <algorithm>

namespace currantlug::mesh {

LinkTable::LinkTable(const MeshSettings &settings)
    : settings_(settings)
    , random_(settings.seed != 0 ? settings.seed : std::random_device()())
{
}

std::vector<ConnectionId> LinkTable::setPeers(std::vector<Peer> peers)
{
    std::map<DaemonId, PeerState> next;
    for (Peer &peer : peers) {
        if (peer.id == settings_.self) {
            continue;
        }
        const auto known = peers_.find(peer.id);
        PeerState &state = next[peer.id];
        if (known != peers_.end() && known->second.peer.address == peer.address) {
            state = known->second;
        }
        state.peer = std::move(peer);
    }
    std::vector<ConnectionId> obsolete;
    for (const auto &[connection, link] : links_) {
        const auto before = peers_.find(link.expected);
        const auto after = next.find(link.expected);
        const bool sameAddress =
            before != peers_.end() && after != next.end() && before->second.peer.address == after->second.peer.address;
        if (link.stats.dialled && !sameAddress) {
            obsolete.push_back(connection);
        }
    }
    peers_ = std::move(next);
    return obsolete;
}

void LinkTable::dialled(const DaemonId &peer, ConnectionId connection)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end()) {
        found->second.dialling = connection;
    }
    Link &link = links_[connection];
    link.address = found != peers_.end() ? found->second.peer.address : std::string();
    link.stats.dialled = true;
    link.expected = peer;
    // Until it opens, the transport's connect timeout applies instead of the heartbeat limit.
    link.openedAt = Instant(absl::InfiniteDuration());
}

void LinkTable::opened(ConnectionId connection, bool dialled, Instant now)
{
    Link &link = links_[connection];
    link.stats.dialled = dialled;
    link.openedAt = now;
    link.lastReceived = now;
    link.lastSent = now;
    link.lastUsed = now;
}

std::vector<ConnectionId> LinkTable::up(ConnectionId connection, const PeerInfo &peer, Instant now)
{
    std::vector<ConnectionId> stale;
    for (const auto &[other, link] : links_) {
        if (link.up && link.stats.peer.id == peer.id && link.stats.peer.incarnation != peer.incarnation) {
            stale.push_back(other);
        }
    }
    Link &link = links_[connection];
    link.up = true;
    link.stats.peer = peer;
    link.lastReceived = now;
    const auto state = peers_.find(peer.id);
    if (state != peers_.end() && state->second.dialling == connection) {
        state->second.dialling = 0;
    }
    return stale;
}

void LinkTable::closed(ConnectionId connection, const std::string &reason, Instant now)
{
    const auto found = links_.find(connection);
    if (found == links_.end()) {
        return;
    }
    const Link link = found->second;
    links_.erase(found);
    const auto state = peers_.find(link.stats.dialled ? link.expected : link.stats.peer.id);
    if (state == peers_.end()) {
        return;
    }
    PeerState &peer = state->second;
    peer.lastError = reason;
    if (peer.dialling == connection) {
        peer.dialling = 0;
    }
    if (link.stats.dialled && !link.spare && link.address == peer.peer.address) {
        // A peer that accepts and soon closes again must not be dialled without pause.
        const bool lasting = link.up && now - link.openedAt > settings_.heartbeatLimit;
        peer.failures = lasting ? 1 : peer.failures + 1;
        peer.retryAt = now + nextBackoff(peer.failures);
    }
}

Link *LinkTable::find(ConnectionId connection)
{
    const auto found = links_.find(connection);
    return found == links_.end() ? nullptr : &found->second;
}

std::pair<const ConnectionId, Link> *LinkTable::best(const DaemonId &peer)
{
    std::pair<const ConnectionId, Link> *result = nullptr;
    for (auto &entry : links_) {
        const Link &link = entry.second;
        if (!link.up || link.closing || link.stats.peer.id != peer) {
            continue;
        }
        if (result == nullptr || (preferred(link) && !preferred(result->second))) {
            result = &entry;
        }
    }
    return result;
}

Reach LinkTable::reach(const DaemonId &peer, Instant now) const
{
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return Reach::Unknown;
    }
    if (found->second.dialling != 0) {
        return Reach::Dialling;
    }
    return found->second.failures > 0 && now < found->second.retryAt ? Reach::Backoff : Reach::Dialable;
}

const Peer *LinkTable::peer(const DaemonId &id) const
{
    const auto found = peers_.find(id);
    return found == peers_.end() ? nullptr : &found->second.peer;
}

std::string LinkTable::lastError(const DaemonId &peer) const
{
    const auto found = peers_.find(peer);
    return found == peers_.end() ? std::string() : found->second.lastError;
}

DueActions LinkTable::due(Instant now)
{
    forgiveGap(now);
    DueActions actions;
    for (auto &[connection, link] : links_) {
        if (link.closing) {
            continue;
        }
        if (isSilent(link, now)) {
            actions.closes.emplace_back(connection, link.up ? "silent link" : "no hello");
        } else if (isSpare(connection, link, now)) {
            link.spare = true;
            actions.closes.emplace_back(connection, "idle link");
        } else if (isPingDue(link, now)) {
            actions.pings.push_back(connection);
        }
    }
    return actions;
}

std::vector<Peer> LinkTable::dueDials(Instant now)
{
    std::vector<Peer> dials;
    for (const auto &[id, state] : peers_) {
        if (state.peer.keepLink && reach(id, now) == Reach::Dialable && best(id) == nullptr) {
            dials.push_back(state.peer);
        }
    }
    return dials;
}

std::vector<LinkStats> LinkTable::stats() const
{
    std::vector<LinkStats> result;
    for (const auto &[connection, link] : links_) {
        if (link.up && !link.closing) {
            result.push_back(link.stats);
        }
    }
    return result;
}

void LinkTable::forgiveGap(Instant now)
{
    const absl::Duration gap = lastDue_ ? now - *lastDue_ : absl::ZeroDuration();
    lastDue_ = now;
    if (gap <= settings_.heartbeat) {
        return;
    }
    for (auto &[connection, link] : links_) {
        link.openedAt = std::min(link.openedAt + gap, std::max(link.openedAt, now));
        link.lastReceived = std::min(link.lastReceived + gap, now);
    }
}

bool LinkTable::preferred(const Link &link) const
{
    return link.stats.dialled == (settings_.self < link.stats.peer.id);
}

bool LinkTable::isSilent(const Link &link, Instant now) const
{
    return now - (link.up ? link.lastReceived : link.openedAt) > settings_.heartbeatLimit;
}

// Only the dialling side pings, which halves the cost; the ping is the other side's sign of life. A link that carries
// other messages in both directions needs no ping.
bool LinkTable::isPingDue(const Link &link, Instant now) const
{
    if (!link.up || !link.stats.dialled || now - link.lastPing < settings_.heartbeat) {
        return false;
    }
    return now - link.lastSent >= settings_.heartbeat || now - link.lastReceived >= settings_.heartbeat;
}

// A link that this side dialled and no longer needs: its peer is not kept linked, or another link serves the peer.
bool LinkTable::isSpare(ConnectionId connection, const Link &link, Instant now)
{
    if (!link.up || !link.stats.dialled || link.callsPending > 0 || link.serving > 0) {
        return false;
    }
    const Peer *listed = peer(link.stats.peer.id);
    const bool kept = listed != nullptr && listed->keepLink;
    if (!kept && now - link.lastUsed > settings_.idleLinkKeep) {
        return true;
    }
    const auto *serving = best(link.stats.peer.id);
    return serving != nullptr && serving->first != connection && now - link.lastUsed > settings_.heartbeatLimit;
}

absl::Duration LinkTable::nextBackoff(int failures)
{
    constexpr int MaxDoublings = 16;
    const absl::Duration full =
        std::min(settings_.backoffMax, settings_.backoffMin * (1 << std::min(failures - 1, MaxDoublings)));
    // Half to full, so that daemons that lost a peer at the same time do not come back at the same time.
    return full * std::uniform_real_distribution<double>(0.5, 1.0)(random_);
}

} // namespace currantlug::mesh
