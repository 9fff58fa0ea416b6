// Choices that many daemons make alone must agree and spread: relays, owners, addresses, and who is dead.
#include "makemembers.h"
#include "membership/addressanswer.h"
#include "membership/relays.h"

#include <algorithm>
#include <cmath>
#include <map>

using namespace currantlug;
using namespace currantlug::membership;

TEST_CASE("callers spread over the daemons of their zone", "[membership]")
{
    // Guards against one daemon being the first choice of too many callers.
    for (const int daemons : {8, 390}) {
        const MemberList list = makeList(daemons, ThreeZones);
        const Member self = list.members().front();
        const int callers = std::max(2000, 16 * daemons);
        std::map<std::string, int> first;
        int inZone = 0;
        for (const Member &member : list.members()) {
            inZone += member.zone.str() == "north-b" ? 1 : 0;
        }
        for (int caller = 0; caller < callers; ++caller) {
            const AddressAnswer answer =
                addressAnswer(list, {}, self, "caller-" + std::to_string(caller), ZoneId("north-b"), {});
            REQUIRE(answer.addresses.front().zone.str() == "north-b");
            ++first[answer.addresses.front().address];
        }
        CHECK(first.size() == static_cast<std::size_t>(inZone));
        const double even = static_cast<double>(callers) / inZone;
        double chiSquare = 0;
        for (const auto &[address, count] : first) {
            chiSquare += (count - even) * (count - even) / even;
        }
        // A random choice stays below its mean plus four standard deviations in all but a few of ten thousand cases.
        const double freedom = inZone - 1;
        CHECK(chiSquare < freedom + 4 * std::sqrt(2 * freedom));
    }
}

TEST_CASE("an address response goes from own zone to region to the rest, and never names only one zone", "[membership]")
{
    const MemberList list = makeList(390, ThreeZones);
    const Member self = *list.find(DaemonId("d000"));
    AddressSettings settings;
    settings.maxAddresses = 16;
    const AddressAnswer cut = addressAnswer(list, {}, self, "c", ZoneId("no-such-zone"), settings);
    REQUIRE(cut.addresses.size() == 16);
    CHECK(cut.addresses.front().zone == self.zone);
    CHECK(cut.addresses.back().zone.str() == "north-b");
    settings.maxAddresses = 390;
    const AddressAnswer all = addressAnswer(list, {}, self, "c", ZoneId("south-a"), settings);
    REQUIRE(all.addresses.size() == 390);
    CHECK(all.addresses[129].zone.str() == "south-a");
    CHECK(all.addresses[130].region.str() == "mu-north");
    CHECK(all.toJson().at("keep_ms") == 10000);
}

TEST_CASE("suspected, joining and draining daemons are in no address response", "[membership]")
{
    MemberList list = makeList(3, ThreeZones);
    list = list.withJoined(makeMember("new")).value();
    list = list.withState(DaemonId("d001"), "d001-1", MemberState::Draining).value();
    const AddressAnswer answer =
        addressAnswer(list, {DaemonId("d000")}, list.members().front(), "c", ZoneId("north-a"), {});
    REQUIRE(answer.addresses.size() == 1);
    CHECK(answer.addresses.front().address == "d002:8080");
}

TEST_CASE("two relays per zone are live, and losing one keeps the other", "[membership]")
{
    const MemberList list = makeList(30, ThreeZones);
    const std::vector<DaemonId> before = relaysOf(list, {}, ZoneId("south-a"));
    REQUIRE(before.size() == 2);
    for (const DaemonId &relay : before) {
        CHECK(list.find(relay)->zone.str() == "south-a");
    }
    const std::vector<DaemonId> after = relaysOf(list, {before[0]}, ZoneId("south-a"));
    REQUIRE(after.size() == 2);
    CHECK(after[0] == before[1]);
    CHECK(relaysOf(list, {}, ZoneId("empty")).empty());
}

TEST_CASE("relays do not depend on the history of the list", "[membership]")
{
    // Daemons that hold the same members by different histories must pull from the same relays.
    const MemberList list = makeList(9, ThreeZones);
    MemberList other = list.withJoined(makeMember("zz")).value();
    other = other.without(DaemonId("zz"), "zz-1").value();
    for (const auto &[zone, region] : ThreeZones) {
        CHECK(relaysOf(list, {}, ZoneId(zone)) == relaysOf(other, {}, ZoneId(zone)));
    }
}

TEST_CASE("pulls go to the own zone, then the region, then elsewhere, never to oneself", "[membership]")
{
    const MemberList list = makeList(30, ThreeZones);
    const Member self = *list.find(relaysOf(list, {}, ZoneId("north-b")).front());
    const std::vector<DaemonId> order = pullOrder(list, {}, self);
    REQUIRE(order.size() == 5);
    CHECK(list.find(order[0])->zone.str() == "north-b");
    CHECK(list.find(order[1])->zone.str() == "north-a");
    CHECK(list.find(order[4])->zone.str() == "south-a");
    CHECK(std::find(order.begin(), order.end(), self.id) == order.end());
}

TEST_CASE("the daemons of a zone share its relays", "[membership]")
{
    // Guards against the first relay of a zone serving all pulls while the second idles.
    const MemberList list = makeList(390, ThreeZones);
    std::map<DaemonId, int> pulls;
    for (const Member &member : list.members()) {
        if (member.zone.str() == "north-a") {
            ++pulls[pullOrder(list, {}, member).front()];
        }
    }
    REQUIRE(pulls.size() == RelaysPerZone);
    CHECK(pulls.begin()->second > 130 / 3);
    CHECK(pulls.rbegin()->second > 130 / 3);
}

TEST_CASE("a key keeps its owner unless the owner leaves", "[membership]")
{
    const MemberList list = makeList(9, ThreeZones);
    int moved = 0;
    for (int step = 0; step < 100; ++step) {
        const std::string key = "trainer/" + std::to_string(step);
        const DaemonId owner = *ownerOf(list, {}, key);
        const DaemonId next = *ownerOf(list, {DaemonId("d004")}, key);
        CHECK((owner.str() == "d004" || owner == next));
        moved += owner == next ? 0 : 1;
    }
    CHECK(moved > 0);
    CHECK_FALSE(ownerOf(MemberList(), {}, "k").has_value());
}

TEST_CASE("silence makes a suspect and then a dead member", "[membership]")
{
    Liveness liveness{LivenessSettings{}};
    const Instant start(absl::Seconds(1000));
    const MemberList list = makeList(2, ThreeZones);
    liveness.watch(list.members(), start);
    for (int second = 1; second <= 31; ++second) {
        const Instant now = start + absl::Seconds(second);
        liveness.heard(DaemonId("d000"), now);
        liveness.update(now);
        CHECK(liveness.suspects().contains(DaemonId("d001")) == (second > 3));
        CHECK(liveness.dead().size() == (second > 30 ? 1 : 0));
    }
    CHECK(liveness.dead().front().incarnation == "d001-1");
    liveness.heard(DaemonId("d001"), start + absl::Seconds(31));
    liveness.update(start + absl::Seconds(32));
    CHECK(liveness.suspects().empty());
}

TEST_CASE("a daemon that was paused itself suspects nobody", "[membership]")
{
    // Guards against a stopped and continued relay that removes its whole zone.
    Liveness liveness{LivenessSettings{}};
    const Instant start(absl::Seconds(1000));
    liveness.watch(makeList(5, ThreeZones).members(), start);
    liveness.update(start);
    liveness.update(start + absl::Seconds(60));
    CHECK(liveness.suspects().empty());
    CHECK(liveness.dead().empty());
}
