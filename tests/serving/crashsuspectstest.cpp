// Tests of the search for requests that crash the replicas that run them.
#include "serving/crashsuspects.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

using namespace currantlug;
using namespace currantlug::serving;

namespace {

const Instant Start(absl::Seconds(1000));

Instant at(double seconds)
{
    return Start + absl::Seconds(seconds);
}

ReplicaIncarnation replica(int number)
{
    return {"r" + std::to_string(number), "10.0.0.1:80", number};
}

void crash(CrashSuspects &suspects, const std::vector<std::string> &digests, int number)
{
    for (const std::string &digest : digests) {
        suspects.recordLoss(digest, replica(number), at(number));
    }
    suspects.recordEnded(replica(number), at(number));
}

} // namespace

TEST_CASE("a request is refused once three replicas have ended under it")
{
    CrashSuspects suspects({});
    crash(suspects, {"deadly"}, 1);
    CHECK(suspects.mayRepeat("deadly"));
    crash(suspects, {"deadly"}, 2);
    CHECK_FALSE(suspects.mayRepeat("deadly"));
    CHECK_FALSE(suspects.refuses("deadly"));
    crash(suspects, {"deadly"}, 3);
    CHECK(suspects.refuses("deadly"));
    CHECK_FALSE(suspects.refuses("other"));
    suspects.expire(at(500));
    CHECK(suspects.refuses("deadly"));
    suspects.expire(at(700));
    CHECK(suspects.empty());
}

// Guards against the refusal of a request that was running at the same replicas each time.
TEST_CASE("of requests that ran beside each other at every crash none is refused until their crashes differ")
{
    CrashSuspects suspects({});
    for (int i = 1; i <= 3; ++i) {
        crash(suspects, {"deadly", "bystander"}, i);
    }
    CHECK_FALSE(suspects.refuses("deadly"));
    CHECK_FALSE(suspects.refuses("bystander"));
    crash(suspects, {"deadly"}, 4);
    CHECK(suspects.refuses("deadly"));
    CHECK_FALSE(suspects.refuses("bystander"));
}

TEST_CASE("an answer clears a suspect, here and at other nodes")
{
    CrashSuspects suspects({});
    CrashSuspects other({});
    for (int i = 1; i <= 3; ++i) {
        crash(suspects, {"request"}, i);
    }
    for (const SuspectStatement &statement : suspects.statements()) {
        other.merge(statement);
    }
    CHECK(other.refuses("request"));
    CHECK(suspects.recordAnswer("request", at(4)));
    CHECK_FALSE(suspects.recordAnswer("request", at(4)));
    for (const SuspectStatement &statement : suspects.statements()) {
        other.merge(statement);
    }
    CHECK_FALSE(suspects.refuses("request"));
    CHECK_FALSE(other.refuses("request"));
    // The other node still tells the earlier crashes.
    suspects.merge({"request", {{"r1 1", at(1)}, {"r2 2", at(2)}, {"r3 3", at(3)}}, std::nullopt});
    CHECK(suspects.crashes("request") == 0);
}

// Guards against resets and cuts of connections that are taken for crashes.
TEST_CASE("connections lost to replicas that live, or of which nothing is known, are no crashes")
{
    CrashSuspects suspects({});
    for (int i = 1; i <= 5; ++i) {
        suspects.recordLoss("request", replica(i), at(i));
    }
    CHECK_FALSE(suspects.refuses("request"));
    CHECK_FALSE(suspects.mayRepeat("request"));
    for (int i = 1; i <= 4; ++i) {
        suspects.recordAlive(replica(i));
    }
    CHECK(suspects.mayRepeat("request"));
    CHECK(suspects.statements().empty());
    suspects.expire(at(20));
    CHECK(suspects.empty());
    // A crash that is known stays one.
    crash(suspects, {"request"}, 6);
    suspects.recordAlive(replica(6));
    CHECK(suspects.crashes("request") == 1);
}

// Guards against a caller that gets another one's requests refused, and against parts that are joined ambiguously.
TEST_CASE("requests of other workspaces, paths and bodies have other digests")
{
    InboundRequest request;
    request.id = "one";
    request.host = "shop";
    request.method = "POST";
    request.target = "/x";
    request.body = "body";
    const std::string digest = requestDigest(request, "breeders");
    CHECK(requestDigest(request, "parents") != digest);
    InboundRequest same = request;
    same.id = "two";
    CHECK(requestDigest(same, "breeders") == digest);
    InboundRequest other = request;
    other.target = "/xb";
    other.body = "ody";
    CHECK(requestDigest(other, "breeders") != digest);
    other = request;
    other.body = "Body";
    CHECK(requestDigest(other, "breeders") != digest);
}

TEST_CASE("the memory of suspects and of what is told of them is bounded")
{
    CrashSuspectsSettings settings;
    CrashSuspects suspects(settings);
    for (int i = 0; i < 4; ++i) {
        crash(suspects, {"repeated"}, i);
    }
    for (int i = 4; i < 5000; ++i) {
        crash(suspects, {"request " + std::to_string(i)}, i);
    }
    CHECK(suspects.size() == settings.maxSuspects);
    CHECK(suspects.statements().size() == settings.maxStatements);
    CHECK(suspects.refuses("repeated"));
}

// Promises for 100,000 requests at replicas that also crash for other reasons, with deadly requests among them that
// come again, and with requests that are sent up to three times: every deadly one is refused after at most five
// crashes, and no other request ever is.
TEST_CASE("only requests that crash their replicas are refused, whatever runs beside them")
{
    constexpr int Requests = 100'000;
    constexpr int Replicas = 12;
    std::mt19937_64 random(20261205);
    const auto below = [&random](int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(random); };
    CrashSuspects suspects({});
    std::map<std::string, int> crashesOf;
    int incarnation = 0;
    int refusedInnocent = 0;
    int refusedDeadly = 0;
    for (int i = 0; i < Requests; i += 4) {
        const Instant now = at(i * 0.001);
        // Requests that run beside each other at one replica after the other, until one of them is done.
        std::set<std::string> batch;
        for (int k = 0; k < 4; ++k) {
            batch.insert("innocent " + std::to_string(i + k));
        }
        if (below(40) == 0) {
            batch.insert("deadly " + std::to_string(below(5)));
        }
        for (int attempt = 0; attempt < 3 && !batch.empty(); ++attempt) {
            std::erase_if(batch, [&](const std::string &digest) {
                const bool refused = suspects.refuses(digest);
                (digest.starts_with("deadly") ? refusedDeadly : refusedInnocent) += refused ? 1 : 0;
                return refused || (attempt > 0 && !suspects.mayRepeat(digest));
            });
            const bool deadlyRuns = std::any_of(batch.begin(), batch.end(),
                                                [](const auto &digest) { return digest.starts_with("deadly"); });
            const ReplicaIncarnation where = {"r" + std::to_string(below(Replicas)), "", ++incarnation};
            if (!deadlyRuns && below(30) != 0) {
                for (const std::string &digest : batch) {
                    suspects.recordAnswer(digest, now);
                }
                break;
            }
            for (const std::string &digest : batch) {
                suspects.recordLoss(digest, where, now);
                crashesOf[digest] += digest.starts_with("deadly") ? 1 : 0;
            }
            suspects.recordEnded(where, now);
        }
        suspects.expire(now);
    }
    CHECK(refusedInnocent == 0);
    CHECK(refusedDeadly > 500);
    for (const auto &[digest, crashes] : crashesOf) {
        CAPTURE(digest);
        CHECK(crashes <= 5);
    }
}
