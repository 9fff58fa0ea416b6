#include "routing/prefixindex.h"

namespace currantlug::routing {

PrefixIndex::PrefixIndex(PrefixIndexSettings settings)
    : settings_(settings)
{
}

void PrefixIndex::placed(EndpointIndex endpoint, const std::vector<std::uint64_t> &blocks, Instant now)
{
    if (blocks.empty()) {
        return;
    }
    Cache &cache = caches_[endpoint];
    // Last block first, so that the shared first blocks are the most recent and are dropped last.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        touch(cache, *block, now);
    }
}

void PrefixIndex::event(EndpointIndex endpoint, const CacheEvent &event, Instant now)
{
    Cache &cache = caches_[endpoint];
    if (event.sequence <= cache.lastSequence) {
        return;
    }
    if (cache.lastSequence != 0 && event.sequence > cache.lastSequence + 1) {
        dropSeenBefore(cache, now - settings_.eventLag);
    }
    cache.lastSequence = event.sequence;
    if (!event.evicted) {
        touch(cache, event.block, now);
        return;
    }
    const auto found = cache.blocks.find(event.block);
    if (found != cache.blocks.end() && found->second->seen + settings_.eventLag <= now) {
        cache.order.erase(found->second);
        cache.blocks.erase(found);
    }
}

void PrefixIndex::forget(EndpointIndex endpoint)
{
    caches_.erase(endpoint);
}

std::size_t PrefixIndex::cachedPrefix(EndpointIndex endpoint, const std::vector<std::uint64_t> &blocks) const
{
    const auto cache = caches_.find(endpoint);
    if (cache == caches_.end()) {
        return 0;
    }
    std::size_t length = 0;
    while (length < blocks.size() && cache->second.blocks.contains(blocks[length])) {
        ++length;
    }
    return length;
}

std::size_t PrefixIndex::size(EndpointIndex endpoint) const
{
    const auto cache = caches_.find(endpoint);
    return cache == caches_.end() ? 0 : cache->second.blocks.size();
}

void PrefixIndex::touch(Cache &cache, std::uint64_t block, Instant now)
{
    const auto found = cache.blocks.find(block);
    if (found != cache.blocks.end()) {
        found->second->seen = now;
        cache.order.splice(cache.order.begin(), cache.order, found->second);
        return;
    }
    cache.order.push_front({block, now});
    cache.blocks.emplace(block, cache.order.begin());
    if (cache.blocks.size() > settings_.blocksPerEndpoint) {
        cache.blocks.erase(cache.order.back().block);
        cache.order.pop_back();
    }
}

void PrefixIndex::dropSeenBefore(Cache &cache, Instant limit)
{
    while (!cache.order.empty() && cache.order.back().seen < limit) {
        cache.blocks.erase(cache.order.back().block);
        cache.order.pop_back();
    }
}

} // namespace currantlug::routing
