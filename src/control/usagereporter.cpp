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

void UsageReporter::reset()
{
    frozenLoaded_ = false;
    reports_.clear();
    firstWindow_.reset();
}

void UsageReporter::loadFrozenCounts()
{
    if (net::loopNow() < frozenRetryAt_ || std::exchange(frozenLoading_, true)) {
        return;
    }
    store_.get(PlanKind, FrozenCountsName, [this](const StoreReply &reply) {
        frozenLoading_ = false;
        frozenRetryAt_ = net::loopNow() + settings_.retryDelay;
        if (reply.outcome == StoreOutcome::NotFound) {
            frozenRetryAt_ = Instant();
            frozenRevision_ = 0;
            frozen_.clear();
            frozenLoaded_ = true;
        } else if (reply.outcome == StoreOutcome::Done && !reply.changes.empty()) {
            const objects::StoredObject &object = reply.changes.front().object;
            auto windows = parseCountsByWindow(object.value);
            if (!windows) {
                // Without the frozen counts, a window might be reported a second time with different counts.
                telemetry::log(Level::Error, "usage", "frozen_unreadable", {{"revision", object.revision}});
                return;
            }
            frozenRetryAt_ = Instant();
            frozenRevision_ = object.revision;
            frozen_ = std::move(*windows);
            frozenLoaded_ = true;
        }
    });
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
        const auto [entry, inserted] = reports_.try_emplace(window);
        WindowReport &report = entry->second;
        if (inserted) {
            if (const auto found = frozen_.find(window); found != frozen_.end()) {
                report.counts = found->second;
                report.gathered = true;
                report.frozen = true;
            } else {
                gather(window);
            }
        }
        if (!report.gathered && now >= report.gatherUntil) {
            report.gathered = true;
        }
        if (!report.gathered || report.callInProgress || report.retryAt > now) {
            continue;
        }
        if (report.frozen) {
            send(window);
        } else if (report.counts.empty()) {
            reported_.insert(window);
        } else if (!freezing_) {
            freeze(window);
        }
    }
    while (reported_.size() > MaxFrozenWindows * 2) {
        reports_.erase(*reported_.begin());
        firstWindow_ = std::max(*firstWindow_, *reported_.begin() + 1);
        reported_.erase(reported_.begin());
    }
}

void UsageReporter::gather(std::uint64_t window)
{
    WindowReport &report = reports_[window];
    report.counts = counts_.countsOf(window);
    report.gatherUntil = net::loopNow() + settings_.gatherTimeout + GatherMargin;
    const std::vector<std::string> nodes = peers_.reachable();
    report.pendingReplies = static_cast<int>(nodes.size());
    report.gathered = nodes.empty();
    for (const std::string &node : nodes) {
        peers_.call(
            node, CountsMethod, {{"window", window}}, settings_.gatherTimeout,
            [this, window, node](const absl::StatusOr<Json> &reply) {
                const auto found = reports_.find(window);
                if (found == reports_.end() || found->second.gathered) {
                    return;
                }
                WindowReport &openReport = found->second;
                const auto counts = reply.ok() ? parseWindowCounts(fieldOrNull(*reply, "counts")) : std::nullopt;
                if (!counts) {
                    telemetry::log(Level::Warning, "usage", "counts_missing", {{"window", window}, {"node", node}});
                } else {
                    for (const auto &[workspace, count] : *counts) {
                        openReport.counts[workspace] += count;
                    }
                }
                openReport.gathered = --openReport.pendingReplies == 0;
            });
    }
}

void UsageReporter::freeze(std::uint64_t window)
{
    freezing_ = true;
    reports_[window].callInProgress = true;
    auto frozen = frozen_;
    frozen[window] = reports_[window].counts;
    while (frozen.size() > MaxFrozenWindows) {
        frozen.erase(frozen.begin());
    }
    Json value = toJson(frozen);
    const auto done = [this, window, frozen](const StoreReply &reply) {
        freezing_ = false;
        const auto found = reports_.find(window);
        if (found != reports_.end()) {
            found->second.callInProgress = false;
        }
        if (reply.outcome == StoreOutcome::Done && !reply.changes.empty()) {
            frozenRevision_ = reply.changes.front().object.revision;
            frozen_ = frozen;
            if (found != reports_.end()) {
                found->second.frozen = true;
            }
            return;
        }
        // Another controller may have frozen its counts, or this write may still take effect: read the object again.
        reports_.clear();
        frozenLoaded_ = false;
    };
    if (frozenRevision_ == 0) {
        store_.create(PlanKind, FrozenCountsName, std::move(value), done);
    } else {
        store_.replace(PlanKind, FrozenCountsName, frozenRevision_, std::move(value), done);
    }
}

void UsageReporter::send(std::uint64_t window)
{
    const auto holder = leaseHolder_();
    if (!holder) {
        return;
    }
    WindowReport &report = reports_[window];
    report.callInProgress = true;
    reportUsage_(window, report.counts, *holder, [this, window](DutyReply reply) {
        telemetry::log(Level::Info, "usage", "reported", {{"window", window}, {"reply", nameOf(reply)}});
        const auto found = reports_.find(window);
        if (reply == DutyReply::Done) {
            reported_.insert(window);
        } else if (found != reports_.end()) {
            found->second.callInProgress = false;
            found->second.retryAt = net::loopNow() + settings_.retryDelay;
        }
    });
}

} // namespace currantlug::control
