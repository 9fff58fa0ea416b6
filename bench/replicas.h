// The engines of a site over time: orders, starts, retirements, failures, weight roll-outs and what they cost.
#ifndef CURRANTLUG_BENCH_REPLICAS_H
#define CURRANTLUG_BENCH_REPLICAS_H

#include "engine.h"
#include "fleet/replicaplanner.h"
#include "fleet/rolloutplanner.h"
#include "scenario.h"

#include <memory>
#include <vector>

namespace currantlug::bench {

struct Replica
{
    std::unique_ptr<Engine> engine;
    std::size_t pool = 0;
    std::size_t zone = 0;
    Instant readyAt;
    bool listed = false; ///< The dispatchers know it.
    bool announcedLeaving = false;
    std::optional<Instant> vanishAt; ///< Eviction with notice.
    std::optional<Instant> downUntil; ///< Crashed, and restarted by the platform then.
    bool gone = false;
};

/// Prices per replica and hour; cheap ones cost about a third, as such offers usually do.
constexpr double LastingPrice = 1;
constexpr double CheapPrice = 0.35;

/// Owned by the simulation, which tells the dispatchers what changes here.
class Replicas
{
public:
    Replicas(const Site &site, const Variant &variant);

    void add(std::size_t pool, std::size_t zone, bool cheap, Instant readyAt);
    /// Applies the failures of the case that begin or end between the last tick and now.
    void applyCase(Case what, Instant now, double duration, std::vector<Replica *> &crashed);
    /// Orders and retires replicas as the planner wants; baselines only replace evicted ones.
    void plan(std::size_t pool, fleet::PoolDemand demand, Instant now);
    void rollOut(Instant now);
    void charge(double seconds);

    std::vector<std::unique_ptr<Replica>> all;
    std::uint64_t published = 1; ///< Newest weight version of the trained pool.
    double spend = 0;
    bool storeDown = false;

private:
    std::uint32_t count(std::size_t pool, std::size_t zone, bool cheap) const;
    std::uint32_t starting(std::size_t pool, std::size_t zone, Instant now) const;
    void retire(std::size_t pool, std::size_t zone, bool cheap);
    void crashSome(std::size_t howMany, Instant now, Instant until, std::vector<Replica *> &crashed);
    void evictZone(std::size_t zone, Instant now, Instant until);

    const Site &site_;
    const Variant &variant_;
    std::vector<fleet::ReplicaPlanner> planners_;
    fleet::RolloutPlanner rollout_;
    std::vector<Instant> cheapBackAt_; ///< Per zone.
    std::vector<std::pair<Instant, std::pair<std::size_t, std::size_t>>> replaceAt_; ///< Baselines: pool and zone.
    std::size_t named_ = 0;
    Instant lastTick_ = Instant(-absl::Seconds(1));
};

} // namespace currantlug::bench

#endif
