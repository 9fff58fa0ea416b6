// State behind Dispatcher: work, its attempts and the queues. Used by dispatcher.cpp only.
#ifndef CURRANTLUG_ROUTING_DISPATCHERIMPL_H
#define CURRANTLUG_ROUTING_DISPATCHERIMPL_H

#include "routing/dispatcher.h"
#include "routing/fairqueue.h"

#include <map>

namespace currantlug::routing {

namespace detail {

struct Attempt
{
    EndpointIndex row = 0;
    EndpointId endpoint;
    bool hedge = false;
    AttemptProgress progress;
    double tokensLeft = 0; ///< What this attempt still holds of the row's ownTokens.
    double ratedTokens = 0; ///< Tokens up to the last measurement of the rate.
    Instant ratedAt;
};

struct Work
{
    WorkItem item;
    QueueOrder order;
    bool queued = false;
    std::optional<Instant> resumeAt; ///< Set while it waits out a retry delay.
    std::uint32_t failures = 0;
    double produced = 0; ///< Tokens of the best attempt so far, which a resumed attempt does not repeat.
    std::vector<Attempt> attempts;
    std::vector<EndpointId> failedOn;
};

struct Pool
{
    FairQueue<WorkId> queue;
    AdmissionControl admission;
};

using GroupKey = std::pair<WorkspaceId, std::uint64_t>;

} // namespace detail

/// Invariants: a work is queued, waits out a retry delay, or has one or two attempts; queued_ counts the former two;
/// runningAttempts_ equals the sum of the rows' ownRequests.
class Dispatcher::Impl
{
public:
    explicit Impl(DispatcherSettings settings)
        : settings_(std::move(settings))
        , table_(settings_.endpoints)
        , prefixes_(settings_.prefixes)
        , chooser_(settings_.chooser)
        , retries_(settings_.retries, settings_.seed)
        , hedges_(settings_.hedges)
    {
    }

    detail::Pool &pool(const PoolId &id)
    {
        const auto found = pools_.find(id);
        if (found != pools_.end()) {
            return found->second;
        }
        detail::Pool &added = pools_
                                  .emplace(id,
                                           detail::Pool{FairQueue<WorkId>(512, settings_.fairQueue),
                                                        AdmissionControl(settings_.admission)})
                                  .first->second;
        for (const auto &[workspace, weight] : weights_) {
            added.queue.setWeight(workspace, weight);
        }
        return added;
    }

    Admission submit(WorkItem item, Instant now);
    std::optional<Assignment> next(Instant now);
    std::vector<EndpointId> finished(WorkId id, const EndpointId &endpoint, Instant now);
    AfterFailure failed(WorkId id, const EndpointId &endpoint, FailureCause cause, Instant now);
    std::vector<EndpointId> cancel(WorkId id, Instant now);
    std::vector<WorkId> takeExpired(Instant now);
    void setGroupRemaining(const WorkspaceId &workspace, std::uint64_t group, std::uint32_t remaining);
    detail::Attempt *findAttempt(WorkId id, const EndpointId &endpoint);
    void countTokens(detail::Work &work, detail::Attempt &attempt, std::uint32_t count, Instant now);

    DispatcherSettings settings_;
    EndpointTable table_;
    PrefixIndex prefixes_;
    EndpointChooser chooser_;
    Limits limits_;
    bool endpointLimits_ = false; ///< Whether any endpoint limit was set; saves a look-up per endpoint.
    RetryBudget retries_;
    HedgePolicy hedges_;
    std::map<PoolId, detail::Pool> pools_;
    std::map<WorkspaceId, double> weights_;
    std::map<WorkId, detail::Work> works_; ///< Ordered, so that decisions do not depend on the hash seed.
    std::multimap<Instant, WorkId> delayed_; ///< Work that waits out a retry delay. May name work that is gone.
    std::multimap<Instant, WorkId> expiry_; ///< Deadlines of work outside steps. May name work that is gone.
    std::map<detail::GroupKey, std::vector<WorkId>> groups_;
    std::size_t runningAttempts_ = 0;
    std::size_t runningHedges_ = 0;
    std::size_t queued_ = 0; ///< Works without an open attempt.
    WorkId lastId_ = 0;
    std::uint64_t lastPool_ = 0;
    Instant hedgesCheckedAt_;

private:
    std::optional<Admission> refuseByLimits(const WorkItem &item, double cost, Instant now);
    std::optional<Admission> refuseByQueue(const WorkItem &item, double cost, Instant now);
    void enqueue(WorkId id, detail::Work &work);
    void unqueue(WorkId id, detail::Work &work);
    void releaseDelayed(Instant now);
    bool limitsAllow(const detail::Work &work, double cost, Instant now) const;
    std::optional<EndpointIndex> place(const detail::Work &work, Instant now);
    std::optional<Assignment> nextQueued(detail::Pool &pool, Instant now);
    std::optional<Assignment> nextHedge(Instant now);
    Assignment openAttempt(WorkId id, detail::Work &work, EndpointIndex row, bool hedge, Instant now);
    void closeAttempt(detail::Work &work, std::size_t position);
    std::vector<EndpointId> closeAll(detail::Work &work, const EndpointId &except);
    void eraseWork(WorkId id);
    static double costLeft(const detail::Work &work);
    bool endpointAllows(EndpointIndex row) const { return limits_.hasSlot(limitName(table_.at(row).info.id)); }
};

} // namespace currantlug::routing

#endif
