// Handles batch jobs at one node: accepts submissions, runs the jobs that the node owns, answers reads of all jobs and
// takes over the jobs of lost nodes.
//
// The object store is the only authority. A job is accepted by creating its record, which also detects repeated
// submissions. Result segments are created only if absent, so two nodes that both believe they own a job can't disagree
// on its results. Ownership only avoids duplicate work.
#ifndef CURRANTLUG_JOBS_JOBSERVICE_H
#define CURRANTLUG_JOBS_JOBSERVICE_H

#include "core/enumnames.h"
#include "jobs/jobcontext.h"
#include "jobs/jobretention.h"
#include "jobs/jobrunner.h"
#include "scheduling/modeldemand.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace currantlug::jobs {

enum class SubmitOutcome {
    Accepted,
    Refused, ///< No item of the job runs, now or later.
    Unknown, ///< The job may have been accepted.
};

} // namespace currantlug::jobs

template<>
struct currantlug::EnumNames<currantlug::jobs::SubmitOutcome>
{
    using SubmitOutcome = currantlug::jobs::SubmitOutcome;
    static constexpr std::array<std::pair<SubmitOutcome, std::string_view>, 3> Table{{
        {SubmitOutcome::Accepted, "accepted"},
        {SubmitOutcome::Refused, "refused"},
        {SubmitOutcome::Unknown, "unknown"},
    }};
};

namespace currantlug::jobs {

enum class ReadOutcome {
    Found,
    NotFound, ///< The store has no such job, or the job belongs to another workspace.
    Unavailable, ///< Neither the store nor the owner gave a usable answer in time.
};

class JobService
{
public:
    explicit JobService(JobContext context);

    /// Accepts a job here, or at the node that chooseJobHost() names.
    void submit(JobSpec spec, std::function<void(SubmitOutcome)> done);
    using PageCallback = std::function<void(ReadOutcome, ResultPage)>;
    /// Reads results from position `after` on; waits up to `wait` for the first one.
    void read(const std::string &jobId, const std::string &workspace, std::uint64_t after, absl::Duration wait,
              PageCallback done);
    using BodyCallback = std::function<void(ReadOutcome, std::string)>;
    void readBody(const std::string &jobId, const std::string &workspace, const std::string &itemId, BodyCallback done);
    /// Ends the job. The outcome is Found once the end is stored.
    void endJob(const std::string &jobId, const std::string &workspace, std::function<void(ReadOutcome)> done);

    /// Handles a call that a peer sent through its PeerPort. Returns false for an unknown method.
    bool handlePeerCall(const std::string &method, const Json &body, std::function<void(Json)> reply);

    /// Enforces time limits. Must be called several times a second.
    void tick();
    /// Sends waiting items to replicas. Call after replicas or the configuration changed.
    void dispatchItems();
    /// Holds all items back until the store has shown that their jobs are still open and owned here. To be called after
    /// a pause of the process.
    void onPaused();
    /// Searches the store for orphaned jobs and takes over those that fall to this node. Call after this node started.
    void scanOrphanedJobs();
    /// Call some time after this node started, at which it has contact to its peers: all nodes may have restarted, so
    /// that none knows of a loss. Only a few ranked nodes search the store.
    void scanAfterStart();
    /// Call after another node was lost, left or restarted. Only the nodes that come first in the ranking of its
    /// successors search for its jobs: a search by each node would make as many calls as there are nodes, for each node
    /// of a rolling restart. `heldTexts`: the node may have run jobs, by what it last said. A node that ran none is
    /// searched for as well, since it may have accepted a job right before, but several such nodes share a search.
    void onNodeLost(const std::string &node, bool heldTexts);
    /// Stops running items and refuses new submissions, so that other nodes can take the jobs over.
    void releaseJobs();
    std::size_t openJobCount() const;
    /// True if this node may have texts of the items of earlier jobs.
    bool holdsTexts() const { return !owned_.empty() || !formerlyOwned_.empty(); }
    /// Number of items of the open jobs by state.
    std::map<ItemState, std::size_t> itemCounts() const;
    /// Demand of the trainers whose jobs run here.
    scheduling::DemandByModel demand() const { return demand_.demand(net::loopNow()); }

private:
    /// Where a submission may be carried out.
    enum class SubmitAt {
        BestNode, ///< At the node that runs the jobs of the model.
        ThisNode,
    };
    struct Submission;
    struct EndRequest;
    struct PendingRead
    {
        std::uint64_t after = 0;
        Instant deadline;
        PageCallback done;
    };
    /// A job that this node owns or owned.
    struct OwnedJob
    {
        JobRecord record;
        std::uint64_t revision = 0;
        std::shared_ptr<JobRunner> runner;
        net::MemoryShare memory; ///< For the bodies of the items.
        std::vector<PendingRead> pendingReads;
        JobRetention retention;
        Instant nextRemoval; ///< The record isn't removed before this time. Infinite while a removal is in progress.
    };
    /// Results of another node's job as read from the store.
    struct CachedLog
    {
        ResultLog log;
        Instant expiresAt;
    };
    struct CachedRecord
    {
        JobRecord record;
        std::uint64_t revision = 0;
        Instant expiresAt;
    };

    /// How the objects of a job were loaded from the store.
    enum class LoadOutcome {
        Loaded,
        Unavailable, ///< The store didn't answer, or has only a part of the objects.
        Unreadable, ///< An object can't be read, which another attempt won't change soon.
    };
    struct TakeoverRetry
    {
        Instant notBefore;
        absl::Duration delay; ///< From the last failure to notBefore.
    };

    net::MemoryShare memoryFor(const JobSpec &spec) const;
    /// Regions in which a job may run and its bodies may be kept, by the configuration in force. If it has no such
    /// route, items can't run at all.
    serving::RegionSet regionsOf(const std::string &host, const std::string &path, const std::string &workspace) const;
    /// The object store for calls that carry bodies.
    objects::ObjectPort storeFor(const serving::RegionSet &regions) const;
    void submitAt(SubmitAt place, JobSpec spec, std::function<void(SubmitOutcome)> done);
    /// Has the node that runs the jobs of the model submit the job. Returns false if that is this node.
    bool forward(const std::shared_ptr<Submission> &submission);
    void onForwardReply(const std::shared_ptr<Submission> &submission, const std::string &host,
                        const absl::StatusOr<Json> &reply);
    void submitHere(const std::shared_ptr<Submission> &submission);
    void handleForwarded(const Json &body, std::function<void(Json)> reply);
    void writePart(const std::shared_ptr<Submission> &submission, std::uint64_t part);
    void writeRecord(const std::shared_ptr<Submission> &submission);
    void onRecordReply(const std::shared_ptr<Submission> &submission, const objects::StoreReply &reply, int asOfPause);
    void resolveRecordConflict(const std::shared_ptr<Submission> &submission);
    void finishSubmission(const std::shared_ptr<Submission> &submission, SubmitOutcome outcome);
    /// Begins to run a job that the store names this node as the owner of. A job whose end is known here is added
    /// stopped. `asOfPause`: value of pauses_ when the call was sent whose reply shows the ownership.
    void addOwnedJob(const JobRecord &record, std::uint64_t revision, JobSpec spec, ResultLog log, int asOfPause);
    /// Reads the job's record from the store and stops the job here if another node owns it or it has ended.
    void checkOwnership(const std::string &jobId);
    /// Stops running a job that another node took over and answers its pending reads.
    void loseOwnership(const std::string &jobId);
    static Json textKeys(const JobSpec &spec);
    /// Asks peers, stopping ones included, for text that was generated for these items. Calls `onTexts` for each answer
    /// that contains text, and `onAll` once every peer has answered or timed out; that may be within the call.
    void requestTexts(const Json &keys, const std::function<void(const Json &)> &onTexts,
                      const std::function<void()> &onAll);
    /// Returns the texts of stopped jobs here for these text keys, by key.
    Json textsFor(const Json &keys) const;
    static void addTexts(JobRunner &runner, const Json &keys, Json &texts);
    void applyTexts(const std::string &jobId, const Json &texts);

    using RecordCallback = std::function<void(ReadOutcome, const CachedRecord *)>;
    void loadRecord(const std::string &jobId, bool bypassCache, RecordCallback done);
    void readOwned(OwnedJob &owned, std::uint64_t after, absl::Duration wait, PageCallback done);
    void readRemote(const std::string &jobId, const std::string &workspace, std::uint64_t after, absl::Duration wait,
                    bool bypassCache, PageCallback done);
    void readFromStore(const JobRecord &record, std::uint64_t after, PageCallback done);
    void onResultsStored(const std::string &jobId);
    void servePendingReads(const std::string &jobId);
    void readBodyFromStore(const JobRecord &record, const std::string &itemId, BodyCallback done);
    void loadParts(const JobRecord &record, std::function<void(LoadOutcome, JobSpec)> done);
    void loadPart(const JobRecord &record, std::uint64_t part, const std::shared_ptr<JobSpec> &spec,
                  std::function<void(LoadOutcome, JobSpec)> done);
    void loadLog(const std::string &jobId, const std::shared_ptr<ResultLog> &log,
                 std::function<void(LoadOutcome)> done);

    void storeEnd(const std::shared_ptr<EndRequest> &request, bool bypassCache);
    /// Takes over the revision of the owned job's record from the reply to its replacement.
    void recordRevision(const std::string &jobId, const objects::StoreReply &reply);
    void markEnded(const std::string &jobId);
    /// Detects ends and takeovers that were stored by a node which can't reach this one.
    void checkOwnershipOfOpenJobs();
    void notifyAllOfEnd(const std::string &jobId);
    void notifyOfEnd(const std::string &node, const std::string &jobId, int triesLeft);
    /// True if this node is one of the first `scanners` in the ranking of the nodes that search for orphaned jobs.
    bool isScanner(std::size_t scanners) const;
    void planSharedScan();
    void onOrphanScanReply(objects::StoreReply reply);
    /// Nodes that may take over jobs of a lost owner, best first, by the view of this node. Empty only if no node is in
    /// the given regions.
    std::vector<std::string> successorsOf(const std::string &owner, const serving::RegionSet &regions = {}) const;
    std::vector<JobHost> jobHosts() const; ///< This node and its live peers.
    /// Loads the job, and claims it last: an end that is stored meanwhile changes the record, so that the claim fails.
    void takeOver(const JobRecord &record, std::uint64_t revision);
    /// Returns the delay before the next takeover of a job with an unreadable object, which doubles each time.
    absl::Duration postponeTakeover(const std::string &jobId);
    /// Makes this node the owner unless the record has changed since `revision`, and runs the job.
    void claim(const JobRecord &record, std::uint64_t revision, JobSpec spec, const std::shared_ptr<ResultLog> &log,
               const std::function<void()> &onFailure);
    void removeExpired(Instant now);
    /// Removes the record unless it has changed since this node last read it.
    void removeRecord(const std::string &jobId);
    void onRecordRemoved(const std::string &jobId, const objects::StoreReply &reply);
    void removeItemsAndResults(const OwnedJob &owned);
    /// Time until which a job can be read in any case, by its age.
    Instant minimumRetention(std::int64_t submittedMs) const;
    /// Returns true if this incarnation of the node owns the job.
    bool isOwnedHere(const JobRecord &record) const;

    JobContext context_;
    LoadWatch loadWatch_;
    scheduling::DemandMeter demand_;
    RewardCaller rewards_; ///< Shared by all runners; declared before the jobs, whose runners refer to it.
    absl::flat_hash_map<std::string, std::unique_ptr<OwnedJob>> owned_;
    /// Jobs that other nodes took over, kept for the text that was generated here.
    absl::flat_hash_map<std::string, std::unique_ptr<OwnedJob>> formerlyOwned_;
    absl::flat_hash_map<std::string, CachedRecord> cachedRecords_; ///< Records as last read from the store.
    absl::flat_hash_map<std::string, CachedLog> cachedLogs_;
    absl::flat_hash_map<std::string, std::shared_ptr<Submission>> submissions_; ///< In progress.
    absl::flat_hash_set<std::string> takingOver_;
    absl::flat_hash_map<std::string, TakeoverRetry> unreadableJobs_; ///< Orphaned jobs with an unreadable object.
    /// Jobs known to have ended, with the time at which that is forgotten. The notice of an end may come before the
    /// store's answer that makes this node the owner.
    absl::flat_hash_map<std::string, Instant> endedJobs_;
    absl::flat_hash_map<std::string, Instant> orphanedSince_; ///< Orphaned jobs of other successors, when first seen.
    Instant lastRecheck_;
    bool scanning_ = false;
    int sharedScansLeft_ = 0; ///< Searches to come for the jobs of nodes that had run none.
    int pauses_ = 0; ///< Pauses of the process so far. What was read before one may have changed.
    bool released_ = false;
};

} // namespace currantlug::jobs

#endif
