// Reports the request counts of each usage window, always with the same counts.
//
// After a window has ended, the lease holder gathers the counts of all nodes and freezes them, that is, writes them to
// the object store, before it sends them. A retry or a successor then repeats the frozen counts.
//
// Each write is conditional on the revision that was read or written last, and keeps the windows that the object has.
// Only counts that the store has confirmed are sent. Two reports of a window are therefore equal, in whichever order
// calls, replies and changes of the lease holder come.
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

    /// Call when this node begins to lead. Discards the state of a term with another fencing token. A node that leads
    /// again with the same token continues: no other node has led meanwhile.
    void startTerm(std::uint64_t fencingToken);
    /// Call several times a second while this node leads.
    void poll(Instant now);

    /// Answers a peer's call of CountsMethod.
    static Json answerCounts(const RequestCounts &counts, const Json &request);

private:
    /// Ids are never used again, so that a late reply isn't applied to a later report of the same window.
    using ReportId = std::uint64_t;
    struct WindowReport
    {
        ReportId id = 0;
        WindowCounts gatheredCounts; ///< Unchanged once `gathered` is set.
        int pendingReplies = 0; ///< Replies still expected from peers.
        bool gathered = false;
        /// Counts in the stored object, as the store has confirmed them. Only these are sent, and they never change.
        std::optional<WindowCounts> frozenCounts;
        bool sending = false;
        Instant retryAt;
        Instant gatherUntil;
    };

    void loadFrozenCounts();
    void onFrozenCountsRead(const objects::StoreReply &reply);
    /// Takes over the content of the stored object at a revision that the store has confirmed.
    void setFrozenCounts(std::uint64_t revision, CountsByWindow frozen);
    WindowReport &addReport(std::uint64_t window);
    WindowReport *findReport(std::uint64_t window, ReportId id);
    void gather(std::uint64_t window, WindowReport &report);
    void onGatherReply(std::uint64_t window, ReportId id, const std::string &node, const absl::StatusOr<Json> &reply);
    void freeze(std::uint64_t window, const WindowCounts &counts);
    void send(std::uint64_t window, WindowReport &report);
    void forgetOldWindows();

    const RequestCounts &counts_;
    objects::ObjectPort store_;
    jobs::PeerPort peers_;
    ReportFunction reportUsage_;
    std::function<std::optional<LeaseHolder>()> leaseHolder_;
    UsageReporterSettings settings_;
    std::uint64_t term_ = 0; ///< Fencing token of the current or last term; 0 before the first.
    bool frozenLoaded_ = false; ///< False while the stored object may have changed since it was read.
    bool frozenLoading_ = false;
    Instant frozenRetryAt_; ///< Earliest next read of the frozen counts after a failed one.
    /// The content of the stored object at frozenRevision_; empty at revision 0, before the object exists.
    CountsByWindow frozen_;
    std::uint64_t frozenRevision_ = 0;
    std::set<std::uint64_t> reported_; ///< Windows that need no further report.
    std::map<std::uint64_t, WindowReport> reports_;
    ReportId lastReportId_ = 0;
    std::optional<std::uint64_t> firstWindow_;
    bool freezing_ = false; ///< A write is in progress, perhaps one of an earlier term.
};

} // namespace currantlug::control

#endif
