// Keeps the controller lease in the object store from the event loop.
#ifndef CURRANTLUG_CONTROL_LEASEDRIVER_H
#define CURRANTLUG_CONTROL_LEASEDRIVER_H

#include "lease/leasedecision.h"
#include "net/eventloop.h"
#include "objects/objectport.h"

#include <optional>
#include <string>

namespace currantlug::control {

class LeaseDriver
{
public:
    LeaseDriver(net::Loop &loop, objects::ObjectPort store, std::string node, lease::LeaseSettings settings);

    /// One step: renews a held lease when that is due; else, if `candidate`, reads the lease and acquires it when that
    /// is allowed. At most one call is under way.
    void poll(bool candidate);
    /// Gives the lease up, so that a successor need not wait for it to lapse.
    void release();

    /// The fencing token, if this node may act now.
    std::optional<std::uint64_t> fencingToken() const;
    bool holds() const { return decision_.holds(); }
    /// True once the lease was read.
    bool hasRead() const { return hasRead_; }

private:
    void read();
    void write();
    void sendRelease(const lease::LeaseWrite &release, int attempts);
    /// After a release that wasn't confirmed: looks whether the lease is still this process's, and releases it again.
    void checkRelease(lease::LeaseWrite release, int attempts);
    void observe(const objects::StoreReply &reply);
    void logActingChange();

    net::Loop &loop_;
    objects::ObjectPort store_;
    std::string node_;
    lease::LeaseDecision decision_;
    Instant lastRead_;
    std::string lastNonce_; ///< Of the newest write that acquires or renews; it may take effect after a release.
    bool callInProgress_ = false;
    bool candidate_ = false; ///< As last polled. A read that began before a release must not acquire the lease again.
    bool hasRead_ = false;
    bool loggedActing_ = false; ///< As last logged.
};

} // namespace currantlug::control

#endif
