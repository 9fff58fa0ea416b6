// At-most-once claims by several owners over a failing store, batching and call tokens.
#include "requests/calltokens.h"
#include "requests/claimdriver.h"
#include "requests/claimlog.h"

#include "core/error.h"
#include "fakes/fakeobjectstore.h"

#include <catch2/catch.hpp>

#include <functional>
#include <random>

using namespace currantlug;
using namespace currantlug::requests;

namespace {

const Instant Start(absl::Seconds(1000));

// A store whose writes may fail, lose their answers or take effect late, and which lets other owners run in between.
class FaultyStore
{
public:
    FaultyStore(fakes::FakeObjectStore &store, std::mt19937_64 &random)
        : store_(store)
        , random_(random)
    {
    }

    std::function<void()> interleave = [] {};
    bool faulty = true;

    absl::StatusOr<platform::StoredObject> get(std::string_view key)
    {
        interleave();
        return chance(4) ? absl::StatusOr<platform::StoredObject>(unknown()) : store_.get(key);
    }

    absl::StatusOr<std::uint64_t> putIf(std::string_view key, std::uint64_t expected, std::string value)
    {
        interleave();
        if (chance(6)) {
            late_.push_back(
                [this, key = std::string(key), expected, value] { store_.putIf(key, expected, value).IgnoreError(); });
            return unknown();
        }
        auto result = store_.putIf(key, expected, std::move(value));
        interleave();
        return chance(3) ? absl::StatusOr<std::uint64_t>(unknown()) : result;
    }

    absl::Status removeIf(std::string_view key, std::uint64_t version) { return store_.removeIf(key, version); }

    absl::StatusOr<platform::ObjectList> list(std::string_view prefix)
    {
        interleave();
        return chance(3) ? absl::StatusOr<platform::ObjectList>(unknown()) : store_.list(prefix);
    }

    absl::StatusOr<platform::WatchBatch> watch(std::string_view prefix, std::uint64_t after, absl::Duration wait)
    {
        return store_.watch(prefix, after, wait);
    }

    void applyLate()
    {
        const auto late = std::exchange(late_, {});
        for (const auto &write : late) {
            write();
        }
    }

private:
    bool chance(std::uint64_t oneIn) { return faulty && random_() % oneIn == 0; }
    static absl::Status unknown()
    {
        return makeError(absl::StatusCode::kUnavailable, Step::Store, "fake", Outcome::MayHaveRun, "lost");
    }

    fakes::FakeObjectStore &store_;
    std::mt19937_64 &random_;
    std::vector<std::function<void()>> late_;
};

// Four owners of one slot claim from a small set of ids at once, one inside the store calls of another.
class ClaimWorld
{
public:
    explicit ClaimWorld(std::uint64_t seed)
        : random_(seed)
        , store_(fake_, random_)
        , owners_(4)
    {
        store_.interleave = [this] {
            if (running_.size() < 3 && random_() % 4 == 0) {
                claimSome();
            }
            if (random_() % 8 == 0) {
                store_.applyLate();
            }
        };
    }

    void claimSome()
    {
        const std::size_t owner = random_() % owners_.size();
        if (std::find(running_.begin(), running_.end(), owner) != running_.end()) {
            return;
        }
        if (!owners_[owner] || random_() % 10 == 0) {
            owners_[owner] = std::make_unique<ClaimLog<FaultyStore>>(store_, 3); // a daemon that takes over
        }
        std::vector<std::string> ids;
        for (std::uint64_t count = random_() % 3 + 1; count > 0; --count) {
            ids.push_back(claimId("w", std::to_string(random_() % 40)));
        }
        running_.push_back(owner);
        const auto results = owners_[owner]->append(ids, Start, 0);
        running_.pop_back();
        for (std::size_t i = 0; i < ids.size(); ++i) {
            granted[ids[i]] += results[i] == ClaimResult::Granted ? 1 : 0;
        }
    }

    // With the faults over, a new id is granted and every id that was granted is taken, for all owners.
    void checkCalm()
    {
        store_.faulty = false;
        store_.interleave = [] {};
        store_.applyLate();
        for (auto &owner : owners_) {
            owner = owner ? std::move(owner) : std::make_unique<ClaimLog<FaultyStore>>(store_, 3);
            const std::string fresh = claimId("w", "fresh" + std::to_string(random_()));
            auto results = owner->append({fresh, fresh}, Start, 0);
            if (results[0] == ClaimResult::Unavailable) {
                results = owner->append({fresh, fresh}, Start, 0); // more conflicts than one call resolves
            }
            CHECK(results == std::vector<ClaimResult>{ClaimResult::Granted, ClaimResult::Taken});
            for (const auto &[id, count] : granted) {
                CHECK((count == 0 || owner->append({id}, Start, 0)[0] == ClaimResult::Taken));
            }
        }
    }

    std::map<std::string, int> granted;

private:
    std::mt19937_64 random_;
    fakes::FakeObjectStore fake_;
    FaultyStore store_;
    std::vector<std::unique_ptr<ClaimLog<FaultyStore>>> owners_;
    std::vector<std::size_t> running_;
};

} // namespace

TEST_CASE("no id is granted twice whatever the store does", "[requests]")
{
    // Guards against a non-idempotent call that runs twice: racing owners, lost answers, late writes, takeovers.
    int total = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        INFO("seed " << seed);
        ClaimWorld world(seed);
        for (int i = 0; i < 40; ++i) {
            world.claimSome();
        }
        for (const auto &[id, count] : world.granted) {
            CHECK(count <= 1);
            total += count;
        }
        world.checkCalm();
    }
    CHECK(total > 1500);
}

TEST_CASE("old entries go, the newest and young ones stay", "[requests]")
{
    // Guards against an owner with an old view that appends behind a removed entry.
    fakes::FakeObjectStore store;
    ClaimLog log(store, 0);
    constexpr std::int64_t HourMs = 3600 * 1000;
    for (std::int64_t hour = 0; hour < 4; ++hour) {
        CHECK(log.append({claimId("w", std::to_string(hour))}, Start, hour * HourMs)[0] == ClaimResult::Granted);
    }
    CHECK(*log.removeOld(27 * HourMs, 10) == 2);
    CHECK(log.knownIds() == 2);
    CHECK(*log.removeOld(1000 * HourMs, 10) == 1);
    CHECK(store.list("claims/0/")->objects.size() == 1);
    ClaimLog successor(store, 0);
    REQUIRE(successor.load(Start).ok());
    CHECK(successor.nextSequence() == 4);
    // A log that had no store answer for long reads everything before it appends.
    REQUIRE(successor.append({claimId("w", "x")}, Start, 0)[0] == ClaimResult::Granted);
    const std::uint64_t before = store.calls();
    CHECK(log.append({claimId("w", "x")}, Start + absl::Hours(2), 0)[0] == ClaimResult::Taken);
    CHECK(store.calls() == before + 1);
}

TEST_CASE("a lost answer of the store costs no claim", "[requests]")
{
    // Guards against an own append that is taken for another daemon's and refuses its own request.
    fakes::FakeObjectStore store;
    ClaimLog log(store, 0);
    store.loseNextAnswers(1);
    CHECK(log.append({claimId("w", "x")}, Start, 0)[0] == ClaimResult::Granted);
    CHECK(log.append({claimId("w", "x")}, Start, 0)[0] == ClaimResult::Taken);
}

TEST_CASE("a damaged log grants nothing", "[requests]")
{
    fakes::FakeObjectStore store;
    REQUIRE(store.putIf(claimKey(0, 0), platform::CreateOnly, ClaimEntry{"n", {"a"}, 0}.encode()).ok());
    REQUIRE(store.putIf(claimKey(0, 2), platform::CreateOnly, ClaimEntry{"n", {"b"}, 0}.encode()).ok());
    ClaimLog log(store, 0);
    CHECK(log.append({claimId("w", "x")}, Start, 0)[0] == ClaimResult::Unavailable);
    REQUIRE(store.putIf(claimKey(1, 0), platform::CreateOnly, "garbage").ok());
    ClaimLog other(store, 1);
    CHECK(other.append({claimId("w", "x")}, Start, 0)[0] == ClaimResult::Unavailable);
}

TEST_CASE("claims wait at most one interval and are appended together", "[requests]")
{
    ClaimBatch batch;
    CHECK_FALSE(batch.due().has_value());
    batch.add("a");
    CHECK(*batch.due() <= Start);
    CHECK(batch.take(Start).size() == 1);
    batch.add("b");
    batch.add("c");
    CHECK_FALSE(batch.due().has_value());
    batch.finished();
    CHECK(*batch.due() == Start + absl::Milliseconds(100));
    CHECK(batch.take(Start + absl::Milliseconds(99)).empty());
    CHECK(batch.take(Start + absl::Milliseconds(100)).size() == 2);
    ClaimBatchSettings settings;
    settings.maxWaiting = 1;
    ClaimBatch small(settings);
    CHECK(small.add("a").has_value());
    CHECK_FALSE(small.add("b").has_value());
}

TEST_CASE("two drivers that both own a slot grant each id once", "[requests]")
{
    fakes::FakeObjectStore store;
    ClaimBatchSettings settings;
    settings.interval = absl::Milliseconds(1);
    ClaimDriver first(store, 0, {}, settings);
    ClaimDriver second(store, 0, {}, settings);
    std::atomic<int> granted{0};
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 4; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; i < 50; ++i) {
                auto &driver = caller % 2 == 0 ? first : second;
                const auto results =
                    driver.claim({claimId("w", std::to_string(i)), claimId("v", std::to_string(i))}, absl::Seconds(60));
                granted += static_cast<int>(std::count(results.begin(), results.end(), ClaimResult::Granted));
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(granted == 100);
    store.setDown(true);
    CHECK(first.claim({claimId("w", "new")}, absl::Seconds(60))[0] == ClaimResult::Unavailable);
    CHECK(first.claim({claimId("w", "1")}, absl::Seconds(60))[0] == ClaimResult::Taken);
    first.stop();
    CHECK(first.claim({claimId("w", "2")}, absl::Seconds(60))[0] == ClaimResult::Unavailable);
}

TEST_CASE("a call token runs one call of its owner, on its daemon only", "[requests]")
{
    CallTokens tokens({DaemonId("d:1"), "i1"});
    const WorkspaceId workspace("w");
    const RouteId route("r");
    const std::string token = *tokens.issue(workspace, route, Start);
    CHECK(callTokenOrigin(token)->daemon == DaemonId("d:1"));
    CHECK_FALSE(callTokenOrigin("ct1:a:b").has_value());
    const auto other = tokens.use(token, WorkspaceId("x"), route, Start);
    CHECK(absl::IsPermissionDenied(other));
    CHECK(errorContext(other).outcome == Outcome::NotRun);
    CHECK(tokens.use(token, workspace, route, Start).ok());
    for (const absl::Status &again : {tokens.use(token, workspace, route, Start),
                                      CallTokens({DaemonId("d:1"), "i2"}).use(token, workspace, route, Start),
                                      tokens.use(token, workspace, route, Start + absl::Hours(2))}) {
        CHECK_FALSE(again.ok());
        CHECK(errorContext(again).outcome == Outcome::MayHaveRun);
    }
    CHECK(tokens.size() == 0);
    CallTokens full({DaemonId("d"), "i"}, {1, absl::Hours(1)});
    CHECK(full.issue(workspace, route, Start).ok());
    CHECK(absl::IsResourceExhausted(full.issue(workspace, route, Start).status()));
    CHECK(full.issue(workspace, route, Start + absl::Hours(1)).ok());
}
