// Gathers, freezes and sends the counts of usage windows.
#include "control/usagereporter.h"

#include "telemetry/log.h"

#include <absl/time/clock.h>

#include <algorithm>

namespace currantlug::control {

using objects::StoreOutcome;
using objects::StoreReply;
using telemetry::Level;

namespace {

constexpr const char *FrozenCountsName = "usage-frozen";
// Windows kept in the stored object; a controller reports at most a few windows before the current one.
constexpr std::size_t MaxFrozenWindows = 12;
// Added to the timeout of the calls. The window then counts as gathered, even if replies of peers are missing.
constexpr absl::Duration GatherMargin = absl::Milliseconds(100);

} // namespace

UsageReporter::UsageReporter(const RequestCounts &counts, objects::ObjectPort store, jobs::PeerPort peers,
                             ReportFunction reportUsage, std::function<std::optional<LeaseHolder>()> holder,
                             UsageReporterSettings settings)
    : counts_(counts)
    , store_(std::move(store))
    , peers_(std::move(peers))
    , reportUsage_(std::move(reportUsage))
    , leaseHolder_(std::move(holder))
    , settings_(settings)
{
}

Json UsageReporter::answerCounts(const RequestCounts &counts, const Json &request)
{
    return {{"counts", counts.countsOf(fieldOr<std::uint64_t>(request, "window", 0))}};
}

void UsageReporter::startTerm(std::uint64_t fencingToken)
{
    if (term_ == fencingToken) {
        return;
    }
    term_ = fencingToken;
    frozenLoaded_ = false;
    reports_.clear();
    firstWindow_.reset();
}

void UsageReporter::loadFrozenCounts()
{
    if (net::loopNow() < frozenRetryAt_ || std::exchange(frozenLoading_, true)) {
        return;
    }
    store_.get(PlanKind, FrozenCountsName, [this, term = term_, revision = frozenRevision_](const StoreReply &reply) {
        frozenLoading_ = false;
        // A reply from before a change of the term or a confirmed write may be outdated; read again then.
        if (term == term_ && revision == frozenRevision_) {
            onFrozenCountsRead(reply);
        }
    });
}

void UsageReporter::onFrozenCountsRead(const StoreReply &reply)
{
    frozenRetryAt_ = net::loopNow() + settings_.retryDelay;
    if (reply.outcome == StoreOutcome::NotFound) {
        setFrozenCounts(0, {});
    } else if (reply.outcome == StoreOutcome::Done && !reply.changes.empty()) {
        const objects::StoredObject &object = reply.changes.front().object;
        auto windows = parseCountsByWindow(object.value);
        if (!windows) {
            // Without the frozen counts, a window might be reported a second time with different counts.
            telemetry::log(Level::Error, "usage", "frozen_unreadable", {{"revision", object.revision}});
            return;
        }
        setFrozenCounts(object.revision, std::move(*windows));
    } else {
        return;
    }
    frozenRetryAt_ = Instant();
    frozenLoaded_ = true;
}

void UsageReporter::setFrozenCounts(std::uint64_t revision, CountsByWindow frozen)
{
    frozenRevision_ = revision;
    frozen_ = std::move(frozen);
    for (auto &[window, report] : reports_) {
        if (const auto found = frozen_.find(window); !report.frozenCounts && found != frozen_.end()) {
            report.frozenCounts = found->second;
        }
    }
}

void UsageReporter::poll(Instant now)
{
    if (!frozenLoaded_) {
        loadFrozenCounts();
        return;
    }
    const absl::Time wall = absl::Now();
    const std::uint64_t current = counts_.windowAt(wall);
    if (!firstWindow_) {
        firstWindow_ = current - static_cast<std::uint64_t>(settings_.catchUpWindows);
    }
    for (std::uint64_t window = *firstWindow_; window < current; ++window) {
        if (reported_.contains(window) || wall < counts_.windowEnd(window) + settings_.gatherDelay) {
            continue;
        }
        const auto known = reports_.find(window);
        WindowReport &report = known == reports_.end() ? addReport(window) : known->second;
        if (report.frozenCounts) {
            if (!report.sending && report.retryAt <= now) {
                send(window, report);
            }
            continue;
        }
        if (!report.gathered && now >= report.gatherUntil) {
            report.gathered = true;
        }
        if (!report.gathered) {
            continue;
        }
        if (report.gatheredCounts.empty()) {
            reported_.insert(window);
        } else if (!freezing_ && frozenLoaded_) {
            freeze(window, report.gatheredCounts);
        }
    }
    forgetOldWindows();
}

void UsageReporter::forgetOldWindows()
{
    while (reported_.size() > MaxFrozenWindows * 2) {
        firstWindow_ = std::max(*firstWindow_, *reported_.begin() + 1);
        reported_.erase(reported_.begin());
    }
    reports_.erase(reports_.begin(), reports_.lower_bound(*firstWindow_));
}

UsageReporter::WindowReport &UsageReporter::addReport(std::uint64_t window)
{
    WindowReport &report = reports_[window];
    report.id = ++lastReportId_;
    if (const auto found = frozen_.find(window); found != frozen_.end()) {
        report.frozenCounts = found->second;
    } else {
        gather(window, report);
    }
    return report;
}

UsageReporter::WindowReport *UsageReporter::findReport(std::uint64_t window, ReportId id)
{
    const auto found = reports_.find(window);
    return found == reports_.end() || found->second.id != id ? nullptr : &found->second;
}

void UsageReporter::gather(std::uint64_t window, WindowReport &report)
{
    report.gatheredCounts = counts_.countsOf(window);
    report.gatherUntil = net::loopNow() + settings_.gatherTimeout + GatherMargin;
    const std::vector<std::string> nodes = peers_.reachable();
    report.pendingReplies = static_cast<int>(nodes.size());
    report.gathered = nodes.empty();
    for (const std::string &node : nodes) {
        peers_.call(node, CountsMethod, {{"window", window}}, settings_.gatherTimeout,
                    [this, window, id = report.id, node](const absl::StatusOr<Json> &reply) {
                        onGatherReply(window, id, node, reply);
                    });
    }
}

void UsageReporter::onGatherReply(std::uint64_t window, ReportId id, const std::string &node,
                                  const absl::StatusOr<Json> &reply)
{
    WindowReport *report = findReport(window, id);
    if (report == nullptr || report->gathered) {
        return;
    }
    const auto counts = reply.ok() ? parseWindowCounts(fieldOrNull(*reply, "counts")) : std::nullopt;
    if (!counts) {
        telemetry::log(Level::Warning, "usage", "counts_missing", {{"window", window}, {"node", node}});
    } else {
        for (const auto &[workspace, count] : *counts) {
            report->gatheredCounts[workspace] += count;
        }
    }
    report->gathered = --report->pendingReplies == 0;
}

void UsageReporter::freeze(std::uint64_t window, const WindowCounts &counts)
{
    CountsByWindow frozen = frozen_;
    frozen[window] = counts;
    while (frozen.size() > MaxFrozenWindows) {
        frozen.erase(frozen.begin());
    }
    if (!frozen.contains(window)) {
        // An earlier report of it may have been dropped from the stored object.
        telemetry::log(Level::Warning, "usage", "window_too_old", {{"window", window}});
        reported_.insert(window);
        return;
    }
    freezing_ = true;
    Json value = toJson(frozen);
    const auto done = [this, window, frozen = std::move(frozen)](const StoreReply &reply) {
        freezing_ = false;
        const bool confirmed = reply.outcome == StoreOutcome::Done && !reply.changes.empty();
        const std::uint64_t revision = confirmed ? reply.changes.front().object.revision : 0;
        telemetry::log(Level::Info, "usage", "frozen",
                       {{"window", window}, {"outcome", nameOf(reply.outcome)}, {"revision", revision}});
        if (!confirmed) {
            // Another controller may have frozen its counts, or this write may still take effect: read the object
            // again.
            frozenLoaded_ = false;
        } else if (revision > frozenRevision_) {
            setFrozenCounts(revision, frozen);
        }
    };
    if (frozenRevision_ == 0) {
        store_.create(PlanKind, FrozenCountsName, std::move(value), done);
    } else {
        store_.replace(PlanKind, FrozenCountsName, frozenRevision_, std::move(value), done);
    }
}

void UsageReporter::send(std::uint64_t window, WindowReport &report)
{
    const auto holder = leaseHolder_();
    if (!holder) {
        return;
    }
    report.sending = true;
    reportUsage_(window, *report.frozenCounts, *holder, [this, window, id = report.id](DutyReply reply) {
        telemetry::log(Level::Info, "usage", "reported", {{"window", window}, {"reply", nameOf(reply)}});
        if (reply == DutyReply::Done) {
            reported_.insert(window);
        } else if (WindowReport *sent = findReport(window, id)) {
            sent->sending = false;
            sent->retryAt = net::loopNow() + settings_.retryDelay;
        }
    });
}

} // namespace currantlug::control
