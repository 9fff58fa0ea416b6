// Decides when a lease may be acquired and when its holder may act, from what was read and written and when.
#ifndef CURRANTLUG_LEASE_LEASEDECISION_H
#define CURRANTLUG_LEASE_LEASEDECISION_H

#include "core/instant.h"
#include "lease/leaserecord.h"

#include <optional>
#include <vector>

namespace currantlug::lease {

struct LeaseSettings
{
    absl::Duration duration = absl::Seconds(9);
    absl::Duration renewEvery = absl::Seconds(3); ///< Two renewals may fail before the lease lapses.
    absl::Duration margin = absl::Seconds(1); ///< For monotonic clocks that run at different rates.
    absl::Duration sendBound = absl::Seconds(2); ///< From the holder's last allowed send to its last byte on the wire.
    /// The holder's id names a machine that runs one process at a time: a record with the own id was written by a
    /// process that has ended, and may be taken over at once.
    bool idNamesMachine = false;
    absl::Duration tcpUserTimeout = absl::Seconds(2); ///< The kernel retransmits sent bytes for so long.
};

/// A write to make: putIf(expectedVersion, record).
struct LeaseWrite
{
    std::uint64_t expectedVersion = 0;
    LeaseRecord record;
};

/// No clock and no I/O. Only differences of this process's own instants are used, so the clocks of two holders need
/// not agree. Not thread-safe.
class LeaseDecision
{
public:
    LeaseDecision(DaemonId self, LeaseSettings settings)
        : self_(std::move(self))
        , settings_(settings)
    {
    }

    /// What a read found, at the instant the answer arrived. Reads must not overtake each other. Version 0 and no
    /// record where there is no object. Also resolves writes of this process whose answers were lost, by their nonces.
    void observe(std::uint64_t version, const std::optional<LeaseRecord> &record, Instant now);

    /// True if this process does not hold the lease, and the record is released or was seen unchanged for its duration
    /// and the margin.
    bool mayAcquire(Instant now) const;

    /// True if this process holds the lease, has waited for the bytes of its predecessor, and the lease has not lapsed.
    bool mayAct(Instant now) const;

    /// True if a third of the duration has passed since the last confirmed renewal. Also true after the lease lapsed:
    /// as long as nobody else acquired it, a renewal makes it valid again.
    bool renewalDue(Instant now) const;

    /// The write that acquires or renews, to be sent after `now`. The lease counts from `now`. Call only if
    /// mayAcquire() or holds(). `nonce` must be new.
    LeaseWrite beginWrite(std::string nonce, Instant now);

    /// The answer of putIf for the write with this nonce. After a mismatch or an unknown effect, observe() a read.
    void written(const std::string &nonce, std::uint64_t version, Instant now);

    /// The write that releases; the holder no longer acts from here on. Call only if holds().
    LeaseWrite beginRelease(std::string nonce);

    bool holds() const { return held_.has_value(); }

    /// Term of the held lease, the fencing token. 0 if not held.
    std::uint64_t term() const { return held_ ? held_->term : 0; }

    /// When the held lease lapses; the deadline for guards.
    std::optional<Instant> deadline() const;

    /// First instant at which the holder may act.
    std::optional<Instant> actFrom() const;

    /// The version last seen.
    std::uint64_t version() const { return version_; }

private:
    struct Held
    {
        std::uint64_t term = 0;
        Instant renewedAt; ///< Before the last confirmed write was sent.
        Instant actFrom;
    };
    struct Attempt
    {
        LeaseRecord record;
        Instant sentAt;
        Instant actFrom;
    };

    const Attempt *findAttempt(const std::string &nonce) const;
    void confirmAttempt(const Attempt &attempt, std::uint64_t version, Instant now);
    Instant firstActAfterAcquiring(Instant now) const;
    bool isOwnFormer(const LeaseRecord &record) const;
    absl::Duration holderDuration() const;

    DaemonId self_;
    LeaseSettings settings_;
    std::uint64_t version_ = 0; ///< Version of the newest record seen.
    std::optional<LeaseRecord> record_; ///< Record at version_.
    std::optional<Instant> seenSince_; ///< When version_ was first seen; unset before the first read.
    std::optional<Held> held_;
    std::vector<Attempt> attempts_; ///< Writes whose effect is not known yet.
};

} // namespace currantlug::lease

#endif
