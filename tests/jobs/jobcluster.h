// Runs several job services on one event loop, with an in-memory object store and fake replicas.
#ifndef CURRANTLUG_TESTS_JOBS_JOBCLUSTER_H
#define CURRANTLUG_TESTS_JOBS_JOBCLUSTER_H

#include "fakes/fakereplicas.h"
#include "fakes/inmemoryobjectstore.h"
#include "fakes/runloop.h"
#include "jobs/jobservice.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace currantlug::tests {

class JobCluster
{
public:
    explicit JobCluster(const std::vector<std::string> &names, std::map<std::string, double> shares = {})
        : store(loop)
        , replicas(loop)
        , processorShares(std::move(shares))
    {
        config.routes.push_back({});
        serving::Route &route = config.routes.back();
        route.name = "batch";
        route.host = "host.example";
        route.pathPrefix = "/batch/";
        route.kind = serving::RouteKind::Rollout;
        route.maxAttempts = 2;
        route.services = {{"engine", 1}};
        config.routes.push_back({});
        serving::Route &deskRoute = config.routes.back();
        deskRoute.name = "desk";
        deskRoute.host = "desk.example";
        deskRoute.pathPrefix = "/score/";
        deskRoute.kind = serving::RouteKind::Safe;
        deskRoute.maxAttempts = 3;
        deskRoute.targetLatency = absl::Milliseconds(100);
        deskRoute.services = {{"desk", 1}};
        for (const std::string &name : names) {
            start(name);
        }
        tick();
    }

    void start(const std::string &name)
    {
        Member &member = members_[name];
        member.incarnation = name + "-" + std::to_string(++startCount_);
        member.table = std::make_unique<serving::ReplicaTable>(serving::ReplicaTableSettings{});
        for (const char *id : {"r1", "r2"}) {
            serving::ReplicaEntry entry;
            entry.id = id;
            entry.service = "engine";
            entry.slots = 4;
            entry.weightVersions["model"] = 1;
            member.table->update(entry);
        }
        for (const char *id : {"d1", "d2"}) {
            serving::ReplicaEntry entry;
            entry.id = id;
            entry.service = "desk";
            entry.slots = deskSlots;
            member.table->update(entry);
        }
        const jobs::PeerPort peers{
            [this, name](const std::string &node, const std::string &method, const Json &body, absl::Duration,
                         jobs::PeerPort::Callback done) { call(name, node, method, body, std::move(done)); },
            [this, name] {
                std::vector<std::string> live;
                for (const auto &[other, peer] : members_) {
                    if (other != name && peer.service != nullptr && !peer.stopping && reachable(name, other)) {
                        live.push_back(other);
                    }
                }
                return live;
            },
            [this, name](const std::string &node, const std::string &incarnation) {
                const auto found = members_.find(node);
                return found != members_.end() && found->second.service != nullptr && !found->second.stopping
                    && found->second.incarnation == incarnation && reachable(name, node);
            },
            [this, name](const std::string &node, const std::string &incarnation) {
                const auto found = members_.find(node);
                return found == members_.end() || found->second.service == nullptr || found->second.stopping
                    || found->second.incarnation != incarnation || !reachable(name, node);
            },
            [this] { return partitions.empty(); },
            reachableFrom(name),
            reachableFrom(name),
            [this, name] {
                std::vector<jobs::JobHost> hosts;
                for (const auto &[other, peer] : members_) {
                    if (other != name && peer.service != nullptr && !peer.stopping && reachable(name, other)) {
                        const auto share = processorShares.find(other);
                        const bool stated = share != processorShares.end();
                        hosts.push_back(
                            {other, stated ? share->second : 0, stated && !storeOutOfReach.contains(other)});
                    }
                }
                return hosts;
            }};
        jobs::JobSettings settings = this->settings;
        if (const auto share = processorShares.find(name); share != processorShares.end()) {
            settings.processorShare = share->second;
        }
        member.stopping = false;
        member.service = std::make_unique<jobs::JobService>(
            jobs::JobContext{loop,
                             *member.table,
                             replicas.port(),
                             storeFor(name),
                             peers,
                             [this] { return &config; },
                             [this]() -> const std::map<std::string, std::string> & { return modelPlan_; },
                             name,
                             member.incarnation,
                             settings,
                             {},
                             [this](const serving::Replica &replica, const jobs::JobContext::VersionsCallback &done) {
                                 ++versionQueries;
                                 const auto found = reportedVersions.find(replica.entry.id);
                                 if (found != reportedVersions.end()) {
                                     done({{"model", found->second}});
                                 }
                             }});
    }

    /// Simulates a process that dies: its pending work is not done.
    void kill(const std::string &name)
    {
        // Pending callbacks still refer to the service, so it is kept alive but no longer reachable.
        members_[name].service->releaseJobs();
        killedServices_.push_back(std::move(members_[name].service));
        killedTables_.push_back(std::move(members_[name].table));
    }
    void stop(const std::string &name)
    {
        members_[name].stopping = true;
        members_[name].service->releaseJobs();
    }
    serving::ReplicaTable &tableOf(const std::string &name) { return *members_[name].table; }
    jobs::JobService &at(const std::string &name) { return *members_[name].service; }

    static jobs::JobSpec spec(const std::string &id, int items)
    {
        jobs::JobSpec spec;
        spec.id = id;
        spec.workspace = "w";
        spec.host = "host.example";
        spec.path = "/batch/x";
        spec.model = "model";
        spec.minVersion = 1;
        for (int i = 0; i < items; ++i) {
            jobs::ItemSpec item;
            item.id = id + "-" + std::to_string(i);
            item.path = "/batch/" + std::to_string(i);
            item.group = "g" + std::to_string(i / 2);
            item.body = "body of " + item.id;
            spec.items.push_back(item);
        }
        return spec;
    }

    /// A job whose items have reward calls.
    jobs::JobSpec scoredSpec(const std::string &id, int items)
    {
        jobs::JobSpec spec = JobCluster::spec(id, items);
        for (jobs::ItemSpec &item : spec.items) {
            item.reward = jobs::RewardSpec{rewardOf(item.id), "desk.example", "/score/" + item.id, "score " + item.id};
            replicas.itemOfCall[rewardOf(item.id)] = item.id;
        }
        return spec;
    }
    static std::string rewardOf(const std::string &item) { return item + "-reward"; }

    jobs::SubmitOutcome submit(const std::string &node, jobs::JobSpec spec)
    {
        std::optional<jobs::SubmitOutcome> outcome;
        at(node).submit(std::move(spec), [&outcome](jobs::SubmitOutcome result) { outcome = result; });
        runUntil(loop, [&outcome] { return outcome.has_value(); });
        return outcome.value_or(jobs::SubmitOutcome::Unknown);
    }

    std::pair<jobs::ReadOutcome, jobs::ResultPage> read(const std::string &node, const std::string &job,
                                                        std::uint64_t after = 0)
    {
        std::optional<std::pair<jobs::ReadOutcome, jobs::ResultPage>> result;
        at(node).read(job, "w", after, absl::ZeroDuration(),
                      [&result](jobs::ReadOutcome outcome, jobs::ResultPage page) {
                          result = {outcome, std::move(page)};
                      });
        runUntil(loop, [&result] { return result.has_value(); });
        return result.value_or(std::pair{jobs::ReadOutcome::Unavailable, jobs::ResultPage{}});
    }

    jobs::ReadOutcome end(const std::string &node, const std::string &job)
    {
        std::optional<jobs::ReadOutcome> result;
        at(node).endJob(job, "w", [&result](jobs::ReadOutcome outcome) { result = outcome; });
        runUntil(loop, [&result] { return result.has_value(); });
        return result.value_or(jobs::ReadOutcome::Unavailable);
    }

    bool waitForResults(const std::string &node, const std::string &job, std::uint64_t count)
    {
        return runUntil(loop, [this, &node, &job, count] { return read(node, job).second.next >= count; });
    }

    bool reachable(const std::string &a, const std::string &b) const
    {
        return !partitions.contains({a, b}) && !partitions.contains({b, a});
    }

    net::Loop loop;
    InMemoryObjectStore store;
    FakeReplicas replicas;
    serving::GatewayConfig config;
    jobs::JobSettings settings;
    /// Processor shares that the nodes state, by node. A node without one is sent no jobs by its peers.
    std::map<std::string, double> processorShares;
    static constexpr int deskSlots = 6; ///< Of each of the two replicas that score texts.
    std::set<std::string> storeOutOfReach; ///< Nodes whose calls the store refuses.
    /// If set, turns the store's list of all objects into the page that a node receives.
    std::function<objects::StoreReply(const objects::StoreReply &)> transmitPage;
    std::map<std::string, std::uint64_t> reportedVersions; ///< Weight version that a replica reports when asked.
    int versionQueries = 0;
    std::set<std::string> losePeerCalls; ///< Nodes to which calls are lost, although they count as live.
    /// Nodes that are paused: calls to them are carried out after this time, when the caller has given up.
    std::map<std::string, absl::Duration> delayPeerCalls;
    std::set<std::string> losePeerReplies; ///< Nodes whose replies to calls are lost.
    std::set<std::pair<std::string, std::string>> partitions; ///< Pairs of nodes that can't reach each other.

private:
    struct Member
    {
        std::string incarnation;
        bool stopping = false;
        std::unique_ptr<serving::ReplicaTable> table;
        std::unique_ptr<jobs::JobService> service;
    };

    std::function<std::vector<std::string>()> reachableFrom(const std::string &name)
    {
        return [this, name] {
            std::vector<std::string> nodes;
            for (const auto &[other, peer] : members_) {
                if (other != name && peer.service != nullptr && reachable(name, other)) {
                    nodes.push_back(other);
                }
            }
            return nodes;
        };
    }

    objects::ObjectPort storeFor(const std::string &name)
    {
        objects::ObjectPort port = store.port();
        const objects::ObjectPort inner = port;
        const auto refused = [this, name](const objects::StoreCallback &done) {
            if (!storeOutOfReach.contains(name)) {
                return false;
            }
            net::runAfter(loop, absl::Milliseconds(2), [done] {
                objects::StoreReply reply;
                reply.outcome = objects::StoreOutcome::Refused;
                done(reply);
            });
            return true;
        };
        port.list = [this, inner, refused](std::string kind, std::string after, objects::StoreCallback done) {
            if (!refused(done)) {
                inner.list(std::move(kind), std::move(after), [this, done = std::move(done)](const auto &reply) {
                    done(transmitPage ? transmitPage(reply) : reply);
                });
            }
        };
        port.get = [inner, refused](std::string kind, std::string object, objects::StoreCallback done) {
            if (!refused(done)) {
                inner.get(std::move(kind), std::move(object), std::move(done));
            }
        };
        port.create = [inner, refused](std::string kind, std::string object, Json value, objects::StoreCallback done) {
            if (!refused(done)) {
                inner.create(std::move(kind), std::move(object), std::move(value), std::move(done));
            }
        };
        port.replace = [inner, refused](std::string kind, std::string object, std::uint64_t revision, Json value,
                                        objects::StoreCallback done) {
            if (!refused(done)) {
                inner.replace(std::move(kind), std::move(object), revision, std::move(value), std::move(done));
            }
        };
        return port;
    }

    void call(const std::string &from, const std::string &to, const std::string &method, const Json &body,
              jobs::PeerPort::Callback done)
    {
        const auto found = members_.find(to);
        if (found == members_.end() || found->second.service == nullptr || !reachable(from, to)
            || losePeerCalls.contains(to)) {
            net::runAfter(loop, absl::Milliseconds(5),
                          [done = std::move(done)] { done(absl::UnavailableError("unreachable")); });
            return;
        }
        if (const auto delay = delayPeerCalls.find(to); delay != delayPeerCalls.end()) {
            net::runAfter(loop, delay->second, [this, to, method, body] {
                members_[to].service->handlePeerCall(method, body, [](const Json &) {});
            });
            net::runAfter(loop, absl::Milliseconds(20),
                          [done = std::move(done)] { done(absl::DeadlineExceededError("no answer in time")); });
            return;
        }
        const bool loseReply = losePeerReplies.contains(to);
        found->second.service->handlePeerCall(
            method, body, [this, loseReply, done = std::move(done)](const Json &reply) {
                if (loseReply) {
                    net::runAfter(loop, absl::Milliseconds(20),
                                  [done] { done(absl::DeadlineExceededError("no answer in time")); });
                    return;
                }
                net::runAfter(loop, absl::Milliseconds(1), [done, reply] { done(reply); });
            });
    }

    void tick()
    {
        for (auto &[name, member] : members_) {
            if (member.service != nullptr) {
                member.service->tick();
            }
        }
        net::runAfter(loop, absl::Milliseconds(20), [this] { tick(); });
    }

    int startCount_ = 0;
    std::map<std::string, std::string> modelPlan_;
    std::map<std::string, Member> members_;
    std::vector<std::unique_ptr<jobs::JobService>> killedServices_;
    std::vector<std::unique_ptr<serving::ReplicaTable>> killedTables_;
};

} // namespace currantlug::tests

#endif
