// Changes of the member list: one daemon per version, never without a majority, exactly once despite lost answers.
#include "fakes/fakeobjectstore.h"
#include "makemembers.h"
#include "membership/membershipdriver.h"

#include <functional>
#include <set>
#include <utility>

using namespace currantlug;
using namespace currantlug::membership;

namespace {

// Daemons that acknowledge a list if they are reachable.
class FakePusher
{
public:
    int pushMembers(const MemberList &list)
    {
        int acknowledged = 0;
        for (const DaemonId &voter : list.voters()) {
            acknowledged += unreachable.count(voter.str()) == 0 ? 1 : 0;
        }
        if (onPush) {
            std::exchange(onPush, nullptr)();
        }
        return acknowledged;
    }

    std::set<std::string> unreachable;
    std::function<void()> onPush; ///< Runs once, during the next push.
};

struct Site
{
    fakes::FakeObjectStore store;
    FakePusher pusher;
    MembershipDriver<fakes::FakeObjectStore, FakePusher> driver{store, pusher};

    explicit Site(const std::vector<std::string> &daemons)
    {
        for (const std::string &daemon : daemons) {
            REQUIRE(driver.join(makeMember(daemon))->confirmed);
        }
    }

    std::vector<std::string> ids()
    {
        const MemberList list = driver.read().value();
        std::vector<std::string> result;
        for (const Member &member : list.members()) {
            result.push_back(member.id.str());
        }
        return result;
    }
};

} // namespace

TEST_CASE("a list survives its JSON form and refuses others", "[membership]")
{
    const MemberList list = makeList(8, ThreeZones).without(DaemonId("d003"), "d003-1").value();
    const auto copy = MemberList::fromJson(list.toJson());
    REQUIRE(copy.ok());
    CHECK(*copy == list);
    Json broken = list.toJson();
    broken["members"][0]["state"] = "gone";
    CHECK_FALSE(MemberList::fromJson(broken).ok());
    broken = list.toJson();
    std::swap(broken["members"][0], broken["members"][1]);
    CHECK_FALSE(MemberList::fromJson(broken).ok());
    broken = list.toJson();
    broken["added"] = "nobody";
    CHECK_FALSE(MemberList::fromJson(broken).ok());
    CHECK_FALSE(MemberList::fromJson(Json()).ok());
    CHECK(makeList(390, ThreeZones).toJson().dump().size() < 64 * 1024);
}

TEST_CASE("states only advance, and a change concerns one incarnation", "[membership]")
{
    const MemberList list = makeList(2, ThreeZones);
    const DaemonId id("d000");
    const MemberList draining = list.withState(id, "d000-1", MemberState::Draining).value();
    CHECK(list.isFollowedBy(draining));
    CHECK_FALSE(draining.isFollowedBy(list));
    CHECK(draining.withState(id, "d000-1", MemberState::Serving).status().code()
          == absl::StatusCode::kFailedPrecondition);
    CHECK(list.without(id, "d000-0").status().code() == absl::StatusCode::kNotFound);
    const MemberList two = draining.withJoined(makeMember("x")).value();
    CHECK_FALSE(list.isFollowedBy(two));
}

TEST_CASE("a lost answer is resolved by reading back, not by a second change", "[membership]")
{
    Site site({"a", "b", "c"});
    site.store.loseNextAnswers(1);
    const auto joined = site.driver.join(makeMember("d"));
    REQUIRE(joined.ok());
    CHECK(joined->list.version() == 4);
    site.store.loseNextAnswers(1);
    REQUIRE(site.driver.removeDead(DaemonId("d"), "d-1").ok());
    CHECK(site.driver.read()->version() == 5);
    CHECK(site.ids() == std::vector<std::string>{"a", "b", "c"});
}

TEST_CASE("a store outage during a change leaves the outcome open only after a write", "[membership]")
{
    Site site({"a", "b", "c"});
    site.store.setDown(true);
    const auto down = site.driver.drain(DaemonId("a"), "a-1");
    CHECK(errorContext(down.status()).outcome == Outcome::NotRun);
    site.store.setDown(false);
    // The outage begins while the pre-check runs, so nothing was written.
    site.pusher.onPush = [&] { site.store.setDown(true); };
    CHECK(errorContext(site.driver.removeDead(DaemonId("a"), "a-1").status()).outcome == Outcome::NotRun);
    site.store.setDown(false);
    CHECK(site.ids().size() == 3);
}

TEST_CASE("a minority removes nobody", "[membership]")
{
    // Guards against both sides of a partition counting their own majority.
    Site site({"a", "b", "c", "d", "e"});
    site.pusher.unreachable = {"a", "b", "c"};
    const std::uint64_t before = site.driver.read()->version();
    const auto removed = site.driver.removeDead(DaemonId("a"), "a-1");
    CHECK(removed.status().code() == absl::StatusCode::kUnavailable);
    CHECK(errorContext(removed.status()).outcome == Outcome::NotRun);
    CHECK(site.driver.join(makeMember("f")).status().code() == absl::StatusCode::kUnavailable);
    CHECK(site.driver.read()->version() == before);
    // States and new incarnations leave the set as it is and need no majority.
    CHECK(site.driver.drain(DaemonId("d"), "d-1").ok());
    Member restarted = makeMember("e");
    restarted.incarnation = "e-2";
    CHECK(site.driver.join(restarted).ok());
    CHECK(site.driver.read()->version() == before + 2);
}

TEST_CASE("an unconfirmed change blocks the next one until a majority holds it", "[membership]")
{
    Site site({"a", "b", "c", "d", "e"});
    // The majority is lost after the pre-check, while the removal is written.
    site.pusher.onPush = [&] { site.pusher.unreachable = {"a", "b", "c"}; };
    const auto removed = site.driver.removeDead(DaemonId("a"), "a-1");
    REQUIRE(removed.ok());
    CHECK_FALSE(removed->confirmed);
    // Three of the five that vote on the removal are needed; two of the four left would not do.
    site.pusher.unreachable = {"a", "b", "c"};
    CHECK_FALSE(site.driver.removeDead(DaemonId("b"), "b-1").ok());
    CHECK_FALSE(site.driver.confirm()->confirmed);
    // A change of state in between does not make the earlier change count as confirmed.
    REQUIRE(site.driver.drain(DaemonId("d"), "d-1").ok());
    CHECK_FALSE(site.driver.removeDead(DaemonId("b"), "b-1").ok());
    site.pusher.unreachable = {"a", "b"};
    CHECK(site.driver.confirm()->confirmed);
    CHECK(site.driver.removeDead(DaemonId("b"), "b-1")->confirmed);
    CHECK(site.ids() == std::vector<std::string>{"c", "d", "e"});
}

TEST_CASE("two racing changes both take effect, one version each", "[membership]")
{
    Site site({"a", "b", "c"});
    FakePusher otherPusher;
    MembershipDriver other(site.store, otherPusher);
    // The other daemon's change lands between this one's read and its write.
    site.pusher.onPush = [&] { REQUIRE(other.removeDead(DaemonId("b"), "b-1").ok()); };
    const auto joined = site.driver.join(makeMember("d"));
    REQUIRE(joined.ok());
    CHECK(joined->list.version() == 5);
    CHECK(site.ids() == std::vector<std::string>{"a", "c", "d"});
}

TEST_CASE("removing a dead daemon spares its newer incarnation", "[membership]")
{
    Site site({"a", "b", "c"});
    Member restarted = makeMember("b");
    restarted.incarnation = "b-2";
    REQUIRE(site.driver.join(restarted).ok());
    REQUIRE(site.driver.removeDead(DaemonId("b"), "b-1").ok());
    CHECK(site.ids() == std::vector<std::string>{"a", "b", "c"});
}

TEST_CASE("an operator can remove daemons of a lost majority by force", "[membership]")
{
    Site site({"a", "b", "c", "d", "e"});
    site.pusher.unreachable = {"a", "b", "c"};
    CHECK_FALSE(site.driver.forceRemove(DaemonId("a"), "a-1")->confirmed);
    CHECK_FALSE(site.driver.forceRemove(DaemonId("b"), "b-1")->confirmed);
    // Two of the three that vote on the last removal are there: normal changes work again.
    CHECK(site.driver.forceRemove(DaemonId("c"), "c-1")->confirmed);
    CHECK(site.driver.join(makeMember("f"))->confirmed);
    CHECK(site.ids() == std::vector<std::string>{"d", "e", "f"});
}
