// Issues permits for requests to replicas that limit their request rate.
//
// Designed for a limit that holds over all nodes, however the demand is spread over them: one node issues all permits
// of a replica. Permits are issued by the generic cell rate algorithm, ahead of time, so that a request is told at once
// when it may be sent, or that it can't be in time.
#ifndef CURRANTLUG_SERVING_PERMITLEDGER_H
#define CURRANTLUG_SERVING_PERMITLEDGER_H

#include "serving/permitissuer.h"

#include <map>
#include <string>

namespace currantlug::serving {

struct PermitLedgerSettings
{
    /// An idle replica may get the requests of this time at once, and one more: what it takes in a second.
    absl::Duration burstTime = absl::Seconds(1);
    /// Requests a second that a replica gets at least while its limit is lower: only its responses can lift the limit.
    double minimumRate = 0.2;
    int maxBatch = 32; ///< Permits issued in one reply.
    /// Time that the nodes need to agree on a change of the node that issues a replica's permits.
    absl::Duration takeoverTime = absl::Seconds(1);
    absl::Duration idleTtl = absl::Seconds(30); ///< Schedules without requests are discarded after this time.
};

/// Rate and burst at which the permits of a cold replica are issued.
struct ColdSchedule
{
    double requestsPerSecond = 0;
    absl::Duration burstTime;
};

/// Schedule with which the requests that arrive in any second stay within `requestsPerSecond` * `over` + `slack`.
/// Permits are used up to ReplicaTableSettings::coldPermitTtl late, and requests differ in the time that they take.
ColdSchedule coldSchedule(double requestsPerSecond, double over, double slack);

class PermitLedger
{
public:
    explicit PermitLedger(PermitLedgerSettings settings)
        : settings_(settings)
    {
    }

    /// Records that nodes joined or left, so that another node may have issued permits of the same replicas until now.
    void recordMembershipChange(Instant now) { membershipChangedAt_ = now; }
    PermitReply issue(const PermitRequest &request, Instant now);
    void expire(Instant now);
    std::size_t size() const { return schedules_.size(); }

private:
    struct Schedule
    {
        double rate = 0;
        /// Time up to which the rate is used by the permits issued, as if they were used without a burst.
        Instant usedUntil;
        Instant lastRequestAt;
    };

    /// Starts or continues the schedule of a replica with the rate stated now.
    Schedule &scheduleFor(const PermitRequest &request, double rate, absl::Duration burstTime, Instant now);

    PermitLedgerSettings settings_;
    std::map<std::string, Schedule> schedules_; ///< By id and address of the replica.
    Instant membershipChangedAt_ = Instant(-absl::InfiniteDuration());
};

} // namespace currantlug::serving

#endif
