// The duties of the node that holds the controller lease: weights, replica orders, usage reports, retirements.
#ifndef CURRANTLUG_CONTROL_CONTROLLER_H
#define CURRANTLUG_CONTROL_CONTROLLER_H

#include "control/dutyport.h"
#include "control/leasedriver.h"
#include "control/scaleplan.h"
#include "control/usagereporter.h"
#include "control/weightplan.h"
#include "jobs/jobcontext.h"
#include "objects/objectmirror.h"
#include "serving/gatewayconfig.h"
#include "serving/replicatable.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace currantlug::control {

struct PublishedVersion
{
    std::string model;
    std::uint64_t version = 0;
};

/// Objects that operators and trainers write for the controller: their kinds and how to read them.
struct ControlKinds
{
    std::string versions;
    std::function<std::optional<PublishedVersion>(const objects::StoredObject &)> parseVersion;
    std::string retirements;
    /// The status that tells the operator that a disk machine is empty; null if it is already told.
    std::function<Json(const objects::StoredObject &)> retiredStatus;
};

struct ControllerSettings
{
    UsageReporterSettings usage;
    absl::Duration scalePeriod = absl::Milliseconds(500);
    absl::Duration desiredCountsDelay =
        absl::Seconds(3); ///< The first controller takes what serves then as the target.
    /// A node that gave the lease up doesn't take it again sooner: within the platform's bound of three seconds two
    /// holders must not act in turn.
    absl::Duration reacquireDelay = absl::Milliseconds(4500);
    /// A controller that the store hasn't answered for so long hands over. A watch that is merely cut is back in less.
    absl::Duration storeOutageTimeout = absl::Milliseconds(500);
    absl::Duration candidateRankDelay = absl::Milliseconds(700); ///< Nodes try for the lease one after the other.
};

struct ControllerContext
{
    net::Loop &loop;
    serving::ReplicaTable &replicas;
    objects::ObjectPort store;
    jobs::PeerPort peers;
    DutyPort duties;
    ControlKinds kinds;
    std::function<const serving::GatewayConfig *()> config;
    /// True if a live node says that it leads.
    std::function<bool()> peerLeads;
    /// Place of this node among the live ones that don't lead, in the order of their names.
    std::function<int()> rank;
    /// True if the store answers this node itself.
    std::function<bool()> storeReachable;
    std::string node;
    std::string machine; ///< Names the machine for the lease: no other machine has the same.
    RequestCounts &counts;
    lease::LeaseSettings lease;
    ControllerSettings settings;
};

class Controller
{
public:
    explicit Controller(ControllerContext context);

    /// Call several times a second.
    void poll();
    bool leading() const { return fencingToken_.has_value(); }
    const std::map<std::string, std::string> &modelByReplica() const { return weights_.modelByReplica(); }
    void release();

private:
    void pollLease();
    void startLeading();
    void stopLeading();
    void pollWeights(Instant now);
    void pollScale(Instant now);
    void loadDesiredCounts();
    void onRetirement(const objects::ObjectChange &change);
    std::vector<const serving::Replica *> usableReplicas(const std::string &service) const;
    ScalePlan::Counts servingCounts() const;
    std::optional<LeaseHolder> holder() const;

    ControllerContext context_;
    LeaseDriver lease_;
    WeightPlan weights_;
    ScalePlan scale_;
    UsageReporter usage_;
    objects::ObjectMirror versions_;
    objects::ObjectMirror retirements_;
    std::optional<std::uint64_t> fencingToken_; ///< While this node leads.
    Instant leadingSince_;
    Instant releasedAt_; ///< The origin before the first release.
    Instant storeOutageSince_; ///< The origin while the store answers.
    Instant noLeaderSince_; ///< The origin while another node leads.
    Instant lastScale_;
    bool desiredCountsLoaded_ = false;
    bool desiredCountsLoading_ = false;
    std::set<std::string> pendingReports_; ///< Replicas whose report is under way.
};

} // namespace currantlug::control

#endif
