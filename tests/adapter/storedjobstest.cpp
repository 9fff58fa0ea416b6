// What jobs write to the store can be read back through the platform's pages: by all nodes, after a takeover.
#include "storeclient.h"

#include "jobs/jobcluster.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::adapter;
using namespace currantlug::tests;

namespace {

// The platform's limits.
constexpr std::size_t MaxObjectBytes = 1 << 20;
constexpr std::size_t MaxPageBytes = 1'000'000;
constexpr std::size_t MaxPageObjects = 500;

std::string encode(const objects::StoredObject &object)
{
    return Json{{"metadata",
                 {{"name", object.name},
                  {"revision", object.revision},
                  {"created", 1'700'000'000'000},
                  {"finalizers", Json::array()},
                  {"deleting", false}}},
                {"spec", object.value},
                {"status", object.status}}
        .dump();
}

/// Encodes the first page of the listed objects as the platform does, and decodes it.
objects::StoreReply transmit(const objects::StoreReply &listed)
{
    std::string items;
    std::size_t count = 0;
    for (const objects::ObjectChange &change : listed.changes) {
        const std::string text = encode(change.object);
        CHECK(text.size() <= MaxObjectBytes);
        if (count > 0 && (count == MaxPageObjects || items.size() + text.size() > MaxPageBytes)) {
            break;
        }
        items += (count++ == 0 ? "" : ",") + text;
    }
    const bool more = count < listed.changes.size();
    return decodeStoreReply(200,
                            "{\"items\":[" + items + "],\"has_more\":" + (more ? "true" : "false")
                                + ",\"as_of\":" + std::to_string(listed.asOf) + "}",
                            StoreReplyContent::Page);
}

/// Sets the time limit after which the open items of a job are abandoned, all at once.
void abandonItemsAfter(JobCluster &cluster, absl::Duration time)
{
    cluster.settings.ttlMargin = absl::ZeroDuration();
    cluster.start("a");
    cluster.start("b");
    cluster.config.routes[0].queueTtl = time;
}

/// Runs the job at one node, kills that node and reads the whole job at another one.
void checkReadableAfterTakeover(JobCluster &cluster, const std::string &jobId, int items)
{
    cluster.transmitPage = transmit;
    REQUIRE(cluster.submit("a", JobCluster::spec(jobId, items)) == jobs::SubmitOutcome::Accepted);
    const auto last = static_cast<std::uint64_t>(items) - 1;
    REQUIRE(runUntil(cluster.loop, [&] { return !cluster.read("a", jobId, last).second.results.empty(); }));
    std::vector<jobs::ItemResult> before;
    while (before.size() < static_cast<std::size_t>(items)) {
        const auto page = cluster.read("a", jobId, before.size()).second;
        REQUIRE_FALSE(page.results.empty());
        before.insert(before.end(), page.results.begin(), page.results.end());
    }
    cluster.kill("a");
    std::size_t position = 0;
    while (position < before.size()) {
        const auto [outcome, page] = cluster.read("b", jobId, position);
        REQUIRE(outcome == jobs::ReadOutcome::Found);
        REQUIRE_FALSE(page.results.empty());
        for (const jobs::ItemResult &result : page.results) {
            REQUIRE(result.id == before[position].id);
            REQUIRE(result.state == before[position].state);
            REQUIRE(result.text == before[position].text);
            ++position;
        }
    }
}

} // namespace

// Guards against a job that can't be read any more once its owner is gone: the results beside long texts in the same
// page of the store counted as unreadable.
TEST_CASE("a job with long texts and many abandoned items can be read after a takeover")
{
    JobCluster cluster({"a", "b"});
    cluster.settings.flushDelay = absl::Milliseconds(1); // Many small segments, then a large one.
    cluster.settings.minFlushInterval = absl::Milliseconds(5);
    abandonItemsAfter(cluster, absl::Milliseconds(1200));
    cluster.replicas.eventsPerItem = 18;
    cluster.replicas.eventBytes = 350;
    cluster.replicas.eventGap = absl::Milliseconds(4);
    checkReadableAfterTakeover(cluster, "job", 2'000);
}

// Guards against a result segment that is larger than an object of the store may be: abandoned items have no text, and
// all of them stood in one segment.
TEST_CASE("a job whose items are all abandoned is stored in segments that the store takes")
{
    JobCluster cluster({"a", "b"});
    abandonItemsAfter(cluster, absl::Milliseconds(100));
    cluster.replicas.silent = {"r1", "r2"};
    checkReadableAfterTakeover(cluster, std::string(60, 'j'), 10'000);
}

// Guards against a segment that grows beyond its limit when its text is encoded.
TEST_CASE("the encoded size of a result is estimated from above")
{
    for (const std::string &text : {std::string(), std::string("plain"), std::string(100, '"'), std::string(100, '\\'),
                                    std::string(100, '\x1f'), std::string(100, '\n'), std::string("\u00e4\u20ac")}) {
        for (std::size_t versions : {0U, 1U, 50U}) {
            jobs::ItemResult result{"item", jobs::ResultState::Abandoned, text, {}, "score"};
            result.versions.assign(versions, std::numeric_limits<std::uint64_t>::max());
            CHECK(jobs::toJson(result).dump().size() < jobs::encodedSize(result));
        }
    }
}

// Guards against sound objects that count as unreadable for what else stands on their page: each number is measured by
// its values, not by its bytes, and a page beyond the limit is read in parts.
TEST_CASE("each sound object of a page is read, whatever stands beside it")
{
    for (const std::size_t textBytes : {1'000U, 100'000U, 300'000U, 524'000U}) {
        for (const std::size_t values : {600U, 1'500U, 5'000U}) {
            CAPTURE(textBytes, values);
            std::vector<objects::StoredObject> stored;
            for (int i = 0; i < 200; ++i) {
                Json value = i == 0 ? Json(std::string(textBytes, 'x')) : Json(std::vector<int>(values, 1));
                stored.push_back({std::to_string(1000 + i), 1, std::move(value), {}});
            }
            std::size_t read = 0;
            int pages = 0;
            for (bool more = true; more; ++pages) {
                REQUIRE(pages < 200);
                std::string items;
                for (std::size_t i = read; i < stored.size(); ++i) {
                    items += (i == read ? "" : ",") + encode(stored[i]);
                }
                const auto page = decodeStoreReply(200, "{\"items\":[" + items + "],\"has_more\":false,\"as_of\":9}",
                                                   StoreReplyContent::Page);
                REQUIRE(page.outcome == objects::StoreOutcome::Done);
                REQUIRE_FALSE(page.changes.empty());
                std::size_t pageValues = 0;
                for (const objects::ObjectChange &change : page.changes) {
                    REQUIRE_FALSE(change.object.error);
                    REQUIRE(change.object.name == stored[read].name);
                    REQUIRE(change.object.value == stored[read].value);
                    pageValues += change.object.value.size();
                    ++read;
                }
                CHECK(pageValues <= MaxJsonValues);
                more = page.more;
            }
            CHECK(read == stored.size());
        }
    }
}

// Guards against changes of sound objects that are lost since one answer to a watch holds too many of them.
TEST_CASE("changes that can't be read at once are listed again")
{
    const auto answer = [](std::size_t values) {
        std::string events;
        for (int i = 0; i < 3; ++i) {
            const objects::StoredObject object{std::to_string(i), 1, Json(std::vector<int>(values, 1)), {}};
            events += (i == 0 ? "" : ",") + ("{\"object\":" + encode(object)) + ",\"removed\":false}";
        }
        return decodeStoreReply(200, "{\"events\":[" + events + "],\"as_of\":9}", StoreReplyContent::Changes);
    };
    CHECK(answer(MaxJsonValues / 4).outcome == objects::StoreOutcome::Done);
    CHECK(answer(MaxJsonValues / 4).changes.size() == 3);
    CHECK(answer(MaxJsonValues / 2).outcome == objects::StoreOutcome::HistoryUnavailable);
    CHECK(answer(MaxJsonValues / 2).changes.empty());
    // Objects that can't be read even alone take nothing from the others.
    CHECK(answer(MaxJsonValues * 2).outcome == objects::StoreOutcome::Done);
    CHECK(answer(MaxJsonValues * 2).changes.size() == 3);
}
