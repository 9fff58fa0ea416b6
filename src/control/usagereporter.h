// Reports the usage of each window once, by figures that are fixed in the object store before they are sent.
#ifndef CURRANTLUG_CONTROL_USAGEREPORTER_H
#define CURRANTLUG_CONTROL_USAGEREPORTER_H

#include "control/dutyport.h"
#include "control/requestcounts.h"
#include "jobs/jobcontext.h"
#include "objects/objectport.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace currantlug::control {

/// Kind of the objects in which controllers keep what their successors need.
inline constexpr const char *PlanKind = "plans";

struct UsageReporterSettings
{
    absl::Duration gatherDelay = absl::Milliseconds(1200); ///< After a window's end, so that late answers are counted.
    absl::Duration gatherTimeout = absl::Milliseconds(700); ///< For the counts of other nodes.
    absl::Duration retryDelay =
        absl::Milliseconds(600); ///< Between two reports of a window, or reads of the fixed figures.
    int catchUpWindows = 4; ///< Windows before the present one that a new controller still reports.
};

class UsageReporter
{
public:
    using ReportFunction = decltype(DutyPort::reportUsage);
    /// Method of the call that asks another node for its counts.
    static constexpr const char *CountsMethod = "usage/counts";

    /// `holder` names who may report at this moment; nothing while this node may not.
    UsageReporter(const RequestCounts &counts, objects::ObjectPort store, jobs::PeerPort peers,
                  ReportFunction reportUsage, std::function<std::optional<LeaseHolder>()> holder,
                  UsageReporterSettings settings);

    /// Forgets what an earlier term of this node knew. Call when it begins to lead.
    void reset();
    /// Call several times a second while this node leads.
    void poll(Instant now);

    /// Answers another node's CountsMethod.
    static Json answerCounts(const RequestCounts &counts, const Json &request);

private:
    struct WindowReport
    {
        WindowCounts counts;
        int pendingReplies = 0; ///< Answers of other nodes.
        bool gathered = false;
        bool frozen = false;
        bool callInProgress = false;
        Instant retryAt;
        Instant gatherUntil;
    };

    void loadFrozenCounts();
    void gather(std::uint64_t window);
    void freeze(std::uint64_t window);
    void send(std::uint64_t window);

    const RequestCounts &counts_;
    objects::ObjectPort store_;
    jobs::PeerPort peers_;
    ReportFunction reportUsage_;
    std::function<std::optional<LeaseHolder>()> leaseHolder_;
    UsageReporterSettings settings_;
    bool frozenLoaded_ = false;
    bool frozenLoading_ = false;
    Instant frozenRetryAt_; ///< Not read again sooner after a failure.
    std::uint64_t frozenRevision_ = 0;
    CountsByWindow frozen_; ///< The newest windows whose counts are fixed.
    std::set<std::uint64_t> reported_;
    std::map<std::uint64_t, WindowReport> reports_;
    std::optional<std::uint64_t> firstWindow_;
    bool freezing_ = false;
};

} // namespace currantlug::control

#endif
