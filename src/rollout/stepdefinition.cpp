// Reads the body of a step's PUT and collects every problem in it.
#include "rollout/stepdefinition.h"

#include "core/error.h"
#include "core/hash.h"
#include "core/json.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace currantlug::rollout {

namespace {

constexpr std::size_t MaxProblems = 20; // a message about thousands of groups helps nobody

class Reader
{
public:
    explicit Reader(const StepLimits &limits)
        : limits_(limits)
    {
    }

    void problem(std::string text)
    {
        ++count_;
        if (problems_.size() < MaxProblems) {
            problems_.push_back(std::move(text));
        }
    }

    std::uint64_t number(const Json &object, const char *name, std::uint64_t low, std::uint64_t high,
                         std::string_view where)
    {
        const auto found = object.find(name);
        if (found == object.end() || !found->is_number_unsigned()) {
            problem(fmt::format("{}{} must be a whole number", where, name));
            return low;
        }
        const auto value = found->get<std::uint64_t>();
        if (value < low || value > high) {
            problem(fmt::format("{}{} must be between {} and {}", where, name, low, high));
            return low;
        }
        return value;
    }

    std::string text(const Json &object, const char *name, std::size_t maxBytes, std::string_view where)
    {
        std::string value = fieldOr<std::string>(object, name, "");
        if (value.empty() || value.size() > maxBytes) {
            problem(fmt::format("{}{} must be a text of 1 to {} bytes", where, name, maxBytes));
        }
        return value;
    }

    void groups(const Json &body, StepDefinition &definition)
    {
        const auto found = body.find("groups");
        if (found == body.end() || !found->is_array() || found->empty() || found->size() > limits_.maxGroups) {
            problem(fmt::format("groups must be a list of 1 to {} groups", limits_.maxGroups));
            return;
        }
        absl::flat_hash_set<std::string> names;
        std::uint64_t slots = 0;
        std::size_t promptBytes = 0;
        for (const Json &item : *found) {
            GroupDefinition group = readGroup(item, definition.groups.size());
            group.firstSlot = static_cast<SlotNumber>(slots);
            slots = std::min<std::uint64_t>(slots + group.samples, UINT32_MAX);
            promptBytes += group.prompt.size();
            if (!names.insert(group.id).second) {
                problem(fmt::format("group id \"{}\" occurs twice", group.id));
            }
            definition.groups.push_back(std::move(group));
        }
        if (slots > limits_.maxSlots) {
            problem(fmt::format("the step has {} samples, more than {}", slots, limits_.maxSlots));
        }
        if (promptBytes > limits_.maxTotalPromptBytes) {
            problem(fmt::format("the prompts have {} bytes, more than {}", promptBytes, limits_.maxTotalPromptBytes));
        }
        definition.slotCount = static_cast<std::uint32_t>(slots);
    }

    absl::Status result() const
    {
        if (count_ == 0) {
            return absl::OkStatus();
        }
        std::string message = absl::StrJoin(problems_, "; ");
        if (count_ > problems_.size()) {
            message += fmt::format("; and {} more", count_ - problems_.size());
        }
        return makeError(absl::StatusCode::kInvalidArgument, currantlug::Step::ReadRequest, "", Outcome::NotRun,
                         message);
    }

private:
    GroupDefinition readGroup(const Json &item, std::size_t index)
    {
        const std::string where = fmt::format("group {}: ", index);
        if (!item.is_object()) {
            problem(where + "must be an object");
            return {};
        }
        GroupDefinition group;
        group.id = text(item, "id", limits_.maxNameBytes, where);
        group.prompt = text(item, "prompt", limits_.maxPromptBytes, where);
        group.samples = static_cast<std::uint32_t>(number(item, "samples", 1, limits_.maxSlots, where));
        group.maxTokens = number(item, "max_tokens", 1, limits_.maxTokens, where);
        return group;
    }

    const StepLimits &limits_;
    std::vector<std::string> problems_;
    std::size_t count_ = 0;
};

// Lengths in front of texts keep two definitions from giving the same bytes.
std::string digestOf(const StepDefinition &definition)
{
    std::string bytes;
    const auto add = [&bytes](std::string_view text) { bytes += fmt::format("{}:{}", text.size(), text); };
    add(definition.trainer.str());
    add(definition.step);
    add(definition.route.str());
    add(std::to_string(definition.stalenessBound));
    for (const GroupDefinition &group : definition.groups) {
        add(group.id);
        add(group.prompt);
        add(std::to_string(group.samples));
        add(std::to_string(group.maxTokens));
    }
    return sha256Hex(bytes);
}

} // namespace

const GroupDefinition &StepDefinition::groupOf(SlotNumber slot) const
{
    assert(slot < slotCount);
    const auto next =
        std::upper_bound(groups.begin(), groups.end(), slot,
                         [](SlotNumber at, const GroupDefinition &group) { return at < group.firstSlot; });
    return *std::prev(next);
}

absl::StatusOr<StepDefinition> parseStepDefinition(const TrainerId &trainer, std::string_view step,
                                                   std::string_view body, const StepLimits &limits)
{
    Reader reader(limits);
    StepDefinition definition;
    definition.trainer = trainer;
    definition.step = step;
    if (trainer.empty() || trainer.str().size() > limits.maxNameBytes || step.empty()
        || step.size() > limits.maxNameBytes) {
        reader.problem(fmt::format("trainer and step must be names of 1 to {} bytes", limits.maxNameBytes));
    }
    const auto json = parseJson(body);
    if (!json || !json->is_object()) {
        reader.problem("body must be a JSON object");
        return reader.result();
    }
    definition.route = RouteId(reader.text(*json, "route", limits.maxNameBytes, ""));
    definition.stalenessBound = reader.number(*json, "staleness_bound", 0, UINT32_MAX, "");
    definition.trainerVersion = reader.number(*json, "trainer_version", 0, INT64_MAX, "");
    constexpr std::uint64_t MaxDeadlineMs = 24ULL * 3600 * 1000;
    definition.deadline =
        absl::Milliseconds(static_cast<std::int64_t>(reader.number(*json, "deadline_ms", 1, MaxDeadlineMs, "")));
    reader.groups(*json, definition);
    if (absl::Status status = reader.result(); !status.ok()) {
        return status;
    }
    definition.digest = digestOf(definition);
    return definition;
}

} // namespace currantlug::rollout
