// Mirror of all objects of one kind: reads them once with list calls, then follows changes with watch calls.
#ifndef CURRANTLUG_OBJECTS_OBJECTMIRROR_H
#define CURRANTLUG_OBJECTS_OBJECTMIRROR_H

#include "net/eventloop.h"
#include "objects/objectport.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string>

namespace currantlug::objects {

struct MirrorSettings
{
    /// Maximum duration of one watch call. The store may forget a waiting call and never respond to it, which isn't
    /// noticed before this time and WatchReplyAllowance have passed: the wait bounds the age of what the mirror knows.
    /// It must be shorter than the store's history of 20 s, or else everything must be listed again after each call.
    absl::Duration watchWait = absl::Seconds(15);
    /// If not zero, the objects are listed with this period instead of being watched. Lists after the first one may be
    /// some seconds old.
    absl::Duration pollPeriod;
    /// Maximum duration of a watch call after a failure. During a store outage a call may be accepted and never
    /// answered, so the first call after a failure must time out early.
    absl::Duration probeWatchWait = absl::Milliseconds(100);
    /// Delay after a watch call that returned changes, so that changes in quick succession share the next call.
    absl::Duration batchDelay = absl::Milliseconds(100);
    /// Delay before the first retry; doubles with each consecutive failure up to `maxBackoff`.
    absl::Duration initialBackoff = absl::Milliseconds(200);
    absl::Duration maxBackoff = absl::Milliseconds(800);
};

class ObjectMirror
{
public:
    /// Called for each object that is created, changed or removed.
    using ChangeHandler = std::function<void(const ObjectChange &)>;

    ObjectMirror(net::Loop &loop, ObjectPort port, std::string kind, MirrorSettings settings,
                 ChangeHandler changeHandler);

    void start();
    /// Starts no more calls and ignores the reply to the call in progress.
    void stop()
    {
        running_ = false;
        ++generation_;
        // What happens from now on is unknown until the list after the next start.
        synced_ = false;
        failures_ = 0;
    }
    /// Changes the maximum duration of a watch call. A call in progress that may wait for longer is replaced.
    void setWatchWait(absl::Duration wait);
    /// Makes the list after the next start report all objects, and none as removed. Call while it is stopped.
    void forget() { knownRevisions_.clear(); }
    bool running() const { return running_; }
    /// True if the last list or a later change has an object of this name.
    bool knows(const std::string &name) const { return knownRevisions_.contains(name); }

    /// True once the first list since the start is complete.
    bool synced() const { return synced_; }
    /// Revision of the store up to which all changes were reported; 0 before the first list.
    std::uint64_t revision() const { return watchRevision_; }
    /// True if the last call failed.
    bool failing() const { return failures_ > 0; }
    /// True if the mirror is complete and its last call didn't fail. Changes of the last `watchWait` and
    /// WatchReplyAllowance may be missing.
    bool current() const { return synced_ && !failing(); }
    /// Time since the last response of the store; infinite before the first one.
    absl::Duration age(Instant now) const
    {
        return lastResponseAt_ == Instant() ? absl::InfiniteDuration() : now - lastResponseAt_;
    }
    /// End of the last store outage; the default value of Instant if there was none.
    Instant recoveredAt() const { return recoveredAt_; }

private:
    void list(std::string after);
    void watch();
    void onList(const StoreReply &reply);
    void onWatch(const StoreReply &reply);
    void onFailure(const StoreReply &reply, std::function<void()> retry);
    void onSuccess();
    /// Applies a change, with this revision if that of its object isn't known.
    void applyDated(const ObjectChange &change, std::uint64_t revisionIfUnknown);
    void apply(const ObjectChange &change);

    net::Loop &loop_;
    ObjectPort port_;
    std::string kind_;
    MirrorSettings settings_;
    ChangeHandler changeHandler_;
    bool running_ = false;
    /// Changed by stop() and when a call is replaced, so that replies to earlier calls are ignored.
    std::uint64_t generation_ = 0;
    bool synced_ = false;
    int failures_ = 0;
    std::uint64_t watchRevision_ = 0; ///< The next watch call returns the changes after this revision.
    Instant lastResponseAt_;
    Instant recoveredAt_;
    Instant failingSince_;
    absl::flat_hash_map<std::string, std::uint64_t> knownRevisions_; ///< Last known revision by name.
    absl::flat_hash_map<std::string, std::uint64_t> listedNames_; ///< Revision by name in the current list.
    std::uint64_t listRevision_ = 0; ///< Store revision at the first page of the current list.
};

} // namespace currantlug::objects

#endif
