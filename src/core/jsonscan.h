// Splitting of JSON text into members and elements without decoding them, so that one part that can't be decoded
// doesn't take the others with it.
#ifndef CURRANTLUG_CORE_JSONSCAN_H
#define CURRANTLUG_CORE_JSONSCAN_H

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace currantlug {

namespace detail {

/// The position after the string whose opening quotation mark is at `from`; nullopt if it isn't closed.
std::optional<std::size_t> jsonStringEnd(std::string_view text, std::size_t from);

} // namespace detail

/// Walks through the members of one object. Parts are bounded by quotation marks and brackets alone; what they hold
/// need not be JSON. Never recurses. The text must outlive the scanner and its results.
class JsonScanner
{
public:
    /// Starts before the first member. A text that isn't an object has none and is not complete.
    explicit JsonScanner(std::string_view text);

    /// The next member's name as it is written, without quotation marks; nullopt after the last one, and where the text
    /// isn't an object. Its value must be read before the next call.
    std::optional<std::string_view> nextName();
    /// The value's text, or the rest of the text if the value isn't closed.
    std::string_view readValue();
    /// The texts of the array's elements; nullopt if the value isn't an array that ends within the text, or has more
    /// than `maxElements` elements. The time is linear in the length of the text.
    ///
    /// An unterminated element ends before the next element, which is known by its prefix: it begins like the first
    /// one, up to its first name. The last one ends at the last closing bracket of the text. A text that was cut may
    /// look the same: see guessedEnd().
    std::optional<std::vector<std::string_view>> readElements(std::size_t maxElements);

    /// True once the object was closed and nothing follows it.
    bool complete() const { return complete_; }
    /// True if the end of an array was taken from the last closing bracket of the text.
    bool guessedEnd() const { return guessedEnd_; }

private:
    char skipSpace();
    void fail() { position_ = text_.size(); }

    std::string_view text_;
    std::size_t position_ = 0;
    bool first_ = true; ///< No member was read yet.
    bool complete_ = false;
    bool guessedEnd_ = false;
};

/// The value of an object's first member of this name, or the rest of the text if the value isn't closed; empty if
/// there is no such member before the first part that can't be scanned.
std::string_view jsonMember(std::string_view object, std::string_view name);

} // namespace currantlug

#endif
