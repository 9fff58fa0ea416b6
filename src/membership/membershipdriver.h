// Changes the member list in the store: conditional updates, lost answers and the majority rule.
#ifndef CURRANTLUG_MEMBERSHIP_MEMBERSHIPDRIVER_H
#define CURRANTLUG_MEMBERSHIP_MEMBERSHIPDRIVER_H

#include "core/error.h"
#include "core/json.h"
#include "membership/memberlist.h"
#include "platform/objectstore.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <concepts>
#include <string>

namespace currantlug::membership {

/// Sends a list to its voters() and returns how many of them hold it or a later version now, this daemon included if it
/// is a voter. Returns after a bounded time.
template<class T>
concept MemberPusherLike = requires(T pusher, const MemberList &list)
{
    {
        pusher.pushMembers(list)
        } -> std::same_as<int>;
};

/// A change of the list that is in the store.
struct MemberChange
{
    MemberList list; ///< The list that holds the change.
    /// Whether more than half of the previous list's daemons hold it. An unconfirmed change of the set blocks the next
    /// one; any daemon's next change, or confirm(), tries again.
    bool confirmed = false;
};

/// Errors of all changes: kUnavailable with NotRun if the store cannot be reached or a majority is missing before the
/// change (nothing was written); kUnavailable with MayHaveRun if the effect could not be read back; kAborted with
/// NotRun after MaxAttempts lost races. Holds no state; thread-safe if the store and the pusher are.
template<platform::ObjectStoreLike Store, MemberPusherLike Pusher>
class MembershipDriver
{
public:
    static constexpr const char *Key = "members";
    static constexpr int MaxAttempts = 20; ///< A fleet that starts at once races for the object.

    MembershipDriver(Store &store, Pusher &pusher)
        : store_(store)
        , pusher_(pusher)
    {
    }

    /// The stored list; an empty one if there is no object yet.
    absl::StatusOr<MemberList> read();

    /// Adds this daemon as joining, or replaces its earlier incarnation.
    absl::StatusOr<MemberChange> join(const Member &self);

    /// Advances this daemon's state: Serving after it has synchronised, Draining for a planned stop.
    absl::StatusOr<MemberChange> setState(const DaemonId &id, const std::string &incarnation, MemberState state);
    absl::StatusOr<MemberChange> drain(const DaemonId &id, const std::string &incarnation)
    {
        return setState(id, incarnation, MemberState::Draining);
    }

    /// Removes this daemon after its drain.
    absl::StatusOr<MemberChange> leave(const DaemonId &id, const std::string &incarnation);

    /// Removes a daemon that was silent for long. A newer incarnation of it stays. Nothing is written unless a
    /// majority acknowledges the list that is to be changed.
    absl::StatusOr<MemberChange> removeDead(const DaemonId &id, const std::string &incarnation);

    /// Removes a daemon without a majority, on an operator's word that it is off and stays off.
    absl::StatusOr<MemberChange> forceRemove(const DaemonId &id, const std::string &incarnation);

    /// Pushes the stored list and tells whether its last change of the set has taken effect.
    absl::StatusOr<MemberChange> confirm();

private:
    Store &store_;
    Pusher &pusher_;
};

} // namespace currantlug::membership

#endif
