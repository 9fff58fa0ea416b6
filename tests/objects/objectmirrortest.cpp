// Mirrors of object kinds through refusals, dropped history and changes made meanwhile.
#include "objects/objectmirror.h"

#include "fakes/memoryobjects.h"
#include "fakes/runloop.h"

#include <catch2/catch.hpp>

#include <random>

using namespace currantlug;
using namespace currantlug::tests;
using objects::StoreOutcome;

namespace {

struct Mirror
{
    explicit Mirror(net::Loop &loop, MemoryObjects &store)
        : mirror(loop, store.port(), "things", settings(), [this](const objects::ObjectChange &change) {
            if (change.removed) {
                held.erase(change.object.name);
            } else {
                held[change.object.name] = change.object.value;
            }
        })
    {
        mirror.start();
    }

    static objects::MirrorSettings settings()
    {
        objects::MirrorSettings settings;
        settings.wait = absl::Milliseconds(200);
        settings.pause = absl::Milliseconds(1);
        settings.firstRetry = absl::Milliseconds(5);
        settings.lastRetry = absl::Milliseconds(20);
        return settings;
    }

    std::map<std::string, Json> held;
    objects::ObjectMirror mirror;
};

} // namespace

// Guards against changes that are missed when the history is dropped while a watch can't be renewed.
TEST_CASE("a mirror catches up after its history is gone")
{
    net::Loop loop;
    MemoryObjects store(loop);
    store.put("things", "a", 1);
    store.put("things", "b", 1);
    Mirror mirror(loop, store);
    REQUIRE(runUntil(loop, [&mirror] { return mirror.held.size() == 2; }));
    store.setFault([](const std::string &, const std::string &, const std::string &) { return StoreOutcome::Refused; });
    REQUIRE(runUntil(loop, [&mirror] { return mirror.mirror.failing(); }));
    store.erase("things", "a");
    store.put("things", "c", 3);
    store.compact();
    store.setFault({});
    CHECK(runUntil(loop, [&mirror] {
        return !mirror.held.contains("a") && mirror.held.contains("c") && !mirror.mirror.failing();
    }));
}

// Guards against a mirror that stays blind after an outage: a watch that was sent to a silent store is given up only
// after its whole wait, and the store was back long before that.
TEST_CASE("a mirror finds out soon that a silent store is back")
{
    constexpr absl::Duration Grace = absl::Milliseconds(20);
    net::Loop loop;
    MemoryObjects store(loop);
    objects::MirrorSettings settings = Mirror::settings();
    settings.wait = absl::Seconds(10);
    settings.probeWait = absl::Milliseconds(10);
    std::map<std::string, Json> held;
    objects::ObjectMirror mirror(loop, store.port(), "things", settings, [&held](const objects::ObjectChange &change) {
        held[change.object.name] = change.object.value;
    });
    mirror.start();
    REQUIRE(runUntil(loop, [&mirror] { return mirror.synced(); }));
    store.setSilent(true, Grace);
    store.setFault([](const std::string &, const std::string &, const std::string &) { return StoreOutcome::Unknown; });
    REQUIRE(runUntil(loop, [&mirror] { return mirror.failing(); }));
    const int watches = store.calls("watch");
    REQUIRE(runUntil(loop, [&store, watches] { return store.calls("watch") > watches; }));
    store.setSilent(false, Grace);
    store.setFault({});
    store.put("things", "a", 1);
    const Instant back = net::loopNow();
    REQUIRE(runUntil(loop, [&held] { return held.contains("a"); }));
    CHECK(net::loopNow() - back < absl::Seconds(1));
    CHECK_FALSE(mirror.failing());
    mirror.stop();
}

// Property: after any series of changes and faults the mirror holds what the store holds.
TEST_CASE("a mirror ends equal to the store")
{
    for (unsigned seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        net::Loop loop;
        MemoryObjects store(loop);
        Mirror mirror(loop, store);
        std::map<std::string, Json> truth;
        for (int i = 0; i < 60; ++i) {
            const std::string name = "n" + std::to_string(random() % 6);
            if (random() % 3 == 0 && truth.contains(name)) {
                truth.erase(name);
                store.erase("things", name);
            } else {
                truth[name] = i;
                store.put("things", name, i);
            }
            if (random() % 10 == 0) {
                store.compact();
            }
            const bool faulty = random() % 4 == 0;
            store.setFault([faulty](const std::string &, const std::string &, const std::string &) {
                return faulty ? StoreOutcome::Unknown : StoreOutcome::Done;
            });
            runFor(loop, std::chrono::milliseconds(random() % 8));
        }
        store.setFault({});
        CHECK(runUntil(loop, [&mirror, &truth] { return mirror.held == truth; }));
        // The mirror's calls refer to it.
        mirror.mirror.stop();
        runFor(loop, std::chrono::milliseconds(300));
    }
}
