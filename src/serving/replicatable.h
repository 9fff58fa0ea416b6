// Table of the replicas known to this node, and load balancing among them.
//
// Designed for services with a few replicas of a few slots each, some of which are unresponsive, slow or full although
// the registry does not show it. The choice is based on this node's own requests in flight, recent failures and
// measured event gaps; the registry only determines which replicas exist.
#ifndef CURRANTLUG_SERVING_REPLICATABLE_H
#define CURRANTLUG_SERVING_REPLICATABLE_H

#include "serving/permitissuer.h"
#include "serving/regionset.h"
#include "serving/replica.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::serving {

struct ReplicaTableSettings
{
    std::string availabilityZone; ///< Availability zone of this node.
    std::string region;
    std::map<std::string, std::string> regionOfZone;
    /// How long replicas stay in use after a registry outage removed their entries. Live replicas register again within
    /// two seconds.
    absl::Duration removalGrace = absl::Milliseconds(2200);
    absl::Duration initialBackoff = absl::Milliseconds(300); ///< After a failure; doubles with each consecutive one.
    absl::Duration maxBackoff = absl::Seconds(3);
    /// A gap without new events is discarded after this time, so that a slow replica is tried again.
    absl::Duration eventGapTtl = absl::Seconds(3);
    absl::Duration fullBackoff = absl::Milliseconds(60); ///< After a refusal by a full replica.
    /// After a refusal with free slots: weights are being loaded.
    absl::Duration loadingBackoff = absl::Milliseconds(250);
    /// Other nodes are told for this time that a limit was lifted: several times the period of contact.
    absl::Duration liftedLimitTtl = absl::Seconds(5);
    /// A permit that wasn't used by this time after it became usable is void: the rate must hold in any few seconds.
    absl::Duration permitTtl = absl::Milliseconds(500);
    /// The same for cold replicas, whose rate must hold in any second.
    absl::Duration coldPermitTtl = absl::Milliseconds(200);
    /// Longest wait for the permits of items and background calls.
    absl::Duration itemPermitWait = absl::Milliseconds(300);
    /// A reported load says nothing about the present after this time, a few times that of a plain request.
    absl::Duration loadTtl = absl::Milliseconds(150);
};

/// What a replica said about the number of requests that it takes.
struct LimitStatement
{
    ReplicaIncarnation replica;
    std::optional<double> requestLimit; ///< Requests a second from all nodes together; none if not limited.
    Instant statedAt;
};

/// How the replicas of a service behave after their start.
struct ColdRule
{
    absl::Duration duration; ///< Time for which a replica is cold.
    double requestsPerSecond = 0; ///< That a cold replica takes from all nodes together.
};

class ReplicaTable
{
public:
    explicit ReplicaTable(ReplicaTableSettings settings)
        : settings_(std::move(settings))
    {
    }

    /// `now` matters only for services with a cold rule.
    void update(ReplicaEntry entry, Instant now = Instant());
    /// Sets the rules by service. The replicas of other services are never cold.
    void setColdRules(std::map<std::string, ColdRule> rules);
    /// Begins or ends the evacuation of an availability zone: its replicas get no requests meanwhile, and are cold
    /// afterwards.
    void setEvacuated(const std::string &availabilityZone, bool evacuated, Instant now);
    const std::set<std::string> &evacuatedZones() const { return evacuatedZones_; }
    bool isEvacuated(const Replica &replica) const { return evacuatedZones_.contains(replica.entry.availabilityZone); }
    /// `registryUnstable`: there is or recently was a registry outage, so a live replica may lose its entry and
    /// register again.
    void remove(const std::string &id, bool registryUnstable, Instant now);
    /// Records that a replica has said that it leaves. It then gets no more requests, whatever its registration says.
    /// Returns false if that is known, or if the table has another incarnation or none.
    bool recordLeaving(const ReplicaIncarnation &incarnation);
    /// Records a replica's statement about its request limit, unless a newer one is known. Returns true if the limit
    /// changed. `heardHere`: the statement came in a response to this node.
    bool recordLimit(const LimitStatement &statement, bool heardHere);
    /// What other nodes are told: limits in force, and those lifted recently. Only statements heard here, since the
    /// time of one that is passed on again and again would grow with each transfer.
    std::vector<LimitStatement> limitStatements(Instant now) const;
    /// Replicas that have said that they leave.
    std::vector<ReplicaIncarnation> leavingReplicas() const;
    /// Erases removed replicas that did not register again in time, and discards outdated event gaps.
    void expire(Instant now);

    Replica *find(const std::string &id);
    /// The replica, if this incarnation of it is known; else null.
    Replica *find(const ReplicaIncarnation &incarnation);
    const std::map<std::string, Replica> &all() const { return replicas_; }

    /// Which replicas with a request limit may be chosen.
    struct LimitedReplicas
    {
        bool allowed = true;
        absl::Duration maxPermitWait = absl::InfiniteDuration(); ///< Only those that may have a permit by then.
    };
    /// Returns the best replica of a service for a client request: not leaving, not in `tried`, with low load and
    /// nearby. Replicas in backoff come last, and those with a request limit after the others. Null if there is none.
    Replica *chooseForRequest(std::string_view service, const std::set<std::string> &tried, Instant now,
                              const LimitedReplicas &limited = {true, absl::InfiniteDuration()},
                              const RegionSet &regions = {});

    /// Returns the best replica of a service for a background call, which must not delay client requests: a third of
    /// the slots of each replica stays free, and replicas in backoff are left out. Null if there is none.
    Replica *chooseForBackground(std::string_view service, const std::set<std::string> &tried, Instant now,
                                 const RegionSet &regions = {});

    struct ItemRequirements
    {
        std::string service;
        std::string model;
        std::uint64_t minVersion = 0;
        std::uint64_t exactVersion = 0; ///< If not 0, only this weight version is allowed.
        RegionSet regions; ///< Only replicas in these regions are allowed.
        std::string preferred; ///< Replica that already has the prompt of the item's group; may be empty.
        const std::map<std::string, std::string> *plan = nullptr; ///< Planned model by replica, from the leader.
    };
    /// Returns the best replica with a free slot for an item of a job; null if there is none.
    Replica *chooseForItem(const ItemRequirements &requirements, const std::set<std::string> &excluded, Instant now);
    /// Event gap of the fast replicas among those that meet the requirements: about a third of the gaps are shorter.
    /// The shortest of many noisy measurements is far below what any replica keeps up. Up to four replicas have no
    /// third; the shortest gap counts. Zero if no gap is known.
    absl::Duration fastEventGap(const ItemRequirements &requirements) const;

    /// Records the time between two events of a stream of the replica. `fastGap` is that of the fast replicas.
    static void recordEventGap(Replica &replica, absl::Duration gap, absl::Duration fastGap, Instant now);
    /// Event gap that is expected of the replica now: the newest evidence counts, and a slow spell without newer
    /// evidence is expected to last as long again as it was seen. Zero if nothing is known.
    absl::Duration presentGap(const Replica &replica, absl::Duration fastGap, Instant now) const;

    /// True if a request may be sent to the replica now: it has no request limit, or this node has a permit.
    static bool hasPermit(const Replica &replica, Instant now);
    /// Uses up a permit, if the replica has a request limit.
    static void usePermit(Replica &replica, Instant now);
    /// Adds permits issued to this node for later use.
    void addPermits(Replica &replica, const PermitReply &reply, Instant now) const;
    /// Time until a replica of the service with a request limit may have a permit; none if there is no such replica.
    std::optional<absl::Duration> nextPermitIn(std::string_view service, Instant now,
                                               const RegionSet &regions = {}) const;
    /// Replicas whose permits items or background calls wait for. The caller requests some; each is returned again only
    /// after addPermits().
    std::vector<Replica *> takePermitsWanted(Instant now);

    /// Records the load that the replica reported with a response.
    static void recordLoad(Replica &replica, const std::optional<ReplicaLoad> &load, Instant now);
    void recordSuccess(Replica &replica, Instant now);
    void recordFailure(Replica &replica, Instant now);
    /// Records that the replica refused a request without running it.
    void recordRefusal(Replica &replica, const std::optional<ReplicaLoad> &load, Instant now);

private:
    /// Region of the replica; empty if its availability zone isn't known.
    std::string_view regionOf(const Replica &replica) const;
    /// True if new work for these regions may be sent to the replica, as far as it doesn't depend on its load.
    bool isEligible(const Replica &replica, const RegionSet &regions, Instant now) const;
    /// Rule of the replica's service; null if it has none.
    const ColdRule *coldRule(const Replica &replica) const;
    /// Applies what the registration says, and that the incarnation is new, to the cold state.
    void updateColdState(Replica &replica, Instant now) const;
    int zoneDistance(const Replica &replica) const;
    /// Number of requests at the replica, as far as known: those of this node, or more if the replica reported more.
    int knownLoad(const Replica &replica, Instant now) const;
    bool canRun(const Replica &replica, const ItemRequirements &requirements) const;

    ReplicaTableSettings settings_;
    std::map<std::string, Replica> replicas_;
    std::set<std::string> evacuatedZones_;
    std::map<std::string, ColdRule> coldRules_; ///< By service.
};

} // namespace currantlug::serving

#endif
