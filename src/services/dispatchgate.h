// Connects the dispatcher's decisions with the threads that run the work: a thread submits work and waits here until it
// is assigned to an endpoint.
#ifndef CURRANTLUG_SERVICES_DISPATCHGATE_H
#define CURRANTLUG_SERVICES_DISPATCHGATE_H

#include "endpoints/cancelflag.h"
#include "routing/dispatcher.h"

#include <absl/status/statusor.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace currantlug::services {

/// One attempt of work on one endpoint. Its flag is set when the attempt has to end: the caller went away, or the work
/// is to be moved.
struct Attempt
{
    routing::WorkId work = 0;
    EndpointId endpoint;
    std::string address;
    std::string model;
    std::shared_ptr<endpoints::CancelFlag> cancel;
};

/// Where an endpoint is reached.
struct EndpointAddress
{
    std::string address;
    std::string model;
};

/// What became of an attempt that failed.
enum class FailedAttempt {
    WaitForNext, ///< Call next() and run the returned attempt.
    GivenUp,
};

/// Thread-safe. start() and stop() are called from one thread.
class DispatchGate
{
public:
    explicit DispatchGate(routing::DispatcherSettings settings);
    ~DispatchGate();
    DispatchGate(const DispatchGate &) = delete;
    DispatchGate &operator=(const DispatchGate &) = delete;

    void start();

    /// Fails all waiting work with NotRun and joins the pump.
    void stop();

    /// Submits work and waits for its first attempt. `caller` ends the wait. Errors, all NotRun: kResourceExhausted
    /// with a retry time in retryAfter(), kDeadlineExceeded, kCancelled, kUnavailable while stopping.
    absl::StatusOr<Attempt> submit(routing::WorkItem item, const std::shared_ptr<endpoints::CancelFlag> &caller);

    /// Waits for the attempt that follows a failed one.
    absl::StatusOr<Attempt> next(routing::WorkId work);

    void started(const Attempt &attempt);
    void tokens(const Attempt &attempt, std::uint32_t count);
    void finished(const Attempt &attempt);
    FailedAttempt failed(const Attempt &attempt, routing::FailureCause cause);
    /// Ends work whose caller is gone.
    void cancel(routing::WorkId work);

    /// True if the attempt's flag was set to move the work off a leaving endpoint.
    bool isMoved(const Attempt &attempt) const;

    /// Takes the endpoint out of the choice and ends its repeatable attempts, so that they go on elsewhere.
    void endpointLeaving(const EndpointId &endpoint);

    /// Runs `change` on the dispatcher under the lock, then assigns what became possible.
    void update(const std::function<void(routing::Dispatcher &, Instant)> &change);
    void setAddress(const EndpointId &endpoint, EndpointAddress address);

    /// Reads from the dispatcher under the lock.
    void inspect(const std::function<void(const routing::Dispatcher &)> &read) const;

private:
    /// Work known to the gate: waiting for an attempt or running one.
    struct Work
    {
        std::condition_variable assigned;
        std::shared_ptr<endpoints::CancelFlag> caller;
        std::uint64_t callerHook = 0;
        std::optional<routing::Assignment> assignment; ///< Set by the pump, taken by the waiting thread.
        std::shared_ptr<endpoints::CancelFlag> attemptCancel;
        EndpointId runningOn; ///< Empty while waiting.
        bool repeatable = false;
        bool moved = false;
        bool expired = false;
        bool callerGone = false;
    };

    void pump();
    void pumpLocked(Instant now);
    absl::StatusOr<Attempt> waitLocked(std::unique_lock<std::mutex> &lock, routing::WorkId id,
                                       const std::shared_ptr<Work> &work);
    Attempt takeAttemptLocked(routing::WorkId id, Work &work);
    void forget(routing::WorkId id);
    void onCallerGone(routing::WorkId id);

    mutable std::mutex mutex_;
    std::condition_variable stopChanged_;
    routing::Dispatcher dispatcher_;
    std::map<routing::WorkId, std::shared_ptr<Work>> works_;
    std::map<EndpointId, EndpointAddress> addresses_;
    std::thread pump_;
    bool stopping_ = false;
};

/// The retry time in an error of DispatchGate::submit, if it has one.
std::optional<absl::Duration> retryAfter(const absl::Status &status);

} // namespace currantlug::services

#endif
