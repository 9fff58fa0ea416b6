// State of the items of one job, and the order in which waiting items are sent. JobRunner drives it; the class itself
// makes no network calls and is given the current time.
//
// It is designed for jobs of some dozen items in groups, of which a tenth are several times as long as the rest, while
// replicas slow down, disappear and load weights. An item keeps its generated text when it moves to another replica, so
// that the next attempt resumes after that text.
#ifndef CURRANTLUG_JOBS_ITEMTRACKER_H
#define CURRANTLUG_JOBS_ITEMTRACKER_H

#include "core/instant.h"
#include "jobs/job.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::jobs {

enum class ItemState {
    Waiting,
    Running,
    Scoring, ///< Its text is complete and the score of its reward call is missing.
    Finished, ///< Its result is known and not yet stored.
    Stored, ///< Its result is stored and can be read by clients.
};

} // namespace currantlug::jobs

template<>
struct currantlug::EnumNames<currantlug::jobs::ItemState>
{
    using ItemState = currantlug::jobs::ItemState;
    static constexpr std::array<std::pair<ItemState, std::string_view>, 5> Table{{
        {ItemState::Waiting, "waiting"},
        {ItemState::Running, "running"},
        {ItemState::Scoring, "scoring"},
        {ItemState::Finished, "finished"},
        {ItemState::Stored, "listed"},
    }};
};

namespace currantlug::jobs {

/// A move whose effect is being measured.
struct RecentMove
{
    Instant at;
    absl::Duration gapBefore; ///< Time of an event at the former replica.
    std::size_t eventsBefore = 0; ///< Length of the text at the time of the move, in events.
};

struct Item
{
    ItemSpec spec;
    ItemState state = ItemState::Waiting;
    ItemText text;
    std::string replica; ///< Running: id of the replica.
    std::uint64_t attempt = 0; ///< Running: number of the attempt; callbacks of earlier attempts are ignored.
    Instant lastEventAt; ///< Running: time of the last event, or of the start of the attempt.
    Instant startedAt; ///< Running: start of the attempt.
    std::size_t attemptBytes = 0; ///< Running: length of the events of the attempt.
    std::size_t attemptEvents = 0; ///< Running: number of events of the attempt.
    std::size_t slowEvents = 0; ///< Running: number of slow gaps in a row up to the last event.
    Instant slowSince; ///< Running: begin of those gaps; meaningful if slowEvents is not 0.
    bool headSeen = false; ///< Running: the replica has sent its response head.
    Instant waitingSince; ///< Waiting: time at which a free replica was first looked for.
    Instant notBefore; ///< Waiting or Scoring: the item or its reward call is not sent before this time.
    int failures = 0; ///< Responses that count as failed attempts.
    std::vector<Instant> movedAt; ///< Recent moves off a slow replica, oldest first.
    std::optional<RecentMove> lastMove; ///< Until it is known whether the move gained time.
    std::set<std::string> excludedReplicas; ///< Replicas on which the item failed; cleared if no other is free.
    Instant finishedAt;
    Instant textCompletedAt; ///< Scoring: time at which the text was complete here.
    std::uint64_t rewardCall = 0; ///< Scoring: id of the open reward call; 0 if there is none.
    int rewardFailures = 0; ///< Responses to the reward call that count as failed attempts.
    int rewardRetries = 0; ///< Reward calls that were refused or lost since the text was complete.
    std::string score;
};

/// True if a job with these requirements may use text that was generated with the given weight versions.
bool versionsAllowed(const std::vector<std::uint64_t> &versions, std::uint64_t minVersion, bool singleVersion);

class ItemTracker
{
public:
    explicit ItemTracker(JobSpec spec);

    std::vector<Item> &items() { return items_; }
    const std::vector<Item> &items() const { return items_; }
    /// Returns the index of an item, or nullopt for an unknown id.
    std::optional<std::size_t> find(std::string_view id) const;
    /// Returns the index of the item with this text key, or nullopt if there is none.
    std::optional<std::size_t> findByTextKey(const std::string &textKey) const;

    /// Returns the waiting items that may be sent now, in sending order: items that already have text first, each part
    /// by descending length hint. A training step needs nearly all of its groups, so it lasts until its longest item is
    /// done.
    std::vector<std::size_t> sendOrder(Instant now) const;

    /// Returns the items whose reward call may be sent now: the texts that were complete first come first.
    std::vector<std::size_t> rewardOrder(Instant now) const;

    /// Takes over text of an earlier job if the item waits, the text is complete or longer than the item's own, and its
    /// weight versions are allowed in this job. Returns true if the text was taken.
    bool reuseText(std::size_t index, const ItemText &text, std::uint64_t minVersion, bool singleVersion);

    /// True if all items of the group are finished or stored.
    bool isGroupFinished(const std::string &group) const;
    bool allStored() const { return storedCount_ == items_.size(); }
    void markStored(std::size_t index);

private:
    std::vector<Item> items_;
    std::vector<std::size_t> order_; ///< All items by descending length hint.
    absl::flat_hash_map<std::string, std::size_t> byId_;
    absl::flat_hash_map<std::string, std::size_t> byTextKey_; ///< Items without a key are left out.
    std::size_t storedCount_ = 0;
};

} // namespace currantlug::jobs

#endif
