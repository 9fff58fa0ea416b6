// Reads the event stream of one completion: id echo, text, labels, closing event and end marker.
#ifndef CURRANTLUG_ENDPOINTS_COMPLETIONSTREAM_H
#define CURRANTLUG_ENDPOINTS_COMPLETIONSTREAM_H

#include "core/json.h"
#include "endpoints/labelcollector.h"
#include "endpoints/segment.h"
#include "endpoints/sseparser.h"

#include <absl/status/status.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace currantlug::endpoints {

/// A complete answer: the engine sent its closing event and its end marker.
struct EngineAnswer
{
    std::string text; ///< Resumed text included.
    std::vector<Segment> segments; ///< Resumed segments included.
    std::string finishReason;
    std::uint64_t tokens = 0; ///< Resumed tokens included.
    absl::Status labels; ///< OK when the labels are complete and consistent; otherwise the answer is no sample.
};

/// A piece of the stream as it arrives. `text` is valid during the call only.
struct EngineChunk
{
    std::string_view text;
    std::optional<WeightVersion> weightVersion;
};

struct CompletionStreamSettings
{
    std::size_t maxEventBytes = 1 << 20;
    std::size_t maxAnswerBytes = 16 << 20;
};

/// Pure; not thread-safe.
class CompletionStream
{
public:
    /// Takes a chunk; returns false to stop.
    using OnChunk = std::function<bool(const EngineChunk &)>;

    /// `resumed` is the part that an earlier attempt produced; the stream continues it.
    CompletionStream(std::string requestId, PartialAnswer resumed, OnChunk onChunk,
                     CompletionStreamSettings settings = {});

    /// Takes bytes of the body. After an error, also readable as status(), nothing more is taken. Errors: kDataLoss (an
    /// event of another request, or one that cannot be read), kResourceExhausted, kCancelled (stopped by the receiver),
    /// kUnavailable (the engine reported an error).
    absl::Status feed(std::string_view bytes);

    const absl::Status &status() const { return status_; }

    /// True when the closing event and the end marker have arrived without an error.
    bool done() const { return done_ && status_.ok(); }

    /// Events so far, for the idle deadline.
    std::uint64_t events() const { return events_; }

    /// The answer of a stream that is done.
    EngineAnswer answer() const;

    /// The labelled beginning: up to the first chunk without a label, and nothing of this stream after an event of
    /// another request or after labels that contradict the summary.
    PartialAnswer partial() const;

private:
    absl::Status takeEvent(const SseEvent &event);
    absl::Status takeChoice(const Json &choice);
    void takeClosing(const Json &event, const Json &choice);
    absl::Status fault(absl::StatusCode code, std::string_view message) const;

    std::string requestId_;
    PartialAnswer resumed_;
    OnChunk onChunk_;
    CompletionStreamSettings settings_;
    SseParser parser_;
    LabelCollector labels_;
    std::string text_; ///< Of this stream.
    std::size_t labelledBytes_ = 0; ///< Length of the beginning of text_ whose chunks all had labels.
    std::string finishReason_;
    absl::Status status_;
    std::uint64_t events_ = 0;
    bool closed_ = false; ///< The closing event has arrived.
    bool done_ = false;
    bool mismatched_ = false;
};

} // namespace currantlug::endpoints

#endif
