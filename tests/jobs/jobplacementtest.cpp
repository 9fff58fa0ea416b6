// Tests the choice of the nodes that run jobs, and the forwarding of submissions to them.
#include "jobcluster.h"

#include "jobs/jobplacement.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace currantlug;
using namespace currantlug::tests;
using jobs::chooseJobHost;
using jobs::JobHost;
using jobs::SubmitOutcome;

namespace {

/// A fleet in which every tenth node has half a core and the others have an eighth.
std::vector<JobHost> fleet(int size)
{
    std::vector<JobHost> hosts;
    for (int i = 0; i < size; ++i) {
        hosts.push_back({"node-" + std::to_string(i), i % 10 == 0 ? 0.5 : 0.12});
    }
    return hosts;
}

bool isLarge(const std::vector<JobHost> &hosts, const std::string &node)
{
    return std::any_of(hosts.begin(), hosts.end(),
                       [&node](const JobHost &host) { return host.node == node && host.processorShare == 0.5; });
}

std::string ownerOf(JobCluster &cluster, const std::string &job)
{
    return cluster.store.value("jobs", job)["owner"];
}

} // namespace

// Load: several hundred streams of a job at a node with an eighth of a core, which falls behind their events, and two
// jobs of a model whose nodes don't know of each other's items.
TEST_CASE("the jobs of a model run at one large node, those of other models at others")
{
    const std::vector<std::string> models{"a", "b", "c", "d"};
    for (const int size : {8, 60, 165, 390}) {
        CAPTURE(size);
        auto hosts = fleet(size);
        std::set<std::string> chosen;
        for (const std::string &model : models) {
            const std::string node = chooseJobHost(model, models, hosts);
            CHECK(isLarge(hosts, node));
            chosen.insert(node);
            std::reverse(hosts.begin(), hosts.end());
            CHECK(chooseJobHost(model, models, hosts) == node);
        }
        CHECK(chosen.size() == std::min<std::size_t>(models.size(), static_cast<std::size_t>((size + 9) / 10)));
    }
}

// Guards against jobs that move to other nodes whenever any node leaves: their texts and their view of the replicas
// stay behind.
TEST_CASE("the loss of a node moves only the jobs that it ran")
{
    const std::vector<std::string> models{"a"};
    const auto hosts = fleet(165);
    const std::string chosen = chooseJobHost("a", models, hosts);
    for (const JobHost &lost : hosts) {
        std::vector<JobHost> rest;
        std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(rest),
                     [&lost](const JobHost &host) { return host.node != lost.node; });
        const std::string next = chooseJobHost("a", models, rest);
        CHECK((next == chosen) == (lost.node != chosen));
        CHECK(isLarge(rest, next));
    }
}

TEST_CASE("a node that accepts no jobs is not chosen, and takes over jobs only after the large nodes")
{
    auto hosts = fleet(60);
    const std::string first = chooseJobHost("a", {}, hosts);
    for (JobHost &host : hosts) {
        host.acceptsJobs = host.node != first;
    }
    CHECK(chooseJobHost("a", {}, hosts) != first);
    for (JobHost &host : hosts) {
        host.acceptsJobs = false;
    }
    CHECK(chooseJobHost("a", {}, hosts).empty());
    const auto order = jobs::successorsOf("node-7", hosts);
    REQUIRE(order.size() == hosts.size());
    for (std::size_t i = 0; i < 6; ++i) {
        CHECK(isLarge(hosts, order[i]));
    }
    CHECK(jobs::successorsOf("node-8", hosts) != order);
}

// Guards against a job that stays at the small node which the trainer happened to ask.
TEST_CASE("a submission is forwarded to the large node, and any node returns its results")
{
    JobCluster cluster({"a", "b", "c"}, {{"a", 0.12}, {"b", 0.5}, {"c", 0.12}});
    REQUIRE(cluster.submit("a", cluster.scoredSpec("job", 6)) == SubmitOutcome::Accepted);
    CHECK(ownerOf(cluster, "job") == "b");
    REQUIRE(cluster.waitForResults("c", "job", 6));
    for (const jobs::ItemResult &result : cluster.read("c", "job").second.results) {
        CHECK(result.state == jobs::ResultState::Completed);
        CHECK(result.text == FakeReplicas::textOf(result.id, 3));
        CHECK_FALSE(result.score.empty());
    }
    // Repeated at another node, and at the owner.
    CHECK(cluster.submit("c", cluster.scoredSpec("job", 6)) == SubmitOutcome::Accepted);
    CHECK(cluster.submit("b", cluster.scoredSpec("job", 6)) == SubmitOutcome::Accepted);
    CHECK(cluster.replicas.receivedRequests.size() == 6);
}

// Guards against a job that is refused, or waits for its client's time limit, because the large node can't be reached.
TEST_CASE("a submission whose large node is unreachable is accepted by the node that was asked")
{
    JobCluster cluster({"a", "b"}, {{"a", 0.12}, {"b", 0.5}});
    SECTION("it ended right before the call")
    {
        cluster.losePeerCalls = {"b"};
        REQUIRE(cluster.submit("a", JobCluster::spec("job", 4)) == SubmitOutcome::Accepted);
    }
    SECTION("the store turns it away")
    {
        cluster.storeOutOfReach.insert("b");
        REQUIRE(cluster.submit("a", JobCluster::spec("job", 4)) == SubmitOutcome::Accepted);
    }
    CHECK(ownerOf(cluster, "job") == "a");
    CHECK(cluster.waitForResults("a", "job", 4));
}

// Guards against a false promise: the large node accepted the job and its answer is lost, so the job runs, and the
// client must not be told that it doesn't.
TEST_CASE("a submission whose forwarding has no answer is accepted once, and never refused")
{
    JobCluster cluster({"a", "b"}, {{"a", 0.12}, {"b", 0.5}});
    cluster.losePeerReplies = {"b"};
    SECTION("and the store answers")
    {
        REQUIRE(cluster.submit("a", JobCluster::spec("job", 4)) == SubmitOutcome::Accepted);
        cluster.losePeerReplies.clear();
        CHECK(cluster.waitForResults("a", "job", 4));
        CHECK(cluster.replicas.receivedRequests.size() == 4);
    }
    SECTION("and the store turns the asked node away")
    {
        cluster.storeOutOfReach.insert("a");
        CHECK(cluster.submit("a", JobCluster::spec("job", 4)) != SubmitOutcome::Refused);
        CHECK(cluster.waitForResults("b", "job", 4));
        CHECK(cluster.replicas.receivedRequests.size() == 4);
    }
}

// Guards against a submission that is cut off by a planned stop right after it was read: of the node that was asked, or
// of the large node before the others know that it stops.
TEST_CASE("a submission that is being forwarded survives a planned stop of either node")
{
    JobCluster cluster({"a", "b", "c"}, {{"a", 0.12}, {"b", 0.5}, {"c", 0.5}});
    const std::string host = jobs::chooseJobHost("model", {}, {{"b", 0.5}, {"c", 0.5}});
    const std::string other = host == "b" ? "c" : "b";
    std::optional<SubmitOutcome> outcome;
    SECTION("of the node that was asked")
    {
        cluster.at("a").submit(JobCluster::spec("job", 4), [&outcome](SubmitOutcome result) { outcome = result; });
        cluster.stop("a");
        REQUIRE(runUntil(cluster.loop, [&outcome] { return outcome.has_value(); }));
        CHECK(outcome == SubmitOutcome::Accepted);
        CHECK(ownerOf(cluster, "job") == host);
        CHECK(cluster.waitForResults(other, "job", 4));
    }
    SECTION("of the large node")
    {
        cluster.at(host).releaseJobs();
        CHECK(cluster.submit("a", JobCluster::spec("job", 4)) == SubmitOutcome::Accepted);
        CHECK(ownerOf(cluster, "job") == "a");
        CHECK(cluster.waitForResults(other, "job", 4));
    }
    CHECK(cluster.replicas.receivedRequests.size() == 4);
}

// Guards against a job that runs twice because the large node was paused, and acts on the submission only after the
// node that forwarded it has given up and submitted the job itself.
TEST_CASE("a forwarded submission that is carried out late runs no item")
{
    JobCluster cluster({"a", "b"}, {{"a", 0.12}, {"b", 0.5}});
    cluster.delayPeerCalls = {{"b", absl::Milliseconds(300)}};
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 4)) == SubmitOutcome::Accepted);
    CHECK(ownerOf(cluster, "job") == "a");
    runFor(cluster.loop, std::chrono::milliseconds(500));
    CHECK(cluster.waitForResults("a", "job", 4));
    CHECK(ownerOf(cluster, "job") == "a");
    CHECK(cluster.replicas.receivedRequests.size() == 4);
    CHECK(cluster.at("b").openJobCount() == 0);
}

// Guards against calls to every node of a large fleet at each submission.
TEST_CASE("texts are asked only from the nodes that may have some")
{
    JobCluster cluster({"a", "b", "c"});
    CHECK_FALSE(cluster.at("b").holdsTexts());
    REQUIRE(cluster.submit("b", JobCluster::spec("job", 2)) == SubmitOutcome::Accepted);
    CHECK(cluster.at("b").holdsTexts());
    CHECK_FALSE(cluster.at("c").holdsTexts());
}
