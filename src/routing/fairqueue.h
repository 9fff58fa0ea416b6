// Deficit-weighted fair queue by tokens per workspace. Inside a workspace the order is step deadline, then the group
// that needs the fewest members, then arrival.
#ifndef CURRANTLUG_ROUTING_FAIRQUEUE_H
#define CURRANTLUG_ROUTING_FAIRQUEUE_H

#include "core/ids.h"
#include "core/instant.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace currantlug::routing {

/// What orders an item inside its workspace; smaller is sooner.
struct QueueOrder
{
    Instant deadline = Instant(absl::InfiniteDuration());
    std::uint32_t groupRemaining = UINT32_MAX; ///< Items without a group come last at equal deadlines.
    std::uint64_t sequence = 0; ///< Unique; arrival order.

    friend bool operator<(const QueueOrder &a, const QueueOrder &b)
    {
        if (a.deadline != b.deadline) {
            return a.deadline < b.deadline;
        }
        return a.groupRemaining != b.groupRemaining ? a.groupRemaining < b.groupRemaining : a.sequence < b.sequence;
    }
};

/// Queue of T, each with a workspace, an order and a cost in tokens. Invariants: deficits of workspaces without items
/// are zero or negative, so that idle time earns no credit; a workspace with items and no veto is served after a
/// bounded number of tokens of the others. Not thread-safe.
template<class T>
class FairQueue
{
public:
    /// Tokens a workspace of weight 1 may use per round. Not below the usual cost of an item, or rounds are wasted.
    explicit FairQueue(double quantum = 512, bool fair = true)
        : quantum_(quantum)
        , fair_(fair)
    {
    }

    void setWeight(const WorkspaceId &workspace, double weight) { lane(workspace).weight = std::max(weight, 1e-3); }

    void push(const WorkspaceId &workspace, QueueOrder order, double cost, T item)
    {
        Lane &target = lane(fair_ ? workspace : WorkspaceId());
        if (!fair_) {
            order = {.sequence = order.sequence};
        }
        const bool added = target.items.emplace(order, Item{cost, std::move(item)}).second;
        assert(added);
        (void)added;
        target.cost += cost;
        totalCost_ += cost;
        ++size_;
    }

    /// Removes and returns the next item that `accept` takes. `accept(item)` is asked for at most `Probes` items of
    /// each workspace, so that one item that cannot run now (for instance lasting endpoints only) does not block the
    /// rest.
    template<class Accept>
    std::optional<T> pop(Accept &&accept)
    {
        std::vector<Candidate> candidates = probe(accept);
        if (candidates.empty()) {
            return std::nullopt;
        }
        const Candidate chosen = advanceRounds(candidates);
        Lane &from = lanes_[chosen.lane];
        const auto found = from.items.find(chosen.order);
        from.deficit -= found->second.cost;
        T item = std::move(found->second.item);
        eraseItem(from, found);
        cursor_ = chosen.lane;
        return item;
    }

    /// Removes an item; false if it is not queued.
    bool remove(const WorkspaceId &workspace, QueueOrder order)
    {
        Lane &from = lane(fair_ ? workspace : WorkspaceId());
        const auto found = from.items.find(fair_ ? order : QueueOrder{.sequence = order.sequence});
        if (found == from.items.end()) {
            return false;
        }
        eraseItem(from, found);
        return true;
    }

    /// Charges (or with a negative number refunds) tokens by which the actual cost differs from the expected one.
    void charge(const WorkspaceId &workspace, double tokens)
    {
        Lane &target = lane(fair_ ? workspace : WorkspaceId());
        // The bound keeps one wrong estimate from shutting a workspace out for many rounds.
        const double bound = MaxRounds * quantum_ * target.weight;
        target.deficit = std::clamp(target.deficit - tokens, -bound, bound);
    }

    std::size_t size() const { return size_; }
    double cost() const { return totalCost_; }

    /// Tokens that are served before a new item of this workspace: its own queue, and of each other workspace at most
    /// the share that its weight gives it until the item's turn.
    double costAhead(const WorkspaceId &workspace, double cost) const
    {
        if (!fair_) {
            return totalCost_;
        }
        const auto found = index_.find(workspace);
        const double own = found == index_.end() ? 0 : lanes_[found->second].cost;
        const double weight = found == index_.end() ? 1 : lanes_[found->second].weight;
        double ahead = own;
        for (const Lane &other : lanes_) {
            if (!(other.workspace == workspace)) {
                ahead += std::min(other.cost, (own + cost) / weight * other.weight);
            }
        }
        return ahead;
    }

private:
    static constexpr int Probes = 4;
    static constexpr double MaxRounds = 16;

    struct Item
    {
        double cost = 0;
        T item;
    };
    struct Lane
    {
        WorkspaceId workspace;
        double weight = 1;
        double deficit = 0;
        double cost = 0;
        std::map<QueueOrder, Item> items;
    };
    struct Candidate
    {
        std::size_t lane = 0;
        QueueOrder order;
        double rounds = 0; ///< Rounds until the deficit covers the cost.
    };

    Lane &lane(const WorkspaceId &workspace)
    {
        const auto [found, added] = index_.try_emplace(workspace, lanes_.size());
        if (added) {
            lanes_.push_back({.workspace = workspace});
        }
        return lanes_[found->second];
    }

    template<class Accept>
    std::vector<Candidate> probe(Accept &&accept)
    {
        std::vector<Candidate> candidates;
        for (std::size_t step = 0; step < lanes_.size(); ++step) {
            const std::size_t index = (cursor_ + step) % lanes_.size();
            int probes = Probes;
            for (const auto &[order, item] : lanes_[index].items) {
                if (accept(item.item)) {
                    const double missing = item.cost - lanes_[index].deficit;
                    candidates.push_back({index, order, std::max(0.0, missing / (quantum_ * lanes_[index].weight))});
                    break;
                }
                if (--probes == 0) {
                    break;
                }
            }
        }
        return candidates;
    }

    /// Gives every candidate the rounds that the first to be served needs. Computed at once instead of looping.
    Candidate advanceRounds(const std::vector<Candidate> &candidates)
    {
        // min_element takes the first of equals, which is the next in turn after the workspace served last.
        const Candidate chosen = *std::min_element(candidates.begin(), candidates.end(),
                                                   [](const auto &a, const auto &b) { return a.rounds < b.rounds; });
        for (const Candidate &candidate : candidates) {
            Lane &waiting = lanes_[candidate.lane];
            waiting.deficit += chosen.rounds * quantum_ * waiting.weight;
        }
        return chosen;
    }

    void eraseItem(Lane &from, typename std::map<QueueOrder, Item>::iterator found)
    {
        totalCost_ -= found->second.cost;
        from.cost -= found->second.cost;
        from.items.erase(found);
        --size_;
        if (from.items.empty()) {
            from.cost = 0;
            from.deficit = std::min(from.deficit, 0.0);
        }
        if (size_ == 0) {
            totalCost_ = 0;
        }
    }

    double quantum_;
    bool fair_;
    std::vector<Lane> lanes_;
    absl::flat_hash_map<WorkspaceId, std::size_t> index_;
    std::size_t cursor_ = 0; ///< Lane served last.
    std::size_t size_ = 0;
    double totalCost_ = 0;
};

} // namespace currantlug::routing

#endif
