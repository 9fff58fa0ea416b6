// One run of the bench: seeded load, the daemons' dispatchers, a minimal driver for each, and the engine fakes.
#ifndef CURRANTLUG_BENCH_SIMULATION_H
#define CURRANTLUG_BENCH_SIMULATION_H

#include "replicas.h"

#include <map>
#include <random>

namespace currantlug::bench {

using routing::WorkId;

constexpr double Tick = 0.1;
constexpr std::size_t Daemons = 4;
constexpr std::uint32_t GroupSize = 8;
constexpr double TrainSeconds = 60; ///< Training on one step, while the next one is generated.
constexpr double DeadlineSeconds = 60; ///< Of interactive requests; their callers leave then.
constexpr double VersionSeconds = 120; ///< Between new weights.
constexpr std::uint64_t StalenessBound = 2;
constexpr absl::Duration SilenceLimit = absl::Seconds(10); ///< A silent stream is cut, under every policy.
constexpr double PlanWindow = 120; ///< Seconds over which the demand is smoothed.
constexpr absl::Duration ConnectTimeout = absl::Seconds(2);

/// Work as its caller or trainer sees it.
struct Job
{
    std::size_t workspace = 0;
    Instant arrival;
    double total = 0;
    double produced = 0; ///< Resumable tokens.
    std::uint64_t oldestVersion = UINT64_MAX;
    std::uint64_t group = 0;
    routing::WorkItem item;
};

/// One attempt on an engine.
struct Running
{
    Replica *replica = nullptr;
    Instant lastToken;
    double produced = 0;
    std::uint64_t oldestVersion = UINT64_MAX;
    bool connecting = false; ///< Waits for a connect timeout.
};

using JobKey = std::pair<std::size_t, WorkId>;
using AttemptKey = std::pair<JobKey, EndpointId>;

/// Generates step n + 1 while it trains on step n.
struct Trainer
{
    std::size_t workspace = 0;
    std::uint64_t step = 0;
    std::uint32_t outstanding = 0;
    double outstandingTokens = 0;
    Instant trainingUntil;
    Instant due;
    std::map<std::uint64_t, std::uint32_t> groupRemaining;
    double idle = 0;
    std::uint32_t completed = 0;
    bool first = true;
};

/// What the callers of a workspace got.
struct Service
{
    std::vector<double> latencies;
    double asked = 0;
    double onTime = 0;
};

/// Everything of one run; advanced in ticks of injected time.
class Simulation
{
public:
    Simulation(const Site &site, Case what, const Variant &variant, std::uint64_t seed, double duration);
    Metrics run();

private:
    void tick(Instant now);
    void updateEndpoints(Instant now);
    void pollReports(Instant now);
    void arrivals(Instant now);
    void trainers(Instant now);
    void submitStep(Trainer &trainer, Instant now);
    void submit(std::size_t daemon, Job job, Instant now);
    void dispatch(Instant now);
    void start(std::size_t daemon, const routing::Assignment &assignment, Instant now);
    void advanceEngines(Instant now);
    void complete(const AttemptKey &key, Instant now);
    void fail(const AttemptKey &key, routing::FailureCause cause, Instant now);
    void detectSilence(Instant now);
    void leaveAtDeadline(Instant now);
    void planReplicas(Instant now);
    void lose(const Job &job, Instant now);
    Replica *replicaOf(const EndpointId &id);
    routing::WorkItem itemFor(const WorkspaceSpec &spec, std::uint64_t unique) const;
    double length(const WorkspaceSpec &spec, std::mt19937_64 &random) const;
    Metrics metrics() const;

    const Site &site_;
    Case what_;
    const Variant &variant_;
    std::uint64_t seed_;
    double duration_;
    Replicas replicas_;
    std::vector<std::unique_ptr<routing::Dispatcher>> daemons_;
    std::vector<std::mt19937_64> random_; ///< One per workspace: the load does not depend on the policy.
    std::mt19937_64 noise_;
    std::vector<Instant> nextArrival_;
    std::vector<Trainer> trainers_;
    std::vector<Service> services_;
    std::map<JobKey, Job> jobs_;
    std::map<AttemptKey, Running> running_;
    std::multimap<Instant, std::pair<std::size_t, Job>> resubmit_;
    std::map<EndpointId, std::pair<Instant, routing::LoadReport>> lastReports_;
    std::vector<double> arriving_; ///< Per workspace, tokens/s, smoothed.
    std::uint64_t unique_ = 0;
    double refused_ = 0;
    double late_ = 0;
    double stale_ = 0;
    double samples_ = 0;
    Instant polledAt_ = Instant(-absl::Seconds(9));
    Instant plannedAt_ = Instant(-absl::Seconds(99));
    std::vector<StreamEvent> events_;
};

} // namespace currantlug::bench

#endif
