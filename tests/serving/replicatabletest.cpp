// Load balancing among replicas, limits on background calls, and lookups in the configuration.
#include "serving/replicatable.h"
#include "serving/concurrencylimit.h"
#include "serving/gatewayconfig.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace currantlug;
using namespace currantlug::serving;

namespace {

const Instant Now(absl::Seconds(100));

ReplicaEntry entry(const std::string &id, const std::string &zone = "z1")
{
    ReplicaEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.availabilityZone = zone;
    entry.slots = 2;
    entry.weightVersions["m"] = 3;
    return entry;
}

ReplicaTable table()
{
    ReplicaTableSettings settings;
    settings.availabilityZone = "z1";
    settings.region = "here";
    settings.regionOfZone = {{"z1", "here"}, {"z2", "here"}, {"z3", "there"}};
    return ReplicaTable(settings);
}

ReplicaTable::ItemRequirements need(std::uint64_t minVersion = 1)
{
    ReplicaTable::ItemRequirements need;
    need.service = "s";
    need.model = "m";
    need.minVersion = minVersion;
    return need;
}

} // namespace

// Guards against new requests to a replica that is draining or was removed.
TEST_CASE("draining and removed replicas get no requests")
{
    ReplicaTable replicas = table();
    replicas.update(entry("a"));
    ReplicaEntry drainingEntry = entry("b");
    drainingEntry.draining = true;
    replicas.update(drainingEntry);
    CHECK(replicas.chooseForRequest("s", {}, Now)->entry.id == "a");
    CHECK(replicas.chooseForRequest("s", {"a"}, Now) == nullptr);
    replicas.remove("a", false, Now);
    CHECK(replicas.chooseForRequest("s", {}, Now) == nullptr);
    CHECK(replicas.chooseForItem(need(), {}, Now) == nullptr);
}

// Guards against requests to a replica that has said that it leaves, because its registration is older than that, and
// against a mark that outlives the incarnation that it was said of.
TEST_CASE("a replica that says that it leaves gets nothing more, whatever its registration says")
{
    ReplicaTable replicas = table();
    replicas.update(entry("a"));
    replicas.update(entry("b"));
    const ReplicaIncarnation leaving = incarnationOf(entry("a"));
    CHECK(replicas.recordLeaving(leaving));
    CHECK_FALSE(replicas.recordLeaving(leaving));
    const auto onlyB = [&replicas] {
        return replicas.chooseForRequest("s", {"b"}, Now) == nullptr
            && replicas.chooseForBackground("s", {"b"}, Now) == nullptr
            && replicas.chooseForItem(need(), {"b"}, Now) == nullptr
            && replicas.chooseForRequest("s", {}, Now)->entry.id == "b";
    };
    CHECK(onlyB());
    // A registration from before the change, and one that says nothing of it.
    replicas.update(entry("a"));
    CHECK(onlyB());
    CHECK(replicas.leavingReplicas() == std::vector<ReplicaIncarnation>{leaving});

    ReplicaEntry restarted = entry("a");
    restarted.startedAtMs = 5;
    replicas.update(restarted);
    CHECK(replicas.chooseForRequest("s", {"b"}, Now) != nullptr);
    CHECK(replicas.leavingReplicas().empty());
    // Said of the incarnation before, by a late answer or a peer that is behind.
    CHECK_FALSE(replicas.recordLeaving(leaving));
    CHECK(replicas.chooseForRequest("s", {"b"}, Now) != nullptr);

    REQUIRE(replicas.recordLeaving(incarnationOf(restarted)));
    replicas.remove("a", false, Now);
    replicas.expire(Now);
    CHECK(replicas.leavingReplicas().empty());
    CHECK_FALSE(replicas.recordLeaving(incarnationOf(restarted)));
}

// Guards against a service that loses all its replicas because a short registry outage dropped their entries.
TEST_CASE("replicas removed during a registry outage stay in use for two more seconds")
{
    ReplicaTable replicas = table();
    replicas.update(entry("a"));
    replicas.remove("a", true, Now);
    CHECK(replicas.chooseForRequest("s", {}, Now + absl::Seconds(2)) != nullptr);
    CHECK(replicas.chooseForRequest("s", {}, Now + absl::Seconds(2.5)) == nullptr);
    replicas.update(entry("a"));
    replicas.expire(Now + absl::Seconds(5));
    CHECK(replicas.chooseForRequest("s", {}, Now + absl::Seconds(5)) != nullptr);
}

// Guards against failures and event gaps of one incarnation being attributed to the next one.
TEST_CASE("a replica that restarts under the same id starts without failures and event gap")
{
    ReplicaTable replicas = table();
    replicas.update(entry("a"));
    replicas.recordFailure(*replicas.find("a"), Now);
    replicas.find("a")->eventGap = absl::Milliseconds(200);
    ReplicaEntry restarted = entry("a");
    restarted.startedAtMs = 5;
    replicas.update(restarted);
    CHECK(replicas.find("a")->failures == 0);
    CHECK(replicas.find("a")->eventGap == absl::ZeroDuration());
}

// A replica resets all twelve streams that it runs. Counting twelve failures would back off far too long.
TEST_CASE("requests that fail at the same time count as one failure")
{
    ReplicaTable replicas = table();
    replicas.update(entry("a"));
    Replica &replica = *replicas.find("a");
    for (int i = 0; i < 12; ++i) {
        replicas.recordFailure(replica, Now);
    }
    CHECK(replica.failures == 1);
    CHECK(replica.backoffUntil == Now + absl::Milliseconds(300));
}

// Guards against overloaded replicas and unsuitable weight versions: more items than the four slots of two replicas.
TEST_CASE("items go only to free slots of replicas with a suitable weight version")
{
    ReplicaTable replicas = table();
    replicas.update(entry("a"));
    replicas.update(entry("b"));
    for (int i = 0; i < 4; ++i) {
        Replica *replica = replicas.chooseForItem(need(), {}, Now);
        REQUIRE(replica != nullptr);
        ++replica->inFlight;
    }
    CHECK(replicas.chooseForItem(need(), {}, Now) == nullptr);
    replicas.find("a")->inFlight = 0;
    CHECK(replicas.chooseForItem(need(4), {}, Now) == nullptr);
    ReplicaTable::ItemRequirements exact = need();
    exact.exactVersion = 2;
    CHECK(replicas.chooseForItem(exact, {}, Now) == nullptr);
}

// One of three replicas has become four times slower. Items may go there only if no other slot is free.
TEST_CASE("slow replicas are chosen last and are tried again later")
{
    ReplicaTable replicas = table();
    for (const char *id : {"a", "b", "c"}) {
        replicas.update(entry(id));
        replicas.find(id)->eventGap = absl::Milliseconds(*id == 'a' ? 160 : 40);
        replicas.find(id)->lastEventAt = Now;
    }
    for (int i = 0; i < 4; ++i) {
        Replica *replica = replicas.chooseForItem(need(), {}, Now);
        REQUIRE(replica != nullptr);
        CHECK(replica->entry.id != "a");
        ++replica->inFlight;
    }
    CHECK(replicas.chooseForItem(need(), {}, Now)->entry.id == "a");
    replicas.expire(Now + absl::Seconds(4));
    CHECK(replicas.find("a")->eventGap == absl::ZeroDuration());
}

// Load: machines that are shared for half a second. Guards against items that avoid a replica long after its slow
// spell, and against items sent into a spell that a smoothed gap doesn't show yet.
TEST_CASE("a slow spell counts while it is seen, as long again without newer events, and not after a fast one")
{
    const auto ms = [](double number) { return absl::Milliseconds(number); };
    const absl::Duration fast = ms(48);
    ReplicaTable replicas = table();
    for (const char *id : {"a", "b"}) {
        replicas.update(entry(id));
        for (int i = 0; i < 20; ++i) {
            ReplicaTable::recordEventGap(*replicas.find(id), fast, fast, Now);
        }
    }
    Replica &a = *replicas.find("a");
    const Instant seen = Now + ms(240);
    ReplicaTable::recordEventGap(a, ms(120), fast, Now + ms(120));
    ReplicaTable::recordEventGap(a, ms(120), fast, seen);
    CHECK(a.eventGap < ms(72)); // The smoothed gap lags behind.
    CHECK(replicas.presentGap(a, fast, seen + ms(200)) == ms(120));
    CHECK(replicas.chooseForItem(need(), {}, seen)->entry.id == "b");
    CHECK(replicas.presentGap(a, fast, seen + ms(300)) == absl::ZeroDuration());
    ReplicaTable::recordEventGap(a, fast, fast, seen + fast);
    CHECK(replicas.presentGap(a, fast, seen + fast) == fast);
    CHECK(replicas.chooseForItem(need(), {}, seen + fast)->entry.id == "a");
    // A report that is newer than the last event counts, for a short time.
    ReplicaTable::recordLoad(a, ReplicaLoad{1, 0, 2, 2.5}, seen + ms(100));
    CHECK(replicas.chooseForItem(need(), {}, seen + ms(100))->entry.id == "b");
    CHECK(replicas.chooseForItem(need(), {}, seen + ms(400))->entry.id == "a");
}

// Guards against a choice that changes where nothing was measured.
TEST_CASE("without event gaps and reported paces the least loaded replica is chosen, the preferred one first")
{
    ReplicaTable replicas = table();
    for (const char *id : {"a", "b"}) {
        replicas.update(entry(id));
        ReplicaTable::recordLoad(*replicas.find(id), ReplicaLoad{1, 0, 2}, Now);
    }
    CHECK(replicas.fastEventGap(need()) == absl::ZeroDuration());
    replicas.find("a")->inFlight = 1;
    CHECK(replicas.chooseForItem(need(), {}, Now)->entry.id == "b");
    ReplicaTable::ItemRequirements preferred = need();
    preferred.preferred = "a";
    CHECK(replicas.chooseForItem(preferred, {}, Now)->entry.id == "a");
}

// Load: a training step on 31 replicas of the same speed, whose measured gaps differ by up to an eighth. Guards against
// items that are moved off sound replicas because the shortest of 31 measurements is far below the speed of any
// replica.
TEST_CASE("replicas of the same speed count as equally fast although measurements are noisy")
{
    constexpr int Rounds = 100;
    constexpr int Replicas = 31;
    constexpr double MoveFactor = 1.2; // The smallest factor by which an item is moved.
    std::mt19937 random(1);
    std::uniform_real_distribution<double> noise(0.875, 1.125);
    std::ptrdiff_t slow = 0;
    for (int round = 0; round < Rounds; ++round) {
        CAPTURE(round);
        ReplicaTable replicas = table();
        for (int i = 0; i < Replicas; ++i) {
            const std::string id = "r" + std::to_string(i);
            replicas.update(entry(id));
            replicas.find(id)->eventGap = absl::Milliseconds(38) * noise(random);
        }
        const absl::Duration fast = replicas.fastEventGap(need());
        slow += std::count_if(replicas.all().begin(), replicas.all().end(),
                              [fast](const auto &item) { return item.second.eventGap > fast * MoveFactor; });
        // A replica at half the speed of the others is still noticed.
        replicas.find("r0")->eventGap = absl::Milliseconds(76);
        CHECK(replicas.find("r0")->eventGap > replicas.fastEventGap(need()) * MoveFactor);
    }
    // One in fifty at most; the shortest gap as the reference would make it one in four.
    CHECK(slow <= Rounds * Replicas / 50);
}

// Guards against requests to another region while a replica in the same availability zone is free.
TEST_CASE("nearby replicas are preferred")
{
    ReplicaTable replicas = table();
    replicas.update(entry("a", "z3"));
    replicas.update(entry("b", "z1"));
    CHECK(replicas.chooseForRequest("s", {}, Now)->entry.id == "b");
    replicas.recordFailure(*replicas.find("b"), Now);
    CHECK(replicas.chooseForRequest("s", {}, Now)->entry.id == "a");
}

TEST_CASE("the route with the longest matching path prefix is chosen, and services are picked by weight")
{
    GatewayConfig config;
    for (const char *prefix : {"/a/", "/a/b/", "/c/"}) {
        Route route;
        route.name = prefix;
        route.host = "h.example";
        route.pathPrefix = prefix;
        route.services = {{"x", 1}, {"y", 3}};
        config.routes.push_back(route);
    }
    CHECK(config.findRoute("h.example", "/a/b/c")->name == "/a/b/");
    CHECK(config.findRoute("H.Example:8080", "/a/x")->name == "/a/");
    CHECK(config.findRoute("h.example", "/a") == nullptr);
    CHECK(config.findRoute("other.example", "/a/") == nullptr);
    // Items of jobs are sent to routes for jobs only: another path may be a call that replicas trust.
    config.routes.front().kind = RouteKind::Rollout;
    CHECK(config.isRolloutPath("h.example", config.routes.front().pathPrefix + "x"));
    CHECK_FALSE(config.isRolloutPath("h.example", "/api/order"));
    CHECK_FALSE(config.isRolloutPath("other.example", config.routes.front().pathPrefix + "x"));
    // Guards against a process that ends because it picks among no services.
    Route empty;
    empty.host = "h.example";
    empty.pathPrefix = "/empty/";
    config.routes.push_back(empty);
    CHECK(config.findRoute("h.example", "/empty/x") == nullptr);
    int toY = 0;
    for (int i = 0; i < 1000; ++i) {
        toY += GatewayConfig::pickService(config.routes[0], std::to_string(i)) == "y" ? 1 : 0;
    }
    CHECK(toY > 650);
    CHECK(toY < 850);
}

// Guards against clients that find all slots taken by background calls, this node's or another's.
TEST_CASE("background calls leave a third of the slots free and avoid replicas in backoff")
{
    ReplicaTable replicas = table();
    for (const char *id : {"a", "b"}) {
        ReplicaEntry large = entry(id);
        large.slots = 6;
        replicas.update(large);
    }
    Replica &a = *replicas.find("a");
    Replica &b = *replicas.find("b");
    a.inFlight = 4;
    CHECK(replicas.chooseForBackground("s", {}, Now) == &b);
    ReplicaTable::recordLoad(b, ReplicaLoad{3, 1, 6}, Now);
    CHECK(replicas.chooseForBackground("s", {}, Now) == nullptr);
    CHECK(replicas.chooseForRequest("s", {}, Now) != nullptr);
    // The report is out of date after a second.
    CHECK(replicas.chooseForBackground("s", {}, Now + absl::Seconds(1)) == &b);
    replicas.recordFailure(b, Now + absl::Seconds(1));
    CHECK(replicas.chooseForBackground("s", {}, Now + absl::Seconds(1)) == nullptr);
}

// Guards against background calls that never run because a replica has too few slots to keep one free.
TEST_CASE("a replica with one slot takes a background call")
{
    ReplicaTable replicas = table();
    ReplicaEntry small = entry("a");
    small.slots = 1;
    replicas.update(small);
    CHECK(replicas.chooseForBackground("s", {}, Now) != nullptr);
}

// Guards against nodes that together overload a service: seeded nodes send as much as their limits allow to a service
// that refuses what exceeds its capacity.
TEST_CASE("the limits of several nodes settle near the capacity of a service")
{
    constexpr int Nodes = 12;
    constexpr int Capacity = 24;
    constexpr int Rounds = 400;
    std::vector<ConcurrencyLimit> limits(Nodes);
    int sent = 0;
    int refused = 0;
    Instant now = Now;
    for (int round = 0; round < Rounds; ++round) {
        now = now + absl::Milliseconds(100);
        int running = 0;
        for (int i = 0; i < Nodes; ++i) {
            // The order changes from round to round, so that the refusals fall to different nodes.
            ConcurrencyLimit &limit = limits[static_cast<std::size_t>((i + round) % Nodes)];
            int taken = 0;
            while (limit.tryAcquire()) {
                ++taken;
            }
            for (int call = 0; call < taken; ++call) {
                limit.release();
                if (round >= Rounds / 2) {
                    ++sent;
                }
                if (++running <= Capacity) {
                    limit.recordSuccess();
                } else {
                    refused += round >= Rounds / 2 ? 1 : 0;
                    limit.recordCongestion(now);
                }
            }
        }
    }
    CHECK(refused < sent / 4);
    // At least half of the capacity is used.
    CHECK(sent - refused > Rounds / 2 * Capacity / 2);
    for (const ConcurrencyLimit &limit : limits) {
        CHECK(limit.limit() >= 1);
        CHECK(limit.inUse() == 0);
    }
}
