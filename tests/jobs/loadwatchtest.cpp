// Tests how a job learns that replicas have loaded the weights that its items need.
#include "jobs/loadwatch.h"

#include "jobcluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace currantlug;
using namespace currantlug::tests;
using jobs::LoadWatch;
using jobs::SubmitOutcome;

namespace {

const Instant Start(absl::Seconds(1000));

} // namespace

TEST_CASE("only outdated replicas that are planned for the model are asked, once a period")
{
    serving::ReplicaTable table{serving::ReplicaTableSettings{}};
    std::map<std::string, std::string> plan;
    for (int i = 0; i < 6; ++i) {
        serving::ReplicaEntry entry;
        entry.id = "r" + std::to_string(i);
        entry.service = i == 5 ? "desk" : "engine";
        entry.draining = i == 4;
        entry.slots = 6;
        entry.weightVersions["model"] = i < 1 ? 3 : 2;
        plan[entry.id] = i == 3 ? "other" : "model";
        table.update(entry);
    }
    serving::ReplicaTable::ItemRequirements need;
    need.service = "engine";
    need.model = "model";
    need.minVersion = 3;
    need.plan = &plan;
    LoadWatch watch;
    const std::vector<std::string> outdated{"r1", "r2"};
    CHECK(watch.replicasToQuery(table, need, Start) == outdated);
    CHECK(watch.replicasToQuery(table, need, Start + absl::Milliseconds(100)).empty());
    CHECK(watch.replicasToQuery(table, need, Start + absl::Milliseconds(200)) == outdated);
    need.minVersion = 2;
    CHECK(watch.replicasToQuery(table, need, Start + absl::Seconds(1)).empty());
}

// Load: half of the replicas load at the start of a step, and most items wait for them. Guards against items that wait
// until the registry shows the end of the loads, one to two seconds late.
TEST_CASE("items are sent as soon as a replica reports the version that they need")
{
    JobCluster cluster({"a"});
    jobs::JobSpec spec = JobCluster::spec("job", 4);
    spec.minVersion = 2;
    cluster.replicas.versions = {{"r1", 2}};
    REQUIRE(cluster.submit("a", spec) == SubmitOutcome::Accepted);
    runFor(cluster.loop, std::chrono::milliseconds(100));
    CHECK(cluster.replicas.receivedRequests.empty());
    cluster.reportedVersions = {{"r1", 2}};
    // Sooner than the registry would show it.
    CHECK(runUntil(
        cluster.loop, [&cluster] { return cluster.replicas.receivedRequests.size() == 4; }, std::chrono::seconds(1)));
    CHECK(cluster.waitForResults("a", "job", 4));
    const int queries = cluster.versionQueries;
    runFor(cluster.loop, std::chrono::milliseconds(500));
    CHECK(cluster.versionQueries == queries);
}
