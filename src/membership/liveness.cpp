// Judges silence, and distrusts its own judgement after a pause of this process.
#include "membership/liveness.h"

#include <algorithm>

namespace currantlug::membership {

Liveness::Liveness(LivenessSettings settings)
    : settings_(settings)
{
}

void Liveness::watch(const std::vector<Member> &members, Instant now)
{
    std::map<DaemonId, Watched> next;
    for (const Member &member : members) {
        const auto known = watched_.find(member.id);
        const bool same = known != watched_.end() && known->second.incarnation == member.incarnation;
        next[member.id] = same ? known->second : Watched{member.incarnation, now};
    }
    watched_ = std::move(next);
}

void Liveness::heard(const DaemonId &id, Instant at)
{
    const auto found = watched_.find(id);
    if (found != watched_.end()) {
        found->second.lastSign = std::max(found->second.lastSign, at);
    }
}

void Liveness::update(Instant now)
{
    const bool paused = lastUpdate_ && now - *lastUpdate_ > settings_.suspectAfter;
    lastUpdate_ = now;
    suspects_.clear();
    dead_.clear();
    for (auto &[id, watched] : watched_) {
        if (paused) {
            watched.lastSign = std::max(watched.lastSign, now);
        }
        const absl::Duration silence = now - watched.lastSign;
        if (silence > settings_.suspectAfter) {
            suspects_.insert(id);
        }
        if (silence > settings_.removeAfter) {
            dead_.push_back({id, watched.incarnation});
        }
    }
}

std::vector<DeadMember> Liveness::dead() const
{
    return dead_;
}

} // namespace currantlug::membership
