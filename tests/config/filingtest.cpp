// Operators that file at the same time through an unreliable store, and the readers that follow them.
#include "config/configreader.h"
#include "config/samples.h"
#include "config/ticketfiler.h"
#include "config/tickethistory.h"
#include "fakes/faultystore.h"
#include "fakes/seeds.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <set>

using namespace currantlug;
using namespace currantlug::config;
using samples::pick;

namespace {

struct Site;

struct Members
{
    Site &site;
    std::size_t self;
    int pushTicket(const Ticket &ticket, absl::Duration within);
    int memberCount();
};

// One daemon with its own view of the store.
struct Daemon
{
    Daemon(Site &site, std::size_t index);
    void take(const ConfigUpdate &update);
    void act();
    void fileSomething();
    void read();

    Site &site;
    fakes::FaultyStore store;
    TicketHistory history{{.snapshotEvery = 8, .keptSnapshots = 3}};
    ConfigReader<fakes::FaultyStore> reader;
    Members members;
    TicketFiler<fakes::FaultyStore, Members> filer;
    bool busy = false;
};

struct Site
{
    explicit Site(std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t i = 0; i < 4; ++i) {
            daemons.push_back(std::make_unique<Daemon>(*this, i));
        }
    }

    // Each reading of the clock notes how many tickets exist, to judge the readers' claims.
    Instant now()
    {
        ticketsAt.push_back(store.list(TicketPrefix)->objects.size());
        return Instant(absl::Seconds(static_cast<double>(ticketsAt.size() - 1)));
    }

    Daemon *idleDaemon()
    {
        Daemon *daemon = daemons[pick(random, daemons.size())].get();
        return daemon->busy ? nullptr : daemon;
    }

    void note(Ticket filed, const FilingResult &result)
    {
        REQUIRE(result.outcome != FilingOutcome::Invalid);
        filed.nonce = result.ticket.nonce;
        CHECK(sameChange(filed, result.ticket));
        if (result.outcome == FilingOutcome::Accepted) {
            CHECK(parseHead(store.get(HeadKey)->value)->number >= filed.number);
        }
        results.push_back(result);
    }

    std::mt19937_64 random;
    fakes::FakeObjectStore store;
    std::vector<std::size_t> ticketsAt;
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<FilingResult> results;
};

Daemon::Daemon(Site &owner, std::size_t place)
    : site(owner)
    , store(owner.store, owner.random)
    , reader(store, {}, [this] { return site.now(); })
    , members{owner, place}
    , filer(store, members, {.acknowledgementAge = absl::InfiniteDuration()}, [this] { return site.now(); })
{
    const double scale = pick(owner.random, 3) == 0 ? 5 : 1;
    store.failRate = 0.03 * scale;
    store.loseRate = 0.1 * scale;
    store.dropRate = 0.05 * scale;
    store.delayRate = 0.05 * scale;
    // Another daemon acts between two calls of this one: all orders of calls that nest are reached.
    store.beforeCall = [this] {
        if (pick(site.random, 4) == 0) {
            if (Daemon *other = site.idleDaemon(); other != nullptr) {
                other->act();
            }
        }
    };
}

int Members::memberCount()
{
    return static_cast<int>(site.daemons.size());
}

int Members::pushTicket(const Ticket &ticket, absl::Duration)
{
    int holders = 0;
    for (const auto &daemon : site.daemons) {
        if (daemon == site.daemons[self] || pick(site.random, 3) != 0) {
            const auto applied = daemon->history.apply(ticket, 0);
            REQUIRE(applied.status().code() != absl::StatusCode::kDataLoss);
            holders += applied.ok() ? 1 : 0;
        }
    }
    return holders;
}

void Daemon::take(const ConfigUpdate &update)
{
    // A claim that no later ticket existed makes daemons serve on this head.
    const auto asOf = static_cast<std::size_t>(absl::ToInt64Seconds(update.asOf.sinceOrigin()));
    REQUIRE(update.head >= site.ticketsAt.at(asOf));
    if (update.state) {
        history.adopt(*update.state, 0);
    }
    for (const Ticket &ticket : update.tickets) {
        REQUIRE(history.apply(ticket, 0).ok());
    }
    REQUIRE(history.head() >= update.head);
}

void Daemon::read()
{
    const std::uint64_t kind = pick(site.random, 8);
    const auto held = history.current();
    const auto update = kind == 0 ? reader.load(*held) : reader.poll(*held);
    // Now and then a result is thrown away, as when its thread is restarted: later polls must repeat it.
    if (update.ok() && kind != 1) {
        take(*update);
    }
    const auto snapshot = history.newestSnapshot();
    (void)reader.maintain(*history.current(), snapshot.get());
}

void Daemon::fileSomething()
{
    std::vector<FilingResult> &results = site.results;
    if (!results.empty() && pick(site.random, 3) == 0) {
        // An operator's tool repeats a call, maybe at another daemon.
        const FilingResult earlier = results[pick(site.random, results.size())];
        if (earlier.ticket.number <= history.head() + 1) {
            site.note(earlier.ticket, filer.file(earlier.ticket, *history.current(), 2));
        }
        return;
    }
    const auto held = history.current();
    const Ticket ticket = samples::validTicket(*held, site.random);
    site.note(ticket, filer.file(ticket, *held, 1));
}

void Daemon::act()
{
    busy = true;
    if (pick(site.random, 2) == 0) {
        read();
    } else {
        fileSomething();
    }
    busy = false;
}

// Judges all answers against what the store holds in the end.
void checkAnswers(const Site &site, const std::vector<Ticket> &stored)
{
    std::map<std::uint64_t, std::set<std::string>> acceptedNonces;
    std::map<std::string, int> filings; // A repeated call may store what the first one rightly called not run.
    for (const FilingResult &result : site.results) {
        ++filings[result.ticket.nonce];
    }
    for (const FilingResult &result : site.results) {
        const std::uint64_t number = result.ticket.number;
        const bool isStored = number <= stored.size() && stored[number - 1].nonce == result.ticket.nonce;
        INFO(nameOf(result.outcome) << " for ticket " << number);
        switch (result.outcome) {
        case FilingOutcome::Accepted:
            CHECK(2 * result.acknowledged > result.members);
            acceptedNonces[number].insert(result.ticket.nonce);
            [[fallthrough]];
        case FilingOutcome::Stored:
            REQUIRE(isStored);
            CHECK(sameChange(stored[number - 1], result.ticket));
            break;
        case FilingOutcome::Conflict:
            REQUIRE_FALSE(isStored);
            CHECK(*result.winner == stored[number - 1]);
            CHECK(result.touchedByBoth == touchedByBoth(result.ticket, stored[number - 1]));
            break;
        default:
            if (errorContext(result.error).outcome == Outcome::NotRun && filings[result.ticket.nonce] == 1) {
                REQUIRE_FALSE(isStored);
            }
            break;
        }
    }
    for (const auto &[number, nonces] : acceptedNonces) {
        CHECK(nonces.size() == 1);
    }
}

} // namespace

TEST_CASE("operators racing with lost answers agree on one ticket per number", "[config][property]")
{
    // Guards against two operators both told "accepted" for one number, an accepted ticket that is lost, a conflict
    // reported for a ticket that is in force, and readers that confirm a head while a newer ticket exists.
    constexpr std::uint64_t Seeds = fakes::seedCount(300);
    std::map<FilingOutcome, std::uint64_t> outcomes;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        CAPTURE(seed);
        Site site(seed);
        for (int step = 0; step < 60; ++step) {
            if (Daemon *daemon = site.idleDaemon(); daemon != nullptr) {
                daemon->act();
            }
        }
        for (const auto &daemon : site.daemons) {
            daemon->store.flush();
            daemon->store.failRate = daemon->store.loseRate = daemon->store.dropRate = daemon->store.delayRate = 0;
            daemon->store.beforeCall = nullptr;
        }
        ConfigState fold;
        std::vector<Ticket> stored;
        const platform::ObjectList listed = *site.store.list(TicketPrefix);
        for (const platform::StoredObject &object : listed.objects) {
            stored.push_back(*parseTicketText(object.value));
            REQUIRE(fold.validate(stored.back()).empty());
            fold.apply(stored.back());
        }
        checkAnswers(site, stored);
        for (const auto &daemon : site.daemons) {
            daemon->take(*daemon->reader.poll(*daemon->history.current()));
            CHECK(daemon->history.current()->digest() == fold.digest());
            // The first call notices a head that is behind, the second completes it after the filer's grace.
            REQUIRE(daemon->reader.maintain(fold, nullptr).ok());
            REQUIRE(daemon->reader.maintain(fold, nullptr).ok());
            const std::uint64_t past = pick(site.random, fold.number() + 1);
            CHECK(daemon->reader.stateAt(past)->number() == past);
        }
        if (fold.number() > 0) {
            const ConfigHead head = *parseHead(site.store.get(HeadKey)->value);
            CHECK(head.number == fold.number());
            CHECK(head.digest == fold.digest());
        }
        // A daemon that starts now reads the same state, through a snapshot where there is one.
        ConfigReader<fakes::FakeObjectStore> fresh(site.store, {}, [&] { return site.now(); });
        const ConfigUpdate start = *fresh.load(ConfigState());
        ConfigState loaded = start.state.value_or(ConfigState());
        for (const Ticket &ticket : start.tickets) {
            loaded.apply(ticket);
        }
        CHECK(loaded == fold);
        for (const FilingResult &result : site.results) {
            ++outcomes[result.outcome];
        }
    }
    // Each answer must have occurred, or the run has not tested its handling.
    for (const FilingOutcome outcome :
         {FilingOutcome::Accepted, FilingOutcome::Stored, FilingOutcome::Conflict, FilingOutcome::Unavailable}) {
        CAPTURE(nameOf(outcome));
        CHECK(outcomes[outcome] > Seeds / 6);
    }
}
