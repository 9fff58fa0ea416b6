// Decides which replica serves which model, and which weight versions to load next. Makes no calls and reads no clock.
//
// Several trainers publish a new weight version every few seconds, each replica can hold all models, and the weight
// store slows down when many replicas load at once. Assigning one model to each replica limits the loads to one per
// replica and version. A training step may still use the previous weight version, so each replica needs only every
// second version: the half of the replicas that is two versions behind loads as soon as a version is published, when
// the step before has ended and these replicas are idle, and the other half runs the new step meanwhile. Until the
// halves have formed, replicas that are one version behind load as well, after the burst of requests at the start of a
// step.
#ifndef CURRANTLUG_CONTROL_WEIGHTPLAN_H
#define CURRANTLUG_CONTROL_WEIGHTPLAN_H

#include "control/dutyport.h"
#include "core/instant.h"
#include "scheduling/modelshares.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace currantlug::control {

struct WeightPlanSettings
{
    /// One in this many replicas of a service may load at a time, rounded, and one more, since the end of a load is
    /// noticed late. Beyond about that share loads slow down: the deployments state 2 of 9 and of 11 replicas, 7 of 35,
    /// 10 of 48 and 12 of 62.
    int replicasPerConcurrentLoad = 5;
    /// Time from the publication of a version to its load at replicas that are one version behind. Most items of a step
    /// are done by then.
    absl::Duration loadDelay = absl::Milliseconds(1500);
    /// A replica that is one version behind loads only while fewer than one in this many replicas of its model load; at
    /// least one may always load. It doesn't load once half of the replicas of its model have the newest version.
    int replicasPerLoad = 3;
    absl::Duration loadTimeout = absl::Seconds(4); ///< After this, the replica is queried for the state of its load.
    absl::Duration retryDelay = absl::Milliseconds(400);
};

class WeightPlan
{
public:
    explicit WeightPlan(WeightPlanSettings settings = {})
        : settings_(settings)
    {
    }

    /// A trainer published a weight version of its model. Versions older than the newest known one are ignored.
    void onVersionPublished(const std::string &model, std::uint64_t version, Instant now);
    /// Assigns each usable replica of a service one of the service's models. `counts` is the number of replicas that
    /// each model is to have; if empty, all models get alike. Existing assignments are kept, except that one replica
    /// per call is reassigned while the surpluses of two models, relative to those numbers, differ by two or more.
    void assign(const std::vector<const serving::Replica *> &replicas, const std::vector<std::string> &models,
                const scheduling::ReplicaCounts &counts = {});
    /// Returns the orders to send now. `weightStoreReplicas` is the number of replicas that the weight store is sized
    /// for, if less than all: it doesn't grow with replicas ordered for demand.
    std::vector<WeightOrder> dueOrders(const std::vector<const serving::Replica *> &replicas, SwapMode mode,
                                       Instant now, std::optional<std::size_t> weightStoreReplicas = std::nullopt);

    void onReply(const WeightOrder &order, OrderReply reply, Instant now);
    /// Processes a replica's report, which arrived at `now`.
    void onReport(const std::string &replica, const ReplicaReport &report, Instant now);
    /// Replicas to ask for a report: a load may have ended, or the number of accepted orders is unknown.
    std::vector<std::string> replicasToQuery(Instant now) const;

    const std::map<std::string, std::string> &modelByReplica() const { return modelByReplica_; }
    bool isLoading(const std::string &replica) const;

private:
    struct Load
    {
        WeightOrder order;
        Instant sentAt;
        bool accepted = false; ///< The replica confirmed that it accepted the order.
    };
    /// Discards the state of a replica's former incarnation: a restarted replica has accepted no orders.
    void resetAfterRestart(const serving::ReplicaEntry &entry);
    std::uint64_t versionOf(const serving::Replica &replica, const std::string &model) const;
    std::uint64_t latestVersion(const std::string &model) const;

    WeightPlanSettings settings_;
    struct LatestVersion
    {
        std::uint64_t version = 0;
        Instant publishedAt;
    };
    std::map<std::string, LatestVersion> latestVersions_; ///< Newest version by model.
    std::map<std::string, std::string> modelByReplica_;
    std::map<std::string, Load> loads_; ///< Loads in progress, by replica.
    std::uint64_t lastOrderId_ = 0;
    std::map<std::string, Instant> pausedUntil_; ///< No orders before this, by replica.
    std::map<std::string, std::uint64_t> ordersAccepted_; ///< Orders that a replica has accepted since its start.
    std::map<std::string, std::int64_t> incarnations_; ///< Incarnation that the other maps refer to, by replica.
    /// By replica and model; may be newer than the registry's.
    std::map<std::string, std::map<std::string, std::uint64_t>> reportedVersions_;
    std::set<std::string> stateUnknown_; ///< Replicas that must report before their next order.
};

} // namespace currantlug::control

#endif
