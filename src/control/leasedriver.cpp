// Reads, acquires, renews and releases the lease.
#include "control/leasedriver.h"

#include "core/hash.h"
#include "telemetry/log.h"

namespace currantlug::control {

using objects::StoreOutcome;
using objects::StoreReply;

namespace {

constexpr const char *LeaseKind = "leases";
constexpr const char *LeaseName = "controller";
// Each read of the store costs money; a lease expires after a few of these periods.
constexpr absl::Duration ReadPeriod = absl::Milliseconds(800);
// An unconfirmed release is retried for about half of the lease's duration; after that the lease expires soon anyway.
constexpr absl::Duration ReleaseRetryDelay = absl::Milliseconds(100);
constexpr int MaxReleaseAttempts = 12;

} // namespace

LeaseDriver::LeaseDriver(net::Loop &loop, objects::ObjectPort store, std::string node, lease::LeaseSettings settings)
    : loop_(loop)
    , store_(std::move(store))
    , node_(std::move(node))
    , decision_(DaemonId(node_), settings)
{
}

std::optional<std::uint64_t> LeaseDriver::fencingToken() const
{
    return decision_.mayAct(net::loopNow()) ? std::optional(decision_.term()) : std::nullopt;
}

void LeaseDriver::poll(bool candidate)
{
    logActingChange();
    candidate_ = candidate;
    if (callInProgress_) {
        return;
    }
    if (decision_.holds()) {
        if (decision_.renewalDue(net::loopNow())) {
            write();
        }
    } else if (candidate && net::loopNow() - lastRead_ >= ReadPeriod) {
        read();
    }
}

void LeaseDriver::read()
{
    callInProgress_ = true;
    lastRead_ = net::loopNow();
    store_.get(LeaseKind, LeaseName, [this](const StoreReply &reply) {
        callInProgress_ = false;
        observe(reply);
        const bool answered = reply.outcome == StoreOutcome::Done || reply.outcome == StoreOutcome::NotFound;
        hasRead_ = hasRead_ || answered;
        if (answered && candidate_ && !decision_.holds() && decision_.mayAcquire(net::loopNow())) {
            write();
        }
        logActingChange();
    });
}

void LeaseDriver::observe(const StoreReply &reply)
{
    if (reply.outcome == StoreOutcome::NotFound) {
        decision_.observe(0, std::nullopt, net::loopNow());
        return;
    }
    if (reply.changes.empty()) {
        return;
    }
    const objects::StoredObject &object = reply.changes.front().object;
    const auto record = lease::parseLeaseRecord(object.value.dump());
    if (!record.ok()) {
        telemetry::log(telemetry::Level::Error, "lease", "record_unreadable", telemetry::errorFields(record.status()));
        return;
    }
    decision_.observe(object.revision, *record, net::loopNow());
}

void LeaseDriver::write()
{
    const lease::LeaseWrite write = decision_.beginWrite(randomHex(8), net::loopNow());
    lastNonce_ = write.record.nonce;
    const auto done = [this, nonce = write.record.nonce](const StoreReply &reply) {
        callInProgress_ = false;
        if (reply.outcome == StoreOutcome::Done && !reply.changes.empty()) {
            renewedAt_ = net::loopNow();
            decision_.written(nonce, reply.changes.front().object.revision, renewedAt_);
        } else if (reply.outcome == StoreOutcome::Conflict || reply.outcome == StoreOutcome::Unknown) {
            // The read shows whether the write took effect.
            read();
        }
        logActingChange();
    };
    callInProgress_ = true;
    if (write.expectedVersion == 0) {
        store_.create(LeaseKind, LeaseName, toJson(write.record), done);
    } else {
        store_.replace(LeaseKind, LeaseName, write.expectedVersion, toJson(write.record), done);
    }
}

void LeaseDriver::release()
{
    if (!decision_.holds()) {
        return;
    }
    candidate_ = false;
    sendRelease(decision_.beginRelease(randomHex(8)), MaxReleaseAttempts);
    logActingChange();
}

void LeaseDriver::sendRelease(const lease::LeaseWrite &release, int attempts)
{
    store_.replace(LeaseKind, LeaseName, release.expectedVersion, toJson(release.record),
                   [this, release, attempts](const StoreReply &reply) {
                       telemetry::log(telemetry::Level::Info, "lease", "released",
                                      {{"node", node_},
                                       {"term", release.record.term},
                                       {"outcome", nameOf(reply.outcome)},
                                       {"attempts_left", attempts}});
                       if (reply.outcome != StoreOutcome::Done && attempts > 0) {
                           net::runAfter(loop_, ReleaseRetryDelay,
                                         [this, release, attempts] { checkRelease(release, attempts - 1); });
                       }
                   });
}

void LeaseDriver::checkRelease(lease::LeaseWrite release, int attempts)
{
    store_.get(LeaseKind, LeaseName, [this, release = std::move(release), attempts](const StoreReply &reply) mutable {
        if (reply.outcome != StoreOutcome::Done || reply.changes.empty()) {
            if (reply.outcome != StoreOutcome::NotFound && attempts > 0) {
                net::runAfter(loop_, ReleaseRetryDelay,
                              [this, release, attempts] { checkRelease(release, attempts - 1); });
            }
            return;
        }
        const objects::StoredObject &object = reply.changes.front().object;
        const auto record = lease::parseLeaseRecord(object.value.dump());
        // A renewal that was in flight at the release took effect. Any other record is a successor's or the release.
        if (record.ok() && record->nonce == lastNonce_ && !decision_.holds()) {
            release.expectedVersion = object.revision;
            sendRelease(release, attempts);
        }
    });
}

void LeaseDriver::logActingChange()
{
    const bool acting = decision_.mayAct(net::loopNow());
    if (acting != loggedActing_) {
        loggedActing_ = acting;
        telemetry::log(telemetry::Level::Info, "lease", acting ? "acting" : "not_acting",
                       {{"node", node_}, {"term", decision_.term()}});
    }
}

} // namespace currantlug::control
