// What the daemon uses of routing: takes work, decides which work goes to which endpoint next, and follows its
// progress.
#ifndef CURRANTLUG_ROUTING_DISPATCHER_H
#define CURRANTLUG_ROUTING_DISPATCHER_H

#include "core/enumnames.h"
#include "routing/admission.h"
#include "routing/endpointchooser.h"
#include "routing/endpointtable.h"
#include "routing/hedgepolicy.h"
#include "routing/limits.h"
#include "routing/prefixindex.h"
#include "routing/retrybudget.h"
#include "routing/workitem.h"

#include <memory>
#include <optional>
#include <vector>

namespace currantlug::routing {

/// Settings of all parts; each part has its own switch.
struct DispatcherSettings
{
    EndpointTableSettings endpoints;
    ChooserSettings chooser;
    PrefixIndexSettings prefixes;
    AdmissionSettings admission;
    RetrySettings retries;
    HedgeSettings hedges;
    bool fairQueue = true; ///< Off: first in, first out over all workspaces of a pool.
    std::uint64_t seed = 1; ///< For backoff jitter.
};

/// Why work was refused. Refused work has certainly not run.
enum class RefusalReason {
    None,
    UnknownPool, ///< No endpoint of the pool is listed.
    KeyLimit,
    WorkspaceLimit,
    QueueTooLong, ///< The expected wait passes the deadline.
    DeadlinePassed,
};

/// Answer to submit.
struct Admission
{
    bool queued = false;
    WorkId work = 0; ///< Valid when queued.
    absl::Duration retryAfter; ///< When refused: the earliest time at which a new attempt makes sense.
    RefusalReason reason = RefusalReason::None;
};

/// Work to start on an endpoint now. Work runs at most once at a time on one endpoint, so (work, endpoint) names the
/// attempt.
struct Assignment
{
    WorkId work = 0;
    EndpointId endpoint;
    bool hedge = false; ///< Another attempt of the same work is running; the first complete one wins.
};

/// How an attempt ended without a usable response.
enum class FailureCause {
    ConnectFailed, ///< Counts towards ejection of the endpoint.
    Rejected, ///< The endpoint answered with an error.
    Cut, ///< The stream broke or went silent; counts towards ejection.
    Unusable, ///< Complete but not usable, for instance without label or too stale.
    Moved, ///< Taken off a leaving endpoint; needs no retry credit.
};

/// What happens to the work after a failed attempt.
enum class AfterFailure {
    Requeued, ///< A later next() assigns it again.
    OtherAttemptRuns, ///< A hedge is still running.
    GivenUp, ///< The work is gone; answer the caller.
};

/// Deadlines: for work of a step they only order the queue, because a late sample still completes its step. Other work
/// is refused or expires by its deadline.
/// One per daemon and not thread-safe: the driver serialises calls.
/// After each call that can free or add something, and at least every 100 ms, the driver calls next() until it returns
/// nothing, and takeExpired(). Each assignment ends with exactly one finished(), failed() or cancel() for it; endpoints
/// returned by finished() and cancel() were closed by that call and only need their streams cancelled.
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherSettings settings);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    // Configuration in force.
    void upsertEndpoint(const EndpointInfo &info);
    void removeEndpoint(const EndpointId &endpoint);
    void setWorkspace(const WorkspaceId &workspace, double weight, const LimitSettings &siteWide, Instant now);
    void setKeyLimit(const KeyId &key, const LimitSettings &siteWide, Instant now);
    void setEndpointLimit(const EndpointId &endpoint, const LimitSettings &siteWide, Instant now);
    void setLiveDaemons(std::uint32_t count, Instant now);

    // What endpoints say.
    void loadReport(const EndpointId &endpoint, const LoadReport &report, Instant now);
    void cacheEvent(const EndpointId &endpoint, const CacheEvent &event, Instant now);
    /// The endpoint gets nothing new. Returns its running work, so that the driver can move what will not finish in
    /// time.
    std::vector<WorkId> endpointLeaving(const EndpointId &endpoint, Instant now);

    // Work.
    Admission submit(WorkItem item, Instant now);
    std::optional<Assignment> next(Instant now);
    /// The endpoint has accepted the request.
    void started(WorkId work, const EndpointId &endpoint, Instant now);
    /// The endpoint produced tokens.
    void tokens(WorkId work, const EndpointId &endpoint, std::uint32_t count, Instant now);
    /// A complete, usable response. Returns endpoints whose attempts of the same work lost and must be cancelled.
    std::vector<EndpointId> finished(WorkId work, const EndpointId &endpoint, Instant now);
    AfterFailure failed(WorkId work, const EndpointId &endpoint, FailureCause cause, Instant now);
    /// The caller is gone. Returns endpoints whose attempts must be cancelled.
    std::vector<EndpointId> cancel(WorkId work, Instant now);
    /// Queued work whose deadline has passed; it is gone and the driver answers its callers.
    std::vector<WorkId> takeExpired(Instant now);
    /// Updates how many members of a sample group are incomplete; orders the queue and allows hedges.
    void setGroupRemaining(const WorkspaceId &workspace, std::uint64_t group, std::uint32_t remaining);

    // For metrics and planners.
    const EndpointTable &endpoints() const;
    const WorkItem *find(WorkId work) const;
    std::size_t queuedCount() const;
    std::size_t inFlightCount() const;
    double queuedTokens(const PoolId &pool) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace currantlug::routing

template<>
struct currantlug::EnumNames<currantlug::routing::RefusalReason>
{
    using E = currantlug::routing::RefusalReason;
    static constexpr std::array<std::pair<E, std::string_view>, 6> Table{{
        {E::None, "none"},
        {E::UnknownPool, "unknown_pool"},
        {E::KeyLimit, "key_limit"},
        {E::WorkspaceLimit, "workspace_limit"},
        {E::QueueTooLong, "queue_too_long"},
        {E::DeadlinePassed, "deadline_passed"},
    }};
};

#endif
