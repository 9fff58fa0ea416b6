// Sends the reward calls of all jobs at this node to the plain services that score texts.
//
// Designed for the bursts in which the texts of a training step are completed, at a service that also serves clients:
// the calls use only slots that clients leave free, and a limit per service adapts to what other nodes send there. A
// call that finds no room isn't queued here; its item waits in its job and is offered again. A call without an answer
// after the route's target latency is also sent to a second replica, since reward calls may be repeated.
#ifndef CURRANTLUG_JOBS_REWARDCALLER_H
#define CURRANTLUG_JOBS_REWARDCALLER_H

#include "jobs/jobcontext.h"
#include "routing/retrybudget.h"
#include "serving/concurrencylimit.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace currantlug::jobs {

struct RewardReply
{
    RewardOutcome outcome = RewardOutcome::Lost;
    std::string score; ///< Scored: the signature of the replica's response.
    int failures = 0; ///< Number of replicas that ran the request and answered with an error.
};

class RewardCaller
{
public:
    using CallId = std::uint64_t;
    using Callback = std::function<void(const RewardReply &)>;

    explicit RewardCaller(JobContext &context);

    /// Starts a call at the service. Returns its id, or nullopt if the service has no room for it now. `done` is called
    /// once and not from within start(); it isn't called after cancel().
    std::optional<CallId> start(const RewardSpec &reward, const std::string &itemId, const serving::Route &route,
                                const std::string &service, absl::Duration timeLeft, Callback done);
    /// Cancels a call and closes its connections. Does nothing for a call that has ended.
    void cancel(CallId id);
    /// Random delay before a call is repeated after `retries` refused or lost ones.
    absl::Duration backoff(int retries);

private:
    struct Attempt
    {
        std::string replica;
        net::CallId call = 0;
        bool pending = true;
    };
    struct Call
    {
        RewardSpec reward;
        std::string itemId;
        std::string service;
        serving::RegionSet regions; ///< Where it may be sent.
        Instant startedAt;
        Instant deadline; ///< Sent to the replicas; the call ends then.
        std::vector<Attempt> attempts;
        std::set<std::string> tried;
        RewardReply reply; ///< What the attempts that ended so far amount to.
        bool anyNotRun = false;
        bool anyLost = false;
        Callback done;
    };

    /// Returns false if no replica of the service has room.
    bool startAttempt(CallId id);
    void onAttemptDone(CallId id, std::size_t index, const serving::ReplicaHead &head,
                       const absl::StatusOr<net::HttpResponse> &response);
    void hedge(CallId id);
    void onDeadline(CallId id);
    void releaseAttempt(Attempt &attempt);
    void finish(CallId id, RewardOutcome outcome);
    /// Removes the call and releases all that it holds.
    Call remove(CallId id);

    JobContext &context_;
    routing::RetryBudget budget_; ///< Bounds the hedges to a share of the successful calls.
    CallId lastId_ = 0;
    std::map<CallId, Call> calls_;
    std::map<std::string, serving::ConcurrencyLimit> limits_; ///< Key: name of the service.
    /// Callbacks hold it weakly: they may run after this object was destroyed.
    std::shared_ptr<RewardCaller *> self_ = std::make_shared<RewardCaller *>(this);
};

} // namespace currantlug::jobs

#endif
