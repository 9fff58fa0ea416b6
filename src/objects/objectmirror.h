// A local copy of all objects of one kind, kept up to date by a list and then watches.
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
    absl::Duration watchWait = absl::Seconds(20); ///< Of one watch; the store allows 30 s.
    /// Of a watch after a failure. A store that is away may take a call and never answer it, so the first call after a
    /// failure must end soon.
    absl::Duration probeWatchWait = absl::Milliseconds(100);
    /// Pause after a watch that brought news, so that changes in quick succession share a call.
    absl::Duration batchDelay = absl::Milliseconds(100);
    absl::Duration initialBackoff = absl::Milliseconds(200);
    absl::Duration maxBackoff = absl::Milliseconds(1600); ///< Doubles up to this while the store doesn't answer.
};

class ObjectMirror
{
public:
    /// `changed` is called for each object that is new, changed or removed.
    using ChangeHandler = std::function<void(const ObjectChange &)>;

    ObjectMirror(net::Loop &loop, ObjectPort port, std::string kind, MirrorSettings settings,
                 ChangeHandler changeHandler);

    void start();
    /// No more calls after the one under way.
    void stop()
    {
        running_ = false;
        ++generation_;
    }
    bool running() const { return running_; }

    /// True from the first complete list on.
    bool synced() const { return synced_; }
    /// True while the last call failed.
    bool failing() const { return failures_ > 0; }
    /// True while the copy is complete and hears of changes.
    bool current() const { return synced_ && !failing(); }
    /// When the store last answered; the origin before it ever did.
    Instant lastResponseAt() const { return lastResponseAt_; }
    /// End of the last failure; the origin if there was none.
    Instant recoveredAt() const { return recoveredAt_; }

private:
    void list(std::string after);
    void watch();
    void onList(const StoreReply &reply);
    void onWatch(const StoreReply &reply);
    void onFailure(const StoreReply &reply, std::function<void()> retry);
    void onSuccess();
    void apply(const ObjectChange &change);

    net::Loop &loop_;
    ObjectPort port_;
    std::string kind_;
    MirrorSettings settings_;
    ChangeHandler changeHandler_;
    bool running_ = false;
    std::uint64_t generation_ = 0; ///< Answers to calls of an earlier start are dropped.
    bool synced_ = false;
    int failures_ = 0;
    std::uint64_t watchRevision_ = 0; ///< Continue watching from here.
    Instant lastResponseAt_;
    Instant recoveredAt_;
    Instant failingSince_;
    absl::flat_hash_map<std::string, std::uint64_t> knownRevisions_; ///< Revision by name.
    absl::flat_hash_map<std::string, std::uint64_t> listedNames_; ///< Names of the list under way.
    std::uint64_t listRevision_ = 0; ///< Revision of the first page of the list under way.
};

} // namespace currantlug::objects

#endif
