// One run of the bench: seeded load, the daemons' dispatchers, a minimal driver for each, and the engine fakes.
#include "replicas.h"
#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

namespace currantlug::bench {

namespace {

using routing::WorkId;

constexpr double Tick = 0.1;
constexpr std::size_t Daemons = 4;
constexpr std::uint32_t GroupSize = 8;
constexpr double TrainSeconds = 60; ///< Training on one step, while the next one is generated.
constexpr double DeadlineSeconds = 60; ///< Of interactive requests; their callers leave then.
constexpr double VersionSeconds = 120; ///< Between new weights.
constexpr std::uint64_t StalenessBound = 2;
constexpr absl::Duration SilenceLimit = absl::Seconds(10); ///< A silent stream is cut, under every policy.
constexpr absl::Duration ConnectTimeout = absl::Seconds(2);

double seconds(Instant at)
{
    return absl::ToDoubleSeconds(at.sinceOrigin());
}

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

struct Service
{
    std::vector<double> latencies;
    double asked = 0;
    double onTime = 0;
};

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
    std::vector<double> arriving_; ///< Per pool, tokens/s, smoothed.
    std::uint64_t unique_ = 0;
    double refused_ = 0;
    double late_ = 0;
    double stale_ = 0;
    double samples_ = 0;
    Instant polledAt_ = Instant(-absl::Seconds(9));
    Instant plannedAt_ = Instant(-absl::Seconds(99));
    std::vector<StreamEvent> events_;
};

Simulation::Simulation(const Site &site, Case what, const Variant &variant, std::uint64_t seed, double duration)
    : site_(site)
    , what_(what)
    , variant_(variant)
    , seed_(seed)
    , duration_(duration)
    , replicas_(site, variant)
    , noise_(seed)
    , nextArrival_(site.workspaces.size())
    , services_(site.workspaces.size())
    , arriving_(site.pools.size(), 0)
{
    for (std::size_t daemon = 0; daemon < Daemons; ++daemon) {
        routing::DispatcherSettings settings = variant.settings;
        settings.chooser.ownZone = ZoneId(site.zones[daemon % 2].zone);
        settings.chooser.ownRegion = RegionId(site.zones[daemon % 2].region);
        settings.chooser.liveDaemons = Daemons;
        settings.seed = seed + daemon;
        daemons_.push_back(std::make_unique<routing::Dispatcher>(settings));
    }
    for (std::size_t i = 0; i < site.workspaces.size(); ++i) {
        random_.emplace_back(seed * 1000 + i);
        if (site.workspaces[i].trainer) {
            trainers_.push_back({.workspace = i});
        }
    }
}

double Simulation::length(const WorkspaceSpec &spec, std::mt19937_64 &random) const
{
    const double sigma = !spec.trainer ? 0.4 : what_ == Case::Stragglers ? 0.9 : 0.6;
    const double drawn =
        std::lognormal_distribution<double>(std::log(spec.meanTokens) - sigma * sigma / 2, sigma)(random);
    return std::clamp(std::round(drawn), 8.0, 1500.0);
}

routing::WorkItem Simulation::itemFor(const WorkspaceSpec &spec, std::uint64_t unique) const
{
    routing::WorkItem item;
    item.workspace = WorkspaceId(spec.name);
    item.pool = PoolId(site_.pools[spec.pool].name);
    item.repeatable = true;
    item.expectedTokens = static_cast<std::uint32_t>(spec.meanTokens);
    std::uint64_t chain = stableHash(spec.name);
    for (std::size_t block = 0; block < spec.sharedBlocks + spec.ownBlocks; ++block) {
        chain = stableHash(std::to_string(block < spec.sharedBlocks ? block : unique * 1000 + block), chain);
        item.promptBlocks.push_back(chain);
    }
    item.promptTokens = static_cast<std::uint32_t>(item.promptBlocks.size()) * BlockTokens;
    return item;
}

// Load

void Simulation::submitStep(Trainer &trainer, Instant now)
{
    const WorkspaceSpec &spec = site_.workspaces[trainer.workspace];
    ++trainer.step;
    trainer.due = now + absl::Seconds(TrainSeconds);
    trainer.outstanding = spec.groups * GroupSize;
    std::mt19937_64 random(seed_ * 7919 + trainer.workspace * 104729 + trainer.step);
    for (std::uint32_t group = 1; group <= spec.groups; ++group) {
        const std::uint64_t id = trainer.step * 1000 + group;
        trainer.groupRemaining[id] = GroupSize;
        routing::WorkItem item = itemFor(spec, id);
        item.group = id;
        item.step = trainer.step;
        item.groupRemaining = GroupSize;
        item.deadline = trainer.due;
        item.minimumWeightVersion = replicas_.published > StalenessBound ? replicas_.published - StalenessBound : 0;
        for (std::uint32_t member = 0; member < GroupSize; ++member) {
            const Job job{.workspace = trainer.workspace,
                          .arrival = now,
                          .total = length(spec, random),
                          .group = id,
                          .item = item};
            trainer.outstandingTokens += spec.meanTokens;
            submit(trainer.workspace % Daemons, job, now);
        }
    }
}

void Simulation::trainers(Instant now)
{
    for (Trainer &trainer : trainers_) {
        if (trainer.step == 0) {
            // Trainers start one after the other, as their steps are not in phase.
            if (now >= Instant(absl::Seconds(17 * static_cast<double>(trainer.workspace)))) {
                submitStep(trainer, now);
            }
            continue;
        }
        if (now < trainer.trainingUntil) {
            continue;
        }
        if (trainer.outstanding == 0) {
            ++trainer.completed;
            trainer.first = false;
            trainer.trainingUntil = now + absl::Seconds(TrainSeconds);
            trainer.outstandingTokens = 0;
            submitStep(trainer, now);
        } else if (!trainer.first) {
            trainer.idle += Tick;
        }
    }
}

void Simulation::arrivals(Instant now)
{
    const bool flooding = what_ == Case::Flood && seconds(now) >= duration_ / 3 && seconds(now) < duration_ / 3 + 240;
    for (std::size_t i = 0; i < site_.workspaces.size(); ++i) {
        const WorkspaceSpec &spec = site_.workspaces[i];
        while (!spec.trainer && nextArrival_[i] <= now) {
            const double rate = spec.arrivals * (flooding && spec.floods ? 40 : 1);
            nextArrival_[i] = nextArrival_[i] + absl::Seconds(std::exponential_distribution<double>(rate)(random_[i]));
            Job job{.workspace = i,
                    .arrival = now,
                    .total = length(spec, random_[i]),
                    .item = itemFor(spec, ++unique_ + 1000000)};
            job.item.repeatable = std::uniform_real_distribution<double>(0, 1)(random_[i]) >= spec.notRepeatable;
            job.item.deadline = now + absl::Seconds(DeadlineSeconds);
            const std::size_t daemon = random_[i]() % Daemons;
            if (replicas_.storeDown && !job.item.repeatable) {
                ++refused_; // No claim can be recorded: rejected as not run under every policy.
                continue;
            }
            services_[i].asked += 1;
            submit(daemon, job, now);
        }
    }
    while (!resubmit_.empty() && resubmit_.begin()->first <= now) {
        const auto [daemon, job] = resubmit_.begin()->second;
        resubmit_.erase(resubmit_.begin());
        submit(daemon, job, now);
    }
}

void Simulation::submit(std::size_t daemon, Job job, Instant now)
{
    arriving_[site_.workspaces[job.workspace].pool] += routing::expectedCost(job.item) / 120;
    const routing::Admission admission = daemons_[daemon]->submit(job.item, now);
    if (admission.queued) {
        jobs_[{daemon, admission.work}] = std::move(job);
        return;
    }
    ++refused_;
    const Instant again = now + std::max(admission.retryAfter, absl::Seconds(1));
    if (job.group == 0 && again >= *job.item.deadline) {
        lose(job, now);
    } else {
        resubmit_.emplace(again, std::pair(daemon, std::move(job)));
    }
}

void Simulation::lose(const Job &job, Instant)
{
    late_ += 1;
    services_[job.workspace].latencies.push_back(DeadlineSeconds);
}

// Driver

void Simulation::dispatch(Instant now)
{
    for (std::size_t daemon = 0; daemon < Daemons; ++daemon) {
        for (const WorkId work : daemons_[daemon]->takeExpired(now)) {
            lose(jobs_.at({daemon, work}), now);
            jobs_.erase({daemon, work});
        }
        while (const auto assignment = daemons_[daemon]->next(now)) {
            start(daemon, *assignment, now);
        }
    }
}

Replica *Simulation::replicaOf(const EndpointId &id)
{
    for (const auto &replica : replicas_.all) {
        if (replica->engine->info.id == id && !replica->gone) {
            return replica.get();
        }
    }
    return nullptr;
}

void Simulation::start(std::size_t daemon, const routing::Assignment &assignment, Instant now)
{
    const JobKey jobKey{daemon, assignment.work};
    const AttemptKey key{jobKey, assignment.endpoint};
    Job &job = jobs_.at(jobKey);
    Replica *replica = replicaOf(assignment.endpoint);
    Running &running = running_[key];
    running = {.replica = replica, .lastToken = now};
    if (replica == nullptr || !replica->engine->up) {
        fail(key, routing::FailureCause::ConnectFailed, now);
        return;
    }
    if (!replica->engine->reachable) {
        running.connecting = true;
        return;
    }
    if (variant_.resume) {
        for (const auto &[other, state] : running_) {
            if (other.first == jobKey && state.produced > job.produced) {
                job.produced = state.produced;
                job.oldestVersion = state.oldestVersion;
            }
        }
        running.produced = job.produced;
        running.oldestVersion = job.oldestVersion;
    }
    replica->engine->admit(daemon, assignment.work, std::max(1.0, job.total - running.produced), running.produced,
                           job.item.promptBlocks);
    daemons_[daemon]->started(assignment.work, assignment.endpoint, now);
}

void Simulation::advanceEngines(Instant now)
{
    for (const auto &replica : replicas_.all) {
        if (!replica->engine->up || replica->gone || replica->readyAt > now) {
            continue;
        }
        events_.clear();
        replica->engine->advance(Tick, now, events_);
        if (!replica->engine->reachable) {
            continue;
        }
        for (const StreamEvent &event : events_) {
            const AttemptKey key{{event.daemon, event.work}, replica->engine->info.id};
            const auto found = running_.find(key);
            if (found == running_.end()) {
                continue;
            }
            found->second.lastToken = now;
            found->second.produced += event.tokens;
            found->second.oldestVersion = std::min(found->second.oldestVersion, event.version);
            daemons_[event.daemon]->tokens(event.work, key.second, event.tokens, now);
            if (event.done) {
                complete(key, now);
            }
        }
    }
}

void Simulation::complete(const AttemptKey &key, Instant now)
{
    const auto &[jobKey, endpoint] = key;
    const Job job = jobs_.at(jobKey);
    const std::uint64_t oldest = running_.at(key).oldestVersion;
    running_.erase(key);
    for (const EndpointId &loser : daemons_[jobKey.first]->finished(jobKey.second, endpoint, now)) {
        if (Replica *replica = replicaOf(loser)) {
            replica->engine->cancel(jobKey.first, jobKey.second);
        }
        running_.erase({jobKey, loser});
    }
    jobs_.erase(jobKey);
    if (job.group == 0) {
        services_[job.workspace].onTime += 1;
        services_[job.workspace].latencies.push_back(absl::ToDoubleSeconds(now - job.arrival));
        return;
    }
    for (Trainer &trainer : trainers_) {
        if (trainer.workspace == job.workspace) {
            --trainer.outstanding;
            trainer.outstandingTokens -= site_.workspaces[job.workspace].meanTokens;
            stale_ += static_cast<double>(replicas_.published - std::min(oldest, replicas_.published));
            samples_ += 1;
            const std::uint32_t remaining = --trainer.groupRemaining[job.group];
            daemons_[jobKey.first]->setGroupRemaining(job.item.workspace, job.group, remaining);
        }
    }
}

void Simulation::fail(const AttemptKey &key, routing::FailureCause cause, Instant now)
{
    const auto &[jobKey, endpoint] = key;
    const Running running = running_.at(key);
    running_.erase(key);
    Job &job = jobs_.at(jobKey);
    if (variant_.resume && job.item.repeatable && running.produced > job.produced) {
        job.produced = running.produced;
        job.oldestVersion = running.oldestVersion;
    }
    if (daemons_[jobKey.first]->failed(jobKey.second, endpoint, cause, now) != routing::AfterFailure::GivenUp) {
        return;
    }
    if (job.group != 0) {
        resubmit_.emplace(now + absl::Seconds(2), std::pair(jobKey.first, job));
    } else {
        lose(job, now);
    }
    jobs_.erase(jobKey);
}

void Simulation::detectSilence(Instant now)
{
    std::vector<std::pair<AttemptKey, routing::FailureCause>> broken;
    for (const auto &[key, running] : running_) {
        if (running.connecting && running.lastToken + ConnectTimeout <= now) {
            broken.emplace_back(key, routing::FailureCause::ConnectFailed);
        } else if (!running.connecting && !running.replica->engine->reachable
                   && running.lastToken + SilenceLimit <= now) {
            broken.emplace_back(key, routing::FailureCause::Cut);
        }
    }
    for (const auto &[key, cause] : broken) {
        running_.at(key).replica->engine->cancel(key.first.first, key.first.second);
        fail(key, cause, now);
    }
}

void Simulation::leaveAtDeadline(Instant now)
{
    std::vector<JobKey> leaving;
    for (const auto &[key, job] : jobs_) {
        if (job.group == 0 && *job.item.deadline <= now) {
            leaving.push_back(key);
        }
    }
    for (const JobKey &key : leaving) {
        for (const EndpointId &endpoint : daemons_[key.first]->cancel(key.second, now)) {
            if (Replica *replica = replicaOf(endpoint)) {
                replica->engine->cancel(key.first, key.second);
            }
            running_.erase({key, endpoint});
        }
        lose(jobs_.at(key), now);
        jobs_.erase(key);
    }
}

// Endpoints

void Simulation::updateEndpoints(Instant now)
{
    std::vector<Replica *> broken;
    replicas_.applyCase(what_, now, duration_, broken);
    for (Replica *replica : broken) {
        std::vector<AttemptKey> cut;
        for (const auto &[key, running] : running_) {
            if (running.replica == replica) {
                cut.push_back(key);
            }
        }
        for (const AttemptKey &key : cut) {
            fail(key, routing::FailureCause::Cut, now);
        }
    }
    for (const auto &replica : replicas_.all) {
        const EndpointId &id = replica->engine->info.id;
        if (!replica->listed && !replica->gone && replica->readyAt <= now) {
            replica->listed = true;
            replica->engine->version = std::max(replica->engine->version, replicas_.published);
            for (const auto &daemon : daemons_) {
                daemon->upsertEndpoint(replica->engine->info);
                daemon->loadReport(id, replica->engine->report(), now);
            }
        }
        if (replica->listed && replica->gone) {
            replica->listed = false;
            for (const auto &daemon : daemons_) {
                daemon->removeEndpoint(id);
            }
        }
    }
}

void Simulation::pollReports(Instant now)
{
    for (const auto &replica : replicas_.all) {
        Engine &engine = *replica->engine;
        if (!replica->listed || !engine.up || !engine.reachable) {
            continue;
        }
        // What the daemons see is the state one poll ago, and one cache event in twenty is missing.
        const auto last = lastReports_.find(engine.info.id);
        const auto events = engine.takeCacheLog();
        for (std::size_t daemon = 0; daemon < Daemons; ++daemon) {
            if (last != lastReports_.end()) {
                routing::LoadReport report = last->second.second;
                report.age = now - last->second.first;
                daemons_[daemon]->loadReport(engine.info.id, report, now);
            }
            for (const routing::CacheEvent &event : events) {
                if (noise_() % 20 != 0) {
                    daemons_[daemon]->cacheEvent(engine.info.id, event, now);
                }
            }
            if (engine.leaving && !replica->announcedLeaving) {
                for (const WorkId work : daemons_[daemon]->endpointLeaving(engine.info.id, now)) {
                    const AttemptKey key{{daemon, work}, engine.info.id};
                    if (variant_.resume && replica->vanishAt && jobs_.at(key.first).item.repeatable) {
                        engine.cancel(daemon, work);
                        fail(key, routing::FailureCause::Moved, now);
                    }
                }
            }
        }
        replica->announcedLeaving = engine.leaving;
        lastReports_[engine.info.id] = {now, engine.report()};
    }
}

void Simulation::planReplicas(Instant now)
{
    for (std::size_t pool = 0; pool < site_.pools.size(); ++pool) {
        fleet::PoolDemand demand;
        demand.arrivingTokensPerSecond = arriving_[pool];
        // Early on the smoothed rate is still too low to plan by.
        if (seconds(now) < 120) {
            continue;
        }
        for (const Trainer &trainer : trainers_) {
            if (pool == 0 && trainer.step > 0) {
                const double left = std::max(15.0, absl::ToDoubleSeconds(trainer.due - now));
                demand.outstandingTokens += trainer.outstandingTokens / left * TrainSeconds;
            }
        }
        demand.untilDeadline = absl::Seconds(TrainSeconds);
        demand.repeatableShare = pool == 0 ? 1 : 0.9;
        demand.replicaTokensPerSecond = pool == 0 ? 490 : 270; // At batches of 16 and 6 streams.
        demand.minimum = pool == 0 ? 4 : 2;
        demand.maximum = pool == 0 ? 16 : 6;
        demand.lastingPrice = LastingPrice;
        demand.cheapPrice = CheapPrice;
        replicas_.plan(pool, demand, now);
    }
}

void Simulation::tick(Instant now)
{
    for (double &rate : arriving_) {
        rate *= std::exp(-Tick / 120);
    }
    replicas_.published = 1 + static_cast<std::uint64_t>(seconds(now) / VersionSeconds);
    updateEndpoints(now);
    if (now >= polledAt_ + absl::Seconds(1)) {
        polledAt_ = now;
        pollReports(now);
        replicas_.rollOut(now);
        leaveAtDeadline(now);
    }
    if (now >= plannedAt_ + absl::Seconds(15)) {
        plannedAt_ = now;
        planReplicas(now);
    }
    trainers(now);
    arrivals(now);
    detectSilence(now);
    dispatch(now);
    advanceEngines(now);
    replicas_.charge(Tick);
}

Metrics Simulation::metrics() const
{
    Metrics result;
    result.worstShare = 1;
    for (const Trainer &trainer : trainers_) {
        result.trainerIdle += trainer.idle;
        result.steps += trainer.completed;
        const double possible = std::floor((duration_ - 17 * static_cast<double>(trainer.workspace)) / TrainSeconds);
        result.worstShare = std::min(result.worstShare, trainer.completed / possible);
    }
    for (std::size_t i = 0; i < services_.size(); ++i) {
        std::vector<double> sorted = services_[i].latencies;
        if (sorted.empty() || (what_ == Case::Flood && site_.workspaces[i].floods)) {
            continue;
        }
        std::sort(sorted.begin(), sorted.end());
        result.worstP99 =
            std::max(result.worstP99, sorted[static_cast<std::size_t>(0.99 * static_cast<double>(sorted.size() - 1))]);
        result.worstShare = std::min(result.worstShare, services_[i].onTime / static_cast<double>(sorted.size()));
    }
    result.staleness = samples_ > 0 ? stale_ / samples_ : 0;
    result.spend = replicas_.spend;
    result.refused = refused_;
    result.late = late_;
    return result;
}

Metrics Simulation::run()
{
    const auto ticks = static_cast<std::int64_t>(duration_ / Tick);
    for (std::int64_t i = 0; i < ticks; ++i) {
        tick(Instant(absl::Milliseconds(100 * i)));
    }
    return metrics();
}

} // namespace

Metrics simulate(const Site &site, Case what, const Variant &variant, std::uint64_t seed, double seconds)
{
    return Simulation(site, what, variant, seed, seconds).run();
}

} // namespace currantlug::bench
