// Decisions about links, with time passed in.
#include "mesh/linktable.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::mesh;

namespace {

const Instant Start(absl::Seconds(1000));
const DaemonId B("b");

MeshSettings tableSettings()
{
    MeshSettings settings;
    settings.self = DaemonId("a");
    settings.seed = 3;
    return settings;
}

Instant at(double seconds)
{
    return Start + absl::Seconds(seconds);
}

// A table with one link that this side dialled, up since Start.
LinkTable makeLinked()
{
    LinkTable table(tableSettings());
    table.setPeers({{B, "b:1"}});
    REQUIRE(table.dueDials(Start).size() == 1);
    table.dialled(B, 1);
    table.opened(1, true, Start);
    table.up(1, {B, "b-1", ZoneId()}, Start);
    table.due(Start);
    return table;
}

} // namespace

TEST_CASE("a pause of this process is not taken for silence of its peers", "[mesh]")
{
    LinkTable table = makeLinked();
    CHECK(table.due(at(60)).closes.empty());
    for (const double second : {60.5, 61.0, 61.5, 62.0, 62.5, 63.0}) {
        CHECK(table.due(at(second)).closes.empty());
    }
    // From here on the silence is the peer's.
    CHECK(table.due(at(63.5)).closes.size() == 1);
}

TEST_CASE("a quiet link is pinged each second and a busy one is not", "[mesh]")
{
    LinkTable table = makeLinked();
    CHECK(table.due(at(0.8)).pings.empty());
    CHECK(table.due(at(1.0)).pings.size() == 1);
    Link &link = *table.find(1);
    link.lastPing = link.lastSent = at(1.0);
    CHECK(table.due(at(1.8)).pings.empty());
    link.lastSent = link.lastReceived = at(1.9);
    CHECK(table.due(at(2.6)).pings.empty());
    // Receiving is not enough: the peer must hear from this side, too.
    link.lastReceived = at(2.9);
    CHECK(table.due(at(2.95)).pings.size() == 1);
}

TEST_CASE("a peer that accepts and closes again is dialled with growing pauses", "[mesh]")
{
    LinkTable table(tableSettings());
    table.setPeers({{B, "b:1"}});
    Instant now = Start;
    absl::Duration pause;
    for (ConnectionId connection = 1; connection <= 8; ++connection) {
        table.dialled(B, connection);
        table.opened(connection, true, now);
        table.up(connection, {B, "b-1", ZoneId()}, now);
        table.closed(connection, "gone", now);
        const Instant closedAt = now;
        while (table.reach(B, now) == Reach::Backoff) {
            now = now + absl::Milliseconds(10);
        }
        pause = now - closedAt;
        CHECK(pause <= tableSettings().backoffMax + absl::Milliseconds(10));
    }
    CHECK(pause >= tableSettings().backoffMax / 2);
}

TEST_CASE("a peer that moved is dialled at once at its new address", "[mesh]")
{
    LinkTable table = makeLinked();
    CHECK(table.setPeers({{B, "b:2"}}) == std::vector<ConnectionId>{1});
    table.find(1)->closing = true;
    table.closed(1, "peer removed or moved", at(1));
    const std::vector<Peer> dials = table.dueDials(at(1));
    REQUIRE(dials.size() == 1);
    CHECK(dials.front().address == "b:2");
}
