// Tests batch jobs on several nodes: submission, positions of results, takeovers, ends.
#include "jobcluster.h"

#include "core/hash.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <utility>

using namespace currantlug;
using namespace currantlug::tests;
using jobs::ReadOutcome;
using jobs::SubmitOutcome;
using objects::StoreOutcome;

namespace {

std::vector<std::string> idsOf(const jobs::ResultPage &page)
{
    std::vector<std::string> ids;
    for (const jobs::ItemResult &result : page.results) {
        ids.push_back(result.id);
    }
    return ids;
}

} // namespace

// Guards against results that differ between nodes or lack part of an item's text.
TEST_CASE("all nodes return the same complete results at the same positions")
{
    JobCluster cluster({"a", "b", "c"});
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 6)) == SubmitOutcome::Accepted);
    REQUIRE(cluster.waitForResults("a", "job", 6));
    const auto [outcome, page] = cluster.read("a", "job");
    for (const jobs::ItemResult &result : page.results) {
        CHECK(result.state == jobs::ResultState::Completed);
        CHECK(result.text == FakeReplicas::textOf(result.id, 3));
        CHECK(result.versions == std::vector<std::uint64_t>{1});
    }
    CHECK(page.total == 6);
    CHECK(idsOf(cluster.read("b", "job").second) == idsOf(page));
    const auto ids = idsOf(page);
    CHECK(idsOf(cluster.read("c", "job", 2).second) == std::vector<std::string>(ids.begin() + 2, ids.end()));
}

// Guards against a job that runs twice because its submission was repeated at another node.
TEST_CASE("a repeated submission is accepted once")
{
    JobCluster cluster({"a", "b"});
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 2)) == SubmitOutcome::Accepted);
    REQUIRE(cluster.submit("b", JobCluster::spec("job", 2)) == SubmitOutcome::Accepted);
    REQUIRE(cluster.waitForResults("b", "job", 2));
    CHECK(cluster.replicas.receivedRequests.size() == 2);
}

// Guards against a job that is lost, or is refused although it runs, when the store's answer to its creation is lost.
TEST_CASE("a submission is accepted although the store's first answer is lost")
{
    JobCluster cluster({"a"});
    int lostReplies = 1;
    cluster.store.setFault([&lostReplies](const std::string &op, const std::string &kind, const std::string &) {
        return op == "create" && kind == "jobs" && lostReplies-- > 0 ? StoreOutcome::Unknown : StoreOutcome::Done;
    });
    CHECK(cluster.submit("a", JobCluster::spec("job", 2)) == SubmitOutcome::Accepted);
    CHECK(cluster.waitForResults("a", "job", 2));
}

// Guards against a false refusal: after the client received status 503, no item of the job may run.
TEST_CASE("no item of a refused submission runs")
{
    JobCluster cluster({"a"});
    cluster.store.setFault([](const std::string &op, const std::string &kind, const std::string &) {
        return op == "create" && kind == "jobs" ? StoreOutcome::Refused : StoreOutcome::Done;
    });
    CHECK(cluster.submit("a", JobCluster::spec("job", 2)) == SubmitOutcome::Refused);
    cluster.store.setFault({});
    runFor(cluster.loop, std::chrono::milliseconds(600));
    CHECK(cluster.replicas.receivedRequests.empty());
    CHECK(cluster.read("a", "job").first == ReadOutcome::NotFound);
}

// Guards against takeovers that load a job's items, discard them and start over forever. This happened when the number
// of items was compared after the specification had been moved from.
TEST_CASE("another node finishes the job of a killed node")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.eventGap = absl::Milliseconds(20);
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 6)) == SubmitOutcome::Accepted);
    cluster.kill("a");
    cluster.at("b").scanOrphanedJobs();
    REQUIRE(cluster.waitForResults("b", "job", 6));
    const auto page = cluster.read("b", "job").second;
    auto ids = idsOf(page);
    std::sort(ids.begin(), ids.end());
    CHECK(std::unique(ids.begin(), ids.end()) == ids.end());
    CHECK(cluster.store.value("jobs", "job")["owner"] == "b");
}

// Guards against a job that can't be read and takes calls of the store without end, several a second at each node.
TEST_CASE("a takeover that meets an unreadable object is repeated less and less often")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.silent = {"r1", "r2"};
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 2)) == SubmitOutcome::Accepted);
    cluster.store.put(jobs::resultKind("job"), jobs::segmentName(0), {{"results", {{{"id", ""}}}}});
    cluster.kill("a");
    cluster.at("b").scanOrphanedJobs();
    const int before = cluster.store.calls("list");
    runFor(cluster.loop, std::chrono::milliseconds(3000));
    // Takeovers after 0, 0.25, 0.75 and 1.75 s, with a list of the records and one of the results each.
    CHECK(cluster.store.calls("list") - before <= 8);
    cluster.store.put(jobs::resultKind("job"), jobs::segmentName(0), {{"results", Json::array()}});
    cluster.replicas.silent.clear();
    CHECK(cluster.waitForResults("b", "job", 2));
}

// Guards against the loss of all text at a planned stop: the stopping node wasn't asked for it, and items were sent
// again before the text arrived.
TEST_CASE("a node that takes over the jobs of a stopping node resumes their texts")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.eventsPerItem = 40;
    cluster.replicas.eventGap = absl::Milliseconds(10);
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 4)) == SubmitOutcome::Accepted);
    runFor(cluster.loop, std::chrono::milliseconds(150));
    const std::size_t sent = cluster.replicas.receivedRequests.size();
    cluster.stop("a");
    cluster.at("b").scanOrphanedJobs();
    REQUIRE(cluster.waitForResults("b", "job", 4));
    REQUIRE(cluster.replicas.receivedRequests.size() == sent + 4);
    for (std::size_t i = sent; i < sent + 4; ++i) {
        CHECK(cluster.replicas.receivedRequests[i].resumeAfter.has_value());
    }
}

// Guards against a number of store calls that grows with the square of the fleet in a rolling restart: each node
// searched three times for the jobs of each node that stopped.
TEST_CASE("few nodes search for the jobs of a lost node, and one takes them over")
{
    std::vector<std::string> names;
    for (int i = 0; i < 12; ++i) {
        names.push_back("node-" + std::to_string(i));
    }
    JobCluster cluster(names);
    cluster.replicas.eventsPerItem = 20;
    cluster.replicas.eventGap = absl::Milliseconds(20);
    REQUIRE(cluster.submit("node-0", JobCluster::spec("job", 4)) == SubmitOutcome::Accepted);
    const int listed = cluster.store.calls("list");
    cluster.kill("node-0");
    for (std::size_t i = 1; i < names.size(); ++i) {
        cluster.at(names[i]).onNodeLost("node-0", true);
    }
    REQUIRE(cluster.waitForResults(names.back(), "job", 4));
    runFor(cluster.loop, std::chrono::milliseconds(4300));
    // Six searches by three nodes; reads of the results by other nodes list them as well.
    CHECK(cluster.store.calls("list") - listed <= 12);
}

// Guards against searches for each of many nodes that end one after the other and had run no jobs, and against a job
// that one of them had accepted right before it ended.
TEST_CASE("nodes that had run no jobs share the searches, and a job of one of them is still taken over")
{
    std::vector<std::string> names;
    for (int i = 0; i < 40; ++i) {
        names.push_back("node-" + std::to_string(i));
    }
    JobCluster cluster(names);
    cluster.replicas.eventsPerItem = 100;
    cluster.replicas.eventGap = absl::Milliseconds(20);
    REQUIRE(cluster.submit("node-7", JobCluster::spec("job", 4)) == SubmitOutcome::Accepted);
    const int listed = cluster.store.calls("list");
    // One node every 100 ms for two seconds; each of the others notices each loss.
    for (int lost = 0; lost < 20; ++lost) {
        const std::string node = names[static_cast<std::size_t>(lost)];
        cluster.kill(node);
        for (std::size_t i = static_cast<std::size_t>(lost) + 1; i < names.size(); ++i) {
            cluster.at(names[i]).onNodeLost(node, false);
        }
        runFor(cluster.loop, std::chrono::milliseconds(100));
    }
    runFor(cluster.loop, std::chrono::milliseconds(6500));
    CHECK(cluster.store.value("jobs", "job")["owner"] != "node-7");
    // 20 losses; in the 8.5 s at most five searches of each of three nodes that live on, those of nodes that were lost
    // meanwhile, and the successor's. A search for each loss would make 120.
    CHECK(cluster.store.calls("list") - listed <= 30);
    REQUIRE(cluster.waitForResults(names.back(), "job", 4));
}

// Guards against a job that nobody takes over because its successor doesn't see that the owner was lost.
TEST_CASE("a job that its successor leaves is taken over by another node")
{
    JobCluster cluster({"a", "b", "c", "d"});
    cluster.replicas.eventGap = absl::Milliseconds(20);
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 4)) == SubmitOutcome::Accepted);
    cluster.kill("a");
    std::string successor;
    for (const std::string node : {"b", "c", "d"}) {
        if (successor.empty() || rendezvousWeight("a", node) > rendezvousWeight("a", successor)) {
            successor = node;
        }
    }
    // The store is out of reach for the successor alone: its searches fail, and it claims nothing.
    cluster.storeOutOfReach.insert(successor);
    for (const std::string node : {"b", "c", "d"}) {
        cluster.at(node).onNodeLost("a", true);
    }
    const std::string reader = successor == "b" ? "c" : "b";
    REQUIRE(cluster.waitForResults(reader, "job", 4));
    CHECK(cluster.store.value("jobs", "job")["owner"] != successor);
}

// Guards against results that change or disappear after they were read, when the owner dies.
TEST_CASE("results that were read keep their positions after a takeover")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.eventGap = absl::Milliseconds(15);
    cluster.settings.flushDelay = absl::Milliseconds(1);
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 12)) == SubmitOutcome::Accepted);
    REQUIRE(cluster.waitForResults("a", "job", 2));
    const auto before = idsOf(cluster.read("a", "job").second);
    cluster.kill("a");
    cluster.at("b").scanOrphanedJobs();
    REQUIRE(cluster.waitForResults("b", "job", 12));
    const auto after = idsOf(cluster.read("b", "job").second);
    REQUIRE(after.size() == 12);
    CHECK(std::equal(before.begin(), before.end(), after.begin()));
}

// Guards against two owners that store different results at one position: the first owner is partitioned, not dead.
TEST_CASE("a former owner that still runs returns the same result at every position")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.eventGap = absl::Milliseconds(20);
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 8)) == SubmitOutcome::Accepted);
    cluster.partitions.insert({"a", "b"});
    cluster.at("b").scanOrphanedJobs();
    REQUIRE(cluster.waitForResults("b", "job", 8));
    REQUIRE(cluster.waitForResults("a", "job", 8));
    CHECK(idsOf(cluster.read("a", "job").second) == idsOf(cluster.read("b", "job").second));
}

// Guards against a node that returns no result at a position where another node has returned one: the first owner was
// partitioned, its job was taken over, and it continued to answer from its own log.
TEST_CASE("a former owner forwards reads to the current owner")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.eventGap = absl::Milliseconds(20);
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 4)) == SubmitOutcome::Accepted);
    cluster.partitions.insert({"a", "b"});
    cluster.at("b").scanOrphanedJobs();
    REQUIRE(runUntil(cluster.loop, [&cluster] { return cluster.at("b").openJobCount() == 1; }));
    cluster.partitions.clear();
    REQUIRE(cluster.waitForResults("b", "job", 4));
    const Instant listedAt = net::loopNow();
    REQUIRE(cluster.waitForResults("a", "job", 4));
    CHECK(net::loopNow() - listedAt < absl::Seconds(1));
    CHECK(cluster.at("a").openJobCount() == 0);
}

// Guards against results that the new owner doesn't know because the former owner stored them after the takeover.
TEST_CASE("a takeover prevents the former owner from storing results")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.eventGap = absl::Milliseconds(60);
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 2)) == SubmitOutcome::Accepted);
    cluster.partitions.insert({"a", "b"});
    cluster.at("b").scanOrphanedJobs();
    REQUIRE(runUntil(cluster.loop, [&cluster] { return cluster.store.count("results-job") == 1; }));
    CHECK(cluster.store.value("results-job", jobs::segmentName(0))["results"].empty());
    REQUIRE(cluster.waitForResults("b", "job", 2));
    CHECK(cluster.store.count("results-job") == 2);
}

// Guards against items that still run after the end of their job: a stopping node stored the end from its own outdated
// record and notified no other node, while another node had taken the job over.
TEST_CASE("the current owner learns of an end that a former owner stored")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.eventGap = absl::Milliseconds(200);
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 8)) == SubmitOutcome::Accepted);
    cluster.stop("a");
    cluster.at("b").scanOrphanedJobs();
    REQUIRE(runUntil(cluster.loop, [&cluster] { return cluster.at("b").openJobCount() == 1; }));
    REQUIRE(cluster.end("a", "job") == ReadOutcome::Found);
    CHECK(runUntil(
        cluster.loop, [&cluster] { return cluster.replicas.running == 0; }, std::chrono::seconds(2)));
    CHECK(cluster.at("b").openJobCount() == 0);
}

// Guards against jobs that run on after their end was confirmed: the successor loaded the items, another node stored
// the end meanwhile, and the successor then ran the job from the record that it had read before.
TEST_CASE("an end that is stored while another node loads the job is not forgotten")
{
    JobCluster cluster({"a", "b", "c"});
    cluster.replicas.eventGap = absl::Milliseconds(200);
    jobs::JobSpec spec = JobCluster::spec("job", 8);
    for (jobs::ItemSpec &item : spec.items) {
        item.body =
            std::string(700'000, 'x'); // Each item is an object of its own, so that the load takes several calls.
    }
    REQUIRE(cluster.submit("a", spec) == SubmitOutcome::Accepted);
    cluster.kill("a");
    std::optional<ReadOutcome> outcome;
    const std::string loaded = GENERATE("job-items", "results-job");
    bool ended = false;
    cluster.store.setFault([&](const std::string &, const std::string &kind, const std::string &) {
        if (kind == loaded && !std::exchange(ended, true)) {
            cluster.at("c").endJob("job", "w", [&outcome](ReadOutcome result) { outcome = result; });
        }
        return StoreOutcome::Done;
    });
    cluster.at("b").scanOrphanedJobs();
    REQUIRE(runUntil(cluster.loop, [&outcome] { return outcome.has_value(); }));
    CHECK(*outcome == ReadOutcome::Found);
    const std::size_t sent = cluster.replicas.receivedRequests.size();
    runFor(cluster.loop, std::chrono::milliseconds(600));
    CHECK(cluster.replicas.receivedRequests.size() == sent);
    CHECK(cluster.at("b").openJobCount() == 0);
}

// Guards against jobs that run on because the notice of their end overtook the store's answer that made the node their
// owner.
TEST_CASE("an end that is announced before the store confirms the ownership is not forgotten")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.eventGap = absl::Milliseconds(200);
    bool announced = false;
    const auto announceEndAt = [&](const std::string &op) {
        cluster.store.setFault([&, op](const std::string &called, const std::string &kind, const std::string &) {
            if (called == op && kind == "jobs" && !std::exchange(announced, true)) {
                cluster.at("b").handlePeerCall("job/ended", {{"job", "job"}}, [](const Json &) {});
            }
            return StoreOutcome::Done;
        });
    };
    std::size_t sent = 0;
    SECTION("in a submission")
    {
        announceEndAt("create");
        REQUIRE(cluster.submit("b", JobCluster::spec("job", 8)) == SubmitOutcome::Accepted);
    }
    SECTION("in a takeover")
    {
        REQUIRE(cluster.submit("a", JobCluster::spec("job", 8)) == SubmitOutcome::Accepted);
        cluster.kill("a");
        sent = cluster.replicas.receivedRequests.size();
        announceEndAt("replace");
        cluster.at("b").scanOrphanedJobs();
        REQUIRE(runUntil(cluster.loop, [&cluster] { return cluster.store.value("jobs", "job")["owner"] == "b"; }));
    }
    runFor(cluster.loop, std::chrono::milliseconds(600));
    CHECK(cluster.replicas.receivedRequests.size() == sent);
    CHECK(cluster.at("b").openJobCount() == 0);
}

// Guards against items that can never be sent being tried for ever, and against requests inside their paths: such items
// come from clients, and from the store where an earlier build accepted them.
TEST_CASE("an item that can't be written into a request is abandoned at once and the others run")
{
    JobCluster cluster({"a", "b"});
    jobs::JobSpec spec = JobCluster::spec("job", 6);
    spec.items[1].path = "/batch/1 HTTP/1.1\r\nX-Tenant: other\r\n\r\nPOST /batch/1";
    spec.items[2].id = "job-2\r\nX-Tenant: other";
    spec.items[3].headers.add("X-A", "b\r\nX-Tenant: other");
    spec.items[4].reward = jobs::RewardSpec{"reward", "desk.example", "/score/1\r\n", "score"};
    if (GENERATE(false, true)) {
        cluster.replicas.silent = {"r1", "r2"};
        REQUIRE(cluster.submit("a", spec) == SubmitOutcome::Accepted);
        cluster.kill("a");
        cluster.replicas.silent.clear();
        cluster.replicas.receivedRequests.clear();
        cluster.at("b").scanOrphanedJobs();
    } else {
        REQUIRE(cluster.submit("b", spec) == SubmitOutcome::Accepted);
    }
    REQUIRE(cluster.waitForResults("b", "job", 6));
    for (const jobs::ItemResult &result : cluster.read("b", "job").second.results) {
        const bool sendable = result.id == "job-0" || result.id == "job-5";
        CHECK(result.state == (sendable ? jobs::ResultState::Completed : jobs::ResultState::Abandoned));
    }
    CHECK(cluster.replicas.receivedRequests.size() == 2);
}

// Guards against a job that no node runs: a read of the record that was begun before a takeover came back after it and
// named the former owner.
TEST_CASE("a record that was read before a takeover doesn't end the ownership")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.eventGap = absl::Milliseconds(20);
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 4)) == SubmitOutcome::Accepted);
    cluster.kill("a");
    bool asked = false;
    cluster.store.setFault([&](const std::string &op, const std::string &kind, const std::string &) {
        if (op == "replace" && kind == "jobs" && !std::exchange(asked, true)) {
            // The answer to this read comes right after the one to the claim.
            cluster.at("b").handlePeerCall("job/taken", {{"job", "job"}}, [](const Json &) {});
        }
        return StoreOutcome::Done;
    });
    cluster.at("b").scanOrphanedJobs();
    CHECK(cluster.waitForResults("b", "job", 4));
}

// Guards against items that still run after the end of their job was stored by a node that can't reach the owner.
TEST_CASE("a partitioned owner finds the end in the store")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.eventGap = absl::Milliseconds(500);
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 8)) == SubmitOutcome::Accepted);
    cluster.partitions.insert({"a", "b"});
    REQUIRE(cluster.end("b", "job") == ReadOutcome::Found);
    CHECK(runUntil(
        cluster.loop, [&cluster] { return cluster.replicas.running == 0; }, std::chrono::seconds(3)));
}

// Guards against items of an ended job: its owner was frozen while another node stored the end, and sent the next items
// before it looked at the record.
TEST_CASE("a node that was paused sends no item before the store has shown that the job is open")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.eventGap = absl::Milliseconds(100);
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 24)) == SubmitOutcome::Accepted);
    const bool ended = GENERATE(true, false);
    CAPTURE(ended);
    cluster.partitions.insert({"a", "b"});
    if (ended) {
        REQUIRE(cluster.end("b", "job") == ReadOutcome::Found);
    }
    cluster.partitions.clear();
    const std::size_t sent = cluster.replicas.receivedRequests.size();
    REQUIRE(sent < 24);
    cluster.at("a").onPaused();
    cluster.at("a").dispatchItems();
    CHECK(cluster.replicas.receivedRequests.size() == sent);
    runFor(cluster.loop, std::chrono::milliseconds(1000));
    CHECK((cluster.replicas.receivedRequests.size() == sent) == ended);
    CHECK(cluster.at("a").openJobCount() == (ended ? 0 : 1));
}

// Guards against items that wait behind one whose service is full although replicas of their own service are free.
TEST_CASE("a full service holds up its own items only, and each service gets the longest ones first")
{
    JobCluster cluster({"a"});
    cluster.config.routes.front().services = {{"engine", 80}, {"engine-next", 20}};
    serving::ReplicaEntry small;
    small.id = "n1";
    small.service = "engine-next";
    small.slots = 1;
    small.weightVersions["model"] = 1;
    cluster.tableOf("a").update(small);
    cluster.replicas.silent = {"r1", "r2", "n1"};
    jobs::JobSpec spec = JobCluster::spec("job", 40);
    std::map<std::string, std::vector<std::string>> longestFirst;
    for (std::size_t i = 0; i < spec.items.size(); ++i) {
        spec.items[i].lengthHint = static_cast<double>(spec.items.size() - i);
        const auto &route = cluster.config.routes.front();
        longestFirst[serving::GatewayConfig::pickService(route, spec.items[i].id)].push_back(spec.items[i].id);
    }
    REQUIRE(longestFirst["engine"].size() > 8);
    REQUIRE(longestFirst["engine-next"].size() > 1);
    REQUIRE(cluster.submit("a", spec) == SubmitOutcome::Accepted);
    runFor(cluster.loop, std::chrono::milliseconds(100));
    std::map<std::string, std::vector<std::string>> sent;
    for (const auto &arrival : cluster.replicas.receivedRequests) {
        sent[arrival.replica == "n1" ? "engine-next" : "engine"].push_back(arrival.item);
    }
    longestFirst["engine"].resize(8);
    longestFirst["engine-next"].resize(1);
    CHECK(sent == longestFirst);
}

// Guards against items that wait until their time limit for a service that has too few replicas, or none, while another
// service of their route is free.
TEST_CASE("an item whose service has no room for long goes to another service of its route")
{
    JobCluster cluster({"a"});
    cluster.settings.serviceWait = absl::Milliseconds(300);
    cluster.start("a");
    cluster.config.routes.front().services = {{"engine", 50}, {"lost", 50}};
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 12)) == SubmitOutcome::Accepted);
    runFor(cluster.loop, std::chrono::milliseconds(150));
    const std::size_t sentEarly = cluster.replicas.receivedRequests.size();
    CHECK(sentEarly > 0);
    CHECK(sentEarly < 12);
    CHECK(cluster.waitForResults("a", "job", 12));
}

// Guards against lost text: after an interrupted attempt, an item must resume from its last event, at any replica.
TEST_CASE("an item resumes from its last event after an interrupted attempt")
{
    JobCluster cluster({"a"});
    cluster.replicas.eventsPerItem = 5;
    cluster.replicas.resetAfter["job-0"] = 3;
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 2)) == SubmitOutcome::Accepted);
    REQUIRE(cluster.waitForResults("a", "job", 2));
    for (const jobs::ItemResult &result : cluster.read("a", "job").second.results) {
        CHECK(result.text == FakeReplicas::textOf(result.id, 5));
    }
    const auto resumed =
        std::find_if(cluster.replicas.receivedRequests.begin(), cluster.replicas.receivedRequests.end(),
                     [](const auto &arrival) { return arrival.resumeAfter.has_value(); });
    REQUIRE(resumed != cluster.replicas.receivedRequests.end());
    CHECK(resumed->item == "job-0");
    CHECK(*resumed->resumeAfter == 3);
}

// Guards against samples generated with older weights than the step of the job allows.
TEST_CASE("no item runs with weights older than the job allows")
{
    JobCluster cluster({"a"});
    cluster.replicas.versions["r1"] = 1;
    cluster.replicas.versions["r2"] = 2;
    jobs::JobSpec spec = JobCluster::spec("job", 4);
    spec.minVersion = 2;
    REQUIRE(cluster.submit("a", spec) == SubmitOutcome::Accepted);
    runFor(cluster.loop, std::chrono::milliseconds(100));
    CHECK(cluster.replicas.receivedRequests.empty());
}

// Guards against resending an item forever that can never succeed, and against abandoning an item too early.
TEST_CASE("items are abandoned according to the status that the replicas answer")
{
    JobCluster cluster({"a"});
    cluster.replicas.statusOfItem["job-0"] = 422;
    cluster.replicas.statusOfItem["job-1"] = 500;
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 4)) == SubmitOutcome::Accepted);
    REQUIRE(cluster.waitForResults("a", "job", 4));
    for (const jobs::ItemResult &result : cluster.read("a", "job").second.results) {
        const bool failing = result.id == "job-0" || result.id == "job-1";
        CHECK((result.state == jobs::ResultState::Abandoned) == failing);
    }
    const auto sent = [&cluster](const std::string &item) {
        return std::count_if(cluster.replicas.receivedRequests.begin(), cluster.replicas.receivedRequests.end(),
                             [&item](const auto &arrival) { return arrival.item == item; });
    };
    CHECK(sent("job-0") == 1);
    CHECK(sent("job-1") == 2);
}

// Guards against duplicate work: groups that are submitted again in a later step continue from their generated text.
TEST_CASE("text of an ended job is reused when its items are submitted again at another node")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.eventsPerItem = 40;
    cluster.replicas.eventGap = absl::Milliseconds(10);
    REQUIRE(cluster.submit("a", JobCluster::spec("one", 2)) == SubmitOutcome::Accepted);
    runFor(cluster.loop, std::chrono::milliseconds(150));
    REQUIRE(cluster.end("a", "one") == ReadOutcome::Found);
    jobs::JobSpec resubmitted = JobCluster::spec("one", 2);
    resubmitted.id = "two";
    const std::size_t sent = cluster.replicas.receivedRequests.size();
    REQUIRE(cluster.submit("b", resubmitted) == SubmitOutcome::Accepted);
    REQUIRE(cluster.waitForResults("b", "two", 2));
    CHECK(cluster.replicas.receivedRequests.at(sent).resumeAfter.has_value());
    CHECK(cluster.read("b", "two").second.results.at(0).text
          == FakeReplicas::textOf(cluster.read("b", "two").second.results.at(0).id, 40));
}

// Guards against text of another request: clients choose the ids of items, so two workspaces, or two jobs of one
// workspace, may use the same ids for different prompts.
TEST_CASE("text is reused only for an item that is the same in everything that determines it")
{
    const std::string node = GENERATE("a", "b");
    const std::string difference = GENERATE("workspace", "model", "host", "path", "body", "header field");
    const std::size_t differingItem = GENERATE(0, 1); // For the last three.
    CAPTURE(node, difference, differingItem);
    JobCluster cluster({"a", "b"});
    cluster.replicas.eventsPerItem = 40;
    cluster.replicas.eventGap = absl::Milliseconds(10);
    REQUIRE(cluster.submit("a", JobCluster::spec("one", 2)) == SubmitOutcome::Accepted);
    runFor(cluster.loop, std::chrono::milliseconds(150));
    REQUIRE(cluster.end("a", "one") == ReadOutcome::Found);
    jobs::JobSpec other = JobCluster::spec("one", 2);
    other.id = "two";
    jobs::ItemSpec &item = other.items.at(differingItem);
    if (difference == "workspace") {
        other.workspace = "v";
    } else if (difference == "model") {
        other.model = "other model";
        for (const char *name : {"a", "b"}) {
            for (const char *replica : {"r1", "r2"}) {
                cluster.tableOf(name).find(replica)->entry.weightVersions["other model"] = 1;
            }
        }
    } else if (difference == "host") {
        cluster.config.routes.front().host = "other.example";
        other.host = "other.example";
    } else if (difference == "path") {
        item.path += "0";
    } else if (difference == "body") {
        item.body += " in other words";
    } else {
        item.headers.add("X-Temperature", "0");
    }
    const std::size_t sent = cluster.replicas.receivedRequests.size();
    REQUIRE(cluster.submit(node, other) == SubmitOutcome::Accepted);
    runFor(cluster.loop, std::chrono::milliseconds(100));
    REQUIRE(cluster.replicas.receivedRequests.size() == sent + 2);
    const auto resumed = std::count_if(cluster.replicas.receivedRequests.begin() + static_cast<std::ptrdiff_t>(sent),
                                       cluster.replicas.receivedRequests.end(),
                                       [](const auto &arrival) { return arrival.resumeAfter.has_value(); });
    // Where a single item differs, the text of the other one is still used.
    const bool jobDiffers = difference == "workspace" || difference == "model" || difference == "host";
    CHECK(resumed == (jobDiffers ? 0 : 1));
}

// Guards against one workspace reading or ending another workspace's jobs.
TEST_CASE("a job of another workspace is not found")
{
    JobCluster cluster({"a", "b"});
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 2)) == SubmitOutcome::Accepted);
    for (const std::string node : {"a", "b"}) {
        std::optional<ReadOutcome> outcome;
        cluster.at(node).read("job", "other", 0, absl::ZeroDuration(),
                              [&outcome](ReadOutcome result, const jobs::ResultPage &) { outcome = result; });
        REQUIRE(runUntil(cluster.loop, [&outcome] { return outcome.has_value(); }));
        CHECK(*outcome == ReadOutcome::NotFound);
    }
}

// Guards against a false "not found" while neither the store nor the owner can be asked.
TEST_CASE("a job that can't be looked up is not reported as missing")
{
    JobCluster cluster({"a", "b"});
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 2)) == SubmitOutcome::Accepted);
    cluster.store.setFault(
        [](const std::string &, const std::string &, const std::string &) { return StoreOutcome::Refused; });
    CHECK(cluster.read("b", "job").first == ReadOutcome::Unavailable);
}

// Guards against item bodies that can't be read after the owner of the job died.
TEST_CASE("the body of an item can be read at any node")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.silent = {"r1", "r2"};
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 2)) == SubmitOutcome::Accepted);
    const auto body = [&cluster](const std::string &node) {
        std::optional<std::string> bytes;
        cluster.at(node).readBody("job", "w", "job-1",
                                  [&bytes](ReadOutcome, const std::string &found) { bytes = found; });
        runUntil(cluster.loop, [&bytes] { return bytes.has_value(); });
        return bytes.value_or("");
    };
    CHECK(body("a") == "body of job-1");
    CHECK(body("b") == "body of job-1");
    cluster.kill("a");
    CHECK(body("b") == "body of job-1");
}

// Guards against streams that are cut although they are sound, only slow, and against stalled ones that hold an item
// up.
TEST_CASE("a slow stream is not cut, and an item on a stalled one goes on elsewhere")
{
    JobCluster cluster({"a"});
    cluster.settings.eventTimeout = absl::Milliseconds(400);
    cluster.start("a");
    cluster.replicas.eventsPerItem = 6;
    cluster.replicas.eventGap = absl::Milliseconds(200);
    SECTION("slow")
    {
        REQUIRE(cluster.submit("a", JobCluster::spec("job", 4)) == SubmitOutcome::Accepted);
        REQUIRE(cluster.waitForResults("a", "job", 4));
        CHECK(cluster.replicas.receivedRequests.size() == 4);
    }
    SECTION("stalled")
    {
        cluster.replicas.silent = {"r1"};
        REQUIRE(cluster.submit("a", JobCluster::spec("job", 4)) == SubmitOutcome::Accepted);
        REQUIRE(cluster.waitForResults("a", "job", 4));
        for (const jobs::ItemResult &result : cluster.read("a", "job").second.results) {
            CHECK(result.text == FakeReplicas::textOf(result.id, 6));
        }
    }
}

// Guards against an item that stays on a slow replica, loses its text by the move, or moves back and forth without end:
// the replica that the item begins on makes events eight times as slowly as the others were measured to.
TEST_CASE("a long item leaves a slow replica with its text, a bounded number of times")
{
    JobCluster cluster({"a"});
    cluster.replicas.eventsPerItem = 30;
    cluster.replicas.eventGap = absl::Milliseconds(40);
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 1)) == SubmitOutcome::Accepted);
    REQUIRE(runUntil(cluster.loop, [&cluster] { return !cluster.replicas.receivedRequests.empty(); }));
    serving::ReplicaTable &table = cluster.tableOf("a");
    for (const auto &[id, replica] : table.all()) {
        if (id != cluster.replicas.receivedRequests.front().replica) {
            serving::ReplicaTable::recordEventGap(*table.find(id), absl::Milliseconds(5), absl::Milliseconds(5),
                                                  net::loopNow());
        }
    }
    REQUIRE(cluster.waitForResults("a", "job", 1));
    const auto &requests = cluster.replicas.receivedRequests;
    REQUIRE(requests.size() >= 2);
    CHECK(requests.size() <= 4);
    CHECK(requests[1].replica != requests[0].replica);
    CHECK(requests[1].resumeAfter.has_value());
    CHECK(cluster.read("a", "job").second.results.front().text == FakeReplicas::textOf("job-0", 30));
}
