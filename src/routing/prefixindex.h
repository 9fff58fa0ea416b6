// Estimates which endpoint caches which prompt prefix blocks, from own placements and the engines' cache events.
#ifndef CURRANTLUG_ROUTING_PREFIXINDEX_H
#define CURRANTLUG_ROUTING_PREFIXINDEX_H

#include "routing/endpointtable.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>
#include <vector>

namespace currantlug::routing {

/// One engine's statement that it cached or evicted a block. Events are late and have gaps.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    std::uint64_t block = 0;
    bool evicted = false;
};

/// Memory bound: entries per endpoint times endpoints.
struct PrefixIndexSettings
{
    std::size_t blocksPerEndpoint = 4096;
    /// A placement younger than this outweighs an eviction event, which was probably sent before the placement.
    absl::Duration eventLag = absl::Seconds(2);
};

/// Least-recently-used set of blocks per endpoint. Not thread-safe.
class PrefixIndex
{
public:
    explicit PrefixIndex(PrefixIndexSettings settings = {});

    /// Notes that work with these blocks was sent to the endpoint.
    void placed(EndpointIndex endpoint, const std::vector<std::uint64_t> &blocks, Instant now);
    /// Corrects the estimate. After a gap in the sequence, blocks not seen since are forgotten, as evictions may be
    /// missing.
    void event(EndpointIndex endpoint, const CacheEvent &event, Instant now);
    /// Forgets an endpoint that left or restarted.
    void forget(EndpointIndex endpoint);

    /// Length of the prefix in blocks that the endpoint probably caches.
    std::size_t cachedPrefix(EndpointIndex endpoint, const std::vector<std::uint64_t> &blocks) const;
    std::size_t size(EndpointIndex endpoint) const;

private:
    struct Entry
    {
        std::uint64_t block = 0;
        Instant seen;
    };
    struct Cache
    {
        std::list<Entry> order; ///< Most recently seen first.
        absl::flat_hash_map<std::uint64_t, std::list<Entry>::iterator> blocks;
        std::uint64_t lastSequence = 0;
    };

    void touch(Cache &cache, std::uint64_t block, Instant now);
    static void dropSeenBefore(Cache &cache, Instant limit);

    PrefixIndexSettings settings_;
    absl::flat_hash_map<EndpointIndex, Cache> caches_;
};

} // namespace currantlug::routing

#endif
