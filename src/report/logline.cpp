// Splitting of log lines into words and fields.
#include "report/logline.h"

#include <fmt/format.h>

namespace currantlug::report {

namespace {

bool isSpace(char c)
{
    return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

/// Takes the next word off the text; a quoted part belongs to its word.
std::string takeWord(std::string_view &text)
{
    while (!text.empty() && isSpace(text.front())) {
        text.remove_prefix(1);
    }
    std::string word;
    bool quoted = false;
    while (!text.empty() && (quoted || !isSpace(text.front()))) {
        const char c = text.front();
        text.remove_prefix(1);
        if (c == '"') {
            quoted = !quoted;
        } else if (c == '\\' && quoted && !text.empty()) {
            word += text.front();
            text.remove_prefix(1);
        } else {
            word += c;
        }
    }
    return word;
}

std::optional<absl::Time> parseTime(const std::string &word)
{
    absl::Time at;
    std::string error;
    return absl::ParseTime(absl::RFC3339_full, word, &at, &error) ? std::optional(at) : std::nullopt;
}

} // namespace

std::string_view LogLine::field(std::string_view key) const
{
    for (const auto &[name, value] : fields) {
        if (name == key) {
            return value;
        }
    }
    return {};
}

std::string LogLine::fieldText() const
{
    std::string text;
    for (const auto &[name, value] : fields) {
        const std::string_view quote = value.empty() || value.find(' ') != std::string::npos ? "\"" : "";
        text += fmt::format("{}{}={}{}{}", text.empty() ? "" : " ", name, quote, value, quote);
    }
    return text;
}

std::optional<LogLine> parseLogLine(std::string_view text, std::string_view fileName)
{
    // Collectors put a word or two before the time.
    constexpr int MostWordsBefore = 4;
    LogLine line;
    line.source = fileName;
    std::optional<absl::Time> at;
    for (int words = 0; words <= MostWordsBefore && !at && !text.empty(); ++words) {
        const std::string word = takeWord(text);
        at = parseTime(word);
        if (!at && !word.empty()) {
            line.source = word;
        }
    }
    if (!at) {
        return std::nullopt;
    }
    line.at = *at;
    line.level = takeWord(text);
    line.subsystem = takeWord(text);
    line.event = takeWord(text);
    if (line.event.empty()) {
        return std::nullopt;
    }
    while (!text.empty()) {
        const std::string word = takeWord(text);
        const std::size_t equals = word.find('=');
        if (equals != std::string::npos && equals > 0) {
            line.fields.emplace_back(word.substr(0, equals), word.substr(equals + 1));
        }
    }
    return line;
}

} // namespace currantlug::report
