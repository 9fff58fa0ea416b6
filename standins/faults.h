// Faults that a test asks a stand-in for: each applies to the next requests whose path has a prefix.
#ifndef CURRANTLUG_STANDINS_FAULTS_H
#define CURRANTLUG_STANDINS_FAULTS_H

#include "core/enumnames.h"
#include "core/json.h"

#include <absl/status/statusor.h>
#include <absl/time/time.h>

#include <array>
#include <mutex>
#include <vector>

namespace currantlug::standins {

enum class FaultKind {
    Fail, ///< Answers 503 without effect.
    Hang, ///< Takes the request and sends nothing for `delay` (until the stand-in stops when zero), then closes.
    LoseAnswer, ///< Takes effect, then closes the connection without an answer.
    Lag, ///< Waits `delay` before the effect.
    SwapIds, ///< Engine only: two completions that start within `delay` carry each other's request id.
    FailSwap, ///< Engine only: a weight load answers 500 and keeps the old version.
    Stall, ///< Engine only: a stream goes silent after half its tokens, for `delay` or until it is closed when zero.
    Crash, ///< Engine only: closes all connections without an end; refuses new ones for `delay`.
};

struct Fault
{
    FaultKind kind = FaultKind::Fail;
    std::string pathPrefix = "/";
    int count = 1; ///< How many requests it applies to; negative for all.
    absl::Duration delay = absl::ZeroDuration();
};

/// Reads the body of `POST /faults`: {"kind","path_prefix","count","ms"}. A count of 0 removes faults of the kind.
absl::StatusOr<Fault> parseFault(const Json &body);

/// Thread-safe.
class FaultTable
{
public:
    void add(const Fault &fault);

    /// Takes one use of the oldest fault of this kind that matches the path.
    bool take(FaultKind kind, std::string_view path, Fault &taken);

    void clear();

private:
    std::mutex mutex_;
    std::vector<Fault> faults_;
};

} // namespace currantlug::standins

template<>
struct currantlug::EnumNames<currantlug::standins::FaultKind>
{
    using FaultKind = currantlug::standins::FaultKind;
    static constexpr std::array<std::pair<FaultKind, std::string_view>, 8> Table{{
        {FaultKind::Fail, "fail"},
        {FaultKind::Hang, "hang"},
        {FaultKind::LoseAnswer, "lose_answer"},
        {FaultKind::Lag, "lag"},
        {FaultKind::SwapIds, "swap_ids"},
        {FaultKind::FailSwap, "fail_swap"},
        {FaultKind::Stall, "stall"},
        {FaultKind::Crash, "crash"},
    }};
};

#endif
