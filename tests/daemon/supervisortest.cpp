// The supervisor: start order, restart of a failing part, and giving up.
#include "daemon/supervisor.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::daemon;

namespace {

ChildSpec recordingChild(const std::string &name, std::vector<std::string> &events, bool startsWell = true)
{
    return {name,
            [name, &events, startsWell] {
                events.push_back("start " + name);
                return startsWell ? absl::OkStatus() : absl::InternalError("no");
            },
            [name, &events] { events.push_back("stop " + name); }, nullptr};
}

} // namespace

TEST_CASE("parts stop in reverse order, also when a later one does not start", "[daemon]")
{
    // Guards against a part that is stopped while parts that use it still run.
    std::vector<std::string> events;
    Supervisor supervisor;
    supervisor.add(recordingChild("a", events));
    supervisor.add(recordingChild("b", events));
    supervisor.add(recordingChild("c", events, false));
    CHECK_FALSE(supervisor.start().ok());
    CHECK(events == std::vector<std::string>{"start a", "start b", "start c", "stop b", "stop a"});
}

TEST_CASE("a part that keeps failing ends the process instead of being restarted for ever", "[daemon]")
{
    Supervisor supervisor;
    int starts = 0;
    supervisor.add({"a",
                    [&] {
                        ++starts;
                        return absl::OkStatus();
                    },
                    [] {}, [] { return absl::InternalError("broken"); }});
    REQUIRE(supervisor.start().ok());
    Instant now;
    bool gaveUp = false;
    for (int second = 0; second < 60 && !gaveUp; ++second) {
        now = now + absl::Seconds(1);
        gaveUp = !supervisor.tick(now).ok();
    }
    CHECK(gaveUp);
    CHECK(starts == 1 + 5);
}

TEST_CASE("rare failures never add up to giving up", "[daemon]")
{
    Supervisor supervisor;
    bool broken = false;
    int starts = 0;
    supervisor.add({"a",
                    [&] {
                        ++starts;
                        broken = false;
                        return absl::OkStatus();
                    },
                    [] {}, [&] { return broken ? absl::InternalError("broken") : absl::OkStatus(); }});
    REQUIRE(supervisor.start().ok());
    Instant now;
    for (int minute = 0; minute < 20; ++minute) {
        broken = true;
        for (int second = 0; second < 60; ++second) {
            now = now + absl::Seconds(1);
            REQUIRE(supervisor.tick(now).ok());
        }
    }
    CHECK(starts == 21);
}
