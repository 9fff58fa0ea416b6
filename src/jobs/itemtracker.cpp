// Sending order of items and reuse of text from earlier jobs.
#include "jobs/itemtracker.h"

#include <algorithm>
#include <utility>

namespace currantlug::jobs {

bool versionsAllowed(const std::vector<std::uint64_t> &versions, std::uint64_t minVersion, bool singleVersion)
{
    return !versions.empty() && *std::min_element(versions.begin(), versions.end()) >= minVersion
        && (!singleVersion || versions.size() == 1);
}

ItemTracker::ItemTracker(JobSpec spec)
{
    for (ItemSpec &item : spec.items) {
        byId_.emplace(item.id, items_.size());
        if (!item.textKey.empty()) {
            byTextKey_.emplace(item.textKey, items_.size());
        }
        order_.push_back(items_.size());
        items_.emplace_back().spec = std::move(item);
    }
    std::stable_sort(order_.begin(), order_.end(), [&](std::size_t a, std::size_t b) {
        return items_[a].spec.lengthHint > items_[b].spec.lengthHint;
    });
}

std::optional<std::size_t> ItemTracker::find(std::string_view id) const
{
    const auto found = byId_.find(std::string(id));
    return found == byId_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::size_t> ItemTracker::findByTextKey(const std::string &textKey) const
{
    const auto found = byTextKey_.find(textKey);
    return found == byTextKey_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::size_t> ItemTracker::sendOrder(Instant now) const
{
    std::vector<std::size_t> ready;
    std::vector<std::size_t> notBegun;
    for (const std::size_t index : order_) {
        const Item &item = items_[index];
        if (item.state == ItemState::Waiting && item.notBefore <= now) {
            (item.text.empty() ? notBegun : ready).push_back(index);
        }
    }
    ready.insert(ready.end(), notBegun.begin(), notBegun.end());
    return ready;
}

std::vector<std::size_t> ItemTracker::rewardOrder(Instant now) const
{
    std::vector<std::size_t> ready;
    for (std::size_t index = 0; index < items_.size(); ++index) {
        const Item &item = items_[index];
        if (item.state == ItemState::Scoring && item.rewardCall == 0 && item.notBefore <= now) {
            ready.push_back(index);
        }
    }
    std::stable_sort(ready.begin(), ready.end(), [this](std::size_t a, std::size_t b) {
        return items_[a].textCompletedAt < items_[b].textCompletedAt;
    });
    return ready;
}

bool ItemTracker::reuseText(std::size_t index, const ItemText &text, std::uint64_t minVersion, bool singleVersion)
{
    Item &item = items_[index];
    const bool better = text.complete || text.events.size() > item.text.events.size();
    if (item.state != ItemState::Waiting || !better || !versionsAllowed(text.versions, minVersion, singleVersion)) {
        return false;
    }
    item.text = text;
    return true;
}

bool ItemTracker::isGroupFinished(const std::string &group) const
{
    return std::all_of(items_.begin(), items_.end(), [&group](const Item &item) {
        return item.spec.group != group || item.state == ItemState::Finished || item.state == ItemState::Stored;
    });
}

void ItemTracker::markStored(std::size_t index)
{
    if (items_[index].state != ItemState::Stored) {
        items_[index].state = ItemState::Stored;
        items_[index].text = {};
        ++storedCount_;
    }
}

} // namespace currantlug::jobs
