// Number of seeds that a property test runs.
#ifndef CURRANTLUG_TESTS_FAKES_SEEDS_H
#define CURRANTLUG_TESTS_FAKES_SEEDS_H

#include <cstdint>

namespace currantlug::fakes {

/// Returns `seeds` in a plain build. Sanitizer builds look for memory errors and data races and are 15 to 40 times
/// slower, so they run a fifth of the seeds; the plain build of the same CI run covers the rest.
constexpr std::uint64_t seedCount(std::uint64_t seeds)
{
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    return seeds / 5;
#else
    return seeds;
#endif
}

} // namespace currantlug::fakes

#endif
