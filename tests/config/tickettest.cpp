// Tickets, the state they fold to, and the history.
#include "config/samples.h"
#include "config/tickethistory.h"
#include "fakes/seeds.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::config;

namespace {

constexpr const char *FullTicket = R"({"number":1,"nonce":"n","author":"a","note":"x","filed_ms":5,"set":{
    "workspaces":{"w":{"weight":2,"tokens_per_s":10.5,"max_in_flight":3}},
    "keys":{"k":{"workspace":"w","digest":"ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"}},
    "routes":{"r":{"workspace":"w","pool":"p","kind":"engine","repeatable":true,"key_field":"api_key"},
              "o":{"open":true,"pool":"s","kind":"service"}},
    "pools":{"p":{"kind":"engine","model":"m","endpoints":[{"name":"e","address":"10.0.0.1:80",
                  "availability_zone":"z","cheap":true,"checks_fencing":true}],"min":1,"max":2,"spend_per_hour":3},
             "s":{"kind":"service"}},
    "model_versions":{"m":{"model":"m","version":7}}},"remove":{}})";

Ticket fullTicket()
{
    return *parseTicketText(FullTicket);
}

bool mentions(const Problems &problems, std::string_view path)
{
    return std::any_of(problems.begin(), problems.end(), [&](const Problem &p) { return p.path == path; });
}

} // namespace

TEST_CASE("a ticket survives JSON and CBOR unchanged", "[config]")
{
    // Guards against replicas that fold different states because one got the ticket from a peer.
    const Ticket ticket = fullTicket();
    CHECK(*parseTicketText(toJson(ticket).dump()) == ticket);
    CHECK(*parseTicket(Json::from_cbor(Json::to_cbor(toJson(ticket)))) == ticket);
    CHECK(ticket.set.pools.find(PoolId("p"))->endpoints.at(0).checksFencing);
    CHECK(ticket.set.routes.find(RouteId("o"))->open);
}

TEST_CASE("a ticket's problems are reported all at once", "[config]")
{
    // Guards against an operator who needs one round per mistake, and against fields that silently keep a default.
    const auto parsed = parseTicketText(R"({"number":0,"author":"","colour":1,"set":{
        "workspaces":{"w":{"weight":-1,"tokens":2},"bad name":{"weight":1}},
        "keys":{"k":{"workspace":"w","digest":"sk-secret"}},
        "routes":{"r":{"workspace":"w","open":true,"pool":3,"kind":"robot"}},
        "pools":{"p":{"kind":"engine","min":3,"max":1,"endpoints":[{"name":"e","address":"host:80"}]}}},
        "remove":{"workspaces":["w","w"],"keys":"k"}})");
    REQUIRE(parsed.status().code() == absl::StatusCode::kInvalidArgument);
    const std::string text(parsed.status().message());
    INFO(text);
    for (const char *expected :
         {"number: expected a whole number from 1 to 9999999999, found 0", "author: expected a non-empty text",
          "\"colour\": expected no such field", "set/workspaces/w/weight: expected a number above 0",
          "set/workspaces/w/\"tokens\"", "found \"bad name\"", "set/keys/k/digest", "set/routes/r/open",
          "set/routes/r/pool", "set/routes/r/kind: expected one of \"engine\" \"service\", found \"robot\"",
          "set/pools/p/model", "set/pools/p/max: expected at least min (3), found 1",
          "set/pools/p/endpoints/0/address: expected an IPv4 address and port", "endpoints/0/availability_zone",
          "remove/workspaces/1: expected each name once", "remove/keys: expected a list",
          "remove/workspaces: expected"}) {
        CHECK_THAT(text, Catch::Contains(expected));
    }
    // A key pasted in place of its digest must not reach logs through the error.
    CHECK_THAT(text, !Catch::Contains("sk-secret"));
    CHECK_FALSE(parseTicketText("[]").ok());
    CHECK_FALSE(parseTicketText("{").ok());
    CHECK_FALSE(parseTicketText(std::string(MaxObjectBytes + 1, ' ')).ok());
    CHECK_FALSE(parseTicket(Json{{"number", 1}, {"author", "\xff"}}).ok());
    CHECK_FALSE(parseTicket(Json{{"number", 1}, {"author", "a"}, {"note", std::string(5000, 'x')}}).ok());
}

TEST_CASE("a ticket is refused where references would dangle", "[config]")
{
    // Guards against a request that finds its key or route but no workspace or pool behind it.
    ConfigState state;
    REQUIRE(state.validate(fullTicket()).empty());
    state.apply(fullTicket());
    const auto problemsOf = [&](const std::function<void(Ticket &)> &change) {
        Ticket ticket{.number = 2, .author = "a"};
        change(ticket);
        return state.validate(ticket);
    };
    CHECK(mentions(problemsOf([](Ticket &) {}), "set"));
    CHECK(mentions(problemsOf([](Ticket &t) { t.number = 3; }), "number"));
    CHECK(mentions(problemsOf([](Ticket &t) { t.remove.pools.emplace_back("p"); }), "remove/pools/p"));
    CHECK(mentions(problemsOf([](Ticket &t) { t.remove.workspaces.emplace_back("w"); }), "remove/workspaces/w"));
    CHECK(mentions(problemsOf([](Ticket &t) { t.remove.keys.emplace_back("none"); }), "remove/keys/none"));
    CHECK(mentions(problemsOf([](Ticket &t) { t.remove.modelVersions.emplace_back("m"); }), "remove/model_versions/m"));
    CHECK(mentions(problemsOf([](Ticket &t) { t.set.routes.set(RouteId("x"), {.open = true, .pool = PoolId("q")}); }),
                   "routes/x/pool"));
    CHECK(mentions(problemsOf([](Ticket &t) { t.set.routes.set(RouteId("x"), {.open = true, .pool = PoolId("s")}); }),
                   "routes/x/kind"));
    const std::string digest = state.findKey(KeyId("k"))->digest;
    CHECK(mentions(problemsOf([&](Ticket &t) {
                       t.set.keys.set(KeyId("l"), {WorkspaceId("w"), digest});
                   }),
                   "keys/l/digest"));
    CHECK(mentions(problemsOf([](Ticket &t) {
                       t.set.pools.set(PoolId("q"), {.model = "m", .endpoints = {{EndpointId("e"), "10.0.0.1:80"}}});
                   }),
                   "pools/q/endpoints/0/name"));
    CHECK(problemsOf([](Ticket &t) {
              t.remove.routes.emplace_back("r");
              t.remove.pools.emplace_back("p");
              t.remove.modelVersions.emplace_back("m");
          }).empty());
}

TEST_CASE("a digest that moves between keys finds the key that has it", "[config]")
{
    // Guards against a withdrawn key that still works, and a moved one that does not, through a stale index.
    ConfigState state;
    state.apply(fullTicket());
    const std::string digest = state.findKey(KeyId("k"))->digest;
    CHECK(state.findKeyByDigest(digest) == KeyId("k"));
    Ticket move{.number = 2, .author = "a"};
    move.remove.keys.emplace_back("k");
    move.set.keys.set(KeyId("a"), {WorkspaceId("w"), digest});
    REQUIRE(state.validate(move).empty());
    state.apply(move);
    CHECK(state.findKeyByDigest(digest) == KeyId("a"));
    Ticket withdraw{.number = 3, .author = "a"};
    withdraw.remove.keys.emplace_back("a");
    state.apply(withdraw);
    CHECK_FALSE(state.findKeyByDigest(digest).has_value());
}

TEST_CASE("a snapshot with another content than its digest is refused", "[config]")
{
    ConfigState state;
    state.apply(fullTicket());
    Json json = state.toJson();
    CHECK(*ConfigState::fromJson(json) == state);
    json["objects"]["workspaces"]["w"]["weight"] = 3;
    CHECK(ConfigState::fromJson(json).status().code() == absl::StatusCode::kDataLoss);
}

TEST_CASE("the history never reverts, and its past agrees with a fold from the start", "[config]")
{
    for (std::uint64_t seed = 1; seed <= fakes::seedCount(60); ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        TicketHistory history({.snapshotEvery = 8, .keptSnapshots = 3, .keptTicketBytes = 6000, .keptTimes = 20});
        std::vector<ConfigState> states(1);
        std::vector<Ticket> tickets;
        for (int step = 0; step < 200; ++step) {
            const std::uint64_t head = history.head();
            if (tickets.empty() || samples::pick(random, 2) == 0) {
                tickets.push_back(samples::validTicket(states.back(), random));
                states.push_back(states.back());
                states.back().apply(tickets.back());
            }
            const std::uint64_t number = samples::pick(random, 4) != 0 && head < tickets.size()
                ? head + 1
                : 1 + samples::pick(random, tickets.size());
            if (samples::pick(random, 40) == 0) {
                CHECK(history.adopt(states[number], step) == (number > head));
            } else {
                const auto applied = history.apply(tickets[number - 1], step);
                CHECK(applied.ok() == (number <= head + 1));
                CHECK((applied.ok() && *applied) == (number == head + 1));
            }
            REQUIRE(history.head() >= head);
            REQUIRE(*history.current() == states[history.head()]);
            const std::uint64_t asked = samples::pick(random, states.size());
            if (const auto past = history.stateAt(asked); past.ok()) {
                CHECK((*past)->digest() == states[asked].digest());
                CHECK(history.ticketsAfter(asked)->size() == history.head() - asked);
            }
            CHECK(history.times().size() <= 20);
            CHECK(history.numberAt(step).value_or(0) == history.head());
        }
        CHECK(history.head() > 20);
        CHECK(history.stateAt(0).status().code() == absl::StatusCode::kOutOfRange);
        Ticket other = tickets[history.head() - 1];
        other.nonce = "other";
        if (history.find(other.number) != nullptr) {
            CHECK(history.apply(other, 0).status().code() == absl::StatusCode::kDataLoss);
        }
    }
}
