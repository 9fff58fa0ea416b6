// The part of the simulation that stands in for the daemon's driver of Dispatcher.
#include "simulation.h"

#include <algorithm>

namespace currantlug::bench {

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

} // namespace currantlug::bench
