// Demand of the trainers, and the replicas that each model gets.
#include "scheduling/modelshares.h"

#include <catch2/catch.hpp>

#include <numeric>

using namespace currantlug;
using namespace currantlug::scheduling;

namespace {

Instant at(double seconds)
{
    return Instant(absl::Seconds(1000 + seconds));
}

const std::vector<std::string> Models{"m0", "m1", "m2", "m3"};

int sumOf(const ReplicaCounts &counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0,
                           [](int sum, const auto &entry) { return sum + entry.second; });
}

} // namespace

// Load: four trainers submit a job every 4 s, one of them with a third of the work of the others. Guards against a
// trainer that waits several times as long as another one for its last item.
TEST_CASE("replicas are shared so that the slowest trainer waits little longer than the fastest")
{
    const DemandByModel demand{{"m0", 1300}, {"m1", 4000}, {"m2", 4000}, {"m3", 4500}};
    ModelShares shares;
    REQUIRE(shares.update(45, Models, demand));
    CHECK(sumOf(shares.counts()) == 45);
    double longest = 0;
    double longestEqual = 0;
    double shortest = 1e9;
    for (const auto &[model, work] : demand) {
        const double wait = work.tokensPerSecond / shares.counts().at(model);
        longest = std::max(longest, wait);
        shortest = std::min(shortest, wait);
        longestEqual = std::max(longestEqual, work.tokensPerSecond / (45 / 4));
    }
    CHECK(longest < longestEqual * 0.85);
    CHECK(longest < shortest * 1.6);
}

// Guards against a model that loses all of its replicas to the others because its demand is small or estimated wrongly.
TEST_CASE("each model keeps a floor share")
{
    ModelShares shares;
    REQUIRE(shares.update(40, Models, {{"m0", 1}, {"m1", 1e6}, {"m2", 1e6}, {"m3", 1e6}}));
    CHECK(shares.counts().at("m0") == 5);
    CHECK(sumOf(shares.counts()) == 40);
    ModelShares few;
    REQUIRE(few.update(4, Models, {{"m0", 1}, {"m1", 10}, {"m2", 10}, {"m3", 10}}));
    for (const std::string &model : Models) {
        CHECK(few.counts().at(model) == 1);
    }
}

// Guards against loads of weights that gain nothing: shares stay equal while demands are alike or unknown, and uneven
// ones follow only a lasting change.
TEST_CASE("shares change only where demand calls for it")
{
    ModelShares shares;
    CHECK_FALSE(shares.update(45, Models, {}));
    CHECK_FALSE(shares.update(45, Models, {{"m0", 1000}, {"m1", 4000}, {"m2", 4000}}));
    CHECK_FALSE(shares.update(45, Models, {{"m0", 3000}, {"m1", 4000}, {"m2", 4000}, {"m3", 4000}}));
    CHECK(shares.counts().empty());
    REQUIRE(shares.update(45, Models, {{"m0", 1300}, {"m1", 4000}, {"m2", 4000}, {"m3", 4500}}));
    const ReplicaCounts before = shares.counts();
    CHECK_FALSE(shares.update(45, Models, {{"m0", 1500}, {"m1", 4200}, {"m2", 3800}, {"m3", 4300}}));
    CHECK(shares.counts() == before);
    CHECK(shares.update(44, Models, {{"m0", 1300}, {"m1", 4000}, {"m2", 4000}, {"m3", 4500}}));
    CHECK(sumOf(shares.counts()) == 44);
}

// Guards against a trainer whose demand seems to change because its steps are late, or because it catches up.
TEST_CASE("demand depends on the work of a job and not on the time between jobs")
{
    DemandMeter meter;
    for (const double submitted : {0.0, 4.0, 14.0, 15.0, 16.0}) {
        meter.recordJob("m0", 4000, absl::Seconds(8), at(submitted));
        CHECK(meter.demand(at(submitted)).at("m0").tokensPerSecond == Approx(500));
    }
    meter.recordJob("m0", 8000, absl::Seconds(8), at(20));
    CHECK(meter.demand(at(20)).at("m0").tokensPerSecond == Approx(750));
    meter.recordJob("m1", 800, absl::InfiniteDuration(), at(20));
    CHECK(meter.demand(at(20)).at("m1").tokensPerSecond == Approx(100));
    meter.recordJob("", 800, absl::Seconds(8), at(20));
    CHECK(meter.demand(at(20)).size() == 2);
    CHECK(meter.demand(at(51)).empty());
}

// Guards against replicas ordered for one large step.
TEST_CASE("the items of a job are smoothed")
{
    DemandMeter meter;
    for (const std::size_t items : {100, 100, 300}) {
        meter.recordJob("m0", 4000, absl::Seconds(8), at(0), items);
    }
    CHECK(meter.demand(at(0)).at("m0").items == Approx(200));
}

// Guards against a model without replicas after its host was lost, and against a trainer that counts twice because its
// former and its present host report it.
TEST_CASE("the demand of a lost host counts for some seconds, and once")
{
    DemandBook book;
    book.record("n1", {{"m0", 1000}, {"m1", 500}}, at(0));
    book.record("n2", {{"m0", 900}}, at(4));
    CHECK(book.demand(at(5)) == DemandByModel{{"m0", 1000}, {"m1", 500}});
    CHECK(book.demand(at(12)) == DemandByModel{{"m0", 900}});
    book.record("n2", {}, at(12));
    CHECK(book.demand(at(12)) == DemandByModel{{"m0", 900}});
    CHECK(book.demand(at(30)).empty());
}
