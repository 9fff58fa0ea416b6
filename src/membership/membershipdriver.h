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
#include <utility>

namespace currantlug::membership {

/// Sends a list to its voters() and returns how many of them hold it or a later version now, this daemon included if it
/// is a voter. Returns after a bounded time. Lists of large sites are tens of kilobytes: ask a member for its version
/// first, and send the list only if it holds an older one.
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
    absl::StatusOr<MemberList> read()
    {
        absl::StatusOr<Stored> stored = readStored();
        if (!stored.ok()) {
            return stored.status();
        }
        return std::move(stored->list);
    }

    /// Adds this daemon as joining, or replaces its earlier incarnation.
    absl::StatusOr<MemberChange> join(const Member &self)
    {
        return change(
            Majority::Needed, [&self](const MemberList &list) { return isListed(list, self.id, self.incarnation); },
            [&self](const MemberList &list) {
                Member joining = self;
                joining.state = MemberState::Joining;
                return list.withJoined(std::move(joining));
            });
    }

    /// Advances this daemon's state: Serving after it has synchronised, Draining for a planned stop.
    absl::StatusOr<MemberChange> setState(const DaemonId &id, const std::string &incarnation, MemberState state)
    {
        return change(
            Majority::Needed,
            [&](const MemberList &list) { return isListed(list, id, incarnation) && list.find(id)->state == state; },
            [&](const MemberList &list) { return list.withState(id, incarnation, state); });
    }

    absl::StatusOr<MemberChange> drain(const DaemonId &id, const std::string &incarnation)
    {
        return setState(id, incarnation, MemberState::Draining);
    }

    /// Removes this daemon after its drain.
    absl::StatusOr<MemberChange> leave(const DaemonId &id, const std::string &incarnation)
    {
        return remove(Majority::Needed, id, incarnation);
    }

    /// Removes a daemon that was silent for long. A newer incarnation of it stays. Nothing is written unless a
    /// majority acknowledges the list that is to be changed.
    absl::StatusOr<MemberChange> removeDead(const DaemonId &id, const std::string &incarnation)
    {
        return remove(Majority::Needed, id, incarnation);
    }

    /// Removes a daemon without a majority, on an operator's word that it is off and stays off.
    absl::StatusOr<MemberChange> forceRemove(const DaemonId &id, const std::string &incarnation)
    {
        return remove(Majority::Waived, id, incarnation);
    }

    /// Pushes the stored list and tells whether its last change of the set has taken effect.
    absl::StatusOr<MemberChange> confirm()
    {
        absl::StatusOr<Stored> stored = readStored();
        if (!stored.ok()) {
            return stored.status();
        }
        return pushed(std::move(stored->list));
    }

private:
    /// Whether a change of the set must wait for the previous change to take effect. Changes of state never wait.
    enum class Majority { Needed, Waived };

    struct Stored
    {
        std::uint64_t objectVersion = platform::CreateOnly;
        MemberList list;
    };

    static bool isListed(const MemberList &list, const DaemonId &id, const std::string &incarnation)
    {
        const Member *member = list.find(id);
        return member != nullptr && member->incarnation == incarnation;
    }

    absl::StatusOr<MemberChange> remove(Majority majority, const DaemonId &id, const std::string &incarnation)
    {
        return change(
            majority, [&](const MemberList &list) { return !isListed(list, id, incarnation); },
            [&](const MemberList &list) { return list.without(id, incarnation); });
    }

    absl::StatusOr<Stored> readStored()
    {
        const absl::StatusOr<platform::StoredObject> object = store_.get(Key);
        if (object.status().code() == absl::StatusCode::kNotFound) {
            return Stored{};
        }
        if (!object.ok()) {
            return error(absl::StatusCode::kUnavailable, Outcome::NotRun, object.status().message());
        }
        absl::StatusOr<MemberList> list = MemberList::fromJson(parseJson(object->value).value_or(Json()));
        if (!list.ok()) {
            return error(absl::StatusCode::kDataLoss, Outcome::NotRun, list.status().message());
        }
        return Stored{object->version, *std::move(list)};
    }

    /// Repeats read, check and conditional update until the change is in the list. A lost answer needs no nonce: the
    /// list that is read back shows by its incarnations whether the change is in force.
    template<class InForce, class Apply>
    absl::StatusOr<MemberChange> change(Majority majority, InForce inForce, Apply apply)
    {
        Outcome outcome = Outcome::NotRun;
        for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
            absl::StatusOr<Stored> stored = readStored();
            if (!stored.ok()) {
                return error(stored.status().code(), outcome, stored.status().message());
            }
            if (inForce(stored->list)) {
                return pushed(std::move(stored->list));
            }
            absl::StatusOr<MemberList> next = apply(stored->list);
            if (!next.ok()) {
                return next.status();
            }
            const bool setChanges = next->members().size() != stored->list.members().size();
            if (setChanges && majority == Majority::Needed && !pushed(stored->list).confirmed) {
                return error(absl::StatusCode::kUnavailable, outcome, "a majority does not hold the member list");
            }
            const absl::StatusOr<std::uint64_t> put = store_.putIf(Key, stored->objectVersion, next->toJson().dump());
            if (put.ok()) {
                return pushed(*std::move(next));
            }
            if (put.status().code() == absl::StatusCode::kAborted) {
                continue;
            }
            if (errorContext(put.status()).outcome == Outcome::NotRun) {
                return error(absl::StatusCode::kUnavailable, outcome, put.status().message());
            }
            outcome = Outcome::MayHaveRun; // Read back what became of it.
        }
        return error(absl::StatusCode::kAborted, outcome, "too many lost races for the member list");
    }

    MemberChange pushed(MemberList list)
    {
        const bool confirmed = list.isConfirmedBy(pusher_.pushMembers(list));
        return {std::move(list), confirmed};
    }

    static absl::Status error(absl::StatusCode code, Outcome outcome, absl::string_view message)
    {
        return makeError(code, Step::Store, Key, outcome, std::string(message));
    }

    Store &store_;
    Pusher &pusher_;
};

} // namespace currantlug::membership

#endif
