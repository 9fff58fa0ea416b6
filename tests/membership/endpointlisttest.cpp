// A leaving endpoint stays leaving until a newer incarnation shows, whatever lagging sources repeat.
#include "membership/endpointlist.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::membership;

namespace {

const Instant Start(absl::Seconds(100));
const EndpointId E1("e1");

EndpointInput endpoint(const std::string &id, const std::string &host, bool cheap = false)
{
    return {EndpointId(id), PoolId("p"), host + ":9000", ZoneId("z-" + host), cheap};
}

// One endpoint on vm-1 with the engine process p-1.
EndpointList makeKnown()
{
    EndpointList list;
    list.applyConfig({endpoint("e1", "10.0.0.1")}, Start);
    list.applyVms({{"vm-1", "10.0.0.1"}}, Start);
    list.applyLoad({E1, "p-1"}, Start);
    return list;
}

EndpointState stateOf(const EndpointList &list)
{
    return list.find(E1)->state;
}

} // namespace

TEST_CASE("any source alone makes an endpoint leave", "[membership]")
{
    EndpointList byVm = makeKnown();
    byVm.applyVms({{"vm-1", "10.0.0.1", true}}, Start + absl::Seconds(1));
    CHECK(byVm.find(E1)->source == LeavingSource::VmList);
    CHECK(byVm.find(E1)->leavingSince == Start + absl::Seconds(1));
    EndpointList byLoad = makeKnown();
    byLoad.applyLoad({E1, "p-1", true}, Start);
    CHECK(byLoad.find(E1)->source == LeavingSource::LoadReport);
    EndpointList byEviction = makeKnown();
    byEviction.applyEviction(E1, Start);
    CHECK(byEviction.find(E1)->source == LeavingSource::Eviction);
    EndpointList byTicket = makeKnown();
    EndpointInput drained = endpoint("e1", "10.0.0.1");
    drained.draining = true;
    byTicket.applyConfig({drained}, Start);
    CHECK(byTicket.find(E1)->source == LeavingSource::Ticket);
}

TEST_CASE("lagging reports do not return a leaving endpoint", "[membership]")
{
    EndpointList list = makeKnown();
    list.applyEviction(E1, Start);
    list.applyVms({{"vm-1", "10.0.0.1"}}, Start);
    list.applyLoad({E1, "p-1"}, Start);
    CHECK(stateOf(list) == EndpointState::Leaving);
    // A restarted process does not bring back its leaving VM.
    list.applyLoad({E1, "p-2"}, Start);
    CHECK(stateOf(list) == EndpointState::Leaving);
    list.applyVms({{"vm-2", "10.0.0.1"}}, Start);
    CHECK(stateOf(list) == EndpointState::Live);
    // Late word of the earlier VM and process does not concern the new ones.
    list.applyVms({{"vm-1", "10.0.0.1", true}}, Start);
    list.applyLoad({E1, "p-1", true}, Start);
    CHECK(stateOf(list) == EndpointState::Live);
    list.applyVms({{"vm-2", "10.0.0.1"}, {"vm-1", "10.0.0.1", true}}, Start);
    CHECK(stateOf(list) == EndpointState::Live);
}

TEST_CASE("the first name that is learnt after the leaving is not newer", "[membership]")
{
    EndpointList list;
    list.applyConfig({endpoint("e1", "10.0.0.1")}, Start);
    list.applyEviction(E1, Start);
    list.applyVms({{"vm-1", "10.0.0.1"}}, Start);
    CHECK(stateOf(list) == EndpointState::Leaving);
    list.applyLoad({E1, "", true}, Start);
    list.applyLoad({E1, "p-1"}, Start);
    list.applyVms({{"vm-2", "10.0.0.1"}}, Start);
    CHECK(stateOf(list) == EndpointState::Live);
}

TEST_CASE("a process that left returns as a newer process", "[membership]")
{
    EndpointList list = makeKnown();
    list.applyLoad({E1, "p-1", true}, Start);
    list.applyLoad({E1, "p-2"}, Start);
    CHECK(stateOf(list) == EndpointState::Live);
    list.applyLoad({E1, "p-1", true}, Start);
    CHECK(stateOf(list) == EndpointState::Live);
}

TEST_CASE("a drained endpoint returns after the drain is lifted and a newer incarnation came", "[membership]")
{
    EndpointList list = makeKnown();
    EndpointInput input = endpoint("e1", "10.0.0.1");
    input.draining = true;
    list.applyConfig({input}, Start);
    list.applyLoad({E1, "p-2"}, Start);
    CHECK(stateOf(list) == EndpointState::Leaving);
    input.draining = false;
    list.applyConfig({input}, Start);
    CHECK(stateOf(list) == EndpointState::Live);
    input.draining = true;
    list.applyConfig({input}, Start);
    input.draining = false;
    list.applyConfig({input}, Start);
    CHECK(stateOf(list) == EndpointState::Leaving);
}

TEST_CASE("counts separate live, leaving and cheap endpoints by pool and zone", "[membership]")
{
    EndpointList list;
    EndpointInput other = endpoint("e4", "10.0.0.4");
    other.pool = PoolId("q");
    list.applyConfig({endpoint("e1", "10.0.0.1"), endpoint("e2", "10.0.0.2", true), endpoint("e3", "10.0.0.3"), other},
                     Start);
    list.applyEviction(EndpointId("e3"), Start);
    const EndpointCounts counts = list.counts(PoolId("p"));
    CHECK(counts.live == 2);
    CHECK(counts.leaving == 1);
    CHECK(counts.liveCheap == 1);
    CHECK(counts.liveByZone.at(ZoneId("z-10.0.0.2")) == 1);
    CHECK(list.pool(PoolId("q")).size() == 1);
    list.applyConfig({endpoint("e1", "10.0.0.1")}, Start);
    CHECK(list.find(EndpointId("e2")) == nullptr);
}
