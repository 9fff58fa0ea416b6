// Exactly-once delivery under random faults, the step book and the sample runner.
#include "rollout/definitions.h"
#include "rollout/samplerunner.h"
#include "rollout/stepbook.h"

#include "core/error.h"

#include <catch2/catch.hpp>

#include <future>
#include <map>
#include <random>
#include <set>

using namespace currantlug;
using namespace currantlug::rollout;

namespace {

const TrainerId Trainer("t");

// One trainer and three daemons of which any may answer a pull, may lose its state, and may answer late or never.
class DeliveryWorld
{
public:
    explicit DeliveryWorld(std::uint64_t seed)
        : random_(seed)
        , books_(3)
        , running_(3)
    {
    }

    // True when the trainer has the whole step within the number of rounds; faults stop halfway.
    bool run(int rounds)
    {
        for (int round = 0; round < rounds && !complete_; ++round) {
            faulty_ = round < rounds / 2;
            now_ = now_ + absl::Milliseconds(random_() % 200);
            generate(random_() % books_.size());
            if (faulty_ && chance(8)) {
                ++version_;
            }
            if (faulty_ && chance(12)) {
                const std::size_t dead = random_() % books_.size();
                books_[dead] = std::make_unique<StepBook>();
                running_[dead].clear();
            }
            sendPull();
            handlePulls();
            handleAnswers();
        }
        return complete_;
    }

    std::map<SlotNumber, int> received;
    std::uint64_t staleTaken = 0;

private:
    struct Pull
    {
        int number;
        std::string cursor;
        std::uint64_t version;
    };
    struct Answer
    {
        Pull pull;
        absl::StatusOr<PullAnswer> answer;
    };

    bool chance(std::uint64_t oneIn) { return random_() % oneIn == 0; }
    StepBook &book(std::size_t index)
    {
        if (!books_[index]) {
            books_[index] = std::make_unique<StepBook>();
        }
        return *books_[index];
    }

    // Slots start, fail, finish, and finish late after a failure was reported.
    void generate(std::size_t daemon)
    {
        for (SlotTask &task : book(daemon).startSlots(random_() % 4, now_)) {
            running_[daemon].push_back(std::move(task));
        }
        std::erase_if(running_[daemon], [&](const SlotTask &task) {
            if (chance(2)) {
                return false;
            }
            if (faulty_ && chance(4)) {
                book(daemon).failSlot(task.stepId, task.slot, {"p", {{version_, 1}}}, now_);
                return chance(2);
            }
            const std::uint64_t lag = faulty_ ? random_() % 4 : 0;
            book(daemon).finishSlot(task.stepId, task.slot, fakes::sample(version_ - lag), now_);
            return !chance(8);
        });
    }

    void sendPull()
    {
        if (outstanding_ && !chance(4)) {
            return;
        }
        outstanding_ = ++pullNumber_;
        pulls_.push_back({pullNumber_, cursor_, version_});
        if (faulty_ && chance(4)) {
            pulls_.push_back(pulls_.back());
        }
    }

    void handlePulls()
    {
        std::erase_if(pulls_, [&](const Pull &pull) {
            if (faulty_ && chance(3)) {
                return false;
            }
            StepBook &owner = book(random_() % books_.size());
            answers_.push_back({pull, owner.pull(Trainer, "s", pull.cursor, pull.version, random_() % 6, now_)});
            if (absl::IsNotFound(answers_.back().answer.status())) {
                REQUIRE(owner.put(fakes::stepDefinition(4, 3), now_).ok());
            }
            return true;
        });
    }

    // The trainer takes an answer only to its last pull, and only if its version has not changed since.
    void handleAnswers()
    {
        std::erase_if(answers_, [&](const Answer &answer) {
            if (faulty_ && chance(3)) {
                return chance(2);
            }
            if (outstanding_ != answer.pull.number) {
                return true;
            }
            outstanding_.reset();
            if (answer.answer.ok() && answer.pull.version == version_) {
                take(*answer.answer);
            }
            return true;
        });
    }

    void take(const PullAnswer &answer)
    {
        for (const DeliveredSample &delivered : answer.samples) {
            ++received[delivered.slot];
            staleTaken += delivered.sample.segments[0].weightVersion + 2 < version_ ? 1 : 0;
        }
        cursor_ = answer.cursor;
        complete_ = answer.complete();
    }

    std::mt19937_64 random_;
    std::vector<std::unique_ptr<StepBook>> books_;
    std::vector<std::vector<SlotTask>> running_;
    std::vector<Pull> pulls_;
    std::vector<Answer> answers_;
    Instant now_{absl::Seconds(1000)};
    std::uint64_t version_ = 10;
    std::string cursor_;
    std::optional<int> outstanding_;
    int pullNumber_ = 0;
    bool faulty_ = true;
    bool complete_ = false;
};

// Fails each slot once with partial work, then finishes it; hedges finish at once. The first attempt at a slot named by
// the test blocks until it is cancelled.
struct FakeGenerator
{
    absl::StatusOr<Sample> generate(const SlotTask &slot, const std::string &, std::uint64_t, PartialAnswer &partial,
                                    endpoints::CancelFlag &cancel)
    {
        if (slot.slot == blockedSlot && !slot.hedge) {
            std::promise<void> cancelled;
            const auto hook = cancel.addHook([&cancelled] { cancelled.set_value(); });
            blocked.set_value();
            cancelled.get_future().wait();
            cancel.removeHook(hook);
            partial = {"b", {{10, 1}}};
            return absl::CancelledError("stopped");
        }
        if (partial.empty() && !slot.hedge) {
            partial = {"a", {{9, 1}}};
            return absl::UnavailableError("cut");
        }
        return Sample{partial.text + "z", {{9, 1}, {10, 1}}, "id", "stop"};
    }

    SlotNumber blockedSlot = UINT32_MAX;
    std::promise<void> blocked;
};
static_assert(SampleGenerator<FakeGenerator>);

} // namespace

TEST_CASE("each slot is delivered once and fresh whatever fails", "[rollout]")
{
    // Guards against double, lost and stale samples: lost, doubled and late pulls and answers, deaths of daemons,
    // several daemons answering at once, late and stale samples.
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        INFO("seed " << seed);
        DeliveryWorld world(seed);
        REQUIRE(world.run(4000));
        CHECK(world.received.size() == 12);
        CHECK(std::all_of(world.received.begin(), world.received.end(),
                          [](const auto &slot) { return slot.second == 1; }));
        CHECK(world.staleTaken == 0);
    }
}

TEST_CASE("a step is put once, bounded, and removed when idle", "[rollout]")
{
    StepBookSettings settings;
    settings.maxSteps = 1;
    StepBook book(settings);
    const Instant now(absl::Seconds(5));
    CHECK(absl::IsNotFound(book.pull(Trainer, "s", "", 10, 1, now).status()));
    CHECK(book.put(fakes::stepDefinition(2, 2), now).ok());
    CHECK(book.put(fakes::stepDefinition(2, 2), now).ok());
    CHECK(absl::IsAlreadyExists(book.put(fakes::stepDefinition(4, 1), now)));
    StepDefinition other = fakes::stepDefinition(2, 2);
    other.step = "s2";
    CHECK(absl::IsResourceExhausted(book.put(other, now)));
    const auto tasks = book.startSlots(1, now);
    CHECK(book.wanted(tasks[0].stepId, tasks[0].slot));
    CHECK(book.removeIdle(now + absl::Minutes(9)) == 0);
    CHECK(book.removeIdle(now + absl::Minutes(11)) == 1);
    CHECK_FALSE(book.wanted(tasks[0].stepId, tasks[0].slot));
    CHECK_FALSE(book.finishSlot(tasks[0].stepId, tasks[0].slot, fakes::sample(10), now));
    CHECK(book.memoryBytes() == 0);
    StepBookSettings small;
    small.maxMemoryBytes = 10;
    CHECK(absl::IsResourceExhausted(StepBook(small).put(fakes::stepDefinition(1, 1), now)));
}

TEST_CASE("the runner finishes a step over failures and keeps the labels of both parts", "[rollout]")
{
    StepBook book;
    FakeGenerator generator;
    SampleRunnerSettings settings;
    settings.maxRunning = 3;
    SampleRunner runner(book, generator, settings);
    runner.start();
    REQUIRE(book.put(fakes::stepDefinition(3, 2), monotonicNow()).ok());
    std::string cursor;
    std::set<SlotNumber> slots;
    for (bool complete = false; !complete;) {
        const auto answer = book.pullWaiting(Trainer, "s", cursor, 10, 100, absl::Seconds(60));
        REQUIRE(answer.ok());
        REQUIRE_FALSE(answer->samples.empty());
        for (const DeliveredSample &delivered : answer->samples) {
            CHECK(slots.insert(delivered.slot).second);
            CHECK(delivered.sample.text == "az");
            CHECK(delivered.sample.segments == std::vector<Segment>{{9, 1}, {10, 1}});
        }
        cursor = answer->cursor;
        complete = answer->complete();
    }
    CHECK(slots.size() == 6);
    runner.stop();
    CHECK(runner.counts().finished == 6);
    CHECK(runner.counts().failed == 6);
}

TEST_CASE("a straggler is overtaken by its hedge and cancelled", "[rollout]")
{
    // Guards against one stuck engine that holds up a whole step.
    StepBookSettings bookSettings;
    bookSettings.step.stragglerFactor = 0;
    StepBook book(bookSettings);
    FakeGenerator generator;
    generator.blockedSlot = 0;
    SampleRunnerSettings settings;
    settings.maxHedges = 1;
    settings.sweepInterval = absl::Milliseconds(1);
    SampleRunner runner(book, generator, settings);
    REQUIRE(book.put(fakes::stepDefinition(1, 4), monotonicNow()).ok());
    runner.start();
    std::string cursor;
    for (bool complete = false; !complete;) {
        const auto answer = book.pullWaiting(Trainer, "s", cursor, 10, 100, absl::Seconds(60));
        REQUIRE_FALSE(answer->samples.empty());
        cursor = answer->cursor;
        complete = answer->complete();
    }
    while (runner.counts().cancelled == 0) {
        std::this_thread::yield();
    }
    runner.stop();
    CHECK(runner.counts().hedges >= 1);
}

TEST_CASE("stopping cancels running work and returns its slots with their partial work", "[rollout]")
{
    StepBook book;
    FakeGenerator generator;
    generator.blockedSlot = 0;
    SampleRunner runner(book, generator);
    REQUIRE(book.put(fakes::stepDefinition(1, 1), monotonicNow()).ok());
    runner.start();
    generator.blocked.get_future().wait();
    runner.stop();
    CHECK(runner.counts().cancelled == 1);
    const auto tasks = book.startSlots(1, monotonicNow());
    REQUIRE(tasks.size() == 1);
    CHECK(tasks[0].partial.text == "b");
}

TEST_CASE("work that nobody wants any more is cancelled", "[rollout]")
{
    StepBook book;
    FakeGenerator generator;
    generator.blockedSlot = 0;
    SampleRunnerSettings settings;
    settings.sweepInterval = absl::Milliseconds(1);
    SampleRunner runner(book, generator, settings);
    REQUIRE(book.put(fakes::stepDefinition(1, 1), monotonicNow()).ok());
    runner.start();
    generator.blocked.get_future().wait();
    book.remove(Trainer, "s");
    while (runner.counts().cancelled == 0) {
        std::this_thread::yield();
    }
    runner.stop();
}
