// Runs the items of one job that this node owns and stores their results.
#ifndef CURRANTLUG_JOBS_JOBRUNNER_H
#define CURRANTLUG_JOBS_JOBRUNNER_H

#include "jobs/itemtracker.h"
#include "jobs/jobcontext.h"
#include "jobs/resultlog.h"

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
        std::function<void()> resultsStored; ///< Results became readable.
        /// Another node stored results. None are stored here until confirmOwnership().
        std::function<void()> foreignSegmentFound;
    };
    JobRunner(JobContext &context, JobSpec spec, std::int64_t submittedMs, ResultLog log, Hooks hooks);

    const JobSpec &spec() const { return spec_; }
    const ResultLog &log() const { return log_; }
    ItemTracker &tracker() { return tracker_; }
    bool isComplete() const { return tracker_.allStored(); }
    bool isStopped() const { return stopped_; }
    /// True while items are still to be run or stored here.
    bool isOpen() const { return !stopped_ && !isComplete(); }

    /// Sends what waits, as far as replicas have room.
    void sendWaitingItems();
    /// Looks at time limits. Call several times a second.
    void tick();
    /// Ends all runs; text that was generated is kept.
    void stop(std::string_view reason);
    /// Stores a segment, be it empty, so that a former owner's next write shows it that it was overtaken.
    void fence();
    /// This node still owns the job.
    void confirmOwnership();
    /// Takes text or a whole result of an item from another job.
    void reuseText(const std::string &itemId, const ItemText &text);
    void reuseResult(const ItemResult &result);

private:
    void startAttempt(std::size_t index, serving::Replica &replica);
    void onHead(std::size_t index, std::uint64_t attempt, const serving::ReplicaHead &head);
    void onEvent(std::size_t index, std::uint64_t attempt, serving::StreamEvent event);
    void onDone(std::size_t index, std::uint64_t attempt, const serving::ReplicaHead &head, const absl::Status &status);
    /// Ends the run and lets the item wait again.
    void requeue(std::size_t index, std::string_view reason, absl::Duration delay);
    void releaseReplica(std::size_t index);
    void updateEventGap(Item &item, Instant now);
    void finishItem(std::size_t index, ResultState state);
    void flushIfDue();
    void flush();
    void onFlushed(const objects::StoreReply &reply);
    void onExistingSegment(const objects::StoreReply &reply);
    void applySegment(const Segment &segment);
    const serving::Route *route() const;
    /// True if the route wants texts of one weight version each.
    bool singleVersion() const;
    /// True if text of this version must not follow what the item has.
    bool wouldMixVersions(const Item &item, std::uint64_t version) const;
    std::string segmentKind() const;

    JobContext &context_;
    JobSpec spec_;
    ItemTracker tracker_;
    ResultLog log_;
    Hooks hooks_;
    Instant acceptedAt_;
    absl::Duration ageAtAccept_; ///< Zero for a submission; after a takeover, by the clocks of two nodes.
    std::uint64_t lastAttempt_ = 0;
    std::map<std::uint64_t, net::CallId> callsByAttempt_; ///< By run.
    std::map<std::uint64_t, std::uint64_t> attemptVersions_; ///< Weight version that a run is generating with.
    std::map<std::string, std::string> groupReplica_; ///< Where a group's prompt was last sent.
    std::optional<Segment> pendingSegment_; ///< Being stored; kept unchanged until its fate is known.
    Instant lastFlushAt_;
    bool stopped_ = false;
    bool fencePending_ = false;
    bool ownershipUncertain_ = false; ///< From a foreign segment until confirmOwnership().
};

/// Kind of the objects that hold the results of a job.
std::string resultKind(const std::string &jobId);

} // namespace currantlug::jobs

#endif
