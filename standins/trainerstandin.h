// Stand-in for a trainer (design section 5.3): runs steps against the daemons and checks what it was given against the
// engines' audits.
#ifndef CURRANTLUG_STANDINS_TRAINERSTANDIN_H
#define CURRANTLUG_STANDINS_TRAINERSTANDIN_H

#include "core/instant.h"
#include "core/json.h"
#include "standins/daemonlist.h"
#include "standins/sampleaudit.h"

#include <absl/status/status.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace currantlug::standins {

struct TrainerSettings
{
    std::string trainer = "trainer-1";
    std::string key; ///< Sent as "Authorization: Bearer".
    std::string route = "route";
    std::string zone; ///< Passed to /v1/addresses.
    std::vector<std::string> daemons; ///< host:port; more are learnt from /v1/addresses.
    std::vector<std::string> engines; ///< host:port, for their audits; empty skips the comparison.
    std::uint64_t firstStep = 1;
    std::uint64_t steps = 1;
    std::uint64_t groups = 4;
    std::uint64_t samplesPerGroup = 4;
    std::uint64_t maxTokens = 16;
    std::uint64_t stalenessBound = 1;
    std::uint64_t trainerVersion = 1; ///< In the first step.
    std::uint64_t versionPerStep = 0; ///< Added after each step.
    absl::Duration versionEvery = absl::ZeroDuration(); ///< Adds 1 between pulls whenever this has passed; zero never.
    std::uint64_t maxSamples = 64; ///< Per pull.
    absl::Duration wait = absl::Seconds(1); ///< wait_ms of a pull.
    absl::Duration callTimeout = absl::Seconds(5); ///< Of a call, beyond the wait.
    absl::Duration stepTimeout = absl::Minutes(3); ///< Slots not received by then are lost.
    absl::Duration retryPause = absl::Milliseconds(50); ///< Before the next address after a failure.
};

struct TrainerSummary
{
    std::uint64_t delivered = 0; ///< Slots received, each counted once.
    std::uint64_t lost = 0; ///< Slots never received.
    std::uint64_t duplicated = 0; ///< Samples for a slot already received.
    std::uint64_t mislabelled = 0; ///< Segments, text or slot differ from what the engines' audits say.
    std::uint64_t stale = 0; ///< Oldest segment older than the trainer's version minus the bound.
    absl::Duration idle; ///< Time that brought no sample: empty pulls, failed calls and pauses.

    /// True when all counts but `delivered` are zero.
    bool clean() const;
    /// "summary delivered=N lost=N duplicated=N mislabelled=N stale=N idle_ms=N"
    std::string line() const;
};

/// Runs on the calling thread.
class TrainerStandin
{
public:
    explicit TrainerStandin(TrainerSettings settings);

    /// Runs all steps, then reads the engines' audits. An error only where an audit could not be read.
    absl::Status run();

    const TrainerSummary &summary() const { return summary_; }

private:
    struct StepState;

    void runStep(std::uint64_t step);
    /// One PUT or one pull; true when it brought a sample.
    bool advance(StepState &state);
    bool define(StepState &state);
    bool pull(StepState &state);
    bool takeSample(StepState &state, const Json &sample);
    void handleRefusal(StepState &state, const platform::HttpAnswer &answer);
    void updateVersion();

    TrainerSettings settings_;
    TrainerSummary summary_;
    DaemonList daemons_;
    std::uint64_t version_;
    Instant versionSince_; ///< When versionEvery last counted from.
    std::vector<TakenSample> taken_;
};

} // namespace currantlug::standins

#endif
