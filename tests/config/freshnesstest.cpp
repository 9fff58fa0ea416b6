// When a daemon may serve: a random model for safety, directed runs for service in an outage.
#include "config/freshnessmodel.h"

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
    std::map<Serving, int> served;
    CHECK(seedsWithViolation({}, 300, served) == 0);
    // The runs must have reached each decision often.
    CHECK(served[Serving::Fresh] > 10000);
    CHECK(served[Serving::OutageMode] > 10000);
    CHECK(served[Serving::Isolated] > 10000);
}

TEST_CASE("the model finds violations without the majority rule", "[config][property]")
{
    // Guards against a model too tame to test anything.
    std::map<Serving, int> served;
    CHECK(seedsWithViolation({.requireMajority = false}, 30, served) > 0);
}
