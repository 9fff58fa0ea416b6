#include "simulation.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace currantlug::bench {

namespace {

double seconds(Instant at)
{
    return absl::ToDoubleSeconds(at.sinceOrigin());
}

/// The ticket limit of a workspace in generated tokens/s: four times its usual load.
double limitOf(const WorkspaceSpec &spec)
{
    return 4 * spec.arrivals * spec.meanTokens;
}

} // namespace

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
    , arriving_(site.workspaces.size(), 0)
{
    for (std::size_t daemon = 0; daemon < Daemons; ++daemon) {
        routing::DispatcherSettings settings = variant.settings;
        settings.chooser.ownZone = ZoneId(site.zones[daemon % 2].zone);
        settings.chooser.ownRegion = RegionId(site.zones[daemon % 2].region);
        settings.chooser.liveDaemons = Daemons;
        settings.seed = seed + daemon;
        daemons_.push_back(std::make_unique<routing::Dispatcher>(settings));
        for (const WorkspaceSpec &spec : site.workspaces) {
            // Limits count prompt tokens too, which here are about as many as the generated ones.
            const double limit = variant.limits && !spec.trainer ? 2 * limitOf(spec) : 0;
            daemons_.back()->setWorkspace(WorkspaceId(spec.name), spec.weight, {.tokensPerSecond = limit}, Instant());
            daemons_.back()->setLiveDaemons(Daemons, Instant());
        }
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
    arriving_[job.workspace] += job.item.expectedTokens / PlanWindow;
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
        // Trainers start within the first minute; until then the demand is unknown.
        if (seconds(now) < 60) {
            continue;
        }
        for (std::size_t i = 0; i < site_.workspaces.size(); ++i) {
            if (site_.workspaces[i].pool == pool && !site_.workspaces[i].trainer) {
                const double rate = arriving_[i] / (1 - std::exp(-seconds(now) / PlanWindow));
                demand.arrivingTokensPerSecond += std::min(rate, limitOf(site_.workspaces[i]));
            }
        }
        // Steps arrive in bursts; what they need is known from their tokens and deadlines.
        for (const Trainer &trainer : trainers_) {
            const WorkspaceSpec &spec = site_.workspaces[trainer.workspace];
            if (spec.pool == pool && trainer.step > 0) {
                const double left = std::max(15.0, absl::ToDoubleSeconds(trainer.due - now));
                demand.arrivingTokensPerSecond += spec.groups * GroupSize * spec.meanTokens / TrainSeconds;
                demand.outstandingTokens += trainer.outstandingTokens / left * TrainSeconds;
            }
        }
        demand.untilDeadline = absl::Seconds(TrainSeconds);
        demand.repeatableShare = pool == 0 ? 1 : 0.9;
        demand.replicaTokensPerSecond = pool == 0 ? 560 : 270; // At batches of 22 and 6 streams.
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
        rate *= std::exp(-Tick / PlanWindow);
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

Metrics simulate(const Site &site, Case what, const Variant &variant, std::uint64_t seed, double seconds)
{
    return Simulation(site, what, variant, seed, seconds).run();
}

} // namespace currantlug::bench
