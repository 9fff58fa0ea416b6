// When a daemon may serve: a random model for safety, directed runs for service in an outage.
#include "config/freshnessmodel.h"
#include "fakes/seeds.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::config;

namespace {

// Runs the model with many seeds and returns how many of them show a violation.
int seedsWithViolation(const FreshnessSettings &settings, std::uint64_t seeds, std::map<Serving, int> &served)
{
    int violating = 0;
    std::size_t accepted = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        FreshnessModel model({.seed = seed, .settings = settings});
        model.run(150);
        if (model.violations > 0) {
            ++violating;
            UNSCOPED_INFO("violation with seed " << seed);
        }
        accepted += model.accepted();
        for (const auto &[serving, count] : model.served) {
            served[serving] += count;
        }
    }
    CHECK(accepted > seeds);
    return violating;
}

} // namespace

TEST_CASE("no daemon serves without a ticket accepted before", "[config][property]")
{
    // Guards against a withdrawn key that still works on some daemon.
    constexpr std::uint64_t Seeds = fakes::seedCount(400);
    std::map<Serving, int> served;
    CHECK(seedsWithViolation({}, Seeds, served) == 0);
    // The runs must have reached each decision often.
    for (const Serving serving : {Serving::Fresh, Serving::OutageMode, Serving::Isolated}) {
        CAPTURE(nameOf(serving));
        CHECK(served[serving] > static_cast<int>(25 * Seeds));
    }
}

TEST_CASE("the model finds violations without the majority rule", "[config][property]")
{
    // Guards against a model too tame to test anything.
    std::map<Serving, int> served;
    CHECK(seedsWithViolation({.requireMajority = false}, 30, served) > 0);
}

TEST_CASE("an outage or a slow store stops no daemon, not even one that restarts", "[config]")
{
    // Guards against a system that rejects all work because the store is away, or answers too late to be fresh.
    const bool slow = GENERATE(false, true);
    FreshnessModel model({.seed = 3, .faults = false});
    model.run(20);
    REQUIRE(model.count(Serving::Fresh) == 5);
    model.served.clear();
    model.setStore(slow, 400);
    model.run(100);
    CHECK(model.served[Serving::Isolated] == 0);
    CHECK(model.served[Serving::OutageMode] > 1000);
    model.restartDaemon(4);
    model.run(3);
    CHECK(model.count(Serving::Isolated) == 1);
    model.run(9);
    CHECK(model.count(Serving::Isolated) == 0);
    CHECK(model.violations == 0);
}

TEST_CASE("the daemons that a partition cuts off stop within 8 s and come back", "[config]")
{
    FreshnessModel model({.seed = 4, .faults = false});
    model.run(20);
    model.splitOff(2);
    model.run(8.1);
    CHECK(model.count(Serving::Isolated) == 2);
    CHECK(model.count(Serving::Fresh) == 3);
    model.splitOff(0);
    model.run(4);
    CHECK(model.count(Serving::Fresh) == 5);
    // The majority goes on without the store while the minority, cut off from both, does not.
    model.setStore(false);
    model.splitOff(2);
    model.run(30);
    CHECK(model.count(Serving::OutageMode) == 3);
    CHECK(model.count(Serving::Isolated) == 2);
}

TEST_CASE("a restarted daemon synchronises in an outage only after its lost acknowledgements have expired", "[config]")
{
    // Guards against this sequence: b acknowledges a ticket and restarts; c, d and e have not got it yet; b
    // synchronises from them; c acknowledges, and the filer counts a, b and c; then b, d and e serve without the
    // accepted ticket.
    const std::vector<DaemonId> members{DaemonId("a"), DaemonId("b"), DaemonId("c"), DaemonId("d"), DaemonId("e")};
    const Instant restarted(absl::Seconds(100));
    FreshnessTracker tracker(DaemonId("b"), {}, restarted);
    tracker.applyMembers({3, members, {}}, restarted);
    const auto answersAt = [&](double seconds, std::uint64_t head, std::uint64_t version) {
        const Instant at = restarted + absl::Seconds(seconds);
        for (std::size_t i = 2; i < members.size(); ++i) {
            tracker.recordAnswer(members[i], {true, true, head, absl::Seconds(60), version}, at, at);
        }
        return tracker.synchronised();
    };
    CHECK_FALSE(answersAt(5.9, 0, 3));
    CHECK_FALSE(answersAt(6.5, 4, 3)); // A head that it does not hold yet.
    tracker.applyHead(4, restarted + absl::Seconds(6.6));
    CHECK(tracker.synchronised());
    CHECK(tracker.decide(restarted + absl::Seconds(6.6)) == Serving::OutageMode);
    CHECK(tracker.ownAttestation(restarted + absl::Seconds(6.6)).attested);
    CHECK(tracker.decide(restarted + absl::Seconds(8.6)) == Serving::Isolated);
    CHECK(answersAt(9, 4, 4));
    CHECK(tracker.decide(restarted + absl::Seconds(9)) == Serving::Isolated); // A newer member list exists.
}

TEST_CASE("a new member attests only on what it read after its list took effect", "[config]")
{
    // Guards against a majority of new members that read the head before the old majority accepted a ticket.
    const Instant start(absl::Seconds(100));
    FreshnessTracker tracker(DaemonId("n"), {}, start);
    const auto attestsAt = [&](double seconds) {
        return tracker.ownAttestation(start + absl::Seconds(seconds)).attested;
    };
    const auto confirm = [&](double asOf) { tracker.confirm(0, start + absl::Seconds(asOf), start); };
    confirm(1);
    tracker.applyMembers({2, {DaemonId("a"), DaemonId("n")}, {DaemonId("a")}}, start + absl::Seconds(2));
    CHECK_FALSE(attestsAt(5));
    tracker.applyMembers({2, {DaemonId("a"), DaemonId("n")}, {}}, start + absl::Seconds(6));
    confirm(5.9);
    CHECK_FALSE(attestsAt(7));
    confirm(7);
    CHECK(attestsAt(8));
}
