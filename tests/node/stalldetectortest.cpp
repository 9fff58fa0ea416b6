// Tests of what the detector reports of late ticks.
#include "node/stalldetector.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::node;

namespace {

const Instant Start(absl::Seconds(1000));

StallDetectorSettings everyTenthOfASecond()
{
    StallDetectorSettings settings;
    settings.period = absl::Milliseconds(100);
    return settings;
}

} // namespace

// Guards against a process that stands still without a trace: whether it worked or wasn't run must be told apart.
TEST_CASE("a late tick is reported with the processor time used since the one before")
{
    StallDetector detector(everyTenthOfASecond());
    CHECK_FALSE(detector.onTick(Start, absl::Seconds(5)));
    CHECK_FALSE(detector.onTick(Start + absl::Milliseconds(349), absl::Milliseconds(5010)));
    CHECK(detector.longest() == absl::Milliseconds(249));
    const auto stall = detector.onTick(Start + absl::Milliseconds(1449), absl::Milliseconds(5910));
    REQUIRE(stall);
    CHECK(stall->delay == absl::Seconds(1));
    CHECK(stall->processorTime == absl::Milliseconds(900));
    CHECK_FALSE(detector.onTick(Start + absl::Milliseconds(1549), absl::Milliseconds(5920)));
    CHECK(detector.longest() == absl::Seconds(1));
}
