// Formats log lines and writes each with one call, so that lines of several threads do not mix.
#include "telemetry/log.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <atomic>
#include <cstdio>
#include <iterator>
#include <mutex>

namespace currantlug::telemetry {

namespace {

struct Output
{
    std::mutex mutex;
    std::function<void(std::string_view)> sink; ///< Empty: stderr.
    std::function<void(std::string_view, std::string_view)> observer; ///< May be empty.
};

Output &output()
{
    static Output instance;
    return instance;
}

/// True while an observer is set, so that lines below the level cost no lock without one.
std::atomic<bool> &isObserved()
{
    static std::atomic<bool> observed{false};
    return observed;
}

std::atomic<Level> &minimumLevel()
{
    static std::atomic<Level> level{Level::Info};
    return level;
}

bool isControl(char c)
{
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
}

bool needsQuotes(std::string_view value)
{
    if (value.empty()) {
        return true;
    }
    for (const char c : value) {
        if (c == ' ' || c == '"' || c == '=' || c == '\\' || isControl(c)) {
            return true;
        }
    }
    return false;
}

// Control characters are escaped, so that a value sent by a peer cannot forge a log line.
void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (c == '\n') {
            line += "\\n";
        } else if (isControl(c)) {
            fmt::format_to(std::back_inserter(line), "\\x{:02x}", static_cast<unsigned char>(c));
        } else {
            line += c;
        }
    }
    line += '"';
}

} // namespace

Field step(Step value)
{
    return {"step", nameOf(value)};
}

Field peer(std::string_view value)
{
    return {"peer", value};
}

Field requestId(std::string_view value)
{
    return {"request_id", value};
}

Fields errorFields(const absl::Status &status)
{
    const ErrorContext context = errorContext(status);
    return {{"code", absl::StatusCodeToString(status.code())},
            step(context.step),
            peer(context.peer),
            {"outcome", nameOf(context.outcome)},
            {"message", std::string(status.message())}};
}

void setLevel(Level level)
{
    minimumLevel().store(level, std::memory_order_relaxed);
}

bool isEnabled(Level level)
{
    return level >= minimumLevel().load(std::memory_order_relaxed);
}

void setSink(std::function<void(std::string_view)> sink)
{
    const std::lock_guard lock(output().mutex);
    output().sink = std::move(sink);
}

void setEventObserver(std::function<void(std::string_view subsystem, std::string_view event)> observer)
{
    const std::lock_guard lock(output().mutex);
    output().observer = std::move(observer);
    isObserved().store(static_cast<bool>(output().observer), std::memory_order_relaxed);
}

std::string formatLine(Level level, std::string_view subsystem, std::string_view event, const Fields &fields)
{
    std::string line = fmt::format("{} {} {}", nameOf(level), subsystem, event);
    for (const Field &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        if (needsQuotes(field.value)) {
            appendQuoted(line, field.value);
        } else {
            line += field.value;
        }
    }
    return line;
}

void log(Level level, std::string_view subsystem, std::string_view event, const Fields &fields)
{
    if (isObserved().load(std::memory_order_relaxed)) {
        const std::lock_guard lock(output().mutex);
        if (output().observer) {
            output().observer(subsystem, event);
        }
    }
    if (!isEnabled(level)) {
        return;
    }
    const std::string line = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ ", absl::Now(), absl::UTCTimeZone())
        + formatLine(level, subsystem, event, fields) + '\n';
    const std::lock_guard lock(output().mutex);
    if (output().sink) {
        output().sink(line);
    } else {
        std::fwrite(line.data(), 1, line.size(), stderr);
    }
}

} // namespace currantlug::telemetry
