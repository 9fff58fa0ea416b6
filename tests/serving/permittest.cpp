// Tests of permits for replicas that limit their request rate: their issue, their choice and their use.
#include "serving/permitledger.h"
#include "serving/replicatable.h"

#include "fakes/seeds.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>

using namespace currantlug;
using namespace currantlug::serving;

namespace {

const Instant Start(absl::Seconds(1000));
constexpr absl::Duration Window = absl::Seconds(4);

Instant at(double seconds)
{
    return Start + absl::Seconds(seconds);
}

PermitRequest requestFor(double limit, absl::Duration maxWait, int count = 1)
{
    PermitRequest request;
    request.replica = {"r", "10.0.0.1:80", 1};
    request.requestsPerSecond = limit;
    request.count = count;
    request.maxWait = maxWait;
    return request;
}

ReplicaEntry entryOf(const std::string &id)
{
    ReplicaEntry entry;
    entry.id = id;
    entry.service = "desk";
    entry.slots = 6;
    entry.weightVersions = {{"m", 1}};
    return entry;
}

LimitStatement statement(const std::string &id, std::optional<double> limit, Instant statedAt)
{
    return {incarnationOf(entryOf(id)), limit, statedAt};
}

int mostIn(const std::vector<Instant> &sortedTimes, absl::Duration window)
{
    std::size_t first = 0;
    int most = 0;
    for (std::size_t last = 0; last < sortedTimes.size(); ++last) {
        while (sortedTimes[last] - sortedTimes[first] >= window) {
            ++first;
        }
        most = std::max(most, static_cast<int>(last - first + 1));
    }
    return most;
}

} // namespace

// Guards against limits that are kept on average only, and against unused capacity under steady demand.
TEST_CASE("permits are issued at the rate of the limit, with a small burst after idle time")
{
    for (const double limit : {0.2, 1.0, 1.4, 12.0, 300.0}) {
        CAPTURE(limit);
        PermitLedger ledger({});
        std::vector<Instant> used;
        for (double time = 0; time < 40; time += 0.01) {
            for (const absl::Duration delay :
                 ledger.issue(requestFor(limit, absl::Milliseconds(100)), at(time)).delays) {
                used.push_back(at(time) + delay);
            }
        }
        std::sort(used.begin(), used.end());
        CHECK(mostIn(used, Window) <= limit * 5 + 1 + 1e-6);
        CHECK(used.size() >= 0.9 * std::min(limit, 100.0) * 40);
    }
}

TEST_CASE("a request that can't get a permit in time is told when the next one is expected")
{
    PermitLedger ledger({});
    CHECK(ledger.issue(requestFor(1, absl::ZeroDuration()), at(0)).delays.size() == 1);
    const PermitReply refused = ledger.issue(requestFor(1, absl::Milliseconds(200)), at(0.1));
    CHECK(refused.delays.empty());
    CHECK(absl::ToInt64Milliseconds(refused.nextIn) == 900);
    const PermitReply later = ledger.issue(requestFor(1, absl::Milliseconds(200)), at(0.9));
    REQUIRE(later.delays.size() == 1);
    CHECK(absl::ToInt64Milliseconds(later.delays[0]) == 100);
}

// Guards against a limit of 0 that no response could ever lift, since the replica gets no request.
TEST_CASE("a replica with a limit of 0 still gets a request now and then")
{
    PermitLedger ledger({});
    int issued = 0;
    for (double time = 0; time < 60; time += 0.1) {
        issued += static_cast<int>(ledger.issue(requestFor(0, absl::ZeroDuration()), at(time)).delays.size());
    }
    CHECK(issued >= 10);
    CHECK(issued <= 14);
}

TEST_CASE("permits that are still to be used count against a limit that rises or falls")
{
    PermitLedger ledger({});
    for (int i = 0; i < 10; ++i) {
        ledger.issue(requestFor(10, absl::Seconds(1)), at(0));
    }
    // Ten permits ahead are one second at 10 a second, and ten seconds at 1 a second.
    const absl::Duration atFallenLimit = ledger.issue(requestFor(1, absl::ZeroDuration()), at(0)).nextIn;
    CHECK(atFallenLimit >= absl::Seconds(8));
    CHECK(ledger.issue(requestFor(100, absl::ZeroDuration()), at(0)).nextIn <= absl::Milliseconds(100));
}

// Guards against twice the rate while the node that issues permits changes.
TEST_CASE("a node that takes a replica's permits over waits until the nodes agree on it")
{
    PermitLedger ledger({});
    ledger.recordMembershipChange(at(0));
    CHECK(ledger.issue(requestFor(50, absl::Milliseconds(200)), at(0.1)).delays.empty());
    CHECK(ledger.issue(requestFor(50, absl::Milliseconds(200)), at(1)).delays.size() == 1);
    // Nodes that join and leave elsewhere don't interrupt a replica whose permits are in demand here.
    ledger.recordMembershipChange(at(1.2));
    CHECK(ledger.issue(requestFor(50, absl::Milliseconds(200)), at(1.3)).delays.size() == 1);
    // One that was issued elsewhere meanwhile.
    ledger.recordMembershipChange(at(9));
    CHECK(ledger.issue(requestFor(50, absl::Milliseconds(200)), at(9.1)).delays.empty());
    ledger.expire(at(60));
    CHECK(ledger.size() == 0);
}

TEST_CASE("nodes choose the same issuer, in the replica's zone where there is one")
{
    std::vector<PermitIssuer> nodes{{"a", "north"}, {"b", "north"}, {"c", "south"}, {"d", "south"}};
    std::set<std::string> chosen;
    for (int i = 0; i < 50; ++i) {
        const std::string replica = "r" + std::to_string(i);
        const std::string issuer = choosePermitIssuer(replica, "south", nodes);
        CHECK((issuer == "c" || issuer == "d"));
        std::reverse(nodes.begin(), nodes.end());
        CHECK(choosePermitIssuer(replica, "south", nodes) == issuer);
        chosen.insert(issuer);
        CHECK_FALSE(choosePermitIssuer(replica, "west", nodes).empty());
    }
    CHECK(chosen.size() == 2);
    CHECK(choosePermitIssuer("r", "south", {}).empty());
}

// Guards against a limit that an older response or a slower node brings back, and one that outlives its replica.
TEST_CASE("the newest statement about a limit counts, for one incarnation of the replica")
{
    ReplicaTable table({});
    table.update(entryOf("r"));
    CHECK_FALSE(table.recordLimit(statement("r", std::nullopt, at(0)), true));
    CHECK(table.recordLimit(statement("r", 5, at(2)), true));
    CHECK_FALSE(table.recordLimit(statement("r", std::nullopt, at(1)), true));
    CHECK(table.find("r")->requestLimit == 5);
    CHECK(table.recordLimit(statement("r", 3, at(3)), false));
    // Only what a response to this node said is passed on.
    CHECK(table.limitStatements(at(3)).empty());
    CHECK(table.recordLimit(statement("r", std::nullopt, at(4)), true));
    CHECK_FALSE(table.recordLimit(statement("r", 3, at(3)), false));
    CHECK(table.limitStatements(at(4)).size() == 1);
    CHECK(table.limitStatements(at(20)).empty());
    CHECK(table.recordLimit(statement("r", 2, at(21)), true));
    ReplicaEntry restarted = entryOf("r");
    restarted.startedAtMs = 7;
    table.update(restarted);
    CHECK_FALSE(table.find("r")->requestLimit.has_value());
    CHECK_FALSE(table.recordLimit(statement("r", 2, at(22)), true));
}

// Guards against items and hedges that use up what clients could have had, and against a limited replica that is loaded
// although others have room.
TEST_CASE("limited replicas come after the others, and not without a permit")
{
    ReplicaTable table({});
    table.update(entryOf("a"));
    table.update(entryOf("b"));
    REQUIRE(table.recordLimit(statement("a", 2, at(0)), true));
    CHECK(table.chooseForRequest("desk", {}, at(0))->entry.id == "b");
    CHECK(table.chooseForRequest("desk", {"b"}, at(0))->entry.id == "a");
    CHECK(table.chooseForRequest("desk", {"b"}, at(0), {false, absl::InfiniteDuration()}) == nullptr);
    ReplicaTable::ItemRequirements need;
    need.service = "desk";
    need.model = "m";
    CHECK(table.chooseForItem(need, {}, at(0))->entry.id == "b");
    CHECK(table.takePermitsWanted(at(0)).empty());
    CHECK(table.chooseForItem(need, {"b"}, at(0)) == nullptr);
    CHECK(table.chooseForBackground("desk", {"b"}, at(0)) == nullptr);
    REQUIRE(table.takePermitsWanted(at(0)).size() == 1);
    CHECK(table.takePermitsWanted(at(0)).empty());
    Replica &limited = *table.find("a");
    table.addPermits(limited, {{absl::Milliseconds(100)}, absl::Milliseconds(600)}, at(0));
    CHECK(table.chooseForItem(need, {"b"}, at(0.05)) == nullptr);
    CHECK(table.chooseForItem(need, {"b"}, at(0.1)) == &limited);
    ReplicaTable::usePermit(limited, at(0.1));
    CHECK(table.chooseForItem(need, {"b"}, at(0.1)) == nullptr);
    CHECK(table.chooseForRequest("desk", {"b"}, at(0.1), {true, absl::Milliseconds(100)}) == nullptr);
    CHECK(table.chooseForRequest("desk", {"b"}, at(0.5), {true, absl::Milliseconds(100)}) == &limited);
    CHECK(*table.nextPermitIn("desk", at(0.2)) == absl::Milliseconds(400));
    CHECK_FALSE(table.nextPermitIn("other", at(0.2)).has_value());
    // A permit that wasn't used in time is void.
    table.addPermits(limited, {{absl::ZeroDuration()}, absl::Seconds(1)}, at(1));
    CHECK_FALSE(ReplicaTable::hasPermit(limited, at(1.6)));
    REQUIRE(table.recordLimit(statement("a", std::nullopt, at(2)), true));
    CHECK(ReplicaTable::hasPermit(limited, at(2)));
}

namespace {

/// A fleet of nodes in virtual time. Each has its own view of the live nodes, updated a second late at most; calls take
/// time, are lost, and wait while their receiver is frozen.
class PermitFleet
{
public:
    PermitFleet(std::uint64_t seed, std::size_t nodes, double limit)
        : random_(seed)
        , limit_(limit)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            addNode();
        }
        for (Node &node : nodes_) {
            node.peersKnown = names(nodes);
        }
    }

    void schedule(Instant time, std::function<void()> action) { events_.push({time, ++lastEvent_, std::move(action)}); }
    void run(Instant end)
    {
        while (!events_.empty() && events_.top().time <= end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time;
            event.action();
        }
    }

    /// A request arrives at the node.
    void arrive(std::size_t index)
    {
        Node &node = nodes_[index];
        if (now_ < node.goneUntil || now_ < node.refusedUntil) {
            return;
        }
        const std::size_t issuer = issuerFor(node);
        const std::uint64_t life = node.life;
        const auto finish = [this, index, life](const PermitReply &reply) { onReply(index, life, reply); };
        if (issuer == index) {
            finish(issue(index));
            return;
        }
        if (chance(0.01)) {
            return; // The call is lost.
        }
        schedule(now_ + delay(), [this, issuer, finish] { answer(issuer, finish); });
    }
    void restart(std::size_t index, absl::Duration time)
    {
        Node &node = nodes_[index];
        ++node.life;
        node.goneUntil = now_ + time;
        node.ledger = PermitLedger({});
        node.ledger.recordMembershipChange(node.goneUntil);
        node.excusedUntil = node.goneUntil + Excuse;
        tellOthers(index, false, absl::ZeroDuration());
        schedule(node.goneUntil, [this, index] { tellOthers(index, true, absl::Seconds(1)); });
    }
    void freeze(std::size_t index, absl::Duration time)
    {
        Node &node = nodes_[index];
        node.frozenUntil = now_ + time;
        node.excusedUntil = node.frozenUntil + Excuse;
        if (time > absl::Milliseconds(2400)) {
            tellOthers(index, false, absl::Milliseconds(2400));
            schedule(node.frozenUntil, [this, index] { tellOthers(index, true, absl::Seconds(1)); });
        }
    }
    void join()
    {
        const std::size_t index = addNode();
        nodes_[index].peersKnown = names(nodes_.size());
        nodes_[index].ledger.recordMembershipChange(now_);
        tellOthers(index, true, absl::Seconds(1));
    }

    Instant now() const { return now_; }
    std::size_t size() const { return nodes_.size(); }
    std::mt19937_64 &random() { return random_; }
    bool chance(double probability) { return std::bernoulli_distribution(probability)(random_); }
    /// Times of requests at the replica from nodes that nothing excuses.
    std::vector<Instant> arrivals() const
    {
        std::vector<Instant> sorted = arrivals_;
        std::sort(sorted.begin(), sorted.end());
        return sorted;
    }
    int allArrivals() const { return allArrivals_; }

private:
    /// After its restart or freeze a node counts as excused for the window of the bound.
    static constexpr absl::Duration Excuse = absl::Seconds(4);

    struct Node
    {
        PermitLedger ledger{PermitLedgerSettings{}};
        std::set<std::string> peersKnown; ///< Live nodes as this one sees them.
        std::optional<std::size_t> issuer; ///< By peersKnown; worked out when it is needed first.
        Instant goneUntil;
        Instant frozenUntil;
        Instant excusedUntil;
        Instant refusedUntil;
        std::uint64_t life = 0;
    };
    struct Event
    {
        Instant time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return time == other.time ? order > other.order : time > other.time;
        }
    };

    static std::string nameOf(std::size_t index) { return "node-" + std::to_string(index); }
    static std::set<std::string> names(std::size_t count)
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < count; ++i) {
            names.insert(nameOf(i));
        }
        return names;
    }
    std::size_t addNode()
    {
        nodes_.emplace_back();
        return nodes_.size() - 1;
    }
    absl::Duration delay() { return absl::Milliseconds(std::uniform_real_distribution<double>(0.3, 14)(random_)); }

    static std::size_t issuerFor(Node &node)
    {
        if (node.issuer) {
            return *node.issuer;
        }
        std::vector<PermitIssuer> candidates;
        for (const std::string &name : node.peersKnown) {
            candidates.push_back({name, "zone"});
        }
        const std::string issuer = choosePermitIssuer("r", "zone", candidates);
        node.issuer = std::stoul(issuer.substr(5));
        return *node.issuer;
    }
    PermitReply issue(std::size_t index)
    {
        return nodes_[index].ledger.issue(requestFor(limit_, absl::Milliseconds(150)), now_);
    }
    void answer(std::size_t issuer, const std::function<void(const PermitReply &)> &finish)
    {
        Node &node = nodes_[issuer];
        if (now_ < node.frozenUntil) {
            schedule(node.frozenUntil, [this, issuer, finish] { answer(issuer, finish); });
            return;
        }
        PermitReply reply{{}, absl::Milliseconds(300)};
        if (now_ >= node.goneUntil && issuerFor(node) == issuer) {
            reply = issue(issuer);
        }
        schedule(now_ + delay(), [finish, reply] { finish(reply); });
    }
    void onReply(std::size_t index, std::uint64_t life, const PermitReply &reply)
    {
        Node &node = nodes_[index];
        if (node.life != life) {
            return;
        }
        if (reply.delays.empty()) {
            node.refusedUntil = now_ + reply.nextIn - absl::Milliseconds(150);
            return;
        }
        const Instant usableAt = now_ + reply.delays.front();
        schedule(std::max(usableAt, node.frozenUntil), [this, index, life, usableAt] {
            Node &sender = nodes_[index];
            if (sender.life != life || now_ >= usableAt + ReplicaTableSettings{}.permitTtl) {
                return;
            }
            ++allArrivals_;
            if (now_ >= sender.excusedUntil) {
                arrivals_.push_back(now_);
            }
        });
    }
    void tellOthers(std::size_t index, bool alive, absl::Duration within)
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const absl::Duration late = within * std::uniform_real_distribution<double>(0, 1)(random_);
            schedule(now_ + late, [this, i, index, alive] {
                Node &node = nodes_[i];
                const bool changed = alive ? node.peersKnown.insert(nameOf(index)).second
                                           : i != index && node.peersKnown.erase(nameOf(index)) > 0;
                if (changed) {
                    node.issuer.reset();
                    node.ledger.recordMembershipChange(now_);
                }
            });
        }
    }

    std::mt19937_64 random_;
    double limit_;
    Instant now_ = Start;
    std::vector<Node> nodes_;
    std::priority_queue<Event> events_;
    std::uint64_t lastEvent_ = 0;
    std::vector<Instant> arrivals_;
    int allArrivals_ = 0;
};

} // namespace

// Promises for fleets of 8, 60 and 165 nodes, demand spread evenly or nine tenths of it at one node, with lost and slow
// calls: never more than 1.5 times the limit and 5 requests in four seconds, also while nodes restart, freeze and join;
// and at least nine tenths of the limit in use while they don't.
TEST_CASE("a limit holds over all nodes, and is used, at any size of the fleet and spread of the demand")
{
    constexpr double Duration = 30;
    for (std::uint64_t seed = 1; seed <= fakes::seedCount(20); ++seed) {
        for (const std::size_t nodes : {8, 60, 165}) {
            for (const bool skewed : {false, true}) {
                for (const bool disturbed : {false, true}) {
                    const double limit = std::vector<double>{0.5, 1, 4, 25}[seed % 4];
                    CAPTURE(seed, nodes, skewed, disturbed, limit);
                    PermitFleet fleet(seed, nodes, limit);
                    const double perSecond = std::max(20.0, limit * 4);
                    for (double time = 0; time < Duration; time += 1 / perSecond) {
                        fleet.schedule(at(time), [&fleet, skewed] {
                            const bool atOne = skewed && fleet.chance(0.9);
                            fleet.arrive(atOne ? 3
                                               : std::uniform_int_distribution<std::size_t>(0, fleet.size() - 1)(
                                                   fleet.random()));
                        });
                    }
                    for (double time = 2; disturbed && time < Duration; time += 1.3) {
                        fleet.schedule(at(time), [&fleet] {
                            const std::size_t index =
                                std::uniform_int_distribution<std::size_t>(0, fleet.size() - 1)(fleet.random());
                            const absl::Duration length =
                                absl::Seconds(std::uniform_real_distribution<double>(0.3, 4)(fleet.random()));
                            if (fleet.chance(0.4)) {
                                fleet.restart(index, length);
                            } else if (fleet.chance(0.7)) {
                                fleet.freeze(index, length);
                            } else {
                                fleet.join();
                            }
                        });
                    }
                    fleet.run(at(Duration));
                    CHECK(mostIn(fleet.arrivals(), Window) <= 1.5 * limit * 4 + 5);
                    if (!disturbed) {
                        CHECK(fleet.allArrivals() >= 0.9 * limit * Duration);
                    }
                }
            }
        }
    }
}
