// Reports the request counts of each usage window, always with the same counts.
//
// After a window has ended, the lease holder gathers the counts of all nodes and freezes them, that is, writes them to
// the object store, before it sends them. A retry or a successor then repeats the frozen counts.
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

/// Kind of the objects in which a controller stores the state that its successors need.
inline constexpr const char *PlanKind = "plans";

struct UsageReporterSettings
{
    absl::Duration gatherDelay = absl::Milliseconds(1200); ///< After a window's end, so that late answers are counted.
    absl::Duration gatherTimeout = absl::Milliseconds(700); ///< For the calls that ask peers for their counts.
    /// Between two attempts to report a window, and between two attempts to read the frozen counts.
    absl::Duration retryDelay = absl::Milliseconds(600);
    int catchUpWindows = 4; ///< Windows before the current one that a new controller still reports.
};

class UsageReporter
{
public:
    using ReportFunction = decltype(DutyPort::reportUsage);
    /// Method of the call that asks a peer for its counts.
    static constexpr const char *CountsMethod = "usage/counts";

    /// `holder` returns this node as lease holder, or std::nullopt while it doesn't hold the lease.
    UsageReporter(const RequestCounts &counts, objects::ObjectPort store, jobs::PeerPort peers,
                  ReportFunction reportUsage, std::function<std::optional<LeaseHolder>()> holder,
                  UsageReporterSettings settings);

    /// Discards the state of an earlier term. Call when this node begins to lead.
    void reset();
    /// Call several times a second while this node leads.
    void poll(Instant now);

    /// Answers a peer's call of CountsMethod.
    static Json answerCounts(const RequestCounts &counts, const Json &request);

private:
    struct WindowReport
    {
        WindowCounts counts;
        int pendingReplies = 0; ///< Replies still expected from peers.
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
    Instant frozenRetryAt_; ///< Earliest next read of the frozen counts after a failed one.
    std::uint64_t frozenRevision_ = 0;
    CountsByWindow frozen_; ///< Counts of the newest frozen windows, as stored.
    std::set<std::uint64_t> reported_;
    std::map<std::uint64_t, WindowReport> reports_;
    std::optional<std::uint64_t> firstWindow_;
    bool freezing_ = false;
};

} // namespace currantlug::control

#endif
