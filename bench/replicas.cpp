#include "replicas.h"

#include <algorithm>

namespace currantlug::bench {

namespace {

constexpr absl::Duration StartTime = absl::Seconds(45); ///< From the order until the weights are loaded.
constexpr absl::Duration EvictionNotice = absl::Seconds(5);
constexpr absl::Duration SwapTime = absl::Seconds(4);

Instant at(double seconds)
{
    return Instant(absl::Seconds(seconds));
}

} // namespace

Replicas::Replicas(const Site &site, const Variant &variant)
    : site_(site)
    , variant_(variant)
    , planners_(site.pools.size(), fleet::ReplicaPlanner({.cheap = variant.cheapPlanned}))
    , cheapBackAt_(site.zones.size())
{
    for (std::size_t pool = 0; pool < site.pools.size(); ++pool) {
        for (std::size_t zone = 0; zone < site.zones.size(); ++zone) {
            const auto [lasting, cheap] = site.pools[pool].replicas[zone];
            for (std::uint32_t i = 0; i < lasting + cheap; ++i) {
                add(pool, zone, i >= lasting, Instant());
            }
        }
    }
}

void Replicas::add(std::size_t pool, std::size_t zone, bool cheap, Instant readyAt)
{
    auto replica = std::make_unique<Replica>();
    replica->pool = pool;
    replica->zone = zone;
    replica->readyAt = readyAt;
    const routing::EndpointInfo info{EndpointId("e" + std::to_string(named_++)), PoolId(site_.pools[pool].name),
                                     ZoneId(site_.zones[zone].zone), RegionId(site_.zones[zone].region), cheap};
    replica->engine = std::make_unique<Engine>(info, EngineSettings{}, published);
    all.push_back(std::move(replica));
}

void Replicas::crashSome(std::size_t howMany, Instant now, Instant until, std::vector<Replica *> &crashed)
{
    // The oldest replicas, and one of every pool: all variants have them.
    for (std::size_t pool = 0; pool < site_.pools.size(); ++pool) {
        std::size_t left = pool == 0 ? howMany : 1;
        for (const auto &replica : all) {
            if (left > 0 && replica->pool == pool && replica->readyAt <= now && replica->engine->up && !replica->gone) {
                replica->engine->crash();
                replica->engine->up = false;
                replica->downUntil = until;
                crashed.push_back(replica.get());
                --left;
            }
        }
    }
}

void Replicas::evictZone(std::size_t zone, Instant now, Instant until)
{
    cheapBackAt_[zone] = until;
    for (const auto &replica : all) {
        if (replica->zone == zone && replica->engine->info.cheap && !replica->gone) {
            replica->vanishAt = now + EvictionNotice;
            replica->engine->leaving = true;
            if (!variant_.planner) {
                replaceAt_.emplace_back(until + StartTime, std::pair(replica->pool, zone));
            }
        }
    }
}

void Replicas::applyCase(Case what, Instant now, double duration, std::vector<Replica *> &crashed)
{
    const auto begins = [&](double share) { return lastTick_ < at(share * duration) && at(share * duration) <= now; };
    const double third = duration / 3;
    const bool within = now >= at(third) && now < at(third + std::min(third, 300.0));
    if (what == Case::EngineCrash && (begins(0.33) || begins(0.6))) {
        crashSome(2, now, now + absl::Seconds(120), crashed);
    } else if (what == Case::ZoneEviction && begins(0.33)) {
        evictZone(0, now, now + absl::Seconds(180));
    } else if (what == Case::StoreOutage) {
        storeDown = within;
        if (begins(0.4)) {
            crashSome(1, now, now + absl::Seconds(120), crashed);
        }
    }
    for (const auto &replica : all) {
        Engine &engine = *replica->engine;
        const bool otherRegion = site_.zones[replica->zone].region != site_.zones.front().region;
        engine.reachable = what != Case::RegionCut || !within || !otherRegion;
        // Every fourth engine is degraded, by name, so that replacements can be degraded too.
        const bool degraded = engine.info.id.str().back() == '1' || engine.info.id.str().back() == '5';
        engine.speed = what == Case::Stragglers && within && degraded ? 0.3 : 1;
        if (replica->downUntil && *replica->downUntil <= now) {
            engine.up = true;
            replica->downUntil.reset();
        }
        if (replica->vanishAt && *replica->vanishAt <= now && !replica->gone) {
            crashed.push_back(replica.get());
            replica->gone = true;
        }
        if (engine.leaving && !replica->vanishAt && engine.streams().empty()) {
            replica->gone = true;
        }
    }
    std::erase_if(replaceAt_, [&](const auto &entry) {
        if (entry.first <= now) {
            add(entry.second.first, entry.second.second, true, now);
        }
        return entry.first <= now;
    });
    lastTick_ = now;
}

std::uint32_t Replicas::count(std::size_t pool, std::size_t zone, bool cheap) const
{
    return static_cast<std::uint32_t>(std::count_if(all.begin(), all.end(), [&](const auto &replica) {
        const Engine &engine = *replica->engine;
        return replica->pool == pool && replica->zone == zone && engine.info.cheap == cheap && engine.up
            && !engine.leaving && !replica->gone;
    }));
}

std::uint32_t Replicas::starting(std::size_t pool, std::size_t zone, Instant now) const
{
    return static_cast<std::uint32_t>(std::count_if(all.begin(), all.end(), [&](const auto &replica) {
        return replica->pool == pool && replica->zone == zone && replica->readyAt > now && !replica->gone;
    }));
}

void Replicas::retire(std::size_t pool, std::size_t zone, bool cheap)
{
    Replica *victim = nullptr;
    for (const auto &replica : all) {
        const Engine &engine = *replica->engine;
        if (replica->pool == pool && replica->zone == zone && engine.info.cheap == cheap && engine.up && !engine.leaving
            && !replica->gone && (victim == nullptr || replica->readyAt > victim->readyAt)) {
            victim = replica.get();
        }
    }
    if (victim != nullptr) {
        victim->engine->leaving = true;
    }
}

void Replicas::plan(std::size_t pool, fleet::PoolDemand demand, Instant now)
{
    if (!variant_.planner || storeDown) {
        return;
    }
    std::vector<std::size_t> zones;
    for (std::size_t zone = 0; zone < site_.zones.size(); ++zone) {
        const bool reachable = std::none_of(all.begin(), all.end(), [&](const auto &replica) {
            return replica->zone == zone && !replica->engine->reachable;
        });
        if (reachable) {
            zones.push_back(zone);
            demand.zones.push_back({ZoneId(site_.zones[zone].zone), count(pool, zone, false), count(pool, zone, true),
                                    starting(pool, zone, now), cheapBackAt_[zone] <= now});
        }
    }
    const auto plans = planners_[pool].plan(demand, now);
    bool ordered = false;
    for (const bool retiring : {false, true}) {
        for (std::size_t i = 0; i < plans.size(); ++i) {
            for (const bool cheap : {false, true}) {
                const std::uint32_t want = cheap ? plans[i].cheap : plans[i].lasting;
                const std::uint32_t have = cheap ? demand.zones[i].cheap : demand.zones[i].lasting;
                for (std::uint32_t n = have; n < want && !retiring; ++n) {
                    add(pool, zones[i], cheap, now + StartTime);
                    ordered = true;
                }
                for (std::uint32_t n = want; n < have && retiring && !ordered; ++n) {
                    retire(pool, zones[i], cheap);
                }
            }
        }
    }
}

void Replicas::rollOut(Instant now)
{
    std::vector<fleet::ReplicaVersion> versions;
    for (const auto &replica : all) {
        if (replica->pool == 0 && replica->listed && replica->engine->up && replica->engine->reachable
            && !replica->engine->leaving) {
            versions.push_back({replica->engine->info.id, replica->engine->version});
        }
    }
    for (const EndpointId &id : rollout_.next(published, versions, now)) {
        for (const auto &replica : all) {
            if (replica->engine->info.id == id) {
                replica->engine->swapTarget = published;
                replica->engine->swapUntil = now + SwapTime;
            }
        }
    }
}

void Replicas::charge(double seconds)
{
    for (const auto &replica : all) {
        if (!replica->gone) {
            spend += (replica->engine->info.cheap ? CheapPrice : LastingPrice) * seconds / 3600;
        }
    }
}

} // namespace currantlug::bench
