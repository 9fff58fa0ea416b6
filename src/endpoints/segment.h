// Weight versions and the parts of an answer that each of them produced.
#ifndef CURRANTLUG_ENDPOINTS_SEGMENT_H
#define CURRANTLUG_ENDPOINTS_SEGMENT_H

#include <cstdint>
#include <string>
#include <vector>

namespace currantlug::endpoints {

/// Number of a weight version, as the engine states it. A higher number is newer.
using WeightVersion = std::uint64_t;

/// A run of consecutive tokens produced by one weight version.
struct Segment
{
    WeightVersion weightVersion = 0;
    std::uint64_t tokens = 0;

    friend bool operator==(const Segment &, const Segment &) = default;
};

/// Adds tokens at the end, extending the last segment where the version is the same. No tokens add nothing.
void appendTokens(std::vector<Segment> &segments, WeightVersion version, std::uint64_t tokens);

/// All tokens of the segments.
std::uint64_t countTokens(const std::vector<Segment> &segments);

/// The lowest version among the segments, 0 where there is none.
WeightVersion oldestVersion(const std::vector<Segment> &segments);

/// The labelled beginning of an answer whose rest has not arrived. Repeatable work resumes from it elsewhere.
/// Invariant: every token of `text` is counted in `segments`.
struct PartialAnswer
{
    std::string text;
    std::vector<Segment> segments;

    bool empty() const { return text.empty() && segments.empty(); }
};

} // namespace currantlug::endpoints

#endif
