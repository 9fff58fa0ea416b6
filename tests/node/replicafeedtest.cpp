// Tests of how the registry of replicas reaches all nodes through a few that watch it.
#include "node/node.h"

#include "fakes/inmemoryobjectstore.h"
#include "fakes/runloop.h"
#include "fakes/seeds.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <set>

using namespace currantlug;
using namespace currantlug::tests;
using node::planWatch;
using node::ReplicaDelta;
using node::ReplicaJournal;
using node::WatchPlan;
using node::WatchPlanSettings;
using objects::ObjectChange;
using objects::StoreOutcome;

namespace {

const Instant Now(absl::Seconds(100));

ObjectChange change(const std::string &name, std::uint64_t revision, bool removed = false)
{
    return {{name, revision, Json{{"revision", revision}}, {}}, removed};
}

std::vector<std::string> names(std::size_t count)
{
    std::vector<std::string> nodes;
    for (std::size_t i = 0; i < count; ++i) {
        nodes.push_back("node-" + std::to_string(i));
    }
    return nodes;
}

/// Applies a delta to a journal in the same way as a node.
void apply(ReplicaJournal &journal, const ReplicaDelta &delta)
{
    std::set<std::string> listed;
    for (const ObjectChange &entry : delta.changes) {
        if (!entry.removed) {
            listed.insert(entry.object.name);
        }
        journal.record(entry, Now);
    }
    if (delta.complete) {
        std::vector<std::string> missing;
        for (const auto &[name, object] : journal.objects()) {
            if (!listed.contains(name)) {
                missing.push_back(name);
            }
        }
        for (const std::string &name : missing) {
            journal.recordMissing(name, Now);
        }
    }
}

std::map<std::string, std::uint64_t> revisionsOf(const ReplicaJournal &journal)
{
    std::map<std::string, std::uint64_t> revisions;
    for (const auto &[name, object] : journal.objects()) {
        revisions[name] = object.revision;
    }
    return revisions;
}

} // namespace

// Guards against a number of watches that grows with the fleet, and against zones that nobody watches for.
TEST_CASE("two nodes of a large zone watch the registry, and all nodes agree on them")
{
    const WatchPlanSettings settings;
    for (const std::size_t count : {2, 5, 8, 28, 65}) {
        CAPTURE(count);
        const std::vector<std::string> zone = names(count);
        std::set<std::string> watchers;
        std::set<std::vector<std::string>> sources;
        for (const std::string &self : zone) {
            std::vector<std::string> others = zone;
            std::erase(others, self);
            const WatchPlan plan = planWatch(settings, self, others);
            if (plan.watches) {
                watchers.insert(self);
                CHECK(plan.sources.empty());
            } else {
                sources.insert(plan.sources);
            }
        }
        CHECK(watchers.size() == (count <= settings.smallZone ? count : settings.watchersPerZone));
        if (!sources.empty()) {
            REQUIRE(sources.size() == 1);
            CHECK(std::set<std::string>(sources.begin()->begin(), sources.begin()->end()) == watchers);
        }
    }
}

// Guards against watch calls that are longer than what a node may be behind, and against a wait that no store bears.
TEST_CASE("the wait of a watch call leaves time to notice that the store forgot it")
{
    for (const int limitMs : {300, 1000, 2500, 4000, 14000}) {
        CAPTURE(limitMs);
        const absl::Duration limit = absl::Milliseconds(limitMs);
        const absl::Duration wait = node::boundedWatchWait(limit);
        CHECK(wait >= absl::Milliseconds(500));
        CHECK(wait + objects::WatchReplyAllowance < node::MaxRecoveryTime);
        if (limitMs >= 2500) {
            CHECK(wait + objects::WatchReplyAllowance < limit);
        }
    }
}

// Guards against a wave of new watches, which would exceed the rates of the store, when one watcher is lost.
TEST_CASE("a lost watcher is replaced by one node")
{
    const WatchPlanSettings settings;
    std::vector<std::string> zone = names(28);
    const auto watchersOf = [&settings](const std::vector<std::string> &nodes) {
        std::set<std::string> watchers;
        for (const std::string &self : nodes) {
            if (planWatch(settings, self, nodes).watches) {
                watchers.insert(self);
            }
        }
        return watchers;
    };
    const std::set<std::string> before = watchersOf(zone);
    std::erase(zone, *before.begin());
    std::set<std::string> after = watchersOf(zone);
    CHECK(after.size() == 2);
    CHECK(after.contains(*before.rbegin()));
}

// Guards against the return of a replica that left: the node changes to a source that has not learned of it yet.
TEST_CASE("a source that is behind doesn't bring back a replica that was removed or is draining")
{
    ReplicaJournal journal("self");
    CHECK(journal.record(change("gone", 5), Now));
    CHECK(journal.record(change("draining", 9), Now));
    CHECK(journal.record(change("gone", 8, true), Now));
    CHECK_FALSE(journal.record(change("gone", 5), Now));
    CHECK_FALSE(journal.record(change("gone", 8), Now));
    CHECK_FALSE(journal.record(change("draining", 7), Now));
    CHECK(revisionsOf(journal) == std::map<std::string, std::uint64_t>{{"draining", 9}});
    // A replica that registers again has a newer revision.
    CHECK(journal.record(change("gone", 10), Now));
}

// Guards against a live replica that stays lost because a source that is behind did not list it yet.
TEST_CASE("a replica missing from a complete list is accepted again with the same revision")
{
    ReplicaJournal journal("self");
    REQUIRE(journal.record(change("new", 5), Now));
    journal.recordMissing("new", Now);
    CHECK(journal.objects().empty());
    CHECK_FALSE(journal.record(change("new", 4), Now));
    CHECK(journal.record(change("new", 5), Now));
}

// Guards against a replica that stays in use at the followers of a node that learned of its removal only from its first
// list: the removal was dropped there because the node had no registration of it.
TEST_CASE("a removal is passed on by a source that had no registration of the replica")
{
    ReplicaJournal source("one");
    source.record(change("r", 5), Now);
    ReplicaJournal follower("self");
    const ReplicaDelta first = source.changesSince("", 0);
    apply(follower, first);
    source.recordMissing("r", Now);
    CHECK_FALSE(source.record(change("r", 8, true), Now));
    apply(follower, source.changesSince(first.epoch, first.sequence));
    CHECK(follower.objects().empty());
}

// Guards against changes that a follower misses: it is further behind than the source remembers, or the source has
// restarted and counts anew.
TEST_CASE("a source sends everything where it can't tell what changed")
{
    ReplicaJournal source("one");
    std::uint64_t revision = 0;
    for (int i = 0; i < 3000; ++i) {
        source.record(change("r" + std::to_string(i % 40), ++revision), Now);
    }
    const ReplicaDelta all = source.changesSince("", 0);
    CHECK(all.complete);
    CHECK(all.changes.size() == 40);
    CHECK(source.changesSince("one", 10).complete);
    CHECK(source.changesSince("two", all.sequence).complete);
    CHECK(source.changesSince("one", all.sequence + 1).complete);
    const ReplicaDelta none = source.changesSince("one", all.sequence);
    CHECK_FALSE(none.complete);
    CHECK(none.changes.empty());
    source.record(change("r7", ++revision), Now);
    source.record(change("r7", ++revision), Now);
    source.record(change("r8", ++revision, true), Now);
    const auto some = node::parseReplicaDelta(toJson(source.changesSince("one", all.sequence)));
    REQUIRE(some);
    CHECK_FALSE(some->complete);
    REQUIRE(some->changes.size() == 2);
    CHECK(some->changes[0].object.revision == revision - 1);
    CHECK(some->changes[1].removed);
    CHECK_FALSE(node::parseReplicaDelta(Json::object()));
}

// Promises, checked after each step, for a follower of two sources that are behind by different and changing numbers of
// changes: it never uses a registration older than one it had, never one that it knew as removed, and has exactly the
// registered replicas once its source has caught up.
TEST_CASE("a follower of changing sources neither regresses nor diverges")
{
    for (std::uint64_t seed = 1; seed <= fakes::seedCount(200); ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto below = [&random](std::uint64_t limit) {
            return std::uniform_int_distribution<std::uint64_t>(0, limit - 1)(random);
        };
        std::vector<ObjectChange> history;
        std::map<std::string, std::uint64_t> registry;
        ReplicaJournal sources[2] = {ReplicaJournal("one"), ReplicaJournal("two")};
        std::size_t applied[2] = {0, 0};
        ReplicaJournal follower("self");
        std::string epoch;
        std::uint64_t sequence = 0;
        std::map<std::string, std::uint64_t> newest; // Newest revision the follower has seen, removals included.
        for (int step = 0; step < 120; ++step) {
            const std::string name = "r" + std::to_string(below(6));
            const bool removes = registry.contains(name) && below(3) == 0;
            history.push_back(change(name, history.size() + 1, removes));
            if (removes) {
                registry.erase(name);
            } else {
                registry[name] = history.size();
            }
            for (const std::size_t i : {0, 1}) {
                for (std::uint64_t steps = below(3); steps > 0 && applied[i] < history.size(); --steps) {
                    sources[i].record(history[applied[i]++], Now);
                }
            }
            const ReplicaDelta delta = sources[below(2)].changesSince(epoch, sequence);
            epoch = delta.epoch;
            sequence = delta.sequence;
            apply(follower, delta);
            for (const auto &[known, revision] : revisionsOf(follower)) {
                CHECK(revision >= newest[known]);
                newest[known] = revision;
            }
            for (const ObjectChange &entry : delta.changes) {
                newest[entry.object.name] = std::max(newest[entry.object.name], entry.object.revision);
            }
        }
        while (applied[0] < history.size()) {
            sources[0].record(history[applied[0]++], Now);
        }
        apply(follower, sources[0].changesSince("", 0));
        CHECK(revisionsOf(follower) == registry);
    }
}

namespace {

/// Nodes of one zone in one process: calls between them go over loopback connections, the store is in memory.
class Fleet
{
public:
    /// `maxWatchWait`: the store ends watch calls after this time, so that a test needn't wait for their end.
    explicit Fleet(std::size_t count, absl::Duration maxWatchWait = absl::Milliseconds(300))
        : store(loop)
        , maxWatchWait_(maxWatchWait)
    {
        putConfig();
        members_.reserve(count);
        for (std::size_t i = 0; i < count; ++i) {
            members_.push_back(std::make_unique<Member>(*this, "node-" + std::to_string(i)));
        }
        for (const auto &member : members_) {
            for (const auto &other : members_) {
                member->node->mesh().add(other->name, other->address);
            }
            member->node->start();
        }
    }

    /// Reads the metrics of all nodes.
    void scrape()
    {
        scraped_.clear();
        for (const auto &member : members_) {
            scraped_.push_back(member->node->metrics());
        }
    }
    /// Value of a metric of a node at the last scrape, without labels or with exactly those given.
    double metric(std::size_t index, const std::string &name) const
    {
        const std::string &text = scraped_[index];
        const std::size_t begin = text.find("\n" + name + " ");
        return begin == std::string::npos ? 0 : std::stod(text.substr(begin + name.size() + 2));
    }
    std::vector<std::size_t> watchers() const
    {
        std::vector<std::size_t> indexes;
        for (std::size_t i = 0; i < members_.size(); ++i) {
            if (metric(i, "currantlug_watching_replicas") > 0) {
                indexes.push_back(i);
            }
        }
        return indexes;
    }
    /// True if each node has this number of ready replicas.
    bool allHave(int replicas) const
    {
        for (std::size_t i = 0; i < members_.size(); ++i) {
            if (metric(i, "currantlug_replicas{service=\"desk\",condition=\"ready\"}") != replicas) {
                return false;
            }
        }
        return true;
    }
    /// Like runUntil(). A scrape takes long under sanitizers, so that the nodes run for some time after each check.
    bool waitFor(const std::function<bool()> &condition)
    {
        Instant checkAt;
        return runUntil(loop, [&] {
            if (net::loopNow() < checkAt) {
                return false;
            }
            scrape();
            const bool holds = condition();
            checkAt = net::loopNow() + absl::Milliseconds(50);
            return holds;
        });
    }
    void turnAway(std::size_t index, bool away) { members_[index]->turnedAway = away; }
    /// The node's watch of the configuration reports no changes from now on.
    void hideConfigChanges(std::size_t index) { members_[index]->configChangesHidden = true; }
    /// True if each node has the newest configuration.
    bool allConfigured() const
    {
        for (std::size_t i = 0; i < members_.size(); ++i) {
            if (metric(i, "currantlug_config_version") != static_cast<double>(configVersion_)) {
                return false;
            }
        }
        return true;
    }
    void putConfig()
    {
        store.put("settings", "current", Json::object());
        configVersion_ = store.revision();
    }

    net::Loop loop;
    InMemoryObjectStore store;

private:
    struct Member
    {
        Member(Fleet &fleet, std::string memberName)
            : name(std::move(memberName))
            , client(fleet.loop)
            , server(fleet.loop, [this](const net::ServerCallPtr &call) { node->mesh().serve(call); })
        {
            REQUIRE(server.listen(net::Endpoint(boost::asio::ip::address_v4::loopback(), 0)).ok());
            address = "127.0.0.1:" + std::to_string(server.port());
            node::NodeSettings settings;
            settings.name = name;
            settings.availabilityZone = "ifrane";
            settings.region = "atlas";
            settings.regionOfZone = {{"ifrane", "atlas"}};
            settings.controlAddress = address;
            node::PlatformBinding binding;
            binding.store = portOf(fleet);
            binding.configKind = "settings";
            binding.configName = "current";
            binding.parseConfig = [](const objects::StoredObject &object) {
                serving::GatewayConfig config;
                config.version = object.revision;
                return std::optional(config);
            };
            binding.replicaKind = "replicas";
            binding.parseReplica = [](const objects::StoredObject &object) {
                serving::ReplicaEntry entry;
                entry.id = object.name;
                entry.service = "desk";
                return std::optional(entry);
            };
            node = std::make_unique<node::Node>(fleet.loop, client, settings, binding);
        }

        /// The fleet's store, which refuses the calls of this node while it is turned away.
        objects::ObjectPort portOf(Fleet &fleet)
        {
            objects::ObjectPort inner = fleet.store.port();
            objects::ObjectPort port = inner;
            const auto refuse = [this, &fleet](const objects::StoreCallback &done) {
                net::runAfter(fleet.loop, absl::Milliseconds(2), [done] {
                    objects::StoreReply reply;
                    reply.outcome = StoreOutcome::Refused;
                    done(reply);
                });
            };
            port.list = [this, inner, refuse](std::string kind, std::string after, objects::StoreCallback done) {
                turnedAway ? refuse(done) : inner.list(std::move(kind), std::move(after), std::move(done));
            };
            port.watch = [this, &fleet, inner, refuse](std::string kind, std::uint64_t revision, absl::Duration wait,
                                                       objects::StoreCallback done) {
                const absl::Duration shortened = std::min(wait, fleet.maxWatchWait_);
                if (turnedAway) {
                    refuse(done);
                } else if (configChangesHidden && kind == "settings") {
                    net::runAfter(fleet.loop, shortened, [revision, done = std::move(done)] {
                        objects::StoreReply reply;
                        reply.outcome = StoreOutcome::Done;
                        reply.asOf = revision;
                        done(reply);
                    });
                } else {
                    inner.watch(std::move(kind), revision, shortened, std::move(done));
                }
            };
            return port;
        }

        std::string name;
        std::string address;
        bool turnedAway = false;
        bool configChangesHidden = false;
        net::HttpClient client;
        net::HttpServer server;
        std::unique_ptr<node::Node> node;
    };

    std::vector<std::string> scraped_; ///< Metrics by node.
    absl::Duration maxWatchWait_;
    std::uint64_t configVersion_ = 0;
    std::vector<std::unique_ptr<Member>> members_;
};

/// A node counts as in touch again this long after a disturbance, and must then follow the store.
constexpr absl::Duration ContactTime = absl::Seconds(4);

} // namespace

// Guards against nodes that use a replica that left, or don't learn of a new one, because the nodes that watch the
// registry for them are turned away by the store.
TEST_CASE("changes of the registry reach all nodes of a zone through two watchers, also when those are turned away")
{
    Fleet fleet(9);
    fleet.store.put("replicas", "r1", Json::object());
    REQUIRE(fleet.waitFor([&fleet] { return fleet.allHave(1) && fleet.watchers().size() <= 3; }));
    fleet.store.put("replicas", "r2", Json::object());
    const Instant added = net::loopNow();
    REQUIRE(fleet.waitFor([&fleet] { return fleet.allHave(2); }));
    CHECK(net::loopNow() - added < absl::Milliseconds(2500));

    const std::vector<std::size_t> before = fleet.watchers();
    for (const std::size_t index : before) {
        fleet.turnAway(index, true);
    }
    fleet.store.erase("replicas", "r1");
    const Instant removed = net::loopNow();
    REQUIRE(fleet.waitFor([&fleet] { return fleet.allHave(1); }));
    CHECK(net::loopNow() - removed < absl::Seconds(4));

    for (const std::size_t index : before) {
        fleet.turnAway(index, false);
    }
    REQUIRE(fleet.waitFor([&fleet] { return fleet.allHave(1) && fleet.watchers().size() <= 3; }));
}

// Guards against a node that never learns of a newer configuration because it asks a peer that is as far behind.
TEST_CASE("a node fetches a newer configuration from the peer that has it")
{
    Fleet fleet(4);
    REQUIRE(fleet.waitFor([&fleet] { return fleet.allConfigured(); }));
    for (const std::size_t index : {0, 1, 2}) {
        fleet.hideConfigChanges(index);
    }
    // Watches that are under way end before the change.
    runFor(fleet.loop, std::chrono::milliseconds(400));
    fleet.putConfig();
    const Instant changed = net::loopNow();
    REQUIRE(fleet.waitFor([&fleet] { return fleet.allConfigured(); }));
    CHECK(net::loopNow() - changed < ContactTime);
}

// Guards against nodes of a large zone that stay behind after the store forgot all waiting watches, and against watches
// of the configuration that grow with the fleet to prevent that.
TEST_CASE("nodes that follow are up to date soon after a silent store, and watch the configuration rarely")
{
    Fleet fleet(9, absl::InfiniteDuration());
    fleet.store.put("replicas", "r1", Json::object());
    REQUIRE(
        fleet.waitFor([&fleet] { return fleet.allConfigured() && fleet.allHave(1) && fleet.watchers().size() <= 3; }));
    // A node that has just begun to follow ends its last short watch.
    runFor(fleet.loop, std::chrono::milliseconds(1500));
    constexpr int QuietSeconds = 3;
    const int before = fleet.store.calls("watch");
    runFor(fleet.loop, std::chrono::seconds(QuietSeconds));
    fleet.scrape();
    // Configuration and replicas, each at most once a second at a node that watches, and two kinds at the leader.
    const int watchedKinds = 2 * static_cast<int>(fleet.watchers().size()) + 2;
    CHECK(fleet.store.calls("watch") - before <= QuietSeconds * watchedKinds);

    fleet.store.setSilent(true, objects::WatchReplyAllowance);
    runFor(fleet.loop, std::chrono::milliseconds(50));
    fleet.store.setSilent(false, objects::WatchReplyAllowance);
    fleet.putConfig();
    fleet.store.erase("replicas", "r1");
    const Instant returned = net::loopNow();
    REQUIRE(fleet.waitFor([&fleet] { return fleet.allConfigured() && fleet.allHave(0); }));
    CHECK(net::loopNow() - returned < ContactTime);
}
