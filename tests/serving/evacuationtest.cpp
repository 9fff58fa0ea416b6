// Evacuated zones and cold replicas: merging of views, choice of replicas, and the rate of permits.
#include "serving/evacuations.h"
#include "serving/permitledger.h"
#include "serving/replicatable.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace currantlug;
using namespace currantlug::serving;

namespace {

const Instant Start(absl::Seconds(1000));

Instant at(double seconds)
{
    return Start + absl::Seconds(seconds);
}

ReplicaEntry entry(const std::string &id, const std::string &zone, std::optional<absl::Duration> coldLeft = {})
{
    ReplicaEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.availabilityZone = zone;
    entry.slots = 4;
    entry.startedAtMs = 1;
    entry.weightVersions["m"] = 3;
    entry.coldLeft = coldLeft;
    return entry;
}

const std::map<std::string, ColdRule> Rules{{"s", {absl::Seconds(3), 7.7}}};

} // namespace

// Guards against an older view that undoes a newer one, and against ends of evacuations that a node never hears of.
TEST_CASE("the view of the newest store revision replaces the others")
{
    Evacuations known;
    CHECK_FALSE(known.isKnown());
    CHECK(known.merge({5, {"a"}, {}}, Start) == std::vector<EvacuationChange>{{"a", true}});
    CHECK(known.merge({4, {}, {}}, Start).empty());
    CHECK(known.view().zones.contains("a"));
    CHECK(known.merge({8, {}, {}}, Start) == std::vector<EvacuationChange>{{"a", false}});
    // Zone b was evacuated and freed again between two views; the end of a is known already.
    CHECK(known.merge({12, {}, {{"a", 8}, {"b", 11}}}, Start) == std::vector<EvacuationChange>{{"b", false}});
    CHECK(known.view().ended.contains("b"));
    known.expire(Start + Evacuations::EndedTtl * 2);
    CHECK(known.view().ended.empty());
}

// Guards against a way of choosing that still sends something to an evacuated zone, or to none after its end.
TEST_CASE("no choice returns a replica of an evacuated zone")
{
    ReplicaTable replicas{ReplicaTableSettings{}};
    replicas.update(entry("r", "a"), Start);
    ReplicaTable::ItemRequirements need;
    need.service = "s";
    need.model = "m";
    const auto chosen = [&] {
        return std::vector<bool>{replicas.chooseForRequest("s", {}, at(1)) != nullptr,
                                 replicas.chooseForBackground("s", {}, at(1)) != nullptr,
                                 replicas.chooseForItem(need, {}, at(1)) != nullptr};
    };
    CHECK(chosen() == std::vector<bool>{true, true, true});
    replicas.setEvacuated("a", true, at(1));
    CHECK(chosen() == std::vector<bool>{false, false, false});
    replicas.setEvacuated("a", false, at(1));
    CHECK(chosen() == std::vector<bool>{true, true, true});
}

// Guards against changed choices in deployments without cold replicas.
TEST_CASE("replicas of services without a cold rule are never limited by it")
{
    ReplicaTable replicas{ReplicaTableSettings{}};
    replicas.update(entry("r", "a", absl::Seconds(9)), Start);
    replicas.setEvacuated("a", true, Start);
    replicas.setEvacuated("a", false, Start);
    Replica *replica = replicas.find("r");
    replicas.recordFailure(*replica, Start);
    CHECK_FALSE(replica->isCold(Start));
    CHECK_FALSE(replica->limitAt(Start));
    CHECK(ReplicaTable::hasPermit(*replica, Start));
}

// Guards against full load on replicas that have just started, returned or failed.
TEST_CASE("a replica is cold after its start, by its registration, after an evacuation and after a failure")
{
    ReplicaTable replicas{ReplicaTableSettings{}};
    replicas.update(entry("before", "a"), Start);
    replicas.setColdRules(Rules); // The configuration may come after the registrations.
    replicas.update(entry("new", "a"), Start);
    replicas.update(entry("warm", "a", absl::ZeroDuration()), Start);
    replicas.update(entry("stated", "a", absl::Seconds(5)), Start);
    CHECK(replicas.find("before")->isCold(at(2.9)));
    CHECK_FALSE(replicas.find("before")->isCold(at(3)));
    CHECK(replicas.find("new")->isCold(at(2.9)));
    CHECK_FALSE(replicas.find("warm")->isCold(Start));
    CHECK(replicas.find("stated")->isCold(at(4.9)));
    CHECK(replicas.chooseForRequest("s", {}, Start)->entry.id == "warm");

    Replica *replica = replicas.find("warm");
    replicas.recordFailure(*replica, at(10));
    CHECK_FALSE(ReplicaTable::hasPermit(*replica, at(60))); // Also the request that tests it needs a permit.
    replicas.recordSuccess(*replica, at(60));
    CHECK(replica->isCold(at(62.9)));
    CHECK_FALSE(replica->isCold(at(63)));
    replicas.recordFailure(*replica, at(70));
    replicas.update(entry("warm", "a", absl::ZeroDuration()), at(71));
    CHECK(replica->isCold(at(73.9)));
    CHECK_FALSE(replica->isCold(at(74)));

    replicas.setEvacuated("a", true, at(80));
    replicas.setEvacuated("a", false, at(90));
    CHECK(replica->isCold(at(92.9)));
    CHECK(replica->limitAt(at(92.9)) == 7.7);
    CHECK_FALSE(replica->limitAt(at(93)));
    ReplicaEntry restarted = entry("warm", "a");
    restarted.startedAtMs = 2;
    replicas.update(restarted, at(100));
    CHECK(replicas.find("warm")->isCold(at(102.9)));
}

// Guards against a burst that crashes a cold replica, at the worst late use of permits and with a change of issuer.
TEST_CASE("permits of a cold replica stay within the bound of any second")
{
    constexpr double Over = 1.5;
    for (const auto &[rate, slack] :
         {std::pair(7.7, 5.0), std::pair(2.0, 5.0), std::pair(40.0, 5.0), std::pair(7.7, 1.0)}) {
        CAPTURE(rate, slack);
        const ColdSchedule schedule = coldSchedule(rate, Over, slack);
        PermitRequest request;
        request.replica = {"r", "10.0.0.1:80", 1};
        request.requestsPerSecond = schedule.requestsPerSecond;
        request.burstTime = schedule.burstTime;
        request.maxWait = absl::Milliseconds(100);
        PermitLedger first({});
        PermitLedger second({});
        std::vector<Instant> usable;
        for (double time = 0; time < 20; time += 0.005) {
            const bool idle = time > 4 && time < 8; // A burst follows.
            if (idle) {
                continue;
            }
            if (time >= 12 && time < 12.005) {
                second.recordMembershipChange(at(time));
            }
            request.replica.startedAtMs = time < 15 ? 1 : 2; // It restarts.
            for (const absl::Duration delay : (time < 12 ? first : second).issue(request, at(time)).delays) {
                usable.push_back(at(time) + delay);
            }
        }
        // Permits that become usable in 1.35 s may be used and arrive within the same second.
        int most = 0;
        for (const Instant begin : usable) {
            most = std::max(most, static_cast<int>(std::count_if(usable.begin(), usable.end(), [&](Instant other) {
                                return other >= begin && other < begin + absl::Milliseconds(1350);
                            })));
        }
        CHECK(most <= rate * Over + slack);
        CHECK(usable.size() >= 0.8 * schedule.requestsPerSecond * 14);
    }
}
