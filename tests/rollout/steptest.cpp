// Cursor, definition and step: refusals, order, staleness and resumed work.
#include "rollout/definitions.h"

#include <catch2/catch.hpp>

#include <random>

namespace fakes = currantlug::fakes;
using currantlug::Instant;
using currantlug::Json;
using currantlug::TrainerId;
using namespace currantlug::rollout;

namespace {

const Instant Start(absl::Seconds(1000));

Step runAll(Step step, std::uint64_t version)
{
    for (const SlotNumber slot : step.nextSlots(1000, Start)) {
        step.slotStarted(slot, Start);
        step.slotFinished(slot, fakes::sample(version, std::to_string(slot)), Start + absl::Seconds(1));
    }
    return step;
}

} // namespace

TEST_CASE("a cursor survives encoding and no damaged one is accepted", "[rollout]")
{
    // Guards against a damaged cursor that marks slots as delivered that the trainer never got.
    std::mt19937_64 random(7);
    const std::string digest = fakes::stepDefinition(3, 7).digest;
    for (const std::uint32_t slots : {1U, 8U, 21U, 4096U}) {
        Cursor cursor{digest, SlotSet(slots)};
        for (std::uint32_t i = 0; i < slots; ++i) {
            if (random() % 2 == 0) {
                cursor.slots.add(i);
            }
        }
        const std::string text = cursor.encode();
        CHECK(Cursor::decode(text, digest, slots)->slots == cursor.slots);
        for (std::size_t at = 0; at < text.size(); ++at) {
            std::string damaged = text;
            damaged[at] = damaged[at] == 'A' ? 'B' : 'A';
            const auto decoded = Cursor::decode(damaged, digest, slots);
            // The last character carries bits that stand for nothing.
            CHECK((!decoded.ok() || decoded->slots == cursor.slots));
            CHECK_FALSE(Cursor::decode(text.substr(0, at) + (at == 0 ? "=" : ""), digest, slots).ok());
        }
        CHECK(Cursor::decode(text, digest, slots + 1).status().code() == absl::StatusCode::kInvalidArgument);
        CHECK(Cursor::decode(text, fakes::stepDefinition(1, 1).digest, slots).status().code()
              == absl::StatusCode::kFailedPrecondition);
    }
    CHECK_FALSE(Cursor::decode(std::string(5 << 20, 'A'), digest, 8).ok());
}

TEST_CASE("a definition is refused with every problem at once", "[rollout]")
{
    Json body = fakes::stepBody(3, 2);
    body.erase("route");
    body["staleness_bound"] = -1;
    body["groups"][1]["samples"] = 0;
    body["groups"][2]["id"] = "g0";
    const auto refused = parseStepDefinition(TrainerId("t"), "s", body.dump());
    const std::string message(refused.status().message());
    for (const char *part : {"route", "staleness_bound", "group 1: samples", "\"g0\" occurs twice"}) {
        CHECK(message.find(part) != std::string::npos);
    }
    StepLimits limits;
    limits.maxSlots = 4;
    CHECK_FALSE(parseStepDefinition(TrainerId("t"), "s", fakes::stepBody(3, 2).dump(), limits).ok());
    CHECK_FALSE(parseStepDefinition(TrainerId("t"), "s", "[").ok());
    CHECK_FALSE(parseStepDefinition(TrainerId(""), "s", fakes::stepBody(1, 1).dump()).ok());
}

TEST_CASE("the digest covers what cursors depend on and not the trainer's progress", "[rollout]")
{
    Json later = fakes::stepBody(2, 2);
    later["trainer_version"] = 11;
    const StepDefinition first = fakes::stepDefinition(2, 2);
    CHECK(parseStepDefinition(TrainerId("t"), "s", later.dump())->digest == first.digest);
    CHECK(parseStepDefinition(TrainerId("u"), "s", later.dump())->digest != first.digest);
    CHECK(parseStepDefinition(TrainerId("t"), "s2", later.dump())->digest != first.digest);
    CHECK(fakes::stepDefinition(4, 1).digest != fakes::stepDefinition(2, 2).digest);
    CHECK(first.groupOf(1).id == "g0");
    CHECK(first.groupOf(2).id == "g1");
}

TEST_CASE("a held sample is given again until a cursor contains it", "[rollout]")
{
    Step step = runAll(Step(fakes::stepDefinition(2, 2), Start), 10);
    const std::size_t full = step.memoryBytes();
    const auto first = step.pull("", 10, 3);
    const auto again = step.pull("", 10, 3);
    REQUIRE(first->samples.size() == 3);
    CHECK(first->remaining == 1);
    CHECK(again->cursor == first->cursor);
    CHECK(again->samples[0].sample.sampleId == first->samples[0].sample.sampleId);
    CHECK(step.memoryBytes() == full);
    const auto rest = step.pull(first->cursor, 10, 3);
    CHECK(rest->samples.size() == 1);
    CHECK(rest->complete());
    CHECK(step.count(SlotState::Delivered) == 3);
    CHECK(step.memoryBytes() < full);
    CHECK(step.pull(rest->cursor, 10, 3)->samples.empty());
    // A trainer that went back to a checkpoint gets the freed slots generated again.
    CHECK(step.pull("", 10, 3)->samples.empty());
    CHECK(step.count(SlotState::Waiting) == 4);
}

TEST_CASE("staleness is judged by the version in the pull", "[rollout]")
{
    Step step = runAll(Step(fakes::stepDefinition(1, 2), Start), 10);
    CHECK(step.pull("", 12, 9)->samples.size() == 2);
    const auto late = step.pull("", 13, 9);
    CHECK(late->samples.empty());
    CHECK(late->droppedStale == 2);
    CHECK(step.droppedStale() == 2);
    CHECK(step.count(SlotState::Waiting) == 2);
    // One old segment makes the whole sample old.
    step.slotStarted(0, Start);
    CHECK(step.slotFinished(0, {"t", {{10, 1}, {13, 9}}, "m", "stop"}, Start));
    CHECK(step.pull("", 13, 9)->droppedStale == 1);
    // A sample without labels is never held.
    step.slotStarted(0, Start);
    CHECK_FALSE(step.slotFinished(0, {"t", {}, "m", "stop"}, Start));
    CHECK(step.state(0) == SlotState::Waiting);
}

TEST_CASE("started groups come first, for generation and for delivery", "[rollout]")
{
    Step step(fakes::stepDefinition(3, 2), Start);
    step.slotStarted(2, Start);
    CHECK(step.nextSlots(2, Start) == std::vector<SlotNumber>{3, 0});
    step.slotFinished(2, fakes::sample(10), Start);
    for (const SlotNumber slot : {0U, 4U, 5U}) {
        step.slotStarted(slot, Start);
        step.slotFinished(slot, fakes::sample(10), Start);
    }
    const auto whole = step.pull("", 10, 2);
    CHECK(whole->samples[0].group == "g2");
    CHECK(whole->samples[1].group == "g2");
}

TEST_CASE("failed work is resumed after a backoff, and given up when old or fruitless", "[rollout]")
{
    Step step(fakes::stepDefinition(1, 1), Start);
    const PartialAnswer partial{"ab", {{10, 2}}};
    CHECK(step.slotStarted(0, Start).empty());
    step.slotFailed(0, partial, Start);
    CHECK(step.nextSlots(1, Start).empty());
    REQUIRE(step.nextReady().has_value());
    CHECK(step.nextSlots(1, *step.nextReady()) == std::vector<SlotNumber>{0});
    CHECK(step.slotStarted(0, Start).text == "ab");
    step.slotFailed(0, partial, Start);
    CHECK(step.slotStarted(0, Start).text == "ab");
    step.slotFailed(0, partial, Start);
    CHECK(step.slotStarted(0, Start).empty());
    step.slotFailed(0, partial, Start);
    step.noteTrainerVersion(13);
    CHECK(step.slotStarted(0, Start).empty());
}

TEST_CASE("an answer to a pull stays within its size", "[rollout]")
{
    StepSettings settings;
    settings.maxAnswerBytes = 2 * 250;
    Step step = runAll(Step(fakes::stepDefinition(1, 4), Start, settings), 10);
    CHECK(step.pull("", 10, 100)->samples.size() == 2);
    settings.maxAnswerBytes = 1;
    Step tiny = runAll(Step(fakes::stepDefinition(1, 4), Start, settings), 10);
    CHECK(tiny.pull("", 10, 100)->samples.size() == 1);
    CHECK(tiny.pull("", 10, 0)->samples.empty());
}

TEST_CASE("only slots far behind the others are stragglers", "[rollout]")
{
    Step step(fakes::stepDefinition(1, 8), Start);
    for (SlotNumber slot = 0; slot < 8; ++slot) {
        step.slotStarted(slot, Start + absl::Milliseconds(slot));
    }
    CHECK(step.stragglers(Start + absl::Hours(1)).empty());
    for (SlotNumber slot = 2; slot < 8; ++slot) {
        step.slotFinished(slot, fakes::sample(10), Start + absl::Seconds(1));
    }
    CHECK(step.stragglers(Start + absl::Milliseconds(1500)).empty());
    CHECK(step.stragglers(Start + absl::Seconds(3)) == std::vector<SlotNumber>{0, 1});
    // A hedge that fails leaves the first attempt running.
    CHECK(step.slotStarted(0, Start + absl::Seconds(3)).empty());
    step.slotFailed(0, {}, Start + absl::Seconds(4));
    CHECK(step.state(0) == SlotState::Running);
    CHECK(step.slotFinished(0, fakes::sample(10), Start + absl::Seconds(5)));
}
