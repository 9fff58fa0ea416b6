// Tests of reward calls: order, repeats, failures, ends, takeovers, and the room that they leave to clients.
#include "jobcluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace currantlug;
using namespace currantlug::tests;
using Answer = FakeReplicas::Answer;
using jobs::ReadOutcome;
using jobs::ResultState;
using jobs::SubmitOutcome;

namespace {

std::size_t callsOf(const FakeReplicas &replicas, const std::string &reward)
{
    return static_cast<std::size_t>(std::count_if(replicas.receivedCalls.begin(), replicas.receivedCalls.end(),
                                                  [&reward](const auto &call) { return call.request.id == reward; }));
}

std::size_t generationsOf(const FakeReplicas &replicas, const std::string &item)
{
    return static_cast<std::size_t>(std::count_if(replicas.receivedRequests.begin(), replicas.receivedRequests.end(),
                                                  [&item](const auto &request) { return request.item == item; }));
}

/// Waits until all texts of a job are complete and its reward calls are open.
bool waitForOpenRewards(JobCluster &cluster, const std::string &node, std::size_t count)
{
    return runUntil(cluster.loop, [&] {
        return cluster.at(node).itemCounts()[jobs::ItemState::Scoring] == count
            && cluster.replicas.runningCalls == static_cast<int>(count);
    });
}

} // namespace

// Guards against results without a score, and against scores of texts that were not complete.
TEST_CASE("a text is scored after its last event and listed with the score")
{
    JobCluster cluster({"a", "b"});
    REQUIRE(cluster.submit("a", cluster.scoredSpec("job", 6)) == SubmitOutcome::Accepted);
    REQUIRE(cluster.waitForResults("a", "job", 6));
    for (const std::string node : {"a", "b"}) {
        for (const jobs::ItemResult &result : cluster.read(node, "job").second.results) {
            CHECK(result.state == ResultState::Completed);
            CHECK(result.text == FakeReplicas::textOf(result.id, 3));
            CHECK(result.score == FakeReplicas::signatureOf(JobCluster::rewardOf(result.id)));
        }
    }
    REQUIRE(cluster.replicas.receivedCalls.size() == 6);
    for (const auto &call : cluster.replicas.receivedCalls) {
        CHECK(call.eventsOfItem == 3);
        CHECK(call.request.method == "POST");
        CHECK(call.request.host == "desk.example");
        CHECK(call.request.target == "/score/" + cluster.replicas.itemOfCall[call.request.id]);
        CHECK(call.request.body == "score " + cluster.replicas.itemOfCall[call.request.id]);
        CHECK(call.request.workspace.empty());
        CHECK(call.request.headers.fields().empty());
        REQUIRE(call.request.remaining);
        CHECK(*call.request.remaining <= cluster.settings.rewardTimeout);
    }
}

// Guards against items that are given up too early or never: only errors of replicas that ran the call count.
TEST_CASE("an item is abandoned after as many failed reward calls as its routes allow")
{
    JobCluster cluster({"a"});
    const std::string reward = JobCluster::rewardOf("job-0");
    cluster.replicas.answersToCall[reward] = {Answer::ServerError, Answer::Full,         Answer::Reset,
                                              Answer::ServerError, Answer::WrongRequest, Answer::ServerError};
    REQUIRE(cluster.submit("a", cluster.scoredSpec("job", 1)) == SubmitOutcome::Accepted);
    REQUIRE(cluster.waitForResults("a", "job", 1));
    CHECK(cluster.read("a", "job").second.results.at(0).state == ResultState::Abandoned);
    CHECK(cluster.read("a", "job").second.results.at(0).score.empty());
    CHECK(callsOf(cluster.replicas, reward) == 6);
    CHECK(generationsOf(cluster.replicas, "job-0") == 1);
}

TEST_CASE("a reward call that fails, is refused or is lost is repeated and its text isn't generated again")
{
    JobCluster cluster({"a"});
    const std::string reward = JobCluster::rewardOf("job-0");
    cluster.replicas.answersToCall[reward] = {Answer::ServerError, Answer::WrongRequest, Answer::Full, Answer::Reset};
    REQUIRE(cluster.submit("a", cluster.scoredSpec("job", 1)) == SubmitOutcome::Accepted);
    REQUIRE(cluster.waitForResults("a", "job", 1));
    CHECK(cluster.read("a", "job").second.results.at(0).score == FakeReplicas::signatureOf(reward));
    CHECK(callsOf(cluster.replicas, reward) == 5);
    CHECK(generationsOf(cluster.replicas, "job-0") == 1);
}

// Guards against steps that wait for a replica that has fallen silent: the calls there are repeated at another one.
TEST_CASE("a silent replica doesn't hold up the scores")
{
    JobCluster cluster({"a"});
    cluster.replicas.answerOfReplica["d1"] = Answer::Silence;
    const Instant begin = net::loopNow();
    REQUIRE(cluster.submit("a", cluster.scoredSpec("job", 8)) == SubmitOutcome::Accepted);
    REQUIRE(cluster.waitForResults("a", "job", 8));
    CHECK(net::loopNow() - begin < cluster.settings.rewardTimeout);
}

// Guards against a loss of work when the owner stops between the text and its score.
TEST_CASE("a node that takes a job over scores the texts without generating them again")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.answerOfReplica = {{"d1", Answer::Silence}, {"d2", Answer::Silence}};
    REQUIRE(cluster.submit("a", cluster.scoredSpec("job", 4)) == SubmitOutcome::Accepted);
    REQUIRE(waitForOpenRewards(cluster, "a", 4));
    cluster.replicas.answerOfReplica.clear();
    cluster.stop("a");
    CHECK(cluster.replicas.runningCalls == 0);
    cluster.at("b").scanOrphanedJobs();
    REQUIRE(cluster.waitForResults("b", "job", 4));
    for (const jobs::ItemResult &result : cluster.read("b", "job").second.results) {
        CHECK(result.text == FakeReplicas::textOf(result.id, 3));
        CHECK(result.score == FakeReplicas::signatureOf(JobCluster::rewardOf(result.id)));
        CHECK(generationsOf(cluster.replicas, result.id) == 1);
    }
}

// Guards against results without a score after the owner is killed: its texts are lost, and the takeover starts over.
TEST_CASE("a job whose owner was killed between text and score is completed with scores")
{
    JobCluster cluster({"a", "b"});
    cluster.replicas.answerOfReplica = {{"d1", Answer::Silence}, {"d2", Answer::Silence}};
    REQUIRE(cluster.submit("a", cluster.scoredSpec("job", 4)) == SubmitOutcome::Accepted);
    REQUIRE(waitForOpenRewards(cluster, "a", 4));
    cluster.replicas.answerOfReplica.clear();
    cluster.kill("a");
    cluster.at("b").scanOrphanedJobs();
    REQUIRE(cluster.waitForResults("b", "job", 4));
    for (const jobs::ItemResult &result : cluster.read("b", "job").second.results) {
        CHECK(result.score == FakeReplicas::signatureOf(JobCluster::rewardOf(result.id)));
    }
}

// Guards against work for a job that the trainer has ended.
TEST_CASE("no reward call of an ended job is sent or stays open")
{
    JobCluster cluster({"a"});
    cluster.replicas.answerOfReplica = {{"d1", Answer::Silence}, {"d2", Answer::Silence}};
    REQUIRE(cluster.submit("a", cluster.scoredSpec("job", 4)) == SubmitOutcome::Accepted);
    REQUIRE(waitForOpenRewards(cluster, "a", 4));
    REQUIRE(cluster.end("a", "job") == ReadOutcome::Found);
    CHECK(cluster.replicas.runningCalls == 0);
    const std::size_t sent = cluster.replicas.receivedCalls.size();
    runFor(cluster.loop, std::chrono::milliseconds(400));
    CHECK(cluster.replicas.receivedCalls.size() == sent);
    CHECK(cluster.tableOf("a").find("d1")->inFlight == 0);
    CHECK(cluster.tableOf("a").find("d2")->inFlight == 0);
}

// Guards against texts that are generated again, or scores of another request, when a later job has the same items.
TEST_CASE("complete texts and scores of an ended job are reused")
{
    JobCluster cluster({"a", "b"});
    // The first item is scored, the second one isn't, and neither is stored, since their group is not finished.
    cluster.settings.flushDelay = absl::Seconds(30);
    cluster.replicas.answersToCall[JobCluster::rewardOf("one-1")] = {Answer::Silence, Answer::Silence};
    REQUIRE(cluster.submit("a", cluster.scoredSpec("one", 2)) == SubmitOutcome::Accepted);
    REQUIRE(runUntil(cluster.loop, [&cluster] {
        const auto counts = cluster.at("a").itemCounts();
        return counts.contains(jobs::ItemState::Finished) && counts.contains(jobs::ItemState::Scoring);
    }));
    REQUIRE(cluster.end("a", "one") == ReadOutcome::Found);
    cluster.replicas.answersToCall.clear();
    jobs::JobSpec resubmitted = cluster.scoredSpec("one", 2);
    resubmitted.id = "two";
    SECTION("with the same reward calls")
    {
        REQUIRE(cluster.submit("b", resubmitted) == SubmitOutcome::Accepted);
        REQUIRE(cluster.waitForResults("b", "two", 2));
        CHECK(callsOf(cluster.replicas, JobCluster::rewardOf("one-0")) == 1);
    }
    SECTION("with other reward calls")
    {
        for (jobs::ItemSpec &item : resubmitted.items) {
            item.reward->id += "-2";
        }
        REQUIRE(cluster.submit("b", resubmitted) == SubmitOutcome::Accepted);
        REQUIRE(cluster.waitForResults("b", "two", 2));
        CHECK(callsOf(cluster.replicas, JobCluster::rewardOf("one-0") + "-2") == 1);
    }
    for (const jobs::ItemResult &result : cluster.read("b", "two").second.results) {
        const auto item = std::find_if(resubmitted.items.begin(), resubmitted.items.end(),
                                       [&result](const jobs::ItemSpec &spec) { return spec.id == result.id; });
        CHECK(result.score == FakeReplicas::signatureOf(item->reward->id));
        CHECK(result.text == FakeReplicas::textOf(result.id, 3));
    }
    CHECK(generationsOf(cluster.replicas, "one-0") == 1);
    CHECK(generationsOf(cluster.replicas, "one-1") == 1);
}

// Guards against calls that the configuration in force doesn't allow, and against items that never recover from it.
TEST_CASE("a reward call waits while its route is missing and follows a changed route")
{
    JobCluster cluster({"a"});
    cluster.settings.missingRouteDelay = absl::Milliseconds(50);
    cluster.start("a");
    const serving::Route deskRoute = cluster.config.routes.back();
    cluster.config.routes.pop_back();
    REQUIRE(cluster.submit("a", cluster.scoredSpec("job", 2)) == SubmitOutcome::Accepted);
    REQUIRE(runUntil(cluster.loop, [&cluster] { return cluster.at("a").itemCounts()[jobs::ItemState::Scoring] == 2; }));
    runFor(cluster.loop, std::chrono::milliseconds(150));
    CHECK(cluster.replicas.receivedCalls.empty());
    cluster.config.routes.push_back(deskRoute);
    cluster.config.routes.back().services = {{"other desk", 1}};
    serving::ReplicaEntry entry;
    entry.id = "o1";
    entry.service = "other desk";
    entry.slots = 6;
    cluster.tableOf("a").update(entry);
    REQUIRE(cluster.waitForResults("a", "job", 2));
    for (const auto &call : cluster.replicas.receivedCalls) {
        CHECK(call.replica == "o1");
    }
}

// Guards against items that wait forever: they may be given up once the time limit of their job's route has passed.
TEST_CASE("an item without a score is abandoned at the time limit of its job")
{
    JobCluster cluster({"a"});
    cluster.settings.ttlMargin = absl::ZeroDuration();
    cluster.start("a");
    cluster.config.routes[0].queueTtl = absl::Milliseconds(400);
    cluster.replicas.answerOfReplica = {{"d1", Answer::Silence}, {"d2", Answer::Silence}};
    REQUIRE(cluster.submit("a", cluster.scoredSpec("job", 2)) == SubmitOutcome::Accepted);
    REQUIRE(cluster.waitForResults("a", "job", 2));
    CHECK(cluster.read("a", "job").second.results.at(0).state == ResultState::Abandoned);
    CHECK(cluster.replicas.runningCalls == 0);
}

// Guards against clients that find no free slot because a training step has its texts scored. Load: forty texts that
// are complete nearly at once, calls of 20 ms, two replicas of six slots.
TEST_CASE("a burst of reward calls leaves a third of the slots free and is still served")
{
    JobCluster cluster({"a"});
    cluster.replicas.callDuration = absl::Milliseconds(20);
    for (const char *id : {"r1", "r2"}) {
        cluster.tableOf("a").find(id)->entry.slots = 40;
    }
    REQUIRE(cluster.submit("a", cluster.scoredSpec("job", 40)) == SubmitOutcome::Accepted);
    REQUIRE(cluster.waitForResults("a", "job", 40));
    CHECK(cluster.replicas.mostRunningCalls <= 2 * JobCluster::deskSlots * 2 / 3);
    CHECK(cluster.replicas.mostRunningCalls >= 4);
    CHECK(cluster.replicas.receivedCalls.size() == 40);
}

// Guards against a storm of calls to a service that refuses all of them, and against a lost step when it recovers.
TEST_CASE("a service that refuses everything gets few calls and is used again once it recovers")
{
    JobCluster cluster({"a"});
    cluster.replicas.answerOfReplica = {{"d1", Answer::Full}, {"d2", Answer::Full}};
    REQUIRE(cluster.submit("a", cluster.scoredSpec("job", 20)) == SubmitOutcome::Accepted);
    runFor(cluster.loop, std::chrono::milliseconds(1000));
    // Two replicas with a backoff of 60 ms allow 33 calls a second where the limit has fallen to one call.
    CHECK(cluster.replicas.receivedCalls.size() < 60);
    cluster.replicas.answerOfReplica.clear();
    const Instant recovered = net::loopNow();
    REQUIRE(cluster.waitForResults("a", "job", 20));
    CHECK(net::loopNow() - recovered < absl::Seconds(3));
}
