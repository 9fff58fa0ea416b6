// A structured log line, read back.
#ifndef CURRANTLUG_REPORT_LOGLINE_H
#define CURRANTLUG_REPORT_LOGLINE_H

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace currantlug::report {

struct LogLine
{
    absl::Time at; ///< By the clock of the machine that wrote it.
    std::string source; ///< The process: a word before the time (log collectors add one), else the file's name.
    std::string level;
    std::string subsystem;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    /// The field's value; empty if the line has no such field.
    std::string_view field(std::string_view key) const;
    /// "key=value" for each field.
    std::string fieldText() const;
};

/// Reads `time level subsystem event key=value...` as telemetry::log() writes it, with or without words before the
/// time. Nothing for a line of another form.
std::optional<LogLine> parseLogLine(std::string_view text, std::string_view fileName);

} // namespace currantlug::report

#endif
