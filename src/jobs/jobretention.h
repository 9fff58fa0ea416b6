// Decides how long the record, items and results of a job are kept. The owner of the job feeds it with events.
//
// Only the trainer knows whether it still needs an open job: a result may be stored long after the submission, and the
// trainer reads it later still. Age alone therefore never ends the retention of an open job.
#ifndef CURRANTLUG_JOBS_JOBRETENTION_H
#define CURRANTLUG_JOBS_JOBRETENTION_H

#include "core/instant.h"

#include <absl/time/time.h>

#include <algorithm>
#include <optional>

namespace currantlug::jobs {

struct RetentionSettings
{
    /// A job can be read for this time after its submission.
    absl::Duration afterSubmission = absl::Seconds(120);
    /// Minimum time for which an ended job can be read and ended again: the trainer may have missed the answer.
    absl::Duration afterEnd = absl::Seconds(30);
    /// An open job whose results are all stored counts as abandoned once no client has used it for this time, or for
    /// `afterSubmission` if that is longer.
    absl::Duration unused = absl::Seconds(120);
    /// Minimum time for which a node keeps a job that it takes over.
    absl::Duration afterTakeover = absl::Seconds(10);
};

class JobRetention
{
public:
    /// `minimumUntil`: the job is kept until then in any case.
    JobRetention(Instant minimumUntil, Instant now)
        : minimumUntil_(minimumUntil)
        , lastUse_(now)
    {
    }

    /// Call when a client has read or submitted the job, or when results were stored that it has yet to read.
    void recordUse(Instant now) { lastUse_ = now; }
    /// Call when the trainer has ended the job; repeated calls have no effect.
    void recordEnd(Instant now)
    {
        if (!endedAt_) {
            endedAt_ = now;
        }
    }
    /// Keeps the job until this time at least.
    void extendTo(Instant until) { minimumUntil_ = std::max(minimumUntil_, until); }
    bool isPastMinimum(Instant now) const { return now >= minimumUntil_; }
    /// `hasWork`: items are still to be run, or results to be stored.
    bool isExpired(const RetentionSettings &settings, bool hasWork, Instant now) const
    {
        if (hasWork || !isPastMinimum(now)) {
            return false;
        }
        return endedAt_ ? now - *endedAt_ >= settings.afterEnd
                        : now - lastUse_ >= std::max(settings.unused, settings.afterSubmission);
    }

private:
    Instant minimumUntil_;
    Instant lastUse_; ///< Matters only while the job is open.
    std::optional<Instant> endedAt_; ///< Set once, when this node learned of the end.
};

} // namespace currantlug::jobs

#endif
