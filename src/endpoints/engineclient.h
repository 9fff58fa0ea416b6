// Client for model engines: streamed completions with checked labels, and cancelling.
#ifndef CURRANTLUG_ENDPOINTS_ENGINECLIENT_H
#define CURRANTLUG_ENDPOINTS_ENGINECLIENT_H

#include "endpoints/completionstream.h"
#include "endpoints/connectionpool.h"
#include "endpoints/segment.h"

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>

namespace currantlug::endpoints {

struct EngineRequest
{
    std::string address; ///< "host:port" of the engine.
    std::string model;
    std::string prompt;
    std::uint64_t maxTokens = 0; ///< Of the whole answer, resumed tokens included.
    std::optional<std::uint64_t> seed;
    std::string requestId; ///< Unique per attempt; the engine echoes it in every event.
    PartialAnswer resumeFrom; ///< What an earlier attempt produced; sent as resume_text.
    CallDeadlines deadlines;
};

/// Thread-safe. Calls block their thread.
class EngineClient
{
public:
    /// Takes a chunk; returns false to stop the call, which then fails with kCancelled.
    using OnChunk = CompletionStream::OnChunk;

    /// The pool must outlive the client.
    explicit EngineClient(ConnectionPool &pool, CompletionStreamSettings settings = {})
        : pool_(pool)
        , settings_(settings)
    {
    }

    /// Runs a completion. On failure `partial`, where given, holds the labelled beginning that arrived, resumed part
    /// included; after a mismatched answer only the resumed part. Errors: kUnavailable (connection, cut stream, engine
    /// busy or gone), kDeadlineExceeded, kCancelled, kDataLoss (mismatched answer), kResourceExhausted (answer too
    /// long, or the engine refused with 429), kInvalidArgument (refused request), kInternal.
    absl::StatusOr<EngineAnswer> complete(const EngineRequest &request, const OnChunk &onChunk = nullptr,
                                          CancelFlag *cancel = nullptr, PartialAnswer *partial = nullptr);

    /// Asks the engine to stop a request. An engine that does not know the id counts as success.
    absl::Status cancelRequest(std::string_view address, std::string_view requestId);

private:
    absl::StatusOr<EngineAnswer> stream(const EngineRequest &request, std::string body, CompletionStream &stream,
                                        CancelFlag *cancel);

    ConnectionPool &pool_;
    CompletionStreamSettings settings_;
};

} // namespace currantlug::endpoints

#endif
