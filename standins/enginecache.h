// Prompt prefix cache of the engine stand-in, and the events it publishes late and with gaps.
#ifndef CURRANTLUG_STANDINS_ENGINECACHE_H
#define CURRANTLUG_STANDINS_ENGINECACHE_H

#include "core/instant.h"
#include "core/json.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>

namespace currantlug::standins {

/// Not thread-safe.
class EngineCache
{
public:
    EngineCache(std::size_t capacity, absl::Duration lag, std::uint64_t gap)
        : capacity_(capacity)
        , lag_(lag)
        , gap_(gap)
    {
    }

    /// Stores or refreshes the blocks of a prompt; the least recently used ones go when there are too many.
    void use(std::string_view prompt, Instant now);
    void clear();

    /// Blocks held, as a share of the capacity.
    double used() const;
    /// {"next","events":[{"seq","kind":"stored|evicted","block"}]}: published events with a sequence above `after`.
    /// `next` is the value to pass as `after` next time.
    Json eventsAfter(std::uint64_t after, Instant now) const;

private:
    struct Event
    {
        std::uint64_t sequence = 0;
        Instant at;
        std::string_view kind;
        std::uint64_t block = 0;
    };

    void record(std::string_view kind, std::uint64_t block, Instant now);

    std::size_t capacity_;
    absl::Duration lag_;
    std::uint64_t gap_; ///< Every n-th event takes a sequence number and is not published; 0 for none.
    std::list<std::uint64_t> order_; ///< Block hashes, most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
    std::deque<Event> events_; ///< Ascending sequences.
    std::uint64_t sequence_ = 0;
};

} // namespace currantlug::standins

#endif
