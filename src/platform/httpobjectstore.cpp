#include "platform/httpobjectstore.h"

#include "core/json.h"

#include <fmt/format.h>

#include <optional>

namespace currantlug::platform {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusGone = 410;
constexpr int StatusMismatch = 412;

std::string objectTarget(std::string_view key)
{
    return "/v1/objects/" + percentEncode(key, true);
}

std::optional<StoredObject> readObject(const Json &json)
{
    StoredObject object{fieldOr<std::string>(json, "key", ""), fieldOr<std::uint64_t>(json, "version", 0),
                        fieldOr<std::string>(json, "value", "")};
    if (object.key.empty() || object.version == 0) {
        return std::nullopt;
    }
    return object;
}

/// The object in a 200 answer, where it has the key that was asked for.
std::optional<StoredObject> objectFor(const HttpAnswer &answer, std::string_view key)
{
    const std::optional<Json> json = parseJson(answer.body);
    std::optional<StoredObject> object = json ? readObject(*json) : std::nullopt;
    return object && object->key == key ? object : std::nullopt;
}

HttpClient::AnswerCheck belongsTo(std::string_view key)
{
    return [key](const HttpAnswer &answer) { return answer.status != StatusOk || objectFor(answer, key); };
}

/// The JSON object of a 200 answer, with its revision and an array of this name.
std::optional<Json> collectionOf(const HttpAnswer &answer, const char *array)
{
    std::optional<Json> json = parseJson(answer.body);
    if (!json || !json->is_object() || !json->contains("revision") || !(*json)["revision"].is_number_unsigned()
        || !json->contains(array) || !(*json)[array].is_array()) {
        return std::nullopt;
    }
    return json;
}

absl::Status storeError(const HttpAnswer &answer, const std::string &peer, std::string_view what)
{
    const std::string message = fmt::format("{}: status {}", what, answer.status);
    switch (answer.status) {
    case StatusNotFound:
        return makeError(absl::StatusCode::kNotFound, Step::Store, peer, Outcome::Ran, message);
    case StatusMismatch:
        return makeError(absl::StatusCode::kAborted, Step::Store, peer, Outcome::Ran, message);
    case StatusGone:
        return makeError(absl::StatusCode::kOutOfRange, Step::Store, peer, Outcome::Ran, message);
    case 400:
    case 413:
    case 428:
        return makeError(absl::StatusCode::kInvalidArgument, Step::Store, peer, Outcome::Ran, message);
    default:
        return makeError(absl::StatusCode::kUnavailable, Step::Store, peer, Outcome::MayHaveRun, message);
    }
}

absl::Status malformed(const std::string &peer, std::string_view what)
{
    return makeError(absl::StatusCode::kUnavailable, Step::Store, peer, Outcome::MayHaveRun,
                     fmt::format("{}: malformed answer", what));
}

} // namespace

HttpObjectStore::HttpObjectStore(HttpObjectStoreSettings settings)
    : http_(std::move(settings))
{
}

absl::StatusOr<StoredObject> HttpObjectStore::get(std::string_view key)
{
    const absl::StatusOr<HttpAnswer> answer =
        http_.call({.method = "GET", .target = objectTarget(key)}, Step::Store, belongsTo(key));
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status != StatusOk) {
        return storeError(*answer, http_.peer(), key);
    }
    return *objectFor(*answer, key);
}

absl::StatusOr<std::uint64_t> HttpObjectStore::putIf(std::string_view key, std::uint64_t expectedVersion,
                                                     std::string value)
{
    HttpCall call{.method = "PUT", .target = objectTarget(key)};
    if (expectedVersion == CreateOnly) {
        call.headers.emplace_back("If-None-Match", "*");
    } else {
        call.headers.emplace_back("If-Match", fmt::format("\"{}\"", expectedVersion));
    }
    call.body = Json{{"key", key}, {"version", expectedVersion}, {"value", std::move(value)}}.dump(
        -1, ' ', false, Json::error_handler_t::replace);
    const absl::StatusOr<HttpAnswer> answer = http_.call(call, Step::Store, belongsTo(key));
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status != StatusOk) {
        return storeError(*answer, http_.peer(), key);
    }
    return objectFor(*answer, key)->version;
}

absl::Status HttpObjectStore::removeIf(std::string_view key, std::uint64_t version)
{
    const absl::StatusOr<HttpAnswer> answer = http_.call(
        {.method = "DELETE", .target = objectTarget(key), .headers = {{"If-Match", fmt::format("\"{}\"", version)}}},
        Step::Store);
    if (!answer.ok()) {
        return answer.status();
    }
    return answer->status == StatusOk ? absl::OkStatus() : storeError(*answer, http_.peer(), key);
}

absl::StatusOr<ObjectList> HttpObjectStore::list(std::string_view prefix)
{
    const auto check = [](const HttpAnswer &answer) {
        return answer.status != StatusOk || collectionOf(answer, "objects");
    };
    const absl::StatusOr<HttpAnswer> answer = http_.call(
        {.method = "GET", .target = "/v1/objects?prefix=" + percentEncode(prefix, false)}, Step::Store, check);
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status != StatusOk) {
        return storeError(*answer, http_.peer(), prefix);
    }
    const Json json = *collectionOf(*answer, "objects");
    ObjectList result{json["revision"].get<std::uint64_t>(), {}};
    for (const Json &entry : json["objects"]) {
        std::optional<StoredObject> object = readObject(entry);
        if (!object) {
            return malformed(http_.peer(), prefix);
        }
        result.objects.push_back(std::move(*object));
    }
    return result;
}

absl::StatusOr<WatchBatch> HttpObjectStore::watch(std::string_view prefix, std::uint64_t afterRevision,
                                                  absl::Duration maxWait)
{
    const auto check = [](const HttpAnswer &answer) {
        return answer.status != StatusOk || collectionOf(answer, "events");
    };
    const std::string target = fmt::format("/v1/watch?prefix={}&after={}&wait_ms={}", percentEncode(prefix, false),
                                           afterRevision, absl::ToInt64Milliseconds(maxWait));
    const absl::StatusOr<HttpAnswer> answer =
        http_.call({.method = "GET", .target = target, .extraTime = maxWait}, Step::Store, check);
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status != StatusOk) {
        return storeError(*answer, http_.peer(), prefix);
    }
    const Json json = *collectionOf(*answer, "events");
    WatchBatch batch{json["revision"].get<std::uint64_t>(), {}};
    for (const Json &entry : json["events"]) {
        std::optional<StoredObject> object = readObject(entry);
        if (!object) {
            return malformed(http_.peer(), prefix);
        }
        batch.events.push_back({std::move(*object), fieldOr<bool>(entry, "deleted", false)});
    }
    return batch;
}

} // namespace currantlug::platform
