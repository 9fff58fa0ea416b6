// Event parser, label collector and completion stream against every split, cut and swap.
#include "endpoints/completionstream.h"
#include "endpoints/localserver.h"

#include <catch2/catch.hpp>

#include <random>

using namespace currantlug;
using namespace currantlug::endpoints;

TEST_CASE("events are the same however the bytes are split", "[endpoints]")
{
    // Guards against an event lost or doubled at the border of two reads.
    const std::string bytes = "\xEF\xBB\xBF"
                              ": comment\r\ndata: a\r\ndata:b\r\n\r\nevent: ping\n\ndata: c\r\revent: x\ndata\n\n";
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        SseParser parser;
        std::string seen;
        const auto sink = [&seen](SseEvent &&event) {
            seen += event.type + "|" + event.data + ";";
            return true;
        };
        REQUIRE(parser.feed(std::string_view(bytes).substr(0, cut), sink).ok());
        REQUIRE(parser.feed(std::string_view(bytes).substr(cut), sink).ok());
        INFO("cut at " << cut);
        CHECK(seen == "|a\nb;|c;x|;");
        CHECK(parser.atBoundary());
    }
}

TEST_CASE("a line or event without end is refused at its limit", "[endpoints]")
{
    // Guards against an endpoint that fills the daemon's memory.
    const auto sink = [](SseEvent &&) { return true; };
    SseParser oneLine(16);
    CHECK(oneLine.feed("data: 1234567890123", sink).code() == absl::StatusCode::kResourceExhausted);
    SseParser manyLines(16);
    CHECK(manyLines.feed("data: 1234567\ndata: 1234567\ndata: 1\n", sink).code()
          == absl::StatusCode::kResourceExhausted);
}

TEST_CASE("labels hold only when chunks and summary agree", "[endpoints]")
{
    // Guards against a sample with wrong labels: random answers, of which some are cut, altered or unlabelled.
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        LabelCollector collector;
        std::vector<Segment> summary;
        std::uint64_t version = 5;
        const std::uint64_t chunks = random() % 20 + 1;
        const std::uint64_t fault = random() % 6;
        const std::uint64_t faultAt = random() % chunks;
        bool damaged = fault >= 2;
        for (std::uint64_t i = 0; i < chunks; ++i) {
            version += random() % 5 == 0 ? 1 : 0;
            const std::uint64_t tokens = random() % 3 + 1;
            const bool unlabelled = fault == 2 && i == faultAt;
            const std::uint64_t shown = fault == 3 && i == faultAt ? version + 100 : version;
            collector.addChunk(unlabelled ? std::nullopt : std::make_optional(shown), tokens);
            // The engine may split a run or report an empty one.
            summary.push_back({version, tokens});
            if (random() % 4 == 0) {
                summary.push_back({version, 0});
            }
        }
        const std::uint64_t total = countTokens(summary);
        if (fault == 4) {
            summary.back().tokens += 1;
        }
        if (fault != 5) {
            collector.finish(summary, total);
        }
        CHECK(collector.check().ok() == !damaged);
    }
    LabelCollector noSummary;
    noSummary.addChunk(1, 1);
    noSummary.finish(std::nullopt, 1);
    CHECK_FALSE(noSummary.check().ok());
    LabelCollector swapped;
    swapped.addChunk(1, 1);
    swapped.addChunk(2, 1);
    swapped.finish(std::vector<Segment>{{2, 1}, {1, 1}}, 2);
    CHECK_FALSE(swapped.check().ok());
}

TEST_CASE("a stream cut anywhere leaves exactly its labelled beginning", "[endpoints]")
{
    // Guards against resumed work whose text and labels cover different tokens.
    const std::string bytes = fakes::engineEvents("r1", {4, 4, 5});
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        CompletionStream stream("r1", {"ab", {{3, 2}}}, nullptr);
        REQUIRE(stream.feed(std::string_view(bytes).substr(0, cut)).ok());
        INFO("cut at " << cut);
        const PartialAnswer partial = stream.partial();
        CHECK(countTokens(partial.segments) == partial.text.size());
        CHECK(partial.text.substr(0, 2) == "ab");
        CHECK(stream.done() == (cut == bytes.size()));
    }
    CompletionStream whole("r1", {"ab", {{3, 2}}}, nullptr);
    REQUIRE(whole.feed(bytes).ok());
    const EngineAnswer answer = whole.answer();
    CHECK(answer.text == "abttt");
    CHECK(answer.segments == std::vector<Segment>{{3, 2}, {4, 2}, {5, 1}});
    CHECK(answer.tokens == 5);
    CHECK(answer.finishReason == "stop");
    CHECK(answer.labels.ok());
}

TEST_CASE("an event of another request discards what the stream brought", "[endpoints]")
{
    CompletionStream stream("r1", {"ab", {{3, 2}}}, nullptr);
    REQUIRE(stream.feed(fakes::engineEvents("r1", {4}, false)).ok());
    CHECK(stream.feed(fakes::engineEvents("r2", {4}, false)).code() == absl::StatusCode::kDataLoss);
    CHECK(stream.partial().text == "ab");
    CHECK_FALSE(stream.done());
}

TEST_CASE("an end marker without a closing event is no end", "[endpoints]")
{
    CompletionStream stream("r1", {}, nullptr);
    CHECK_FALSE(stream.feed("data: [DONE]\n\n").ok());
    CompletionStream garbage("r1", {}, nullptr);
    CHECK_FALSE(garbage.feed("data: {\"id\":\"r1\",\"choices\":7}\n\n").ok());
    CompletionStream after("r1", {}, nullptr);
    CHECK_FALSE(after.feed(fakes::engineEvents("r1", {1}) + fakes::engineEvents("r1", {1})).ok());
}

TEST_CASE("an unlabelled chunk ends the resumable part and the sample", "[endpoints]")
{
    CompletionStream stream("r1", {}, nullptr);
    REQUIRE(stream.feed(fakes::engineEvents("r1", {4}, false)).ok());
    REQUIRE(stream.feed("data: {\"id\":\"r1\",\"choices\":[{\"text\":\"x\"}]}\n\n").ok());
    REQUIRE(stream.feed(fakes::engineEvents("r1", {4})).ok());
    CHECK(stream.partial().text.empty());
    REQUIRE(stream.done());
    CHECK_FALSE(stream.answer().labels.ok());
}
