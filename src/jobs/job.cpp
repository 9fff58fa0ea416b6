// Conversion of jobs, items and results to and from JSON.
#include "jobs/job.h"

#include "core/hash.h"
#include "core/httpsyntax.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace currantlug::jobs {

namespace {

std::vector<std::uint64_t> parseUnsignedArray(const Json &value)
{
    std::vector<std::uint64_t> numbers;
    if (value.is_array()) {
        for (const Json &entry : value) {
            if (entry.is_number_unsigned()) {
                numbers.push_back(entry.get<std::uint64_t>());
            }
        }
    }
    return numbers;
}

/// Appends a field so that the boundaries of fields can't be moved by their contents.
void appendField(std::string &text, std::string_view field)
{
    absl::StrAppend(&text, field.size(), ":", std::string(field));
}

} // namespace

double expectedWork(const JobSpec &spec)
{
    double work = 0;
    for (const ItemSpec &item : spec.items) {
        work += item.lengthHint > 0 ? item.lengthHint : std::max(1.0, item.tokens);
    }
    return work;
}

std::size_t itemMemory(const JobSpec &spec)
{
    return std::accumulate(spec.items.begin(), spec.items.end(), std::size_t{0},
                           [](std::size_t sum, const ItemSpec &item) {
                               const std::size_t reward = item.reward ? item.reward->body.size() : 0;
                               return sum + sizeof(ItemSpec) + item.body.size() + reward;
                           });
}

JobSpec takeItems(JobSpec &spec)
{
    std::vector<ItemSpec> items = std::exchange(spec.items, {});
    JobSpec taken = spec;
    taken.items = std::move(items);
    return taken;
}

void assignTextKeys(JobSpec &spec)
{
    for (ItemSpec &item : spec.items) {
        std::string text;
        for (const std::string *field : {&spec.workspace, &spec.host, &spec.model, &item.id, &item.path}) {
            appendField(text, *field);
        }
        for (const net::Header &field : item.headers.fields()) {
            appendField(text, field.name);
            appendField(text, field.value);
        }
        text += sha256Hex(item.body); // A body may have megabytes, so it isn't copied.
        item.textKey = sha256Hex(text);
    }
}

std::string_view unsendablePart(const ItemSpec &item)
{
    if (!isFieldValue(item.id)) {
        return "id";
    }
    if (!net::isRequestTarget(item.path)) {
        return "path";
    }
    const auto &fields = item.headers.fields();
    if (!std::all_of(fields.begin(), fields.end(),
                     [](const net::Header &field) { return isToken(field.name) && isFieldValue(field.value); })) {
        return "header field";
    }
    if (item.reward
        && (!isFieldValue(item.reward->id) || !isFieldValue(item.reward->host)
            || !net::isRequestTarget(item.reward->path))) {
        return "reward call";
    }
    return {};
}

std::string scoreKey(const ItemSpec &item)
{
    if (!item.reward) {
        return {};
    }
    std::string text;
    for (const std::string *field : {&item.reward->id, &item.reward->host, &item.reward->path, &item.reward->body}) {
        appendField(text, *field);
    }
    return sha256Hex(text);
}

void ItemText::addVersion(std::uint64_t version)
{
    if (std::find(versions.begin(), versions.end(), version) == versions.end()) {
        versions.push_back(version);
    }
}

std::string ItemText::joinEvents() const
{
    std::string text;
    for (std::size_t i = 0; i < events.size(); ++i) {
        if (i > 0) {
            text += '\n';
        }
        text += events[i];
    }
    return text;
}

Json toJson(const JobRecord &record)
{
    return {{"workspace", record.workspace},
            {"host", record.host},
            {"path", record.path},
            {"owner", record.owner},
            {"incarnation", record.ownerIncarnation},
            {"submission", record.submission},
            {"submitted_ms", record.submittedMs},
            {"parts", record.parts},
            {"total", record.total},
            {"ended", record.ended}};
}

std::optional<JobRecord> parseJobRecord(std::string_view id, const Json &value)
{
    if (!value.is_object() || !value.contains("owner") || !value.contains("total")) {
        return std::nullopt;
    }
    JobRecord record;
    record.id = std::string(id);
    record.workspace = fieldOr<std::string>(value, "workspace", "");
    record.host = fieldOr<std::string>(value, "host", "");
    record.path = fieldOr<std::string>(value, "path", "");
    record.owner = fieldOr<std::string>(value, "owner", "");
    record.ownerIncarnation = fieldOr<std::string>(value, "incarnation", "");
    record.submission = fieldOr<std::string>(value, "submission", "");
    record.submittedMs = fieldOr<std::int64_t>(value, "submitted_ms", 0);
    record.parts = fieldOr<std::uint64_t>(value, "parts", 0);
    record.total = fieldOr<std::uint64_t>(value, "total", 0);
    record.ended = fieldOr<bool>(value, "ended", false);
    return record;
}

namespace {

Json rewardToJson(const RewardSpec &reward)
{
    return {{"id", reward.id}, {"host", reward.host}, {"path", reward.path}, {"body", absl::Base64Escape(reward.body)}};
}

std::optional<RewardSpec> parseReward(const Json &value)
{
    RewardSpec reward;
    reward.id = fieldOr<std::string>(value, "id", "");
    reward.host = fieldOr<std::string>(value, "host", "");
    reward.path = fieldOr<std::string>(value, "path", "");
    if (reward.id.empty() || !absl::Base64Unescape(fieldOr<std::string>(value, "body", ""), &reward.body)) {
        return std::nullopt;
    }
    return reward;
}

} // namespace

Json toJson(const ItemSpec &item)
{
    Json headers = Json::array();
    for (const net::Header &field : item.headers.fields()) {
        headers.push_back({field.name, field.value});
    }
    Json value{{"id", item.id},
               {"path", item.path},
               {"headers", std::move(headers)},
               {"body", absl::Base64Escape(item.body)},
               {"group", item.group},
               {"hint", item.lengthHint},
               {"tokens", item.tokens}};
    if (item.reward) {
        value["reward"] = rewardToJson(*item.reward);
    }
    return value;
}

std::optional<ItemSpec> parseItemSpec(const Json &value)
{
    ItemSpec item;
    item.id = fieldOr<std::string>(value, "id", "");
    item.path = fieldOr<std::string>(value, "path", "");
    item.group = fieldOr<std::string>(value, "group", "");
    item.lengthHint = fieldOr<double>(value, "hint", 0);
    item.tokens = fieldOr<double>(value, "tokens", 0);
    if (item.id.empty() || !absl::Base64Unescape(fieldOr<std::string>(value, "body", ""), &item.body)) {
        return std::nullopt;
    }
    for (const Json &field : fieldOrNull(value, "headers")) {
        if (!field.is_array() || field.size() != 2 || !field[0].is_string() || !field[1].is_string()) {
            return std::nullopt;
        }
        item.headers.add(field[0].get<std::string>(), field[1].get<std::string>());
    }
    if (value.contains("reward")) {
        item.reward = parseReward(value["reward"]);
        if (!item.reward) {
            return std::nullopt;
        }
    }
    return item;
}

Json toJson(const ItemResult &result)
{
    Json value{
        {"id", result.id}, {"state", nameOf(result.state)}, {"text", result.text}, {"versions", result.versions}};
    if (!result.score.empty()) {
        value["score"] = result.score;
    }
    return value;
}

std::optional<ItemResult> parseItemResult(const Json &value)
{
    ItemResult result;
    result.id = fieldOr<std::string>(value, "id", "");
    const auto state = parseEnum<ResultState>(fieldOr<std::string>(value, "state", ""));
    if (result.id.empty() || !state) {
        return std::nullopt;
    }
    result.state = *state;
    result.text = fieldOr<std::string>(value, "text", "");
    result.versions = parseUnsignedArray(fieldOrNull(value, "versions"));
    result.score = fieldOr<std::string>(value, "score", "");
    return result;
}

Json toJson(const ItemText &text)
{
    Json value{{"events", text.events}, {"last", text.lastEventId}, {"versions", text.versions}};
    if (text.complete) {
        value["complete"] = true;
    }
    return value;
}

std::optional<ItemText> parseItemText(const Json &value)
{
    ItemText text;
    text.lastEventId = fieldOr<std::uint64_t>(value, "last", 0);
    text.versions = parseUnsignedArray(fieldOrNull(value, "versions"));
    text.complete = fieldOr<bool>(value, "complete", false);
    for (const Json &event : fieldOrNull(value, "events")) {
        if (!event.is_string()) {
            return std::nullopt;
        }
        text.events.push_back(event.get<std::string>());
    }
    if (text.events.empty() || text.versions.empty()) {
        return std::nullopt;
    }
    return text;
}

Json toJson(const ResultPage &page)
{
    Json results = Json::array();
    for (const ItemResult &result : page.results) {
        results.push_back(toJson(result));
    }
    return {{"total", page.total}, {"next", page.next}, {"results", std::move(results)}};
}

std::optional<ResultPage> parseResultPage(const Json &value)
{
    if (!value.is_object() || !value.contains("next")) {
        return std::nullopt;
    }
    ResultPage page;
    page.total = fieldOr<std::uint64_t>(value, "total", 0);
    page.next = fieldOr<std::uint64_t>(value, "next", 0);
    for (const Json &entry : fieldOrNull(value, "results")) {
        std::optional<ItemResult> result = parseItemResult(entry);
        if (!result) {
            return std::nullopt;
        }
        page.results.push_back(std::move(*result));
    }
    return page;
}

Json jobHeaderToJson(const JobSpec &spec)
{
    return {
        {"model", spec.model}, {"step", spec.step}, {"min_version", spec.minVersion}, {"desired", spec.desiredGroups}};
}

bool readJobPart(const Json &value, JobSpec &spec)
{
    if (!value.is_object() || !value.contains("head") || !value.contains("items")) {
        return false;
    }
    const Json &head = value["head"];
    if (!head.is_object() || !head.contains("model")) {
        return false;
    }
    spec.model = fieldOr<std::string>(head, "model", "");
    spec.step = fieldOr<std::uint64_t>(head, "step", 0);
    spec.minVersion = fieldOr<std::uint64_t>(head, "min_version", 0);
    spec.desiredGroups = fieldOr<std::uint64_t>(head, "desired", 0);
    for (const Json &entry : value["items"]) {
        auto item = parseItemSpec(entry);
        if (!item) {
            return false;
        }
        spec.items.push_back(std::move(*item));
    }
    return true;
}

} // namespace currantlug::jobs
