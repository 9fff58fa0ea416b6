// Runs the items of one job that this node owns, and stores their results. JobService creates the runners.
//
// A runner sends items to replicas and collects their streamed events (jobrunner.cpp), has complete texts scored
// (jobscoring.cpp), and stores finished results in segments (jobstoring.cpp). It detects there that another node has
// taken over the job.
#ifndef CURRANTLUG_JOBS_JOBRUNNER_H
#define CURRANTLUG_JOBS_JOBRUNNER_H

#include "jobs/itemtracker.h"
#include "jobs/jobcontext.h"
#include "jobs/loadwatch.h"
#include "jobs/resultlog.h"
#include "jobs/rewardcaller.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace currantlug::jobs {

class JobRunner : public std::enable_shared_from_this<JobRunner>
{
public:
    struct Hooks
    {
        std::function<void()> resultsStored; ///< New results can be read from log().
        /// Another node has stored a segment of this job. Nothing is stored here until confirmOwnership().
        std::function<void()> foreignSegmentFound;
    };
    JobRunner(JobContext &context, RewardCaller &rewards, JobSpec spec, std::int64_t submittedMs, ResultLog log,
              Hooks hooks);

    const JobSpec &spec() const { return spec_; }
    const ResultLog &log() const { return log_; }
    ItemTracker &tracker() { return tracker_; }
    bool isComplete() const { return tracker_.allStored(); }
    bool isStopped() const { return stopped_; }
    /// True while this runner still has items to run or results to store.
    bool isOpen() const { return !stopped_ && !isComplete(); }

    /// Abandons the items that no replica can be sent. Call once, before items are sent.
    void abandonUnsendableItems();
    /// Sends no item before releaseItems() is called or this time has passed.
    void holdItems(absl::Duration duration);
    void releaseItems();
    /// Sends waiting items while replicas have free slots.
    void sendWaitingItems();
    /// Sends the reward calls of complete texts while their services have room.
    void sendRewardCalls();
    /// Asks replicas with outdated weights for their versions while items wait.
    void queryLoadingReplicas(LoadWatch &watch);
    /// Checks time limits and slow replicas. Must be called several times a second.
    void tick();
    /// Cancels all attempts for good. Text that was generated so far is kept.
    void stop(std::string_view reason);
    /// Stores a segment, even an empty one. The next write of a former owner then conflicts with it, which tells that
    /// node that the job was taken over.
    void fence();
    /// Sends nothing until confirmOwnership(): the process was paused, and the job may have ended or been taken over.
    void suspendSending() { sendingSuspended_ = true; }
    /// Resumes storing and sending: this node was found to still own the job.
    void confirmOwnership();
    /// Takes over text or a whole result of an item with the same text key from another job, if its weight versions
    /// allow it. A score is taken only if `scoreKey` is that of the item's reward call.
    void reuseText(const std::string &textKey, const ItemText &text);
    void reuseResult(const std::string &textKey, const ItemResult &result, std::string_view scoreKey);

private:
    /// Returns a replica of the service with room for the item, or null. Text of the item is discarded if it can't go
    /// on at any of them.
    serving::Replica *chooseReplica(Item &item, const std::string &service, const serving::Route &route, Instant now);
    void startAttempt(std::size_t index, serving::Replica &replica);
    void onHead(std::size_t index, std::uint64_t attempt, const serving::ReplicaHead &head);
    void onEvent(std::size_t index, std::uint64_t attempt, serving::StreamEvent event);
    void onDone(std::size_t index, std::uint64_t attempt, const serving::ReplicaHead &head, const absl::Status &status);
    /// Cancels the attempt and makes the item wait for the next one, for at least `delay`.
    void requeue(std::size_t index, std::string_view reason, absl::Duration delay);
    void releaseReplica(std::size_t index);
    void updateEventGap(Item &item, Instant now);
    /// Event gap of the fast replicas that may run the item, among those of the service; zero if not known.
    absl::Duration fastEventGap(const Item &item, const std::string &service, Instant now);
    /// What the replicas must meet to go on with the item.
    serving::ReplicaTable::ItemRequirements requirementsOf(const Item &item, const std::string &service);
    /// Expected number of events that the item still makes.
    double eventsLeft(const Item &item, const std::string &service) const;
    /// Moves the item if it runs in a slow spell and is expected to end sooner at another replica, reading its text
    /// again included. Returns true if it was moved.
    bool moveIfSooner(std::size_t index, Instant now);
    /// Logs whether the last move of the item gained time, once enough events have followed it or the item has ended.
    void judgeMove(Item &item, bool ended, Instant now);
    void onTextComplete(std::size_t index);
    void onRewardReply(std::size_t index, int maxAttempts, const RewardReply &reply);
    void cancelRewardCall(Item &item);
    /// Time until the items of the job may be abandoned; negative once they may.
    absl::Duration timeLeft(const serving::Route &route, Instant now) const;
    void finishItem(std::size_t index, ResultState state);
    void flushIfDue();
    void flush();
    void onFlushed(const objects::StoreReply &reply);
    void onExistingSegment(const objects::StoreReply &reply);
    void applySegment(const Segment &segment);
    const serving::Route *route() const;
    /// Regions in which the items may run, by the configuration in force.
    const serving::RegionSet &regions();
    /// True if the route requires the text of an item to be of a single weight version.
    bool singleVersion() const;
    /// True if text of this weight version must not be appended to the text of the item.
    bool wouldMixVersions(const Item &item, std::uint64_t version) const;
    std::string segmentKind() const;

    JobContext &context_;
    RewardCaller &rewards_;
    JobSpec spec_;
    ItemTracker tracker_;
    ResultLog log_;
    Hooks hooks_;
    Instant acceptedAt_;
    absl::Duration ageAtAccept_; ///< Zero for a new job; after a takeover, the difference of two nodes' clocks.
    std::uint64_t lastAttempt_ = 0;
    std::map<std::uint64_t, net::CallId> callsByAttempt_; ///< Key: number of the attempt.
    std::map<std::uint64_t, std::uint64_t> attemptVersions_; ///< Current weight version of each attempt.
    struct KnownGap
    {
        absl::Duration gap;
        Instant at;
    };
    std::map<std::pair<std::string, std::uint64_t>, KnownGap> fastGaps_; ///< By service and required version.
    double mostEventsLeft_ = 0; ///< Of the open items, as of the last tick.
    std::map<std::string, std::string> groupReplica_; ///< Replica to which a group's prompt was last sent.
    std::optional<Segment> pendingSegment_; ///< Being stored; unchanged until the outcome of the write is known.
    Instant lastFlushAt_;
    Instant heldUntil_; ///< No item is sent before this time.
    serving::RegionSet regions_;
    std::uint64_t regionsRevision_ = 0; ///< Revision of the configuration that regions_ was computed from; 0 for none.
    bool stopped_ = false;
    bool fencePending_ = false;
    bool sendingSuspended_ = false;
    bool ownershipUncertain_ = false; ///< Set when another node's segment is found, until confirmOwnership().
};

/// Returns the kind of the objects that hold the result segments of a job.
std::string resultKind(const std::string &jobId);

} // namespace currantlug::jobs

#endif
