// A small fake of a model engine: continuous batching, a limited prefix cache, arrival order, no notion of priority.
#ifndef CURRANTLUG_BENCH_ENGINE_H
#define CURRANTLUG_BENCH_ENGINE_H

#include "routing/dispatcher.h"

#include <deque>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

namespace currantlug::bench {

/// Speeds are of the order that mid-size models reach on one accelerator; only their relations matter here.
struct EngineSettings
{
    std::size_t maxBatch = 32; ///< Streams that fit into the KV cache; more wait in arrival order.
    double singleStreamRate = 60; ///< Tokens/s of a stream that runs alone.
    double batchHalf = 16; ///< Further streams at which the rate per stream has halved.
    double prefillRate = 4000; ///< Prompt tokens/s, one prompt after the other.
    double prefillSlowdown = 0.3; ///< Part of the decoding rate that a running prefill takes.
    std::size_t cacheBlocks = 600;
};

constexpr std::uint32_t BlockTokens = 64;

/// Tokens that one stream produced in one tick.
struct StreamEvent
{
    std::size_t daemon = 0;
    routing::WorkId work = 0;
    std::uint32_t tokens = 0;
    std::uint64_t version = 0;
    bool done = false;
};

/// Advanced tick by tick by the simulation.
class Engine
{
public:
    Engine(routing::EndpointInfo info, EngineSettings settings, std::uint64_t version);

    /// `produced` tokens of a resumed response are prefilled like a prompt that no cache holds.
    void admit(std::size_t daemon, routing::WorkId work, double tokens, double produced,
               const std::vector<std::uint64_t> &blocks);
    void cancel(std::size_t daemon, routing::WorkId work);
    void advance(double seconds, Instant now, std::vector<StreamEvent> &events);
    /// All streams and the cache are lost.
    void crash();
    routing::LoadReport report() const;
    std::vector<std::pair<std::size_t, routing::WorkId>> streams() const;
    /// Cache events since the last call.
    std::vector<routing::CacheEvent> takeCacheLog() { return std::exchange(cacheLog_, {}); }

    const routing::EndpointInfo info;
    bool up = true;
    bool reachable = true;
    bool leaving = false;
    double speed = 1; ///< Below 1 for a degraded engine.
    std::uint64_t version;
    std::uint64_t swapTarget = 0;
    Instant swapUntil; ///< Streams pause until then.

private:
    struct Stream
    {
        std::size_t daemon = 0;
        routing::WorkId work = 0;
        double prefillLeft = 0;
        double tokensLeft = 0;
        double fraction = 0;
        std::vector<std::uint64_t> blocks;
    };

    void start(Stream stream);
    void cache(std::uint64_t block);

    EngineSettings settings_;
    std::vector<Stream> running_;
    std::deque<Stream> waiting_;
    std::list<std::uint64_t> cacheOrder_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cached_;
    std::vector<routing::CacheEvent> cacheLog_;
    std::uint64_t sequence_ = 0;
};

} // namespace currantlug::bench

#endif
