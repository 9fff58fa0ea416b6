// Waiting for assignments, and ending attempts.
#include "services/dispatchgate.h"

#include "core/error.h"

#include <absl/strings/cord.h>

#include <chrono>
#include <utility>

namespace currantlug::services {

namespace {

constexpr const char *RetryAfterUrl = "currantlug/retry-after";

// The dispatcher asks to be called at least every 100 ms, for backoffs and deadlines that end without another event.
constexpr std::chrono::milliseconds PumpInterval{20};

absl::Status refusal(absl::StatusCode code, std::string_view message)
{
    return makeError(code, Step::Queue, "", Outcome::NotRun, message);
}

absl::Status admissionError(const routing::Admission &admission)
{
    if (admission.reason == routing::RefusalReason::DeadlinePassed) {
        return refusal(absl::StatusCode::kDeadlineExceeded, "the deadline passed before the work was queued");
    }
    absl::Status status =
        refusal(absl::StatusCode::kResourceExhausted, "refused by admission: " + std::string(nameOf(admission.reason)));
    status.SetPayload(RetryAfterUrl, absl::Cord(std::to_string(absl::ToInt64Milliseconds(admission.retryAfter))));
    return status;
}

} // namespace

std::optional<absl::Duration> retryAfter(const absl::Status &status)
{
    const auto payload = status.GetPayload(RetryAfterUrl);
    if (!payload) {
        return std::nullopt;
    }
    return absl::Milliseconds(std::stoll(std::string(*payload)));
}

DispatchGate::DispatchGate(routing::DispatcherSettings settings)
    : dispatcher_(std::move(settings))
{
}

DispatchGate::~DispatchGate()
{
    stop();
}

void DispatchGate::start()
{
    const std::lock_guard lock(mutex_);
    stopping_ = false;
    pump_ = std::thread([this] { pump(); });
}

void DispatchGate::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        for (auto &[id, work] : works_) {
            work->assigned.notify_all();
        }
    }
    stopChanged_.notify_all();
    if (pump_.joinable()) {
        pump_.join();
    }
}

void DispatchGate::pump()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        pumpLocked(monotonicNow());
        stopChanged_.wait_for(lock, PumpInterval);
    }
}

void DispatchGate::pumpLocked(Instant now)
{
    while (const std::optional<routing::Assignment> assignment = dispatcher_.next(now)) {
        const auto found = works_.find(assignment->work);
        if (found == works_.end()) {
            dispatcher_.cancel(assignment->work, now);
            continue;
        }
        found->second->assignment = assignment;
        found->second->assigned.notify_all();
    }
    for (const routing::WorkId id : dispatcher_.takeExpired(now)) {
        const auto found = works_.find(id);
        if (found != works_.end()) {
            found->second->expired = true;
            found->second->assigned.notify_all();
        }
    }
}

absl::StatusOr<Attempt> DispatchGate::submit(routing::WorkItem item,
                                             const std::shared_ptr<endpoints::CancelFlag> &caller)
{
    std::unique_lock lock(mutex_);
    if (stopping_) {
        return refusal(absl::StatusCode::kUnavailable, "the daemon is stopping");
    }
    const Instant now = monotonicNow();
    auto work = std::make_shared<Work>();
    work->caller = caller;
    work->repeatable = item.repeatable;
    const routing::Admission admission = dispatcher_.submit(std::move(item), now);
    if (!admission.queued) {
        return admissionError(admission);
    }
    const routing::WorkId id = admission.work;
    works_[id] = work;

    // The flag runs the hook at once when it is set already, so it must not be registered under the lock.
    lock.unlock();
    work->callerHook = caller->addHook([this, id] { onCallerGone(id); });
    lock.lock();
    pumpLocked(now);
    return waitLocked(lock, id, work);
}

absl::StatusOr<Attempt> DispatchGate::next(routing::WorkId id)
{
    std::unique_lock lock(mutex_);
    const auto found = works_.find(id);
    if (found == works_.end()) {
        return refusal(absl::StatusCode::kInternal, "the work is not known any more");
    }
    const std::shared_ptr<Work> work = found->second;
    pumpLocked(monotonicNow());
    return waitLocked(lock, id, work);
}

absl::StatusOr<Attempt> DispatchGate::waitLocked(std::unique_lock<std::mutex> &lock, routing::WorkId id,
                                                 const std::shared_ptr<Work> &work)
{
    work->assigned.wait(lock, [&] { return work->assignment || work->expired || work->callerGone || stopping_; });
    if (work->assignment && !work->callerGone) {
        return takeAttemptLocked(id, *work);
    }
    if (!work->expired) {
        dispatcher_.cancel(id, monotonicNow());
    }
    const bool expired = work->expired;
    const bool callerGone = work->callerGone;
    lock.unlock();
    work->caller->removeHook(work->callerHook);
    lock.lock();
    works_.erase(id);
    if (expired) {
        return refusal(absl::StatusCode::kDeadlineExceeded, "the deadline passed while the work was queued");
    }
    return callerGone ? refusal(absl::StatusCode::kCancelled, "the caller is gone")
                      : refusal(absl::StatusCode::kUnavailable, "the daemon is stopping");
}

Attempt DispatchGate::takeAttemptLocked(routing::WorkId id, Work &work)
{
    const EndpointId endpoint = work.assignment->endpoint;
    work.assignment.reset();
    work.runningOn = endpoint;
    work.moved = false;
    work.attemptCancel = std::make_shared<endpoints::CancelFlag>();
    const EndpointAddress &address = addresses_[endpoint];
    return {id, endpoint, address.address, address.model, work.attemptCancel};
}

void DispatchGate::started(const Attempt &attempt)
{
    const std::lock_guard lock(mutex_);
    dispatcher_.started(attempt.work, attempt.endpoint, monotonicNow());
}

void DispatchGate::tokens(const Attempt &attempt, std::uint32_t count)
{
    const std::lock_guard lock(mutex_);
    dispatcher_.tokens(attempt.work, attempt.endpoint, count, monotonicNow());
}

void DispatchGate::finished(const Attempt &attempt)
{
    {
        const std::lock_guard lock(mutex_);
        const Instant now = monotonicNow();
        dispatcher_.finished(attempt.work, attempt.endpoint, now);
        pumpLocked(now);
    }
    forget(attempt.work);
}

FailedAttempt DispatchGate::failed(const Attempt &attempt, routing::FailureCause cause)
{
    {
        const std::lock_guard lock(mutex_);
        const Instant now = monotonicNow();
        const routing::AfterFailure after = dispatcher_.failed(attempt.work, attempt.endpoint, cause, now);
        pumpLocked(now);
        if (after != routing::AfterFailure::GivenUp) {
            const auto found = works_.find(attempt.work);
            if (found != works_.end()) {
                found->second->runningOn = EndpointId();
            }
            return FailedAttempt::WaitForNext;
        }
    }
    forget(attempt.work);
    return FailedAttempt::GivenUp;
}

void DispatchGate::cancel(routing::WorkId id)
{
    {
        const std::lock_guard lock(mutex_);
        const Instant now = monotonicNow();
        dispatcher_.cancel(id, now);
        pumpLocked(now);
    }
    forget(id);
}

void DispatchGate::forget(routing::WorkId id)
{
    std::shared_ptr<Work> work;
    {
        const std::lock_guard lock(mutex_);
        const auto found = works_.find(id);
        if (found == works_.end()) {
            return;
        }
        work = found->second;
        works_.erase(found);
    }
    // removeHook waits for a running hook, and the hook takes the lock.
    work->caller->removeHook(work->callerHook);
}

bool DispatchGate::isMoved(const Attempt &attempt) const
{
    const std::lock_guard lock(mutex_);
    const auto found = works_.find(attempt.work);
    return found != works_.end() && found->second->moved;
}

void DispatchGate::onCallerGone(routing::WorkId id)
{
    std::shared_ptr<endpoints::CancelFlag> attempt;
    {
        const std::lock_guard lock(mutex_);
        const auto found = works_.find(id);
        if (found == works_.end()) {
            return;
        }
        found->second->callerGone = true;
        attempt = found->second->attemptCancel;
        found->second->assigned.notify_all();
    }
    if (attempt) {
        attempt->cancel();
    }
}

void DispatchGate::endpointLeaving(const EndpointId &endpoint)
{
    std::vector<std::shared_ptr<endpoints::CancelFlag>> moved;
    {
        const std::lock_guard lock(mutex_);
        const Instant now = monotonicNow();
        for (const routing::WorkId id : dispatcher_.endpointLeaving(endpoint, now)) {
            const auto found = works_.find(id);
            if (found != works_.end() && found->second->repeatable && found->second->runningOn == endpoint) {
                found->second->moved = true;
                moved.push_back(found->second->attemptCancel);
            }
        }
        pumpLocked(now);
    }
    for (const auto &cancel : moved) {
        cancel->cancel();
    }
}

void DispatchGate::update(const std::function<void(routing::Dispatcher &, Instant)> &change)
{
    const std::lock_guard lock(mutex_);
    const Instant now = monotonicNow();
    change(dispatcher_, now);
    pumpLocked(now);
}

void DispatchGate::setAddress(const EndpointId &endpoint, EndpointAddress address)
{
    const std::lock_guard lock(mutex_);
    addresses_[endpoint] = std::move(address);
}

void DispatchGate::inspect(const std::function<void(const routing::Dispatcher &)> &read) const
{
    const std::lock_guard lock(mutex_);
    read(dispatcher_);
}

} // namespace currantlug::services
