// Hands the text of a running completion from its thread to the connection that streams it to the caller.
#ifndef CURRANTLUG_SERVER_TEXTCHANNEL_H
#define CURRANTLUG_SERVER_TEXTCHANNEL_H

#include "services/completionservice.h"

#include <absl/status/statusor.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>

namespace currantlug::server {

/// One writer and one reader. Text is bounded: a caller that reads slowly makes the writer wait, and a writer that has
/// waited for too long gives the caller up.
class TextChannel
{
public:
    using Result = absl::StatusOr<services::CompletionResult>;

    /// Adds text; false when the reader is gone or too slow.
    bool write(std::string_view text);

    /// Ends the stream with the result.
    void finish(Result result);

    /// Waits for text or the end, and takes the text. An empty string means that the result is there.
    std::string read();

    /// Waits until there is text or a result.
    void waitForFirst();

    /// The result if the stream ended, without waiting.
    std::optional<Result> result() const;

    /// The reader is gone.
    void abandon();

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::string text_;
    std::optional<Result> result_;
    bool abandoned_ = false;
};

} // namespace currantlug::server

#endif
