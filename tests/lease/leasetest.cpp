// Leases: never two holders that may act at once, and a lease that lapses finds a new holder.
#include "fakes/faultystore.h"
#include "fakes/seeds.h"
#include "lease/leasekeeper.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace currantlug;
using namespace currantlug::lease;

namespace {

struct Contest;

// A process that may hold the lease. Its clock has its own origin and rate, as no rule compares clocks of processes.
struct Candidate
{
    Candidate(Contest &contest, int number);
    Instant now() const;

    Contest &contest;
    double offset;
    double rate;
    fakes::FaultyStore store;
    LeaseKeeper<fakes::FaultyStore> keeper;
    double resumesAt = 0; ///< Paused until then, in true seconds.
};

struct Contest
{
    explicit Contest(std::uint64_t seed)
        : random(seed)
    {
        for (int i = 0; i < 3; ++i) {
            candidates.push_back(std::make_unique<Candidate>(*this, i));
        }
    }

    double uniform(double max) { return std::uniform_real_distribution<>(0, max)(random); }

    // Time passes before and after the effect of each store call, at times longer than a lease.
    void pass()
    {
        time += uniform(100) < 2 ? uniform(25) : uniform(0.1);
        check();
    }

    // Exactly what a sender would do: take a grant, and send while the guard's deadline has not passed. A grant taken
    // before a pause counts as long as its deadline lies ahead.
    void check()
    {
        unsigned actors = 0;
        for (const auto &candidate : candidates) {
            if (const auto grant = candidate->keeper.grant(); grant && candidate->now() < grant->deadline) {
                ++actors;
                REQUIRE(grant->term >= lastTerm); // A fencing receiver would refuse a lower term.
                lastTerm = grant->term;
                actedAt = time;
                actor = candidate.get();
            }
        }
        REQUIRE(actors <= 1);
        acted += actors;
    }

    std::mt19937_64 random;
    double time = 1000;
    fakes::FakeObjectStore object;
    std::vector<std::unique_ptr<Candidate>> candidates;
    std::uint64_t lastTerm = 0;
    double actedAt = 0;
    const Candidate *actor = nullptr;
    std::uint64_t acted = 0;
};

Candidate::Candidate(Contest &owner, int number)
    : contest(owner)
    , offset(owner.uniform(1e6))
    , rate(0.99 + owner.uniform(0.02)) // The margin of 1 s in 9 s covers ten times this difference.
    , store(owner.object, owner.random)
    , keeper(store, "orders-z", DaemonId("d" + std::to_string(number)), {}, [this] { return now(); })
{
    store.failRate = 0.05;
    store.loseRate = 0.1;
    store.dropRate = 0.05;
    store.delayRate = 0.05;
    store.beforeCall = [this] { contest.pass(); };
    store.afterEffect = [this] { contest.pass(); };
}

Instant Candidate::now() const
{
    return Instant(absl::Seconds(offset + contest.time * rate));
}

} // namespace

TEST_CASE("two holders never may act at once", "[lease][property]")
{
    // Guards against orders and usage reports from two processes that both believe they lead.
    constexpr std::uint64_t Seeds = fakes::seedCount(300);
    std::uint64_t terms = 0;
    std::uint64_t acted = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        CAPTURE(seed);
        Contest contest(seed);
        const Candidate *lastActor = nullptr;
        double lastActedAt = 0;
        for (int step = 0; step < 600; ++step) {
            Candidate &candidate = *contest.candidates[contest.random() % contest.candidates.size()];
            contest.time += contest.uniform(0.4);
            contest.check();
            if (contest.uniform(100) < 1) {
                candidate.resumesAt = contest.time + contest.uniform(30);
            } else if (candidate.resumesAt <= contest.time) {
                if (contest.uniform(100) < 1) {
                    (void)candidate.keeper.release();
                } else {
                    (void)candidate.keeper.poll();
                }
            }
            contest.check();
            // Bytes sent just before the lapse may arrive for the TCP timeout and the send bound (4 s).
            if (contest.actor != lastActor && lastActor != nullptr) {
                REQUIRE(contest.actedAt - lastActedAt >= 4 * 0.99);
            }
            lastActor = contest.actor;
            lastActedAt = contest.actedAt;
        }
        terms += contest.lastTerm;
        acted += contest.acted;
    }
    CHECK(terms > 3 * Seeds);
    CHECK(acted > 300 * Seeds);
}

TEST_CASE("a lease moves on after its holder died, in the time the design states", "[lease]")
{
    // Guards against an availability zone without a leader for longer than planned.
    const LeaseSettings settings;
    const LeaseRecord dead{DaemonId("dead"), "n", 7, settings.duration};
    LeaseDecision decision(DaemonId("me"), settings);
    const Instant start(absl::Seconds(100));
    CHECK_FALSE(decision.mayAcquire(start));
    decision.observe(3, dead, start);
    CHECK_FALSE(decision.mayAcquire(start + absl::Seconds(9.9)));
    const Instant acquired = start + absl::Seconds(10);
    REQUIRE(decision.mayAcquire(acquired));
    const LeaseWrite write = decision.beginWrite("mine", acquired);
    CHECK(write.expectedVersion == 3);
    CHECK(write.record.term == 8);
    decision.written("mine", 4, acquired);
    CHECK_FALSE(decision.mayAct(start + absl::Seconds(13.9)));
    CHECK(decision.mayAct(start + absl::Seconds(14)));
    CHECK(decision.renewalDue(acquired + absl::Seconds(3)));
    CHECK_FALSE(decision.mayAct(acquired + absl::Seconds(9)));
    CHECK(decision.holds());
}

TEST_CASE("a renewal that took effect without an answer counts from its sending", "[lease]")
{
    // Guards against a holder that counts its lease from a late read, past what a successor waits.
    const Instant start(absl::Seconds(100));
    LeaseDecision decision(DaemonId("me"), {});
    decision.observe(0, std::nullopt, start - absl::Seconds(10));
    decision.written(decision.beginWrite("a", start).record.nonce, 1, start);
    const LeaseWrite renewal = decision.beginWrite("b", start + absl::Seconds(3));
    CHECK(renewal.record.term == 1);
    decision.observe(2, renewal.record, start + absl::Seconds(8));
    CHECK(*decision.deadline() == start + absl::Seconds(12));
    decision.observe(3, LeaseRecord{DaemonId("other"), "c", 2, absl::Seconds(9)}, start + absl::Seconds(9));
    CHECK_FALSE(decision.holds());
}

TEST_CASE("a stored lease that cannot be read stops nobody by accident", "[lease]")
{
    // Guards against taking over a lease because its record looked empty.
    CHECK(parseLeaseRecord("{").status().code() == absl::StatusCode::kDataLoss);
    CHECK(parseLeaseRecord(R"({"holder":"a","nonce":"b","term":1})").status().code() == absl::StatusCode::kDataLoss);
    const LeaseRecord record{DaemonId("a"), "b", 3, absl::Milliseconds(9000)};
    CHECK(*parseLeaseRecord(toJson(record).dump()) == record);
}

// Guards against seconds without a controller after all processes were killed: the machine's former process is gone, so
// its lease needs no waiting. Records of other machines do.
TEST_CASE("a machine takes its own former process's lease at once where its id names it")
{
    LeaseSettings settings;
    settings.idNamesMachine = true;
    const Instant now(absl::Seconds(50));
    const LeaseRecord record{DaemonId("machine-1"), "nonce-of-former-process", 4, absl::Seconds(9)};
    LeaseDecision same(DaemonId("machine-1"), settings);
    same.observe(12, record, now);
    REQUIRE(same.mayAcquire(now));
    const LeaseWrite write = same.beginWrite("new-nonce", now);
    CHECK(write.expectedVersion == 12);
    CHECK(write.record.term == 5);
    same.written("new-nonce", 13, now);
    CHECK(same.mayAct(now));

    LeaseDecision other(DaemonId("machine-2"), settings);
    other.observe(12, record, now);
    CHECK_FALSE(other.mayAcquire(now));

    settings.idNamesMachine = false;
    LeaseDecision plain(DaemonId("machine-1"), settings);
    plain.observe(12, record, now);
    CHECK_FALSE(plain.mayAcquire(now));
}
