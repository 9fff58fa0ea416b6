// Usage loop of one daemon.
#include "services/usageservice.h"

#include "lease/deadlineguard.h"
#include "telemetry/log.h"

#include <absl/time/clock.h>
#include <fmt/format.h>

#include <utility>

namespace currantlug::services {

namespace {

std::int64_t wallMs()
{
    return absl::ToUnixMillis(absl::Now());
}

} // namespace

UsageService::UsageService(const DaemonId &self, const std::string &incarnation, platform::HttpObjectStore &store,
                           platform::HttpClientSettings reportClient, UsageServiceSettings settings)
    : settings_(std::move(settings))
    , name_(self.str() + "-" + incarnation)
    , keeper_(store, "usage", self, settings_.lease)
    , ledger_(store)
    , reports_(std::move(reportClient), self.str())
    , counter_(absl::ToInt64Milliseconds(settings_.window))
{
}

UsageService::~UsageService()
{
    stop();
}

void UsageService::count(const WorkspaceId &workspace, const usage::UsageFigures &figures)
{
    const std::lock_guard lock(mutex_);
    counter_.add(workspace, figures, wallMs());
}

void UsageService::start()
{
    {
        const std::lock_guard lock(stopMutex_);
        stopping_ = false;
    }
    thread_ = std::thread([this] { run(); });
}

void UsageService::stop()
{
    {
        const std::lock_guard lock(stopMutex_);
        stopping_ = true;
    }
    stopChanged_.notify_all();
    if (!thread_.joinable()) {
        return;
    }
    thread_.join();
    flush();
    if (absl::Status status = keeper_.release(); !status.ok()) {
        // The successor then waits for the lease to lapse.
        telemetry::log(telemetry::Level::Info, "usage", "lease_not_released", telemetry::errorFields(status));
    }
}

void UsageService::run()
{
    Instant flushedAt = monotonicNow();
    std::unique_lock lock(stopMutex_);
    while (!stopping_) {
        lock.unlock();
        if (monotonicNow() - flushedAt >= settings_.flushEvery) {
            flushedAt = monotonicNow();
            flush();
        }
        if (keeper_.holds() || settings_.candidate()) {
            keeper_.poll().IgnoreError();
        }
        reportNext();
        lock.lock();
        stopChanged_.wait_for(lock, absl::ToChronoMilliseconds(settings_.tick), [this] { return stopping_; });
    }
}

void UsageService::flush()
{
    {
        const std::lock_guard lock(mutex_);
        for (usage::UsagePartial &partial : counter_.take()) {
            // Named once, so that a repeated write after a lost answer finds its own object.
            unwritten_.emplace_back(std::move(partial), fmt::format("{}-{:06}", name_, nextPartial_++));
        }
    }
    std::erase_if(unwritten_,
                  [this](const auto &entry) { return ledger_.writePartial(entry.first, entry.second).ok(); });
}

void UsageService::reportNext()
{
    if (!keeper_.grant()) {
        return;
    }
    const std::int64_t windowMs = absl::ToInt64Milliseconds(settings_.window);
    const std::int64_t now = wallMs();
    const absl::StatusOr<usage::WindowNumber> next = ledger_.nextWindow(now / windowMs);
    if (!next.ok() || (*next + 1) * windowMs + absl::ToInt64Milliseconds(settings_.grace) > now) {
        return;
    }
    const absl::StatusOr<usage::FrozenWindow> frozen = ledger_.freeze(*next);
    absl::Status status = frozen.ok() ? sendReports(*frozen) : frozen.status();
    if (status.ok()) {
        status = ledger_.markReported(*frozen);
    }
    if (!status.ok()) {
        telemetry::log(telemetry::Level::Warning, "usage", "report_failed", telemetry::errorFields(status));
    }
}

absl::Status UsageService::sendReports(const usage::FrozenWindow &frozen)
{
    for (const usage::WindowReport &report : usage::reportsOf(frozen)) {
        const std::optional<lease::LeaseGrant> grant = keeper_.grant();
        if (!grant) {
            return makeError(absl::StatusCode::kAborted, Step::Lease, "usage", Outcome::NotRun, "the lease lapsed");
        }
        lease::DeadlineGuard guard(grant->deadline);
        absl::Status sent = reports_.send({report.workspace, report.window, report.body},
                                          [&guard](int socket) { guard.attachSocket(socket); });
        guard.detachSocket();
        if (!sent.ok()) {
            return sent;
        }
        keeper_.poll().IgnoreError();
    }
    return absl::OkStatus();
}

} // namespace currantlug::services
