// Decides whether this daemon may serve on the configuration it holds. No clock: every method takes the time.
#ifndef CURRANTLUG_CONFIG_FRESHNESS_H
#define CURRANTLUG_CONFIG_FRESHNESS_H

#include "core/enumnames.h"
#include "core/ids.h"
#include "core/instant.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace currantlug::config {

enum class Serving {
    Fresh, ///< The head was confirmed within the freshness bound.
    OutageMode, ///< More than half of the members were asked just now, and none holds a newer head.
    Isolated, ///< Neither: callers are rejected.
};

struct FreshnessSettings
{
    absl::Duration freshnessBound = absl::Seconds(6);
    absl::Duration attestationAge = absl::Seconds(2); ///< Counted from when the request for it was sent.
    absl::Duration fetchTime = absl::Seconds(1); ///< A serving daemon fetches a head it hears of within this time.
    /// A filer counts acknowledgements for 5 s. A daemon that acknowledged a ticket and restarted could otherwise
    /// synchronise from a majority that does not hold the ticket yet, and attest without it while its lost
    /// acknowledgement still counts. The extra second allows for clocks that run at different rates.
    absl::Duration restartWait = absl::Seconds(6);
    bool requireMajority = true; ///< Off only in tests, to show that they notice.
};

/// Reply to attest{} (design 5.5). Whether the member reaches the store plays no part: the safety of outage mode
/// follows from the heads of a majority alone, and with a condition on the store every outage began with seconds in
/// which no daemon served, until enough members had noticed it. A member that is fresh says so by its age.
struct Attestation
{
    bool attested = false; ///< The member is synchronised and in the list in effect, so its head counts.
    bool synced = false;
    std::uint64_t head = 0;
    absl::Duration age = absl::InfiniteDuration(); ///< Bound on the age of the member's last confirmation.
    std::uint64_t membersVersion = 0;
};

/// The member list in use. While a new list is not known to be in effect, both lists must have their majority.
struct MemberView
{
    std::uint64_t version = 0;
    std::vector<DaemonId> members;
    std::vector<DaemonId> previousMembers; ///< Empty once `members` is in effect.
};

/// Feed it everything the daemon hears; ask decide() for each request. Not thread-safe.
///
/// Why serving is safe: a ticket is accepted only when more than half of the members hold it. A fresh daemon knows that
/// no newer ticket existed freshnessBound ago. A daemon in outage mode has asked more than half of the members within
/// attestationAge; one of them also acknowledged the ticket, and either named it in its answer or acknowledged it
/// later. This needs from the callers: acknowledgements count for less than restartWait (TicketFiler), a member list
/// changes by one daemon per version, a version is written only after the one before is in effect and by a daemon that
/// has then read the head, and a daemon takes over a version only together with that head.
class FreshnessTracker
{
public:
    FreshnessTracker(DaemonId self, FreshnessSettings settings, Instant startedAt);

    /// A newer member list, or the news that it is in effect. Older versions are ignored. A daemon that becomes a
    /// member starts its synchronisation anew, as reads from before the list was in effect prove nothing to the new
    /// majority.
    void applyMembers(MemberView view, Instant now);

    /// The head of this daemon's history after it applied tickets or a snapshot. Never goes back.
    void applyHead(std::uint64_t head, Instant now);

    /// No ticket above `head` existed at `asOf`: for a store call, the instant before it was sent; for an answer of a
    /// relay, the instant before the pull was sent minus the age in the answer.
    void confirm(std::uint64_t head, Instant asOf, Instant now);

    /// A member's reply to an attest{} that was sent at `sentAt`. The age counts from sending, because a reply may have
    /// waited in a socket buffer while this process was paused.
    void recordAnswer(const DaemonId &member, const Attestation &answer, Instant sentAt, Instant now);

    Serving decide(Instant now) const;

    /// What this daemon replies to attest{}.
    Attestation ownAttestation(Instant now) const;

    /// True when attest{} should be sent. Starts before the freshness bound, so that an outage does not begin with a
    /// gap in service.
    bool wantsAttestations(Instant now) const;

    /// Age bound of the configuration held here, for pull responses.
    absl::Duration age(Instant now) const;

    /// Highest head and member list version heard of; the daemon fetches them if they are above its own.
    std::uint64_t highestHeadHeard() const { return highestHeadHeard_; }
    std::uint64_t highestMembersHeard() const { return highestMembersHeard_; }

    std::uint64_t head() const { return head_; }
    std::uint64_t membersVersion() const { return members_.version; }
    bool synchronised() const { return synchronised_; }

private:
    struct Answer
    {
        Attestation attestation;
        Instant sentAt;
    };
    struct Confirmation
    {
        std::uint64_t head = 0;
        Instant asOf;
    };

    bool isMember() const;
    bool hasMajority(Instant notBefore, bool countSelf) const;
    bool holdsHeads(Instant notBefore) const;
    bool holdsMemberList(Instant notBefore) const;
    void acceptConfirmation(Instant asOf);
    void synchroniseFromAnswers(Instant now);

    DaemonId self_;
    FreshnessSettings settings_;
    Instant startedAt_;
    Instant synchroniseFrom_; ///< Only evidence from after this instant synchronises.
    bool synchronised_ = false;
    MemberView members_;
    std::uint64_t head_ = 0;
    std::optional<Instant> confirmedAt_; ///< No ticket above head_ existed at this instant.
    std::optional<Confirmation> pending_; ///< Newest confirmation of a head above head_.
    absl::flat_hash_map<DaemonId, Answer> answers_; ///< Last answer of each member.
    std::optional<Instant> behindSince_; ///< When a head above head_ was first heard of while serving.
    std::uint64_t highestHeadHeard_ = 0;
    std::uint64_t highestMembersHeard_ = 0;
};

} // namespace currantlug::config

template<>
struct currantlug::EnumNames<currantlug::config::Serving>
{
    using Serving = currantlug::config::Serving;
    static constexpr std::array<std::pair<Serving, std::string_view>, 3> Table{{
        {Serving::Fresh, "fresh"},
        {Serving::OutageMode, "outage_mode"},
        {Serving::Isolated, "isolated"},
    }};
};

#endif
