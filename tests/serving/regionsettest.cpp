// Home regions: which replicas and nodes requests may reach.
#include "jobs/jobplacement.h"
#include "serving/gatewayconfig.h"
#include "serving/replicatable.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::serving;

namespace {

const Instant Now(absl::Seconds(100));

ReplicaTable twoRegions()
{
    ReplicaTableSettings settings;
    settings.availabilityZone = "z1";
    settings.region = "north";
    settings.regionOfZone = {{"z1", "north"}, {"z2", "south"}};
    ReplicaTable table(settings);
    for (const char *zone : {"z1", "z2", "unlisted"}) {
        ReplicaEntry entry;
        entry.id = zone;
        entry.service = "s";
        entry.availabilityZone = zone;
        entry.slots = 4;
        entry.weightVersions["m"] = 1;
        table.update(entry);
    }
    return table;
}

Workspace workspace(const std::string &name, RegionSet homes)
{
    Workspace workspace;
    workspace.name = name;
    workspace.homes = std::move(homes);
    return workspace;
}

} // namespace

// Guards against a request that is served in a region which the route or the workspace doesn't allow.
TEST_CASE("both the route and the workspace restrict the regions")
{
    const RegionSet north(std::set<std::string>{"north"});
    const RegionSet south(std::set<std::string>{"south"});
    const RegionSet both(std::set<std::string>{"north", "south"});
    const RegionSet nowhere(std::set<std::string>{});
    const struct
    {
        RegionSet route;
        RegionSet tenant;
        RegionSet expected;
    } cases[] = {{{}, {}, {}},         {north, {}, north},      {{}, south, south},
                 {both, south, south}, {north, south, nowhere}, {nowhere, {}, nowhere},
                 {both, both, both}};
    for (const auto &entry : cases) {
        GatewayConfig config;
        config.workspaces = {workspace("other", {}), workspace("w", entry.tenant)};
        Route route;
        route.homes = entry.route;
        CHECK(config.allowedRegions(route, "w") == entry.expected);
        CHECK(config.allowedRegions(route, "unknown") == entry.route);
    }
    CHECK_FALSE(north.allows(""));
    CHECK(RegionSet().allows(""));
}

// Guards against a choice that leaves the homes when the replicas there are tried, full or gone, and against a replica
// in a zone of unknown region. Without homes the choice is the one made before there were any.
TEST_CASE("no choice leaves the home regions")
{
    ReplicaTable table = twoRegions();
    const RegionSet south(std::set<std::string>{"south"});
    const ReplicaTable::LimitedReplicas any{true, absl::InfiniteDuration()};
    CHECK(table.chooseForRequest("s", {}, Now)->entry.id == "z1");
    CHECK(table.chooseForRequest("s", {}, Now, any, south)->entry.id == "z2");
    CHECK(table.chooseForRequest("s", {"z2"}, Now, any, south) == nullptr);
    CHECK(table.chooseForBackground("s", {}, Now, south)->entry.id == "z2");
    CHECK(table.chooseForBackground("s", {"z2"}, Now, south) == nullptr);
    ReplicaTable::ItemRequirements need;
    need.service = "s";
    need.model = "m";
    CHECK(table.chooseForItem(need, {}, Now)->entry.id == "z1");
    need.regions = south;
    CHECK(table.chooseForItem(need, {}, Now)->entry.id == "z2");
    table.find("z2")->inFlight = 4;
    CHECK(table.chooseForItem(need, {}, Now) == nullptr);
    need.regions = RegionSet(std::set<std::string>{});
    CHECK(table.chooseForItem(need, {}, Now) == nullptr);
}

// Guards against the bodies of a job at a node outside its homes, when it is placed and when its node is lost.
TEST_CASE("jobs are placed and taken over within their home regions")
{
    for (const int size : {8, 60, 165}) {
        std::vector<jobs::JobHost> hosts;
        for (int i = 0; i < size; ++i) {
            hosts.push_back(
                {"node-" + std::to_string(i), i % 10 == 0 ? 0.5 : 0.12, true, i % 2 == 0 ? "north" : "south"});
        }
        const RegionSet south(std::set<std::string>{"south"});
        const auto atHome = jobs::hostsIn(south, hosts);
        CHECK(atHome.size() == static_cast<std::size_t>(size / 2));
        const std::string chosen = jobs::chooseJobHost("m", {"m", "n"}, atHome);
        for (const jobs::JobHost &host : hosts) {
            CHECK((host.node != chosen || host.region == "south"));
        }
        CHECK(jobs::successorsOf(chosen, atHome).size() == atHome.size());
        CHECK(jobs::hostsIn({}, hosts).size() == hosts.size());
        CHECK(jobs::chooseJobHost("m", {"m"}, jobs::hostsIn(RegionSet(std::set<std::string>{}), hosts)).empty());
    }
}

// Guards against addresses far from home for a host all of whose routes have homes.
TEST_CASE("the homes of a host are those of its routes")
{
    GatewayConfig config;
    for (const char *region : {"north", "south"}) {
        Route route;
        route.host = "a.example";
        route.homes = RegionSet(std::set<std::string>{region});
        config.routes.push_back(route);
    }
    CHECK(config.homesOfHost("A.example:80") == RegionSet(std::set<std::string>{"north", "south"}));
    CHECK(config.homesOfHost("b.example").isUnrestricted());
    Route open;
    open.host = "a.example";
    config.routes.push_back(open);
    CHECK(config.homesOfHost("a.example").isUnrestricted());
}
