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
    absl::Duration wait = absl::Seconds(20); ///< Of one watch; the store allows 30 s.
    /// Of a watch after a failure. A store that is away may take a call and never answer it, so the first call after a
    /// failure must end soon.
    absl::Duration probeWait = absl::Milliseconds(100);
    /// Pause after a watch that brought news, so that changes in quick succession share a call.
    absl::Duration pause = absl::Milliseconds(100);
    absl::Duration firstRetry = absl::Milliseconds(200);
    absl::Duration lastRetry = absl::Milliseconds(1600); ///< Doubles up to this while the store doesn't answer.
};

class ObjectMirror
{
public:
    /// `changed` is called for each object that is new, changed or removed.
    using Changed = std::function<void(const ObjectChange &)>;

    ObjectMirror(net::Loop &loop, ObjectPort port, std::string kind, MirrorSettings settings, Changed changed);

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
    Instant lastAnswer() const { return lastAnswer_; }
    /// End of the last failure; the origin if there was none.
    Instant recoveredAt() const { return recoveredAt_; }

private:
    void list(std::string after);
    void watch();
    void onList(const StoreReply &reply);
    void onWatch(const StoreReply &reply);
    void failed(const StoreReply &reply, std::function<void()> again);
    void answered();
    void apply(const ObjectChange &change);

    net::Loop &loop_;
    ObjectPort port_;
    std::string kind_;
    MirrorSettings settings_;
    Changed changed_;
    bool running_ = false;
    std::uint64_t generation_ = 0; ///< Answers to calls of an earlier start are dropped.
    bool synced_ = false;
    int failures_ = 0;
    std::uint64_t asOf_ = 0; ///< Continue watching from here.
    Instant lastAnswer_;
    Instant recoveredAt_;
    Instant failingSince_;
    absl::flat_hash_map<std::string, std::uint64_t> known_; ///< Revision by name.
    absl::flat_hash_map<std::string, std::uint64_t> listed_; ///< Names of the list under way.
    std::uint64_t listAsOf_ = 0; ///< Revision of the first page of the list under way.
};

} // namespace currantlug::objects

#endif
