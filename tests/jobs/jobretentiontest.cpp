// Tests how long jobs are kept: open ones, ended ones, abandoned ones, and those that another node has taken over.
#include "jobcluster.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::tests;
using jobs::JobRetention;
using jobs::ReadOutcome;
using jobs::RetentionSettings;
using jobs::SubmitOutcome;
using objects::StoreOutcome;

namespace {

constexpr std::chrono::milliseconds SeveralTicks(200);

/// Settings with which a job passes its minimum retention at once.
jobs::JobSettings shortRetention(absl::Duration unused)
{
    jobs::JobSettings settings;
    settings.retention.afterSubmission = absl::Milliseconds(100);
    settings.retention.afterTakeover = absl::ZeroDuration();
    settings.retention.unused = unused;
    settings.ttlMargin = absl::ZeroDuration();
    settings.removalRetryDelay = absl::Milliseconds(50);
    return settings;
}

/// Runs the loop and the periodic work of the given nodes.
void runTicks(JobCluster &cluster, const std::vector<std::string> &nodes, std::chrono::milliseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
        for (const std::string &node : nodes) {
            cluster.at(node).tick();
        }
        runFor(cluster.loop, std::chrono::milliseconds(10));
    }
}

} // namespace

TEST_CASE("only an ended or unused job without work expires")
{
    const RetentionSettings settings{absl::Seconds(60), absl::Seconds(30), absl::Seconds(120), absl::Seconds(10)};
    const Instant start(absl::Seconds(1000));
    const auto after = [start](int seconds) { return start + absl::Seconds(seconds); };
    JobRetention open(after(60), start);
    CHECK_FALSE(open.isExpired(settings, false, after(119)));
    CHECK(open.isExpired(settings, false, after(120)));
    CHECK_FALSE(open.isExpired(settings, true, after(1000)));
    open.recordUse(after(100));
    CHECK_FALSE(open.isExpired(settings, false, after(219)));
    CHECK(open.isExpired(settings, false, after(220)));

    JobRetention endedEarly(after(60), start);
    endedEarly.recordEnd(after(5));
    CHECK_FALSE(endedEarly.isExpired(settings, false, after(59)));
    CHECK(endedEarly.isExpired(settings, false, after(60)));

    JobRetention endedLate(after(60), start);
    endedLate.recordEnd(after(70));
    endedLate.recordEnd(after(90));
    endedLate.recordUse(after(95));
    CHECK_FALSE(endedLate.isExpired(settings, false, after(99)));
    CHECK(endedLate.isExpired(settings, false, after(100)));
}

// Guards against the loss of a result that is stored after the retention of its job: the job was removed in the same
// tick, before its trainer had read the result or ended the job.
TEST_CASE("a job whose last result is stored late stays readable until its trainer has ended it")
{
    JobCluster cluster({"a", "b"});
    cluster.settings = shortRetention(absl::Seconds(20));
    cluster.start("a");
    bool silent = true;
    cluster.store.setFault([&silent](const std::string &, const std::string &kind, const std::string &) {
        return silent && kind == "results-job" ? StoreOutcome::Refused : StoreOutcome::Done;
    });
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 2)) == SubmitOutcome::Accepted);
    runTicks(cluster, {"a", "b"}, std::chrono::milliseconds(400));
    silent = false;
    REQUIRE(runUntil(cluster.loop, [&cluster] { return cluster.store.count("results-job") > 0; }));
    runTicks(cluster, {"a", "b"}, SeveralTicks);
    for (const std::string node : {"a", "b"}) {
        const auto [outcome, page] = cluster.read(node, "job");
        CHECK(outcome == ReadOutcome::Found);
        CHECK(page.next == 2);
    }
    // The answer to the end may be lost, so it is requested again.
    CHECK(cluster.end("b", "job") == ReadOutcome::Found);
    runTicks(cluster, {"a", "b"}, SeveralTicks);
    CHECK(cluster.end("a", "job") == ReadOutcome::Found);
}

// Guards against the loss of items that were not run yet: a stopping node removed its jobs that were older than their
// retention, since their runners had stopped.
TEST_CASE("a stopping node leaves an old job to its successor")
{
    JobCluster cluster({"a", "b"});
    cluster.settings = shortRetention(absl::ZeroDuration());
    cluster.start("a");
    cluster.replicas.silent = {"r1", "r2"};
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 2)) == SubmitOutcome::Accepted);
    runTicks(cluster, {"a", "b"}, SeveralTicks);
    cluster.stop("a");
    runTicks(cluster, {"a", "b"}, SeveralTicks);
    CHECK(cluster.store.has("jobs", "job"));
    cluster.replicas.silent.clear();
    cluster.at("b").scanOrphanedJobs();
    CHECK(cluster.waitForResults("b", "job", 2));
}

// Guards against jobs of absent trainers that are kept forever, and against their removal while clients still read.
TEST_CASE("a job that its trainer has abandoned is removed with all of its objects")
{
    JobCluster cluster({"a", "b"});
    cluster.settings = shortRetention(absl::Milliseconds(300));
    cluster.start("a");
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 2)) == SubmitOutcome::Accepted);
    REQUIRE(cluster.waitForResults("a", "job", 2));
    for (int i = 0; i < 8; ++i) {
        runTicks(cluster, {"a", "b"}, std::chrono::milliseconds(100));
        REQUIRE(cluster.read("b", "job").first == ReadOutcome::Found);
    }
    int refusals = 2;
    cluster.store.setFault([&refusals](const std::string &op, const std::string &kind, const std::string &) {
        return op == "remove" && kind == "jobs" && refusals-- > 0 ? StoreOutcome::Refused : StoreOutcome::Done;
    });
    runTicks(cluster, {"a", "b"}, std::chrono::milliseconds(800));
    CHECK(refusals < 0);
    CHECK(cluster.store.count("jobs") == 0);
    CHECK(cluster.store.count("job-items") == 0);
    CHECK(cluster.store.count("results-job") == 0);
    CHECK(cluster.read("a", "job").first == ReadOutcome::NotFound);
}

// Guards against the removal of a job by a former owner whose clients had all moved to the node that took it over.
TEST_CASE("a former owner doesn't remove the job of the current owner")
{
    JobCluster cluster({"a", "b"});
    cluster.settings = shortRetention(absl::Milliseconds(300));
    cluster.start("a");
    REQUIRE(cluster.submit("a", JobCluster::spec("job", 2)) == SubmitOutcome::Accepted);
    REQUIRE(cluster.waitForResults("a", "job", 2));
    cluster.partitions.insert({"a", "b"});
    cluster.at("b").scanOrphanedJobs();
    REQUIRE(cluster.waitForResults("b", "job", 2));
    REQUIRE(runUntil(cluster.loop, [&cluster] { return cluster.store.value("jobs", "job")["owner"] == "b"; }));
    for (int i = 0; i < 6; ++i) {
        runTicks(cluster, {"a"}, std::chrono::milliseconds(100));
        CHECK(cluster.read("b", "job").second.next == 2);
    }
    CHECK(cluster.store.has("jobs", "job"));
}
