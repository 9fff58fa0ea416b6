#include "standins/enginecache.h"

#include "core/hash.h"
#include "standins/enginestandin.h"

namespace currantlug::standins {

namespace {

constexpr std::size_t EventsKept = 10'000;

} // namespace

void EngineCache::use(std::string_view prompt, Instant now)
{
    for (std::size_t end = PromptBlockBytes; end <= prompt.size(); end += PromptBlockBytes) {
        const std::uint64_t block = stableHash(prompt.substr(0, end));
        const auto found = blocks_.find(block);
        if (found != blocks_.end()) {
            order_.splice(order_.begin(), order_, found->second);
            continue;
        }
        order_.push_front(block);
        blocks_[block] = order_.begin();
        record("stored", block, now);
        if (order_.size() > capacity_) {
            record("evicted", order_.back(), now);
            blocks_.erase(order_.back());
            order_.pop_back();
        }
    }
}

void EngineCache::clear()
{
    order_.clear();
    blocks_.clear();
}

double EngineCache::used() const
{
    return capacity_ == 0 ? 1.0 : static_cast<double>(order_.size()) / static_cast<double>(capacity_);
}

Json EngineCache::eventsAfter(std::uint64_t after, Instant now) const
{
    Json events = Json::array();
    std::uint64_t next = after;
    for (const Event &event : events_) {
        if (event.sequence > after && event.at + lag_ <= now) {
            events.push_back({{"seq", event.sequence}, {"kind", event.kind}, {"block", event.block}});
            next = event.sequence;
        }
    }
    return {{"next", next}, {"events", std::move(events)}};
}

void EngineCache::record(std::string_view kind, std::uint64_t block, Instant now)
{
    ++sequence_;
    if (gap_ > 0 && sequence_ % gap_ == 0) {
        return;
    }
    events_.push_back({sequence_, now, kind, block});
    if (events_.size() > EventsKept) {
        events_.pop_front();
    }
}

} // namespace currantlug::standins
