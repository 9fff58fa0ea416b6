// The versioned list of all daemons: the value of the store object `members`.
#ifndef CURRANTLUG_MEMBERSHIP_MEMBERLIST_H
#define CURRANTLUG_MEMBERSHIP_MEMBERLIST_H

#include "core/enumnames.h"
#include "core/ids.h"
#include "core/json.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace currantlug::membership {

enum class MemberState {
    Joining, ///< Listed, not yet synchronised; gets no callers.
    Serving,
    Draining, ///< Left out of address responses; finishes what it has.
};

/// One daemon.
struct Member
{
    DaemonId id;
    std::string incarnation; ///< Random per process; tells a restarted daemon from its predecessor.
    ZoneId zone;
    RegionId region;
    std::string callerAddress; ///< host:port for callers and trainers.
    std::string meshAddress; ///< host:port for other daemons.
    MemberState state = MemberState::Joining;

    friend bool operator==(const Member &, const Member &) = default;
};

/// An immutable version of the list. Each change yields a list with the next version and touches one member.
///
/// Majorities of neighbouring lists share a member only if the set of daemons changes by one at a time, and only if
/// each change of the set is held by a majority of the previous set before the next one. The list therefore remembers
/// its last change of the set, from which voters() follows; changes of state leave the set as it is.
class MemberList
{
public:
    MemberList() = default; ///< Version 0, no members.

    std::uint64_t version() const { return version_; }
    const std::vector<Member> &members() const { return members_; } ///< Sorted by id.
    const Member *find(const DaemonId &id) const;

    /// The daemons of the set before its last change. More than half of them must hold this list, or a later one,
    /// before the set may change again.
    std::vector<DaemonId> voters() const;

    /// Whether this many acknowledgements of voters() let the last change of the set take effect. With no voters (the
    /// first daemon ever) it takes effect at once.
    bool isConfirmedBy(int acknowledged) const;

    /// More than half of the members.
    int majority() const { return static_cast<int>(members_.size()) / 2 + 1; }

    /// Adds a daemon, or replaces the entry of its earlier incarnation. kAlreadyExists if this incarnation is listed.
    absl::StatusOr<MemberList> withJoined(Member member) const;

    /// States only advance: kFailedPrecondition otherwise. kNotFound if this incarnation is not listed.
    absl::StatusOr<MemberList> withState(const DaemonId &id, const std::string &incarnation, MemberState state) const;

    /// kNotFound if this incarnation is not listed.
    absl::StatusOr<MemberList> without(const DaemonId &id, const std::string &incarnation) const;

    /// Whether `next` is a direct successor of this list: version plus one, one member changed.
    bool isFollowedBy(const MemberList &next) const;

    Json toJson() const;

    /// kInvalidArgument for a value that no daemon wrote. Unknown fields are ignored.
    static absl::StatusOr<MemberList> fromJson(const Json &json);

    friend bool operator==(const MemberList &, const MemberList &) = default;

private:
    std::uint64_t version_ = 0;
    std::vector<Member> members_; ///< Sorted by id, ids unique.
    DaemonId added_; ///< Last change of the set: the daemon added, or empty.
    DaemonId removed_; ///< Last change of the set: the daemon removed, or empty. At most one of the two is set.
};

} // namespace currantlug::membership

template<>
struct currantlug::EnumNames<currantlug::membership::MemberState>
{
    using State = currantlug::membership::MemberState;
    static constexpr std::array<std::pair<State, std::string_view>, 3> Table{{
        {State::Joining, "joining"},
        {State::Serving, "serving"},
        {State::Draining, "draining"},
    }};
};

#endif
