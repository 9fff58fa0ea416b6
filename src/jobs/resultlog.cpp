// Appending of segments and division of results into pages.
#include "jobs/resultlog.h"

#include <fmt/format.h>

namespace currantlug::jobs {

namespace {

// Estimated bytes of an encoded result besides its text: id, state, versions and the escape characters of a typical
// text.
constexpr std::size_t ResultOverheadBytes = 256;
// Names of fields, punctuation and state of an encoded result.
constexpr std::size_t ResultFieldBytes = 80;
constexpr std::size_t MaxNumberBytes = 21; // Of a 64-bit number, with its separator.

/// Bytes of the JSON string, without its quotation marks.
std::size_t encodedSize(std::string_view text)
{
    constexpr std::size_t ControlEscapeBytes = 6; // Of \u001f; line breaks and tabs take less.
    std::size_t bytes = 0;
    for (const char c : text) {
        const bool isControl = static_cast<unsigned char>(c) < 0x20;
        bytes += isControl ? ControlEscapeBytes : c == '"' || c == '\\' ? 2 : 1;
    }
    return bytes;
}

} // namespace

std::size_t encodedSize(const ItemResult &result)
{
    return ResultFieldBytes + encodedSize(result.id) + encodedSize(result.text) + encodedSize(result.score)
        + result.versions.size() * MaxNumberBytes;
}

Json toJson(const Segment &segment)
{
    Json results = Json::array();
    for (const ItemResult &result : segment.results) {
        results.push_back(toJson(result));
    }
    return {{"nonce", segment.nonce}, {"results", std::move(results)}};
}

std::optional<Segment> parseSegment(std::uint64_t number, const Json &value)
{
    if (!value.is_object() || !value.contains("results")) {
        return std::nullopt;
    }
    Segment segment;
    segment.number = number;
    segment.nonce = fieldOr<std::string>(value, "nonce", "");
    for (const Json &entry : value["results"]) {
        std::optional<ItemResult> result = parseItemResult(entry);
        if (!result) {
            return std::nullopt;
        }
        segment.results.push_back(std::move(*result));
    }
    return segment;
}

std::string segmentName(std::uint64_t number)
{
    return fmt::format("{:06}", number);
}

bool ResultLog::append(const Segment &segment)
{
    if (segment.number != nextSegment_) {
        return false;
    }
    ++nextSegment_;
    for (const ItemResult &result : segment.results) {
        // All readers skip repeated items in the same way, so the positions agree on all nodes.
        if (itemIds_.insert(result.id).second) {
            results_.push_back(result);
        }
    }
    return true;
}

ResultPage ResultLog::page(std::uint64_t after, std::uint64_t total, std::size_t maxBytes) const
{
    ResultPage page;
    page.total = total;
    page.next = after;
    std::size_t bytes = 0;
    for (std::uint64_t position = after; position < results_.size(); ++position) {
        bytes += results_[position].text.size() + ResultOverheadBytes;
        if (!page.results.empty() && bytes > maxBytes) {
            break;
        }
        page.results.push_back(results_[position]);
        page.next = position + 1;
    }
    return page;
}

} // namespace currantlug::jobs
