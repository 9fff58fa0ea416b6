// Reading, acquiring, renewing.
#include "control/leasedriver.h"

#include "core/hash.h"
#include "telemetry/log.h"

namespace currantlug::control {

using objects::StoreOutcome;
using objects::StoreReply;

namespace {

constexpr const char *LeaseKind = "leases";
constexpr const char *LeaseName = "controller";
// Each read is paid for; a lease lapses after a few of these.
constexpr absl::Duration ReadPeriod = absl::Milliseconds(800);

} // namespace

LeaseDriver::LeaseDriver(net::Loop &loop, objects::ObjectPort store, std::string node, lease::LeaseSettings settings)
    : loop_(loop)
    , store_(std::move(store))
    , node_(std::move(node))
    , decision_(DaemonId(node_), settings)
{
}

std::optional<std::uint64_t> LeaseDriver::token() const
{
    return decision_.mayAct(net::loopNow()) ? std::optional(decision_.term()) : std::nullopt;
}

void LeaseDriver::poll(bool candidate)
{
    logChange();
    if (calling_) {
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
    calling_ = true;
    lastRead_ = net::loopNow();
    store_.get(LeaseKind, LeaseName, [this](const StoreReply &reply) {
        calling_ = false;
        observe(reply);
        seen_ = seen_ || reply.outcome == StoreOutcome::Done || reply.outcome == StoreOutcome::NotFound;
        const bool answered = reply.outcome == StoreOutcome::Done || reply.outcome == StoreOutcome::NotFound;
        if (answered && !decision_.holds() && decision_.mayAcquire(net::loopNow())) {
            write();
        }
        logChange();
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
    const auto done = [this, nonce = write.record.nonce](const StoreReply &reply) {
        calling_ = false;
        if (reply.outcome == StoreOutcome::Done && !reply.changes.empty()) {
            decision_.written(nonce, reply.changes.front().object.revision, net::loopNow());
        } else if (reply.outcome == StoreOutcome::Conflict || reply.outcome == StoreOutcome::Unknown) {
            // The read tells whether the write took effect.
            read();
        }
        logChange();
    };
    calling_ = true;
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
    const lease::LeaseWrite write = decision_.beginRelease(randomHex(8));
    store_.replace(LeaseKind, LeaseName, write.expectedVersion, toJson(write.record), [](const StoreReply &) {});
    logChange();
}

void LeaseDriver::logChange()
{
    const bool held = decision_.mayAct(net::loopNow());
    if (held != held_) {
        held_ = held;
        telemetry::log(telemetry::Level::Info, "lease", held ? "acting" : "not_acting",
                       {{"node", node_}, {"term", decision_.term()}});
    }
}

} // namespace currantlug::control
