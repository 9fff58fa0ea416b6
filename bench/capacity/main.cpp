// Measures how memory, CPU time and message sizes of the per-daemon state grow with the size of a site.
//
// Each table has several sizes and the slope between the smallest and the largest one. docs/CAPACITY.md is worked out
// from these slopes.
#include "config/configstate.h"
#include "config/freshness.h"
#include "config/ticket.h"
#include "core/hash.h"
#include "membership/addressanswer.h"
#include "membership/memberlist.h"
#include "membership/relays.h"
#include "requests/claimlog.h"
#include "rollout/step.h"
#include "routing/dispatcher.h"

#include <fmt/format.h>
#include <malloc.h>

#include <ctime>
#include <functional>
#include <vector>

using namespace currantlug;

namespace {

double cpuMicroseconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// CPU time of one call, averaged over enough calls to exceed the clock's resolution.
double microsecondsPerCall(const std::function<void()> &call)
{
    constexpr double EnoughMicroseconds = 50'000;
    const double start = cpuMicroseconds();
    int calls = 0;
    do {
        call();
        ++calls;
    } while (cpuMicroseconds() - start < EnoughMicroseconds);
    return (cpuMicroseconds() - start) / calls;
}

/// One figure at several sizes.
struct Series
{
    std::string name;
    std::string unit;
    std::vector<std::pair<double, double>> points; ///< Size and value.
};

void print(const Series &series, const char *sizeName)
{
    fmt::print("{:<34}", series.name);
    for (const auto &[size, value] : series.points) {
        fmt::print("  {}={:.0f}: {:.2f}", sizeName, size, value);
    }
    const auto &[firstSize, firstValue] = series.points.front();
    const auto &[lastSize, lastValue] = series.points.back();
    fmt::print("  slope {:.4f} {} per {}\n", (lastValue - firstValue) / (lastSize - firstSize), series.unit, sizeName);
}

membership::MemberList makeMembers(int count)
{
    membership::MemberList list;
    for (int i = 0; i < count; ++i) {
        membership::Member member;
        member.id = DaemonId(fmt::format("daemon-{:03}", i));
        member.incarnation = "0123456789abcdef";
        member.zone = ZoneId(fmt::format("zone-{}", i % 5));
        member.region = RegionId(fmt::format("region-{}", i % 5 / 3));
        member.callerAddress = fmt::format("10.0.{}.{}:8080", i / 250, i % 250);
        member.meshAddress = fmt::format("10.0.{}.{}:7081", i / 250, i % 250);
        list = *list.withJoined(member);
        list = *list.withState(member.id, member.incarnation, membership::MemberState::Serving);
    }
    return list;
}

void measureMembers()
{
    Series bytes{"member list, JSON", "bytes", {}};
    Series addresses{"address answer, CPU", "us", {}};
    Series relays{"relay choice, CPU", "us", {}};
    Series decide{"outage decision, CPU", "us", {}};
    for (const int count : {8, 50, 100, 200, 390}) {
        const membership::MemberList list = makeMembers(count);
        const membership::Member &self = list.members().front();
        const membership::Suspects suspects;
        bytes.points.emplace_back(count, static_cast<double>(list.toJson().dump().size()));
        addresses.points.emplace_back(count, microsecondsPerCall([&] {
                                          membership::addressAnswer(list, suspects, self, "caller", self.zone, {});
                                      }));
        relays.points.emplace_back(count,
                                   microsecondsPerCall([&] { membership::relaysOf(list, suspects, self.zone); }));

        config::FreshnessTracker freshness(self.id, {}, Instant());
        config::MemberView view{list.version(), {}, {}};
        for (const membership::Member &member : list.members()) {
            view.members.push_back(member.id);
        }
        freshness.applyMembers(view, Instant());
        decide.points.emplace_back(count, microsecondsPerCall([&] { freshness.decide(Instant(absl::Hours(1))); }));
    }
    print(bytes, "daemons");
    print(addresses, "daemons");
    print(relays, "daemons");
    print(decide, "daemons");
}

config::Ticket makeTicket(std::uint64_t number, int firstKey, int keys)
{
    config::Ticket ticket;
    ticket.number = number;
    ticket.nonce = "0123456789abcdef0123456789abcdef";
    ticket.set.workspaces.set(WorkspaceId("w"), {});
    for (int i = firstKey; i < firstKey + keys; ++i) {
        ticket.set.keys.set(KeyId(fmt::format("key-{:06}", i)), {WorkspaceId("w"), sha256Hex(std::to_string(i))});
    }
    return ticket;
}

void measureConfiguration()
{
    Series memory{"configuration state, memory", "bytes", {}};
    Series snapshot{"snapshot, JSON", "bytes", {}};
    Series apply{"ticket of one key, apply, CPU", "us", {}};
    for (const int keys : {500, 1000, 2000, 4000}) {
        const double before = heapBytes();
        config::ConfigState state;
        state.apply(makeTicket(1, 0, keys));
        memory.points.emplace_back(keys, heapBytes() - before);
        snapshot.points.emplace_back(keys, static_cast<double>(state.toJson().dump().size()));
        apply.points.emplace_back(keys, microsecondsPerCall([&] {
                                      config::ConfigState next = state;
                                      next.apply(makeTicket(2, keys, 1));
                                  }));
    }
    print(memory, "keys");
    print(snapshot, "keys");
    print(apply, "keys");
    const config::Ticket ticket = makeTicket(2, 0, 1);
    fmt::print("ticket of one key, CBOR                 {} bytes\n", Json::to_cbor(config::toJson(ticket)).size());
    const Json pull{
        {"t", "config_pull"}, {"id", 4711}, {"head", 670}, {"members_version", 700}, {"members_unconfirmed", false}};
    const Json reply{{"re", 4711}, {"head", 670}, {"age_ms", 1234}};
    fmt::print("config_pull and its answer, CBOR        {} bytes\n",
               Json::to_cbor(pull).size() + Json::to_cbor(reply).size());
}

void measureRouting()
{
    Series assign{"dispatcher, submit to finish, CPU", "us", {}};
    Series memory{"dispatcher, memory", "bytes", {}};
    for (const int endpoints : {13, 50, 150, 300, 600}) {
        const double before = heapBytes();
        routing::Dispatcher dispatcher{routing::DispatcherSettings{}};
        for (int i = 0; i < endpoints; ++i) {
            dispatcher.upsertEndpoint({EndpointId(fmt::format("endpoint-{:03}", i)), PoolId("pool"),
                                       ZoneId(fmt::format("zone-{}", i % 5)), RegionId("region"), i % 3 == 0});
        }
        memory.points.emplace_back(endpoints, heapBytes() - before);
        Instant now(absl::Seconds(1));
        assign.points.emplace_back(endpoints, microsecondsPerCall([&] {
                                       routing::WorkItem item;
                                       item.workspace = WorkspaceId("w");
                                       item.pool = PoolId("pool");
                                       item.repeatable = true;
                                       item.expectedTokens = 200;
                                       const routing::Admission admission = dispatcher.submit(item, now);
                                       const auto assignment = dispatcher.next(now);
                                       now = now + absl::Milliseconds(1);
                                       if (admission.queued && assignment) {
                                           dispatcher.started(assignment->work, assignment->endpoint, now);
                                           dispatcher.finished(assignment->work, assignment->endpoint, now);
                                       }
                                   }));
    }
    print(assign, "endpoints");
    print(memory, "endpoints");
}

rollout::StepDefinition makeStep(int groups)
{
    Json body{{"route", "count"}, {"staleness_bound", 1}, {"trainer_version", 1}, {"deadline_ms", 180'000}};
    body["groups"] = Json::array();
    for (int i = 0; i < groups; ++i) {
        body["groups"].push_back(
            {{"id", fmt::format("g{}", i)}, {"prompt", std::string(1000, 'x')}, {"samples", 8}, {"max_tokens", 500}});
    }
    return *rollout::parseStepDefinition(TrainerId("t"), "s", body.dump());
}

void measureSteps()
{
    Series memory{"step with held samples, memory", "bytes", {}};
    Series cursor{"cursor, text", "bytes", {}};
    Series pull{"pull of 64 samples, CPU", "us", {}};
    for (const int groups : {64, 128, 256, 512}) {
        const double before = heapBytes();
        rollout::Step step(makeStep(groups), Instant());
        const std::uint32_t slots = step.definition().slotCount;
        for (rollout::SlotNumber slot = 0; slot < slots; ++slot) {
            step.slotStarted(slot, Instant());
            step.slotFinished(slot, {std::string(2000, 'y'), {{1, 500}}, "0123456789abcdef.0123456789abcdef", "length"},
                              Instant());
        }
        memory.points.emplace_back(slots, heapBytes() - before);
        const auto answer = step.pull("", 1, 64);
        cursor.points.emplace_back(slots, static_cast<double>(answer->cursor.size()));
        pull.points.emplace_back(slots, microsecondsPerCall([&] { step.pull("", 1, 64).status().IgnoreError(); }));
    }
    print(memory, "slots");
    print(cursor, "slots");
    print(pull, "slots");
}

void measureClaims()
{
    Series entry{"claim log entry, JSON", "bytes", {}};
    for (const int ids : {10, 100, 1000}) {
        requests::ClaimEntry claims;
        claims.nonce = "0123456789abcdef";
        for (int i = 0; i < ids; ++i) {
            claims.ids.push_back(requests::claimId("w", std::to_string(i)));
        }
        entry.points.emplace_back(ids, static_cast<double>(claims.encode().size()));
    }
    print(entry, "ids");
}

} // namespace

int main()
{
    measureMembers();
    measureConfiguration();
    measureRouting();
    measureSteps();
    measureClaims();
    return 0;
}
