// The order journal: intents before sends, repeats under the same id, and totals that stay below the maximum.
#include "fleet/orderjournal.h"
#include "fakes/fakeobjectstore.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::fleet;

TEST_CASE("a successor repeats an order without a result under the same id", "[fleet]")
{
    // Guards against a second, different order where the first one's answer was lost with its sender.
    fakes::FakeObjectStore store;
    OrderJournal<fakes::FakeObjectStore> first(store);
    REQUIRE(first.load().ok());
    const OrderPlace place{ZoneId("azrou"), PoolId("engines")};
    store.loseNextAnswers(1);
    const auto record = first.begin(place, {2, 1}, 5);
    REQUIRE(record.ok());

    OrderJournal<fakes::FakeObjectStore> second(store);
    REQUIRE(second.load().ok());
    REQUIRE(second.open().size() == 1);
    CHECK(second.open()[0].second.orderId == record->orderId);
    REQUIRE(second.finish(place).ok());
    CHECK(second.open().empty());

    // The predecessor wakes up: its write fails instead of replacing the successor's.
    CHECK(first.finish(place).code() == absl::StatusCode::kAborted);
}

TEST_CASE("an open order counts with the larger of its old and new totals", "[fleet]")
{
    // Guards against passing the ticket's maximum while a decrease is not known to have arrived.
    fakes::FakeObjectStore store;
    OrderJournal<fakes::FakeObjectStore> journal(store);
    const OrderPlace place{ZoneId("azrou"), PoolId("engines")};
    REQUIRE(journal.begin(place, {4, 0}, 1).ok());
    REQUIRE(journal.finish(place).ok());
    REQUIRE(journal.begin(place, {1, 0}, 1).ok());
    CHECK(journal.heldElsewhere(PoolId("engines"), ZoneId("ifrane")) == 4);
    REQUIRE(journal.finish(place).ok());
    CHECK(journal.heldElsewhere(PoolId("engines"), ZoneId("ifrane")) == 1);
}
