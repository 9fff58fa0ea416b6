// Which replica serves which model, and which weights to load next. No network, no clock of its own.
//
// Load this answers: several trainers that name a new version every few seconds, replicas that each can hold all
// models, and a weight store that slows down when many load at once. Giving each replica one model keeps the loads at
// one per replica and version. A step may still use the weights before its own, so a replica that is one version behind
// serves the rush at the start of a step first and loads later, while one that is further behind loads at once.
#ifndef CURRANTLUG_CONTROL_WEIGHTPLAN_H
#define CURRANTLUG_CONTROL_WEIGHTPLAN_H

#include "control/dutyport.h"
#include "core/instant.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace currantlug::control {

struct WeightPlanSettings
{
    int maxConcurrentLoads = 3; ///< One more than load at full speed, since the end of a load is noticed late.
    /// A replica one version behind loads this long after the naming: most items of a step are done by then.
    absl::Duration loadDelay = absl::Milliseconds(1500);
    int replicasPerLoad = 3; ///< Of the replicas of a model, one in so many loads at a time for one version behind.
    absl::Duration loadTimeout = absl::Seconds(4); ///< A started load without an end is looked at again.
    absl::Duration retryDelay = absl::Milliseconds(400);
};

class WeightPlan
{
public:
    explicit WeightPlan(WeightPlanSettings settings = {})
        : settings_(settings)
    {
    }

    /// A trainer named a version of its model. Older ones than known are ignored.
    void onVersionPublished(const std::string &model, std::uint64_t version, Instant now);
    /// Gives each usable replica of a service one of its models; keeps what was given before.
    void assign(const std::vector<const serving::Replica *> &replicas, const std::vector<std::string> &models);
    /// Orders to send now.
    std::vector<WeightOrder> dueOrders(const std::vector<const serving::Replica *> &replicas, SwapMode mode,
                                       Instant now);

    void onReply(const WeightOrder &order, OrderReply reply, Instant now);
    /// A replica's own report; `now` is when it came.
    void onReport(const std::string &replica, const ReplicaReport &report, Instant now);
    /// Replicas whose state isn't clear: a load may have ended, or the number of accepted orders is unknown.
    std::vector<std::string> replicasToQuery(Instant now) const;

    const std::map<std::string, std::string> &modelByReplica() const { return modelByReplica_; }
    bool isLoading(const std::string &replica) const;

private:
    struct Load
    {
        WeightOrder order;
        Instant sentAt;
        bool accepted = false; ///< The replica accepted it.
    };
    /// A replica that started anew has accepted no orders.
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
    std::map<std::string, Load> loads_; ///< Under way, by replica.
    std::map<std::string, Instant> pausedUntil_; ///< By replica.
    std::map<std::string, std::uint64_t> ordersAccepted_; ///< Orders that a replica has accepted since its start.
    std::map<std::string, std::int64_t> incarnations_; ///< Incarnation that the other maps speak of, by replica.
    std::map<std::string, std::map<std::string, std::uint64_t>> reportedVersions_; ///< Newer than the registry's.
    std::set<std::string> stateUnknown_; ///< Ask before the next order.
};

} // namespace currantlug::control

#endif
