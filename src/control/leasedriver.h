// Acquires, renews and releases the controller lease in the object store, from the event loop.
//
// LeaseDecision decides what is allowed; this class makes the store calls. The Controller polls it.
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

    /// Renews a held lease when that is due; otherwise, if `candidate`, reads the lease and acquires it when that is
    /// allowed. At most one of these calls is in flight at a time.
    void poll(bool candidate);
    /// Gives up the lease, so that a successor need not wait for it to expire.
    void release();

    /// The fencing token, if this node may act now.
    std::optional<std::uint64_t> fencingToken() const;
    bool holds() const { return decision_.holds(); }
    /// Time of the last confirmed acquisition or renewal; the default value of Instant if there was none.
    Instant renewedAt() const { return renewedAt_; }
    /// True once a read of the lease was answered.
    bool hasRead() const { return hasRead_; }

private:
    void read();
    void write();
    void sendRelease(const lease::LeaseWrite &release, int attempts);
    /// After an unconfirmed release: reads the lease and releases it again if this process still holds it.
    void checkRelease(lease::LeaseWrite release, int attempts);
    void observe(const objects::StoreReply &reply);
    void logActingChange();

    net::Loop &loop_;
    objects::ObjectPort store_;
    std::string node_;
    lease::LeaseDecision decision_;
    Instant lastRead_;
    Instant renewedAt_;
    std::string lastNonce_; ///< Of the newest acquisition or renewal, which may take effect after a release.
    bool callInProgress_ = false;
    bool candidate_ = false; ///< From the last poll; false after a release, so that a read in flight doesn't reacquire.
    bool hasRead_ = false;
    bool loggedActing_ = false; ///< As last logged.
};

} // namespace currantlug::control

#endif
