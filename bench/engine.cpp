#include "engine.h"

#include <algorithm>

namespace currantlug::bench {

Engine::Engine(routing::EndpointInfo endpointInfo, EngineSettings settings, std::uint64_t weightVersion)
    : info(std::move(endpointInfo))
    , version(weightVersion)
    , settings_(settings)
{
}

void Engine::admit(std::size_t daemon, routing::WorkId work, double tokens, double produced,
                   const std::vector<std::uint64_t> &blocks)
{
    Stream stream{.daemon = daemon, .work = work, .prefillLeft = produced, .tokensLeft = tokens, .blocks = blocks};
    if (running_.size() < settings_.maxBatch) {
        start(std::move(stream));
    } else {
        waiting_.push_back(std::move(stream));
    }
}

void Engine::start(Stream stream)
{
    std::size_t hit = 0;
    while (hit < stream.blocks.size() && cached_.contains(stream.blocks[hit])) {
        ++hit;
    }
    stream.prefillLeft += static_cast<double>((stream.blocks.size() - hit) * BlockTokens);
    for (auto block = stream.blocks.rbegin(); block != stream.blocks.rend(); ++block) {
        cache(*block);
    }
    running_.push_back(std::move(stream));
}

void Engine::cache(std::uint64_t block)
{
    if (const auto found = cached_.find(block); found != cached_.end()) {
        cacheOrder_.splice(cacheOrder_.begin(), cacheOrder_, found->second);
        return;
    }
    cacheOrder_.push_front(block);
    cached_[block] = cacheOrder_.begin();
    cacheLog_.push_back({.sequence = ++sequence_, .block = block});
    if (cached_.size() > settings_.cacheBlocks) {
        cacheLog_.push_back({.sequence = ++sequence_, .block = cacheOrder_.back(), .evicted = true});
        cached_.erase(cacheOrder_.back());
        cacheOrder_.pop_back();
    }
}

void Engine::cancel(std::size_t daemon, routing::WorkId work)
{
    const auto matches = [&](const Stream &stream) { return stream.daemon == daemon && stream.work == work; };
    std::erase_if(running_, matches);
    std::erase_if(waiting_, matches);
}

void Engine::advance(double seconds, Instant now, std::vector<StreamEvent> &events)
{
    if (swapTarget > version) {
        if (now < swapUntil) {
            return;
        }
        version = swapTarget;
    }
    double prefill = settings_.prefillRate * speed * seconds;
    const bool prefilling = std::any_of(running_.begin(), running_.end(), [](auto &s) { return s.prefillLeft > 0; });
    const double others = running_.empty() ? 0 : static_cast<double>(running_.size() - 1);
    const double rate = settings_.singleStreamRate * speed / (1 + others / settings_.batchHalf)
        * (prefilling ? 1 - settings_.prefillSlowdown : 1);
    for (Stream &stream : running_) {
        if (stream.prefillLeft > 0) {
            const double used = std::min(prefill, stream.prefillLeft);
            prefill -= used;
            stream.prefillLeft -= used;
            continue;
        }
        stream.fraction += rate * seconds;
        const auto whole = static_cast<std::uint32_t>(std::min(stream.fraction, std::max(1.0, stream.tokensLeft)));
        stream.fraction -= whole;
        stream.tokensLeft -= whole;
        if (whole > 0) {
            events.push_back({stream.daemon, stream.work, whole, version, stream.tokensLeft <= 0});
        }
    }
    std::erase_if(running_, [](const Stream &stream) { return stream.tokensLeft <= 0; });
    while (!waiting_.empty() && running_.size() < settings_.maxBatch) {
        start(std::move(waiting_.front()));
        waiting_.pop_front();
    }
}

void Engine::crash()
{
    running_.clear();
    waiting_.clear();
    cached_.clear();
    cacheOrder_.clear();
}

routing::LoadReport Engine::report() const
{
    return {.running = static_cast<std::uint32_t>(running_.size()),
            .waiting = static_cast<std::uint32_t>(waiting_.size()),
            .weightVersion = version,
            .leaving = leaving};
}

std::vector<std::pair<std::size_t, routing::WorkId>> Engine::streams() const
{
    std::vector<std::pair<std::size_t, routing::WorkId>> all;
    for (const Stream &stream : running_) {
        all.emplace_back(stream.daemon, stream.work);
    }
    for (const Stream &stream : waiting_) {
        all.emplace_back(stream.daemon, stream.work);
    }
    return all;
}

} // namespace currantlug::bench
