// The duties of the node that holds the controller lease: weight loads, replica orders, usage reports, retirements.
//
// Each node has a Controller. It competes for the lease, and carries the duties out only while it holds the lease.
#ifndef CURRANTLUG_CONTROL_CONTROLLER_H
#define CURRANTLUG_CONTROL_CONTROLLER_H

#include "control/dutyport.h"
#include "control/leasedriver.h"
#include "control/scaleplan.h"
#include "control/usagereporter.h"
#include "control/weightplan.h"
#include "jobs/jobcontext.h"
#include "objects/objectmirror.h"
#include "scheduling/capacityplan.h"
#include "serving/gatewayconfig.h"
#include "serving/replicatable.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace currantlug::control {

/// Replica counts of a service in all zones.
struct PlannedReplicas
{
    int wanted = 0;
    int base = 0; ///< Stored desired count.
};

struct PublishedVersion
{
    std::string model;
    std::uint64_t version = 0;
};

/// Kinds of the objects that operators and trainers write for the controller, and functions that read them.
struct ControlKinds
{
    std::string versions;
    std::function<std::optional<PublishedVersion>(const objects::StoredObject &)> parseVersion;
    std::string retirements;
    /// The status that tells the operator that a disk machine is empty; null if the object already has it.
    std::function<Json(const objects::StoredObject &)> retiredStatus;
};

struct ControllerSettings
{
    UsageReporterSettings usage;
    /// A maxMultiple of 1 orders no replicas beyond the stored counts. It is the default, since ordered replicas
    /// brought further loads of weights, which delayed the steps of a service whose items found room in time without
    /// them.
    scheduling::CapacityPlanSettings capacity{.maxMultiple = 1};
    objects::MirrorSettings mirror; ///< For published weight versions and retirements.
    absl::Duration scalePeriod = absl::Milliseconds(500);
    /// Time from acquiring the lease to reading the desired replica counts. If none are stored, the counts of the
    /// replicas that serve at that moment become the desired ones.
    absl::Duration desiredCountsDelay = absl::Seconds(3);
    /// Time for which a node that released the lease doesn't acquire it again: the platform requires that two lease
    /// holders don't alternate within three seconds.
    absl::Duration reacquireDelay = absl::Milliseconds(4500);
    /// A controller that has had no answer from the store for this long releases the lease, if a peer reaches the
    /// store. A watch that was merely disconnected recovers in less.
    absl::Duration storeOutageTimeout = absl::Milliseconds(500);
    /// Delay per rank, which staggers the nodes' attempts to acquire the lease.
    absl::Duration candidateRankDelay = absl::Milliseconds(700);
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
    /// True if a live peer reports that it leads.
    std::function<bool()> peerLeads;
    /// Zero-based position of this node among the live nodes that don't lead, sorted by name.
    std::function<int()> rank;
    /// True if the store answers this node directly, not only through a peer.
    std::function<bool()> storeReachable;
    /// What this node and its peers in contact last reported of the demand, by node.
    std::function<std::map<std::string, scheduling::DemandByModel>()> reportedDemand;
    std::string node;
    std::string machine; ///< Identifies the machine in the lease record; unique among machines.
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
    /// Replicas that each model is to have, by model; empty unless this node leads.
    scheduling::ReplicaCounts replicaShares() const;
    /// By service with models and scaling limits; empty unless this node leads.
    std::map<std::string, PlannedReplicas> plannedReplicas() const;
    /// Gives up the lease, if held, so that a successor need not wait for it to expire.
    void release();

private:
    void pollLease();
    void startLeading();
    void stopLeading();
    void pollWeights(Instant now);
    /// Number of replicas that each model of the service is to have.
    const scheduling::ReplicaCounts &shares(const std::string &service, int replicas,
                                            const std::vector<std::string> &models, Instant now);
    void pollScale(Instant now);
    /// Decides the replicas beyond the desired counts, from demand.
    void planCapacity(const serving::GatewayConfig &config, const ScalePlan::Counts &serving, Instant now);
    /// Mean slots of the usable replicas of a service; 0 if there is none.
    double slotsPerReplica(const std::string &service) const;
    std::optional<std::size_t> weightStoreReplicas(const std::string &service) const;
    void loadDesiredCounts();
    void onRetirement(const objects::ObjectChange &change);
    std::vector<const serving::Replica *> usableReplicas(const std::string &service) const;
    std::vector<const serving::Replica *> outsideEvacuations(std::vector<const serving::Replica *> replicas) const;
    ScalePlan::Counts servingCounts() const;
    std::optional<LeaseHolder> holder() const;

    ControllerContext context_;
    LeaseDriver lease_;
    WeightPlan weights_;
    ScalePlan scale_;
    scheduling::DemandBook demandBook_;
    std::map<std::string, scheduling::ModelShares> sharesByService_;
    std::map<std::string, scheduling::CapacityPlan> capacityByService_; ///< Rebuilt by each new leader.
    UsageReporter usage_;
    objects::ObjectMirror versions_;
    objects::ObjectMirror retirements_;
    std::optional<std::uint64_t> fencingToken_; ///< Set while this node leads.
    Instant leadingSince_;
    Instant releasedAt_; ///< Instant() before the first release.
    Instant storeOutageSince_; ///< Instant() while the store answers.
    Instant noLeaderSince_; ///< Instant() while another node leads.
    Instant lastScale_;
    bool desiredCountsLoaded_ = false;
    bool desiredCountsLoading_ = false;
    std::set<std::string> pendingReports_; ///< Replicas whose report was requested, until shortly after the answer.
};

} // namespace currantlug::control

#endif
