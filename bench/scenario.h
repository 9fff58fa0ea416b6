// Sites, workspaces, failure cases and policy variants that the bench runs, and what it measures.
#ifndef CURRANTLUG_BENCH_SCENARIO_H
#define CURRANTLUG_BENCH_SCENARIO_H

#include "routing/dispatcher.h"

#include <string>
#include <vector>

namespace currantlug::bench {

enum class Case {
    Calm,
    EngineCrash,
    ZoneEviction,
    StoreOutage,
    RegionCut,
    Stragglers,
    Flood,
};

struct ZoneSpec
{
    std::string zone;
    std::string region;
};

/// A pool at the start; the baselines keep it so.
struct PoolSpec
{
    std::string name;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> replicas; ///< Lasting and cheap, per zone.
};

struct WorkspaceSpec
{
    std::string name;
    std::size_t pool = 0;
    bool trainer = false;
    std::uint32_t groups = 0; ///< Per step, for trainers.
    double arrivals = 0; ///< Requests/s, for others.
    double meanTokens = 0;
    std::size_t sharedBlocks = 0; ///< Prompt prefix common to the workspace.
    std::size_t ownBlocks = 0; ///< Blocks of a request or group alone.
    double weight = 1; ///< Of the workspace's ticket.
    double notRepeatable = 0; ///< Share of requests that must not run twice.
    bool floods = false; ///< In the flood case this workspace sends many times its usual load.
};

struct Site
{
    std::string name;
    std::vector<ZoneSpec> zones; ///< The first is in the store's region, the last in the other one.
    std::vector<PoolSpec> pools; ///< The first is trained.
    std::vector<WorkspaceSpec> workspaces;
};

/// A way to run the same load.
struct Variant
{
    std::string name;
    routing::DispatcherSettings settings;
    bool planner = false; ///< Replicas follow ReplicaPlanner instead of staying fixed.
    bool cheapPlanned = true; ///< The planner may order cheap replicas.
    bool limits = false; ///< Workspaces have token limits.
    bool resume = false; ///< Failed repeatable work goes on from its tokens, and leaving endpoints are emptied.
};

struct Metrics
{
    double trainerIdle = 0; ///< Seconds, summed over trainers, after their first step.
    double staleness = 0; ///< Mean versions between a sample's oldest token and its step's completion.
    double worstP99 = 0; ///< Seconds, of the worst-served interactive workspace; flooding ones are not counted.
    double worstShare = 0; ///< Served on time against asked for, of the worst-served workspace.
    double spend = 0; ///< Price units.
    double refused = 0;
    double late = 0; ///< Interactive requests that missed their deadline or were lost.
    double steps = 0; ///< Completed steps.
};

Site mashiya();
Site dodoLait();
Variant roundRobin();
Variant leastLoaded();
Variant policy();
/// The policy with one part off, for `--without PART`; names are listed by partNames().
Variant policyWithout(const std::string &part);
std::vector<std::string> partNames();

/// Runs one variant for `seconds` of injected time.
Metrics simulate(const Site &site, Case what, const Variant &variant, std::uint64_t seed, double seconds);

} // namespace currantlug::bench

template<>
struct currantlug::EnumNames<currantlug::bench::Case>
{
    using E = currantlug::bench::Case;
    static constexpr std::array<std::pair<E, std::string_view>, 7> Table{{
        {E::Calm, "calm"},
        {E::EngineCrash, "engine_crash"},
        {E::ZoneEviction, "zone_eviction"},
        {E::StoreOutage, "store_outage"},
        {E::RegionCut, "region_cut"},
        {E::Stragglers, "stragglers"},
        {E::Flood, "flood"},
    }};
};

#endif
