// Parser of server-sent events that takes the bytes in any split.
#ifndef CURRANTLUG_ENDPOINTS_SSEPARSER_H
#define CURRANTLUG_ENDPOINTS_SSEPARSER_H

#include <absl/status/status.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace currantlug::endpoints {

struct SseEvent
{
    std::string type; ///< The "event" field, empty where there is none.
    std::string data; ///< The "data" fields, joined with line feeds.
};

/// Not thread-safe. Lines end with CR, LF or CR LF.
class SseParser
{
public:
    /// Takes an event; returns false to stop the parsing.
    using Sink = std::function<bool(SseEvent &&)>;

    /// `maxEventBytes` bounds a line and the data of an event.
    explicit SseParser(std::size_t maxEventBytes = 1 << 20)
        : maxEventBytes_(maxEventBytes)
    {
    }

    /// Parses bytes and passes each complete event to the sink. Errors: kResourceExhausted where a line or an event is
    /// too long, kCancelled where the sink stopped. After an error the parser must not be fed again.
    absl::Status feed(std::string_view bytes, const Sink &sink);

    /// True when no part of an event is waiting for its end.
    bool atBoundary() const { return line_.empty() && !hasData_ && event_.type.empty(); }

private:
    absl::Status endLine(const Sink &sink);

    std::size_t maxEventBytes_;
    std::string line_;
    SseEvent event_;
    bool hasData_ = false;
    bool afterCr_ = false; ///< A line feed directly after CR belongs to the same line end.
    bool firstLine_ = true; ///< A byte order mark is allowed only here.
};

} // namespace currantlug::endpoints

#endif
