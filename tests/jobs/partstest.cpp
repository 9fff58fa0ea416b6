// Tests of the result log, the order of items, the reuse of text, and the stored JSON forms.
#include "jobs/itemtracker.h"
#include "jobs/resultlog.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::jobs;

namespace {

ItemResult result(const std::string &id, std::size_t bytes = 10)
{
    return {id, ResultState::Completed, std::string(bytes, 'x'), {1}, {}};
}

} // namespace

// Guards against one item at two positions, which arises when two owners of a job each store a segment with it.
TEST_CASE("an item that is in two segments has one position in the result log")
{
    ResultLog log;
    REQUIRE(log.append({0, "n0", {result("a"), result("b")}}));
    REQUIRE(log.append({1, "n1", {result("b"), result("c")}}));
    const ResultPage page = log.page(0, 3, 1000000);
    REQUIRE(page.results.size() == 3);
    CHECK(page.results[1].id == "b");
    CHECK(page.results[2].id == "c");
    CHECK(page.next == 3);
}

// Guards against gaps in the result log, which arise when a reader misses a segment.
TEST_CASE("a segment is not appended before its predecessor")
{
    ResultLog log;
    CHECK_FALSE(log.append({1, "n", {result("a")}}));
    CHECK(log.size() == 0);
}

// Guards against responses above the size that clients accept, and against empty pages for a result above the limit,
// with which a reader would never advance.
TEST_CASE("a page is limited in size but has at least one result")
{
    ResultLog log;
    REQUIRE(log.append({0, "n", {result("a", 5000), result("b", 5000), result("c", 5000)}}));
    CHECK(log.page(0, 3, 100).results.size() == 1);
    CHECK(log.page(0, 3, 11000).results.size() == 2);
    CHECK(log.page(3, 3, 100).results.empty());
    CHECK(log.page(3, 3, 100).next == 3);
    CHECK(log.page(9, 3, 100).next == 9);
}

TEST_CASE("segments and items are unchanged after writing and parsing their JSON forms")
{
    const Segment segment{7, "nonce", {result("a"), {"b", ResultState::Abandoned, "", {}, {}}}};
    const auto read = parseSegment(7, toJson(segment));
    REQUIRE(read);
    CHECK(read->nonce == "nonce");
    CHECK(read->results.at(1).state == ResultState::Abandoned);
    ItemSpec item;
    item.id = "i";
    item.path = "/p";
    item.body = std::string("\0\xff binary", 9);
    item.headers.add("X-Some", "value");
    const auto back = parseItemSpec(toJson(item));
    REQUIRE(back);
    CHECK(back->body == item.body);
    CHECK(back->headers.find("x-some") == "value");
    CHECK_FALSE(back->reward);
    item.reward = RewardSpec{"c", "h", "/s", std::string("\0\xff", 2)};
    const auto scored = parseItemSpec(toJson(item));
    REQUIRE(scored);
    REQUIRE(scored->reward);
    CHECK(scored->reward->body == item.reward->body);
    CHECK(scored->reward->path == "/s");
    const Segment scoredSegment{8, "nonce", {{"a", ResultState::Completed, "t", {1}, "stamp"}}};
    CHECK(parseSegment(8, toJson(scoredSegment))->results.at(0).score == "stamp");
    ItemText text;
    text.events = {"e"};
    text.versions = {1};
    text.complete = true;
    CHECK(parseItemText(toJson(text))->complete);
    // Segments and texts of earlier builds have no scores and don't tell whether a text is complete.
    const auto old = parseSegment(0, *parseJson(R"({"nonce":"n","results":[
        {"id":"a","state":"completed","text":"t","versions":[1]}]})"));
    REQUIRE(old);
    CHECK(old->results.at(0).score.empty());
    const auto oldText = parseItemText(*parseJson(R"({"events":["e"],"last":1,"versions":[1]})"));
    REQUIRE(oldText);
    CHECK_FALSE(oldText->complete);
    CHECK_FALSE(parseSegment(0, Json{{"results", {{{"id", "x"}}}}}));
    CHECK_FALSE(parseJobRecord("j", Json::array()));
    CHECK(segmentName(9) < segmentName(10));
}

// Guards against long steps: a training step needs nearly all of its groups, so it lasts until its longest item is
// done. Items that have text already and long items must not wait behind short ones.
TEST_CASE("items with text are sent first, then the longest")
{
    JobSpec spec;
    for (const auto &[id, hint] : {std::pair{"short", 10.0}, {"long", 900.0}, {"begun", 5.0}, {"middle", 50.0}}) {
        ItemSpec item;
        item.id = id;
        item.group = "g";
        item.lengthHint = hint;
        spec.items.push_back(item);
    }
    ItemTracker tracker(spec);
    ItemText text;
    text.events = {"e"};
    text.lastEventId = 1;
    text.versions = {3};
    REQUIRE(tracker.reuseText(2, text, 3, false));
    std::vector<std::string> order;
    for (const std::size_t index : tracker.sendOrder(Instant())) {
        order.push_back(tracker.items()[index].spec.id);
    }
    CHECK(order == std::vector<std::string>{"begun", "long", "middle", "short"});
}

// Guards against samples with text of weight versions that the training step doesn't allow.
TEST_CASE("text of an earlier job is reused only if its weight versions are allowed")
{
    JobSpec spec;
    spec.items.resize(1);
    spec.items[0].id = "i";
    ItemText text;
    text.events = {"e", "f"};
    text.versions = {2, 3};
    ItemTracker tracker(spec);
    CHECK_FALSE(tracker.reuseText(0, text, 3, false));
    CHECK_FALSE(tracker.reuseText(0, text, 2, true));
    CHECK(tracker.reuseText(0, text, 2, false));
    CHECK_FALSE(tracker.reuseText(0, text, 2, false));
}
