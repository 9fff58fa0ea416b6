// Structured log lines on stderr: `time level subsystem event key=value...`.
#ifndef CURRANTLUG_TELEMETRY_LOG_H
#define CURRANTLUG_TELEMETRY_LOG_H

#include "core/enumnames.h"
#include "core/error.h"

#include <absl/status/status.h>
#include <fmt/format.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::telemetry {

enum class Level { Debug, Info, Warning, Error };

} // namespace currantlug::telemetry

template<>
struct currantlug::EnumNames<currantlug::telemetry::Level>
{
    using Level = currantlug::telemetry::Level;
    static constexpr std::array<std::pair<Level, std::string_view>, 4> Table{{
        {Level::Debug, "debug"},
        {Level::Info, "info"},
        {Level::Warning, "warning"},
        {Level::Error, "error"},
    }};
};

namespace currantlug::telemetry {

/// One key=value pair. Values are formatted by fmt and quoted where they hold spaces, quotes, '=' or control
/// characters.
struct Field
{
    template<class T>
    Field(std::string_view fieldKey, const T &fieldValue)
        : key(fieldKey)
        , value(fmt::format("{}", fieldValue))
    {
    }

    std::string key;
    std::string value;
};

using Fields = std::vector<Field>;

/// Standard fields, so that all subsystems use the same keys.
Field step(Step value);
Field peer(std::string_view value);
Field requestId(std::string_view value);

/// Fields code, step, peer, outcome and message of an error.
Fields errorFields(const absl::Status &status);

/// Lines below this level are dropped. Info until set.
void setLevel(Level level);
bool isEnabled(Level level);

/// Replaces stderr as the receiver of finished lines (each with its newline); an empty function restores stderr.
void setSink(std::function<void(std::string_view)> sink);

/// Called for each line, those below the level included; an empty function removes it. Subsystem and event are fixed
/// texts of the code, so counts by them are bounded.
void setEventObserver(std::function<void(std::string_view subsystem, std::string_view event)> observer);

/// Writes one line. Thread-safe; lines of several threads do not mix.
void log(Level level, std::string_view subsystem, std::string_view event, const Fields &fields = {});

/// The line without its time: what log() writes after the time and a space.
std::string formatLine(Level level, std::string_view subsystem, std::string_view event, const Fields &fields);

} // namespace currantlug::telemetry

#endif
