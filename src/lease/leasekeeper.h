// Keeps a lease in the object store: acquires, renews, resolves lost answers, releases.
#ifndef CURRANTLUG_LEASE_LEASEKEEPER_H
#define CURRANTLUG_LEASE_LEASEKEEPER_H

#include "core/error.h"
#include "core/hash.h"
#include "lease/leasedecision.h"
#include "platform/objectstore.h"

#include <functional>
#include <mutex>

namespace currantlug::lease {

/// Leave to act, for one order or report.
struct LeaseGrant
{
    std::uint64_t term = 0; ///< Fencing token.
    Instant deadline; ///< For DeadlineGuard: nothing is sent after it.
};

/// poll() and release() are called by one thread; grant() by any.
template<platform::ObjectStoreLike Store>
class LeaseKeeper
{
public:
    LeaseKeeper(Store &store, std::string_view name, DaemonId self, LeaseSettings settings = {},
                std::function<Instant()> clock = monotonicNow)
        : store_(store)
        , key_(leaseKey(name))
        , decision_(std::move(self), settings)
        , clock_(std::move(clock))
    {
    }

    /// One step: renews a held lease when that is due, else reads the lease and acquires it when that is allowed. At
    /// most one write and two reads. Call about once a second. An error of the store leaves the lease as it was.
    absl::Status poll();

    /// Gives the lease up so that a successor need not wait for it to lapse. Call only when every order sent under it
    /// is answered.
    absl::Status release();

    /// The grant, if this process may act now.
    std::optional<LeaseGrant> grant() const
    {
        const std::lock_guard lock(mutex_);
        if (!decision_.mayAct(clock_())) {
            return std::nullopt;
        }
        return LeaseGrant{decision_.term(), *decision_.deadline()};
    }

    bool holds() const
    {
        const std::lock_guard lock(mutex_);
        return decision_.holds();
    }

private:
    absl::Status readAndObserve();
    absl::Status write();

    Store &store_;
    std::string key_;
    mutable std::mutex mutex_; ///< Guards decision_; not held during store calls.
    LeaseDecision decision_;
    std::function<Instant()> clock_;
};

template<platform::ObjectStoreLike Store>
absl::Status LeaseKeeper<Store>::poll()
{
    bool held = false;
    bool due = false;
    {
        const std::lock_guard lock(mutex_);
        held = decision_.holds();
        due = held && decision_.renewalDue(clock_());
    }
    if (held && !due) {
        return absl::OkStatus();
    }
    if (!held) {
        if (absl::Status status = readAndObserve(); !status.ok()) {
            return status;
        }
        const std::lock_guard lock(mutex_);
        // The read may have shown that an earlier write of this process took effect.
        if (decision_.holds() || !decision_.mayAcquire(clock_())) {
            return absl::OkStatus();
        }
    }
    return write();
}

template<platform::ObjectStoreLike Store>
absl::Status LeaseKeeper<Store>::release()
{
    LeaseWrite release;
    {
        const std::lock_guard lock(mutex_);
        if (!decision_.holds()) {
            return absl::OkStatus();
        }
        release = decision_.beginRelease(randomHex(8));
    }
    const auto written = store_.putIf(key_, release.expectedVersion, toJson(release.record).dump());
    return written.ok() ? absl::OkStatus() : written.status();
}

template<platform::ObjectStoreLike Store>
absl::Status LeaseKeeper<Store>::write()
{
    LeaseWrite write;
    {
        const std::lock_guard lock(mutex_);
        write = decision_.beginWrite(randomHex(8), clock_());
    }
    const auto written = store_.putIf(key_, write.expectedVersion, toJson(write.record).dump());
    if (written.ok()) {
        const std::lock_guard lock(mutex_);
        decision_.written(write.record.nonce, *written, clock_());
        return absl::OkStatus();
    }
    return readAndObserve();
}

template<platform::ObjectStoreLike Store>
absl::Status LeaseKeeper<Store>::readAndObserve()
{
    const auto stored = store_.get(key_);
    if (stored.status().code() == absl::StatusCode::kNotFound) {
        const std::lock_guard lock(mutex_);
        decision_.observe(platform::CreateOnly, std::nullopt, clock_());
        return absl::OkStatus();
    }
    if (!stored.ok()) {
        return stored.status();
    }
    absl::StatusOr<LeaseRecord> record = parseLeaseRecord(stored->value);
    if (!record.ok()) {
        return record.status();
    }
    const std::lock_guard lock(mutex_);
    decision_.observe(stored->version, *std::move(record), clock_());
    return absl::OkStatus();
}

} // namespace currantlug::lease

#endif
