// Ages, attestations and synchronisation after a restart (design 4.2).
#include "config/freshness.h"

#include <algorithm>

namespace currantlug::config {

namespace {

bool contains(const std::vector<DaemonId> &members, const DaemonId &id)
{
    return std::find(members.begin(), members.end(), id) != members.end();
}

} // namespace

FreshnessTracker::FreshnessTracker(DaemonId self, FreshnessSettings settings, Instant startedAt)
    : self_(std::move(self))
    , settings_(settings)
    , startedAt_(startedAt)
    , synchroniseFrom_(startedAt)
{
}

void FreshnessTracker::applyMembers(MemberView view, Instant now)
{
    const bool takesEffect =
        view.version == members_.version && view.previousMembers.empty() && !members_.previousMembers.empty();
    if (view.version <= members_.version && !takesEffect) {
        return;
    }
    const bool wasMember = isMember();
    members_ = std::move(view);
    highestMembersHeard_ = std::max(highestMembersHeard_, members_.version);
    if (isMember() && !wasMember) {
        synchronised_ = false;
        synchroniseFrom_ = now;
    }
}

void FreshnessTracker::applyHead(std::uint64_t head, Instant now)
{
    head_ = std::max(head_, head);
    highestHeadHeard_ = std::max(highestHeadHeard_, head_);
    if (head_ == highestHeadHeard_) {
        behindSince_.reset();
    }
    if (pending_ && pending_->head <= head_) {
        acceptConfirmation(pending_->asOf);
        pending_.reset();
    }
    synchroniseFromAnswers(now);
}

void FreshnessTracker::confirm(std::uint64_t head, Instant asOf, Instant now)
{
    // Only a daemon that may serve gets time to fetch: one that comes back from isolation may be far behind.
    if (head > head_ && !behindSince_ && decide(now) != Serving::Isolated) {
        behindSince_ = now;
    }
    highestHeadHeard_ = std::max(highestHeadHeard_, head);
    if (head <= head_) {
        acceptConfirmation(asOf);
    } else if (!pending_ || pending_->asOf < asOf) {
        pending_ = Confirmation{head, asOf};
    }
}

void FreshnessTracker::recordAnswer(const DaemonId &member, const Attestation &answer, Instant sentAt, Instant now)
{
    highestMembersHeard_ = std::max(highestMembersHeard_, answer.membersVersion);
    confirm(answer.head, sentAt - std::max(answer.age, absl::ZeroDuration()), now);
    Answer &kept = answers_[member];
    if (kept.sentAt <= sentAt) {
        kept = {answer, sentAt};
    }
    synchroniseFromAnswers(now);
}

Serving FreshnessTracker::decide(Instant now) const
{
    if (confirmedAt_ && *confirmedAt_ >= startedAt_ && age(now) <= settings_.freshnessBound) {
        return Serving::Fresh;
    }
    const Instant notBefore = now - settings_.attestationAge;
    const bool fetching = behindSince_ && now - *behindSince_ <= settings_.fetchTime;
    const bool holdsAll = (holdsHeads(notBefore) || fetching) && holdsMemberList(notBefore);
    if (synchronised_ && holdsAll && hasMajority(notBefore, isMember())) {
        return Serving::OutageMode;
    }
    return Serving::Isolated;
}

Attestation FreshnessTracker::ownAttestation(Instant now) const
{
    return {.attested = synchronised_ && isMember(),
            .synced = synchronised_,
            .head = head_,
            .age = age(now),
            .membersVersion = members_.version};
}

bool FreshnessTracker::wantsAttestations(Instant now) const
{
    return !synchronised_ || age(now) > settings_.freshnessBound - settings_.attestationAge;
}

absl::Duration FreshnessTracker::age(Instant now) const
{
    return confirmedAt_ ? now - *confirmedAt_ : absl::InfiniteDuration();
}

bool FreshnessTracker::isMember() const
{
    return contains(members_.previousMembers.empty() ? members_.members : members_.previousMembers, self_);
}

// True if more than half of the members attested in answers to requests sent at notBefore or later.
bool FreshnessTracker::hasMajority(Instant notBefore, bool countSelf) const
{
    const auto attests = [&](const DaemonId &member) {
        if (member == self_) {
            return countSelf;
        }
        const auto found = answers_.find(member);
        return found != answers_.end() && found->second.attestation.attested && found->second.attestation.synced
            && found->second.sentAt >= notBefore;
    };
    const auto majority = [&](const std::vector<DaemonId> &members) {
        const auto count = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), attests));
        return settings_.requireMajority ? 2 * count > members.size() : count > 0;
    };
    return majority(members_.members) && (members_.previousMembers.empty() || majority(members_.previousMembers));
}

bool FreshnessTracker::holdsHeads(Instant notBefore) const
{
    return std::all_of(answers_.begin(), answers_.end(), [&](const auto &entry) {
        return entry.second.sentAt < notBefore || entry.second.attestation.head <= head_;
    });
}

bool FreshnessTracker::holdsMemberList(Instant notBefore) const
{
    return std::all_of(answers_.begin(), answers_.end(), [&](const auto &entry) {
        return entry.second.sentAt < notBefore || entry.second.attestation.membersVersion <= members_.version;
    });
}

void FreshnessTracker::acceptConfirmation(Instant asOf)
{
    if (!confirmedAt_ || *confirmedAt_ < asOf) {
        confirmedAt_ = asOf;
    }
    synchronised_ = synchronised_ || asOf >= synchroniseFrom_;
}

void FreshnessTracker::synchroniseFromAnswers(Instant now)
{
    const Instant notBefore = std::max(synchroniseFrom_ + settings_.restartWait, now - settings_.attestationAge);
    if (!synchronised_ && hasMajority(notBefore, false) && holdsHeads(notBefore) && holdsMemberList(notBefore)) {
        synchronised_ = true;
    }
}

} // namespace currantlug::config
