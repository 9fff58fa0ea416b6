// Bounded buffer between the log and a descriptor. Logging never blocks and never grows without bound: lines that don't
// fit are counted, and the count is a line of its own.
#ifndef CURRANTLUG_TELEMETRY_LOGBUFFER_H
#define CURRANTLUG_TELEMETRY_LOGBUFFER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace currantlug::telemetry {

/// Not thread-safe.
class LogBuffer
{
public:
    /// Sets the descriptor to non-blocking.
    explicit LogBuffer(int descriptor, std::size_t maxBytes = 262'144);

    void add(std::string_view line);
    /// Writes as much as the descriptor takes at present.
    void flush();

    std::uint64_t dropped() const { return dropped_; }
    std::uint64_t droppedInAll() const { return droppedInAll_; }
    std::size_t waiting() const { return pending_.size(); }

private:
    int descriptor_;
    std::size_t maxBytes_;
    std::string pending_;
    std::uint64_t dropped_ = 0; ///< Since the last line that told so.
    std::uint64_t droppedInAll_ = 0;
};

} // namespace currantlug::telemetry

#endif
