// Endpoint orders, usage reports and the VM list against the platform stand-in.
#include "platform/endpointorderclient.h"
#include "platform/usagereportclient.h"
#include "platform/vmlistclient.h"
#include "standins/platformstandin.h"

#include <catch2/catch.hpp>
#include <sys/socket.h>

using namespace currantlug;
using namespace currantlug::platform;
using standins::FaultKind;
using standins::PlatformStandin;

namespace {

struct Fixture
{
    PlatformStandin platform;
    HttpClientSettings settings;

    Fixture()
    {
        REQUIRE(platform.start().ok());
        settings.port = platform.port();
    }
};

EndpointOrder orderWithToken(std::uint64_t token)
{
    return {.orderId = "o1", .fencingToken = token, .zone = ZoneId("z"), .pool = PoolId("p"), .lasting = 3, .cheap = 2};
}

} // namespace

TEST_CASE_METHOD(Fixture, "a socket that the guard shut down in the hook sends no byte", "[platform]")
{
    // Guards against an order from a paused holder whose lease lapsed between the check and the send.
    EndpointOrderClient orders(settings, "d1");
    UsageReportClient reports(settings, "d1");
    const SocketHook lapsed = [](int socket) { ::shutdown(socket, SHUT_RDWR); };
    CHECK(errorContext(orders.send(orderWithToken(1), lapsed)).outcome == Outcome::NotRun);
    CHECK(errorContext(reports.send({WorkspaceId("w"), "t", "{}"}, lapsed)).outcome == Outcome::NotRun);
    CHECK(platform.audit()["orders"].empty());
    CHECK(platform.audit()["reports"].empty());
}

TEST_CASE_METHOD(Fixture, "the hook's descriptor stays valid after the call", "[platform]")
{
    // A guard disarmed just after the call must not reach a socket that reused the number.
    EndpointOrderClient orders(settings, "d1");
    int hooked = -1;
    REQUIRE(orders.send(orderWithToken(1), [&](int socket) { hooked = socket; }).ok());
    int type = 0;
    socklen_t length = sizeof(type);
    CHECK(getsockopt(hooked, SOL_SOCKET, SO_TYPE, &type, &length) == 0);
}

TEST_CASE_METHOD(Fixture, "an order with a stale token is refused only while the platform checks", "[platform]")
{
    EndpointOrderClient orders(settings, "d1");
    REQUIRE(orders.send(orderWithToken(5)).ok());
    CHECK(orders.send(orderWithToken(4)).code() == absl::StatusCode::kFailedPrecondition);
    platform.setCheckFencing(false);
    CHECK(orders.send(orderWithToken(4)).ok());
    const Json audit = platform.audit()["orders"];
    REQUIRE(audit.size() == 3);
    CHECK(audit[1]["accepted"] == false);
    CHECK(audit[2]["accepted"] == true);
    CHECK(audit[0]["sender"] == "d1");
    CHECK(audit[0]["lasting"] == 3);
}

TEST_CASE_METHOD(Fixture, "a report whose answer is lost may have been taken", "[platform]")
{
    UsageReportClient reports(settings, "d1");
    platform.addFault({.kind = FaultKind::LoseAnswer, .pathPrefix = "/v1/usage-reports"});
    const absl::Status status = reports.send({WorkspaceId("w"), "t1", "{\"tokens\":7}"});
    CHECK(errorContext(status).outcome == Outcome::MayHaveRun);
    REQUIRE(platform.audit()["reports"].size() == 1);
    CHECK(platform.audit()["reports"][0]["body"] == "{\"tokens\":7}");
}

TEST_CASE_METHOD(Fixture, "the VM list lags, and an unknown state counts as leaving", "[platform]")
{
    platform.setVms(Json::parse(R"([{"name":"v1","address":"127.0.0.1:1","availability_zone":"z","state":"odd"}])"));
    const auto list = VmListClient(settings).list();
    REQUIRE(list.ok());
    REQUIRE(list->vms.size() == 1);
    CHECK(list->vms[0].state == VmState::Leaving);

    PlatformStandin lagging({.vmLag = absl::Hours(1)});
    REQUIRE(lagging.start().ok());
    lagging.setVms(Json::array({{{"name", "v1"}, {"state", "live"}}}));
    CHECK(VmListClient({.port = lagging.port()}).list()->vms.empty());
}
