// Buffering and writing of log lines.
#include "telemetry/logbuffer.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace currantlug::telemetry {

LogBuffer::LogBuffer(int descriptor, std::size_t maxBytes)
    : descriptor_(descriptor)
    , maxBytes_(maxBytes)
{
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

void LogBuffer::add(std::string_view line)
{
    if (pending_.size() + line.size() > maxBytes_) {
        ++dropped_;
        ++droppedInAll_;
        return;
    }
    pending_ += line;
}

void LogBuffer::flush()
{
    if (dropped_ > 0 && pending_.size() < maxBytes_) {
        pending_ += fmt::format("warning log dropped lines={}\n", dropped_);
        dropped_ = 0;
    }
    while (!pending_.empty()) {
        const ssize_t written = ::write(descriptor_, pending_.data(), pending_.size());
        if (written <= 0) {
            return;
        }
        pending_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace currantlug::telemetry
