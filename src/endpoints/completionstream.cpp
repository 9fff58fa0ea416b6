// State of one streamed completion.
#include "endpoints/completionstream.h"

#include "core/error.h"

#include <fmt/format.h>

namespace currantlug::endpoints {

namespace {

constexpr std::string_view EndMarker = "[DONE]";

std::optional<std::uint64_t> unsignedField(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

// nullopt where the summary is missing or any part of it cannot be read.
std::optional<std::vector<Segment>> readSegments(const Json &event)
{
    const auto found = event.find("segments");
    if (found == event.end() || !found->is_array()) {
        return std::nullopt;
    }
    std::vector<Segment> segments;
    for (const Json &item : *found) {
        const auto version = item.is_object() ? unsignedField(item, "weight_version") : std::nullopt;
        const auto tokens = item.is_object() ? unsignedField(item, "tokens") : std::nullopt;
        if (!version || !tokens) {
            return std::nullopt;
        }
        segments.push_back({*version, *tokens});
    }
    return segments;
}

} // namespace

CompletionStream::CompletionStream(std::string requestId, PartialAnswer resumed, OnChunk onChunk,
                                   CompletionStreamSettings settings)
    : requestId_(std::move(requestId))
    , resumed_(std::move(resumed))
    , onChunk_(std::move(onChunk))
    , settings_(settings)
    , parser_(settings.maxEventBytes)
{
}

absl::Status CompletionStream::fault(absl::StatusCode code, std::string_view message) const
{
    return makeError(code, Step::ReadAnswer, "", Outcome::MayHaveRun, message);
}

absl::Status CompletionStream::feed(std::string_view bytes)
{
    if (!status_.ok()) {
        return status_;
    }
    const absl::Status parsed = parser_.feed(bytes, [this](SseEvent &&event) {
        ++events_;
        status_ = takeEvent(event);
        return status_.ok();
    });
    if (status_.ok() && !parsed.ok()) {
        status_ = parsed;
    }
    return status_;
}

absl::Status CompletionStream::takeEvent(const SseEvent &event)
{
    if (done_) {
        return fault(absl::StatusCode::kDataLoss, "event after the end marker");
    }
    if (event.data == EndMarker) {
        if (!closed_) {
            return fault(absl::StatusCode::kDataLoss, "end marker before the closing event");
        }
        done_ = true;
        return absl::OkStatus();
    }
    const auto json = parseJson(event.data);
    if (!json || !json->is_object()) {
        return fault(absl::StatusCode::kDataLoss, "event is not a JSON object");
    }
    if (fieldOr<std::string>(*json, "id", "") != requestId_) {
        mismatched_ = true;
        return fault(absl::StatusCode::kDataLoss, "event carries the id of another request");
    }
    if (const auto error = json->find("error"); error != json->end()) {
        return fault(absl::StatusCode::kUnavailable,
                     fmt::format("engine reported: {}", fieldOr<std::string>(*error, "message", "no message")));
    }
    const auto choices = json->find("choices");
    if (closed_ || choices == json->end() || !choices->is_array() || choices->size() != 1
        || !(*choices)[0].is_object()) {
        return fault(absl::StatusCode::kDataLoss, closed_ ? "event after the closing event" : "event without a choice");
    }
    const Json &choice = (*choices)[0];
    if (absl::Status status = takeChoice(choice); !status.ok()) {
        return status;
    }
    takeClosing(*json, choice);
    return absl::OkStatus();
}

absl::Status CompletionStream::takeChoice(const Json &choice)
{
    const std::string text = fieldOr<std::string>(choice, "text", "");
    const bool closing = choice.contains("finish_reason") && choice["finish_reason"].is_string();
    if (closing && text.empty()) {
        return absl::OkStatus();
    }
    if (resumed_.text.size() + text_.size() + text.size() > settings_.maxAnswerBytes) {
        return fault(absl::StatusCode::kResourceExhausted, "answer is too long");
    }
    const auto label = unsignedField(choice, "weight_version");
    labels_.addChunk(label, unsignedField(choice, "tokens").value_or(1));
    text_ += text;
    if (labels_.labelled()) {
        labelledBytes_ = text_.size();
    }
    if (onChunk_ && !onChunk_({text, label})) {
        return fault(absl::StatusCode::kCancelled, "stopped by the receiver");
    }
    return absl::OkStatus();
}

void CompletionStream::takeClosing(const Json &event, const Json &choice)
{
    const auto reason = choice.find("finish_reason");
    if (reason == choice.end() || !reason->is_string()) {
        return;
    }
    finishReason_ = reason->get<std::string>();
    const auto usage = event.find("usage");
    labels_.finish(readSegments(event),
                   usage != event.end() && usage->is_object() ? unsignedField(*usage, "completion_tokens")
                                                              : std::nullopt);
    closed_ = true;
}

EngineAnswer CompletionStream::answer() const
{
    EngineAnswer answer;
    answer.text = resumed_.text + text_;
    answer.segments = resumed_.segments;
    for (const Segment &segment : labels_.segments()) {
        appendTokens(answer.segments, segment.weightVersion, segment.tokens);
    }
    answer.finishReason = finishReason_;
    answer.tokens = countTokens(answer.segments);
    answer.labels = labels_.check();
    return answer;
}

PartialAnswer CompletionStream::partial() const
{
    PartialAnswer partial = resumed_;
    if (mismatched_ || (closed_ && !labels_.check().ok())) {
        return partial;
    }
    partial.text += std::string_view(text_).substr(0, labelledBytes_);
    for (const Segment &segment : labels_.segments()) {
        appendTokens(partial.segments, segment.weightVersion, segment.tokens);
    }
    return partial;
}

} // namespace currantlug::endpoints
