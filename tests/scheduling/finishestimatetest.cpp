// Finishing time of items at slow replicas, and the moves that follow from it.
#include "scheduling/finishestimate.h"
#include "scheduling/learnedrates.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

using namespace currantlug::scheduling;

namespace {

ReplicaPace pace(double presentMs = 0, double slowForMs = 0)
{
    ReplicaPace pace;
    pace.distance = absl::Milliseconds(10);
    pace.readRate = 346;
    pace.usualGap = absl::Milliseconds(48);
    pace.presentGap = absl::Milliseconds(presentMs);
    pace.slowFor = absl::Milliseconds(slowForMs);
    return pace;
}

/// Replicas whose machines are shared 15 % of the time, in spells of 600 ms on average.
class SharedMachines
{
public:
    SharedMachines(unsigned seed, int count)
        : random_(seed)
        , nextChange_(static_cast<std::size_t>(count))
        , slow_(static_cast<std::size_t>(count))
    {
        for (std::size_t i = 0; i < slow_.size(); ++i) {
            slow_[i] = std::uniform_real_distribution<>(0, 1)(random_) < 0.15;
            nextChange_[i] = spell(slow_[i]);
        }
    }

    void advance(double nowMs)
    {
        for (std::size_t i = 0; i < slow_.size(); ++i) {
            while (nextChange_[i] <= nowMs) {
                slow_[i] = !slow_[i];
                nextChange_[i] += spell(slow_[i]);
            }
        }
    }
    bool isSlow(std::size_t replica) const { return slow_[replica]; }
    std::size_t fastOne()
    {
        std::size_t replica = 0;
        do {
            replica = std::uniform_int_distribution<std::size_t>(0, slow_.size() - 1)(random_);
        } while (slow_[replica]);
        return replica;
    }

private:
    double spell(bool slow) { return std::exponential_distribution<>(1 / (slow ? 600.0 : 3400.0))(random_); }

    std::mt19937 random_;
    std::vector<double> nextChange_;
    std::vector<bool> slow_;
};

struct Run
{
    double finishMs = 0;
    int moves = 0;
};

/// Runs an item of 152 events of 48 ms. It is moved between two events where the estimate says so.
Run runItem(unsigned seed, bool moves)
{
    constexpr double EventMs = 48;
    constexpr double Events = 152;
    constexpr double EventTokens = 84;
    SharedMachines machines(seed, 45);
    std::size_t at = seed % 45;
    double work = 0;
    double lastEvent = 0;
    double slowSince = 0;
    double slowEvents = 0;
    double delayedUntil = 0; // By a move.
    bool firstEvent = true;
    Run run;
    double made = 0;
    for (double now = 1; made < Events; ++now) {
        machines.advance(now);
        if (now > delayedUntil) {
            work += machines.isSlow(at) ? 0.4 : 1;
        }
        run.finishMs = now;
        if (work < EventMs) {
            continue;
        }
        work = 0;
        ++made;
        const double gap = now - lastEvent;
        if (std::exchange(firstEvent, false) || gap <= EventMs * 1.2) {
            slowEvents = 0;
        } else if (slowEvents++ == 0) {
            slowSince = lastEvent;
        }
        lastEvent = now;
        const double textTokens = made * EventTokens;
        if (moves && slowEvents > 0
            && estimateMove({textTokens, eventsLeft(Events, made)},
                            pace((now - slowSince) / slowEvents, now - slowSince), pace())
                   .pays()) {
            at = machines.fastOne();
            delayedUntil = now + 10 + textTokens / 346;
            slowEvents = 0;
            firstEvent = true;
            ++run.moves;
        }
    }
    return run;
}

} // namespace

// Guards against an estimate that expects a spell of half a second to last until a long item ends, which moves items
// without end, and against one that expects a short item to outlast it.
TEST_CASE("a slow spell is expected to last as long again as it was seen, and no longer than the item")
{
    // 240 ms of the rest of the spell at 120 ms an event, the other 98 events at the usual pace.
    CHECK(finishTime({0, 100}, pace(120, 240)) == absl::Milliseconds(10 + 240 + 98 * 48));
    CHECK(finishTime({0, 1}, pace(120, 240)) == absl::Milliseconds(10 + 120));
    CHECK(finishTime({3460, 1}, pace()) == absl::Milliseconds(10 + 10 + 48));
    CHECK(expectedRest(absl::Minutes(1)) == MaxSpellRest);
}

// Guards against moves that cost more than the rest of the spell, and against none in a long one.
TEST_CASE("a move pays once the expected rest of the spell exceeds its cost")
{
    const ItemWork longItem{8400, 80};
    CHECK_FALSE(estimateMove(longItem, pace(72, 72), pace()).pays());
    CHECK_FALSE(estimateMove(longItem, pace(120, 120), pace()).pays());
    CHECK(estimateMove(longItem, pace(120, 240), pace()).pays());
    CHECK_FALSE(estimateMove({8400, 1}, pace(120, 240), pace()).pays());
    // Hints are too short by a factor of up to three.
    CHECK(eventsLeft(50, 100) == 50);
    CHECK(eventsLeft(150, 30) == 120);
}

// Load: 300 items of 152 events on machines that are shared 15 % of the time. Guards against moves that make long items
// later than no move at all, in the mean or among the latest tenth.
TEST_CASE("moves by the estimate end long items sooner than staying")
{
    constexpr unsigned Items = 300;
    std::vector<double> stayed;
    std::vector<double> moved;
    int moves = 0;
    for (unsigned seed = 1; seed <= Items; ++seed) {
        stayed.push_back(runItem(seed, false).finishMs);
        const Run run = runItem(seed, true);
        moved.push_back(run.finishMs);
        moves += run.moves;
    }
    std::sort(stayed.begin(), stayed.end());
    std::sort(moved.begin(), moved.end());
    for (const double quantile : {0.5, 0.9, 0.99}) {
        const auto rank = static_cast<std::size_t>(quantile * Items);
        CAPTURE(quantile, stayed[rank], moved[rank], moves);
        CHECK(moved[rank] < stayed[rank]);
    }
}

// Guards against a reading rate that one late event spoils, and lengths in tokens that are compared with events.
TEST_CASE("rates are learned from ended items and first events")
{
    LearnedRates rates;
    CHECK(rates.tokensPerEvent() == 0);
    rates.recordItem(0, 20);
    for (int i = 0; i < 100; ++i) {
        rates.recordItem(i % 2 == 0 ? 840 : 3360, 25);
        rates.recordFirstEvent(6920, absl::Milliseconds(48 + 20), absl::Milliseconds(48));
    }
    CHECK(rates.tokensPerEvent() == Approx(84).epsilon(0.02));
    CHECK(rates.readRate() == Approx(346).epsilon(0.01));
    rates.recordFirstEvent(6920, absl::Milliseconds(500), absl::Milliseconds(48));
    CHECK(rates.readRate() > 200);
}
