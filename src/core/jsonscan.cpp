// Scanning of JSON by its quotation marks and brackets.
#include "core/jsonscan.h"

#include <algorithm>
#include <cstring>
#include <string>
#include <utility>

namespace currantlug {

namespace {

constexpr std::string_view Space = " \t\r\n";
constexpr std::string_view ScalarEnd = ",]} \t\r\n";

/// The bytes with which an element begins, up to the end of its first name; empty if it isn't an object.
std::string_view elementPrefix(std::string_view element)
{
    if (element.empty() || element.front() != '{') {
        return {};
    }
    const std::size_t quote = element.find_first_not_of(Space, 1);
    if (quote == std::string_view::npos || element[quote] != '"') {
        return {};
    }
    const auto end = detail::jsonStringEnd(element, quote);
    return end ? element.substr(0, *end) : std::string_view();
}

/// True if an element with this prefix begins at `at`, after a comma behind `from`.
bool isElementStart(std::string_view text, std::size_t from, std::size_t at, std::string_view prefix)
{
    if (prefix.empty() || at <= from + 1 || text.compare(at, prefix.size(), prefix) != 0) {
        return false;
    }
    const std::size_t before = text.find_last_not_of(Space, at - 1);
    return before != std::string_view::npos && before > from && text[before] == ',';
}

/// Returns the position of the comma before the next element with this prefix.
std::optional<std::size_t> findElement(std::string_view text, std::size_t from, std::string_view prefix)
{
    if (prefix.empty()) {
        return std::nullopt;
    }
    for (std::size_t at = text.find(prefix, from); at != std::string_view::npos; at = text.find(prefix, at + 1)) {
        if (isElementStart(text, from, at, prefix)) {
            return text.find_last_not_of(Space, at - 1);
        }
    }
    return std::nullopt;
}

/// Returns the position after the value that begins at `from`; nullopt if it is unterminated, closed by another bracket
/// than it was opened with, or runs into an element with this prefix. JSON has such a prefix within a value only as an
/// element of an array, and never within a string, since its quotation mark would end the string.
std::optional<std::size_t> valueEnd(std::string_view text, std::size_t from, std::string_view prefix = {})
{
    const std::size_t quoteOffset = prefix.find('"');
    std::string open; // The closing brackets that are due, innermost last.
    for (std::size_t at = from; at < text.size();) {
        const char c = text[at];
        if (c == '"') {
            const auto end = detail::jsonStringEnd(text, at);
            if (!end || open.empty()) {
                return end;
            }
            const std::size_t quote = *end - 1;
            if (!prefix.empty() && quote - at > quoteOffset && isElementStart(text, at, quote - quoteOffset, prefix)) {
                return std::nullopt;
            }
            at = *end;
            continue;
        }
        if (c == '[' || c == '{') {
            if (!open.empty() && open.back() != ']' && isElementStart(text, from, at, prefix)) {
                return std::nullopt;
            }
            open.push_back(c == '[' ? ']' : '}');
        } else if (open.empty()) {
            return std::min(text.find_first_of(ScalarEnd, at), text.size());
        } else if (c == ']' || c == '}') {
            if (open.back() != c) {
                return std::nullopt;
            }
            open.pop_back();
            if (open.empty()) {
                return at + 1;
            }
        }
        ++at;
    }
    return std::nullopt;
}

} // namespace

std::optional<std::size_t> detail::jsonStringEnd(std::string_view text, std::size_t from)
{
    std::size_t at = from + 1;
    while (at < text.size()) {
        const void *found = std::memchr(text.data() + at, '"', text.size() - at);
        if (found == nullptr) {
            break;
        }
        const auto quote = static_cast<std::size_t>(static_cast<const char *>(found) - text.data());
        std::size_t backslashes = 0;
        while (quote - backslashes > at && text[quote - backslashes - 1] == '\\') {
            ++backslashes;
        }
        at = quote + 1;
        if (backslashes % 2 == 0) {
            return at;
        }
    }
    return std::nullopt;
}

JsonScanner::JsonScanner(std::string_view text)
    : text_(text)
{
    if (skipSpace() == '{') {
        ++position_;
    } else {
        fail();
    }
}

char JsonScanner::skipSpace()
{
    position_ = std::min(text_.find_first_not_of(Space, position_), text_.size());
    return position_ < text_.size() ? text_[position_] : '\0';
}

std::optional<std::string_view> JsonScanner::nextName()
{
    char c = skipSpace();
    if (c == '}') {
        ++position_;
        skipSpace();
        complete_ = position_ == text_.size();
        fail();
        return std::nullopt;
    }
    if (!std::exchange(first_, false)) {
        if (c != ',') {
            fail();
            return std::nullopt;
        }
        ++position_;
        c = skipSpace();
    }
    const auto end = c == '"' ? detail::jsonStringEnd(text_, position_) : std::nullopt;
    if (!end) {
        fail();
        return std::nullopt;
    }
    const std::string_view name = text_.substr(position_ + 1, *end - position_ - 2);
    position_ = *end;
    if (skipSpace() != ':') {
        fail();
        return std::nullopt;
    }
    ++position_;
    skipSpace();
    return name;
}

std::string_view JsonScanner::readValue()
{
    const std::size_t from = position_;
    position_ = valueEnd(text_, from).value_or(text_.size());
    return text_.substr(from, position_ - from);
}

std::optional<std::vector<std::string_view>> JsonScanner::readElements(std::size_t maxElements)
{
    if (skipSpace() != '[') {
        fail();
        return std::nullopt;
    }
    ++position_;
    std::vector<std::string_view> elements;
    if (skipSpace() == ']') {
        ++position_;
        return elements;
    }
    const std::string_view prefix = elementPrefix(text_.substr(position_));
    while (true) {
        skipSpace();
        const std::size_t from = position_;
        const auto end = valueEnd(text_, from, prefix);
        position_ = end.value_or(text_.size());
        char separator = skipSpace();
        std::size_t bound = end.value_or(from);
        if (!end || (separator != ',' && separator != ']')) {
            if (const auto comma = findElement(text_, from, prefix)) {
                bound = *comma;
            } else if (const std::size_t last = text_.rfind(']'); last != std::string_view::npos && last > from) {
                bound = last;
                guessedEnd_ = true;
            } else {
                fail();
                return std::nullopt;
            }
            position_ = bound;
            separator = text_[bound];
        }
        if (elements.size() == maxElements) {
            fail();
            return std::nullopt;
        }
        elements.push_back(text_.substr(from, bound - from));
        ++position_;
        if (separator == ']') {
            return elements;
        }
    }
}

std::string_view jsonMember(std::string_view object, std::string_view name)
{
    JsonScanner scanner(object);
    while (const auto found = scanner.nextName()) {
        const std::string_view value = scanner.readValue();
        if (*found == name) {
            return value;
        }
    }
    return {};
}

} // namespace currantlug
