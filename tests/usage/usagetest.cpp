// Usage windows: figures counted once, frozen once, and the same bytes in every report.
#include "fakes/fakeobjectstore.h"
#include "usage/usageledger.h"

#include <catch2/catch.hpp>

#include <random>

using namespace currantlug;
using namespace currantlug::usage;

TEST_CASE("figures are handed out once and belong to the window they were counted in", "[usage]")
{
    // Guards against figures counted twice when a daemon flushes several times per window.
    UsageCounter counter(1000);
    counter.add(WorkspaceId("a"), {1, 10}, 5500);
    counter.add(WorkspaceId("a"), {1, 20}, 6100);
    const auto partials = counter.take();
    REQUIRE(partials.size() == 2);
    CHECK(partials[0].window == 5);
    CHECK(partials[1].usage.at(WorkspaceId("a")).tokens == 20);
    CHECK(counter.take().empty());
}

TEST_CASE("a late partial is counted in the next window and never twice", "[usage]")
{
    fakes::FakeObjectStore store;
    UsageLedger<fakes::FakeObjectStore> ledger(store);
    REQUIRE(ledger.nextWindow(10).ok());
    REQUIRE(ledger.writePartial({10, {{WorkspaceId("a"), {1, 10}}}}, "d1").ok());
    const auto first = ledger.freeze(10);
    REQUIRE(first.ok());
    REQUIRE(ledger.writePartial({10, {{WorkspaceId("a"), {1, 5}}}}, "d2").ok());
    const auto again = ledger.freeze(10);
    REQUIRE(again.ok());
    CHECK(again->encode() == first->encode());
    // The partials of window 10 are still there: the process ended before it removed them.
    const auto second = ledger.freeze(11);
    REQUIRE(second.ok());
    CHECK(second->usage.at(WorkspaceId("a")).tokens == 5);
    REQUIRE(ledger.markReported(*first).ok());
    CHECK(*ledger.nextWindow(99) == 11);
}

TEST_CASE("two reporters with lost answers and pauses freeze each figure once", "[usage][property]")
{
    // Guards against a paused reporter that freezes a window from an old list of partials.
    for (unsigned seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        fakes::FakeObjectStore store;
        UsageLedger<fakes::FakeObjectStore> a(store);
        UsageLedger<fakes::FakeObjectStore> b(store);
        std::uint64_t written = 0;
        std::map<std::string, std::string> reported;
        for (int round = 0; round < 40; ++round) {
            auto &ledger = random() % 2 == 0 ? a : b;
            const WindowNumber window = ledger.nextWindow(1).value_or(1);
            const auto late = static_cast<WindowNumber>(random() % 3);
            const std::uint64_t tokens = random() % 100;
            store.loseNextAnswers(random() % 4 == 0 ? 1 : 0);
            UsagePartial partial{std::max<WindowNumber>(1, window - late), {{WorkspaceId("w"), {1, tokens}}}};
            const std::string name = "d" + std::to_string(round);
            while (!ledger.writePartial(partial, name).ok()) { }
            written += tokens;
            store.loseNextAnswers(random() % 3 == 0 ? 1 : 0);
            const auto frozen = ledger.freeze(window);
            if (!frozen.ok()) {
                continue;
            }
            for (const WindowReport &report : reportsOf(*frozen)) {
                const auto [entry, isNew] = reported.emplace(report.window, report.body);
                REQUIRE(entry->second == report.body);
            }
            if (random() % 2 == 0) {
                store.loseNextAnswers(random() % 3 == 0 ? 1 : 0);
                ledger.markReported(*frozen).IgnoreError();
            }
        }
        store.loseNextAnswers(0);
        // Two more windows count what was late.
        for (int i = 0; i < 3; ++i) {
            const auto frozen = a.freeze(*a.nextWindow(1));
            REQUIRE(frozen.ok());
            for (const WindowReport &report : reportsOf(*frozen)) {
                reported.emplace(report.window, report.body);
            }
            REQUIRE(a.markReported(*frozen).ok());
        }
        std::uint64_t total = 0;
        for (const auto &[window, body] : reported) {
            total += fieldOr<std::uint64_t>(*parseJson(body), "tokens", 0);
        }
        REQUIRE(total == written);
    }
}
