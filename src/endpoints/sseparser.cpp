// Line by line parser of server-sent events.
#include "endpoints/sseparser.h"

#include "core/error.h"

#include <utility>

namespace currantlug::endpoints {

namespace {

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

absl::Status tooLong()
{
    return makeError(absl::StatusCode::kResourceExhausted, Step::ReadAnswer, "", Outcome::MayHaveRun,
                     "event of the stream is too long");
}

} // namespace

absl::Status SseParser::feed(std::string_view bytes, const Sink &sink)
{
    std::size_t at = 0;
    while (at < bytes.size()) {
        if (afterCr_ && bytes[at] == '\n') {
            afterCr_ = false;
            ++at;
            continue;
        }
        afterCr_ = false;
        const std::size_t end = bytes.find_first_of("\r\n", at);
        const std::string_view piece = bytes.substr(at, end == std::string_view::npos ? end : end - at);
        if (line_.size() + piece.size() > maxEventBytes_) {
            return tooLong();
        }
        line_.append(piece);
        if (end == std::string_view::npos) {
            return absl::OkStatus();
        }
        afterCr_ = bytes[end] == '\r';
        at = end + 1;
        if (absl::Status status = endLine(sink); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status SseParser::endLine(const Sink &sink)
{
    std::string line = std::exchange(line_, {});
    if (std::exchange(firstLine_, false) && line.starts_with(ByteOrderMark)) {
        line.erase(0, ByteOrderMark.size());
    }
    if (line.empty()) {
        SseEvent event = std::exchange(event_, {});
        // An event without data is not dispatched; engines use such events to keep connections open.
        if (std::exchange(hasData_, false) && !sink(std::move(event))) {
            return absl::CancelledError("stopped by the receiver");
        }
        return absl::OkStatus();
    }
    const std::size_t colon = line.find(':');
    const std::string_view field = std::string_view(line).substr(0, colon);
    std::string_view value = colon == std::string::npos ? std::string_view() : std::string_view(line).substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (field == "data") {
        if (event_.data.size() + value.size() + 1 > maxEventBytes_) {
            return tooLong();
        }
        if (std::exchange(hasData_, true)) {
            event_.data += '\n';
        }
        event_.data += value;
    } else if (field == "event") {
        event_.type = value;
    }
    return absl::OkStatus();
}

} // namespace currantlug::endpoints
