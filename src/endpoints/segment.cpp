// Arithmetic on segments.
#include "endpoints/segment.h"

#include <algorithm>

namespace currantlug::endpoints {

void appendTokens(std::vector<Segment> &segments, WeightVersion version, std::uint64_t tokens)
{
    if (tokens == 0) {
        return;
    }
    if (!segments.empty() && segments.back().weightVersion == version) {
        segments.back().tokens += tokens;
        return;
    }
    segments.push_back({version, tokens});
}

std::uint64_t countTokens(const std::vector<Segment> &segments)
{
    std::uint64_t tokens = 0;
    for (const Segment &segment : segments) {
        tokens += segment.tokens;
    }
    return tokens;
}

WeightVersion oldestVersion(const std::vector<Segment> &segments)
{
    const auto oldest = std::min_element(segments.begin(), segments.end(), [](const Segment &a, const Segment &b) {
        return a.weightVersion < b.weightVersion;
    });
    return oldest == segments.end() ? 0 : oldest->weightVersion;
}

} // namespace currantlug::endpoints
