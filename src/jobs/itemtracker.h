// Which items of a job wait, run or are done, and which of them to send next. No network, no clock of its own.
//
// Load this answers: jobs of some dozen items in groups, of which a tenth are several times as long as the rest, while
// replicas slow down, vanish and load weights. Text is kept across replicas, so that an item that lost its replica goes
// on where it was.
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
    Finished, ///< Its result is known and not yet stored.
    Stored,
};

} // namespace currantlug::jobs

template<>
struct currantlug::EnumNames<currantlug::jobs::ItemState>
{
    using ItemState = currantlug::jobs::ItemState;
    static constexpr std::array<std::pair<ItemState, std::string_view>, 4> Table{{
        {ItemState::Waiting, "waiting"},
        {ItemState::Running, "running"},
        {ItemState::Finished, "finished"},
        {ItemState::Stored, "listed"},
    }};
};

namespace currantlug::jobs {

struct Item
{
    ItemSpec spec;
    ItemState state = ItemState::Waiting;
    ItemText text;
    std::string replica; ///< Running: where.
    std::uint64_t attempt = 0; ///< Running: tells this run's reports from those of earlier ones.
    Instant lastEventAt; ///< Running: the last event, or the start.
    Instant startedAt; ///< Running: the start of this run.
    bool headSeen = false; ///< Running: the replica has begun.
    Instant notBefore; ///< Waiting: not sent earlier.
    int failures = 0; ///< Answers that count as failed attempts.
    int moves = 0; ///< Runs that were moved off a slow replica.
    std::set<std::string> excludedReplicas; ///< Replicas that failed it.
    Instant finishedAt;
};

/// True if a job with these demands may use text that was made under the versions.
bool versionsAllowed(const std::vector<std::uint64_t> &versions, std::uint64_t minVersion, bool singleVersion);

class ItemTracker
{
public:
    explicit ItemTracker(const JobSpec &spec);

    std::vector<Item> &items() { return items_; }
    const std::vector<Item> &items() const { return items_; }
    /// Index of an item; nullopt for an unknown id.
    std::optional<std::size_t> find(std::string_view id) const;

    /// Waiting items that may be sent, in the order in which to send them: begun ones, then the longest first. A step
    /// needs nearly all of its groups, so it ends with its longest item.
    std::vector<std::size_t> sendOrder(Instant now) const;

    /// Uses text of an earlier job if the versions that made it fit this one. Returns whether it was taken.
    bool reuseText(std::size_t index, const ItemText &text, std::uint64_t minVersion, bool singleVersion);

    /// True if all items of the group are finished or listed.
    bool isGroupFinished(const std::string &group) const;
    bool allStored() const { return storedCount_ == items_.size(); }
    void markStored(std::size_t index);

private:
    std::vector<Item> items_;
    std::vector<std::size_t> order_; ///< All items in their order of sending.
    absl::flat_hash_map<std::string, std::size_t> byId_;
    std::size_t storedCount_ = 0;
};

} // namespace currantlug::jobs

#endif
