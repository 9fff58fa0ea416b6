// Batch jobs of a node: accepts them, runs those it owns, answers reads of all, takes over those of lost nodes.
//
// The object store decides. Creating the job's record accepts the job and finds repeated submissions; result segments
// are created if absent, so two nodes that both believe they own a job can't disagree on its results. Ownership only
// keeps work from being done twice.
#ifndef CURRANTLUG_JOBS_JOBSERVICE_H
#define CURRANTLUG_JOBS_JOBSERVICE_H

#include "core/enumnames.h"
#include "jobs/jobcontext.h"
#include "jobs/jobrunner.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace currantlug::jobs {

enum class SubmitOutcome {
    Accepted,
    Refused, ///< Nothing of the job runs, now or later.
    Unknown, ///< It may have been accepted.
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
    NotFound, ///< The store says that there is no such job, or the key is another workspace's.
    Unsure, ///< Neither the store nor the owner could be asked.
};

class JobService
{
public:
    explicit JobService(JobContext context);

    void submit(JobSpec spec, std::function<void(SubmitOutcome)> done);
    using PageCallback = std::function<void(ReadOutcome, ResultPage)>;
    /// Results from `after` on; waits up to `wait` for the first.
    void read(const std::string &jobId, const std::string &workspace, std::uint64_t after, absl::Duration wait,
              PageCallback done);
    using BodyCallback = std::function<void(ReadOutcome, std::string)>;
    void body(const std::string &jobId, const std::string &workspace, const std::string &itemId, BodyCallback done);
    /// Found once the end is stored.
    void end(const std::string &jobId, const std::string &workspace, std::function<void(ReadOutcome)> done);

    /// Calls of other nodes: method and body as sent through PeerPort. False for an unknown method.
    bool peerCall(const std::string &method, const Json &body, std::function<void(Json)> reply);

    /// Looks at time limits. Call several times a second.
    void tick();
    /// Sends waiting items, after replicas or the configuration changed.
    void pump();
    /// Looks for jobs whose owner is gone. Call after a node was lost, left or started anew, and after the own start.
    void scanOrphans();
    /// Stops running items, so that other nodes take the jobs over.
    void release();
    std::size_t openJobs() const;
    /// Items of the open jobs by state.
    std::map<ItemState, std::size_t> itemCounts() const;

private:
    struct Submission;
    struct Ending;
    struct Waiter
    {
        std::uint64_t after = 0;
        Instant until;
        PageCallback done;
    };
    /// A job that this node owns or owned.
    struct Owned
    {
        JobRecord record;
        std::uint64_t revision = 0;
        std::shared_ptr<JobRunner> runner;
        std::vector<Waiter> waiters;
        Instant dropAt;
    };
    /// Results of another node's job, read from the store.
    struct Copy
    {
        ResultLog log;
        Instant dropAt;
    };
    struct Known
    {
        JobRecord record;
        std::uint64_t revision = 0;
        Instant dropAt;
    };

    void writePart(const std::shared_ptr<Submission> &submission, std::uint64_t part);
    void writeRecord(const std::shared_ptr<Submission> &submission);
    void onRecord(const std::shared_ptr<Submission> &submission, const objects::StoreReply &reply);
    void recheckRecord(const std::shared_ptr<Submission> &submission);
    void finishSubmission(const std::shared_ptr<Submission> &submission, SubmitOutcome outcome);
    void own(const JobRecord &record, std::uint64_t revision, JobSpec spec, ResultLog log);
    /// Reads whether this node still owns a job that another node wrote results for.
    void checkOwner(const std::string &jobId);
    /// Stops running a job that another node took over.
    void loseOwnership(const std::string &jobId);
    static Json itemIds(const JobSpec &spec);
    /// Asks the other nodes for text that they have of these items. `take` is called with each answer that has some.
    void askForTexts(const Json &ids, const std::function<void(const Json &)> &take);
    Json textsFor(const Json &ids) const;
    static void addTexts(JobRunner &runner, const Json &ids, Json &texts);
    void applyTexts(const std::string &jobId, const Json &texts);

    using RecordCallback = std::function<void(ReadOutcome, const Known *)>;
    void withRecord(const std::string &jobId, bool fresh, RecordCallback done);
    void readOwned(Owned &owned, std::uint64_t after, absl::Duration wait, PageCallback done);
    void readRemote(const std::string &jobId, const std::string &workspace, std::uint64_t after, absl::Duration wait,
                    bool fresh, PageCallback done);
    void readStored(const JobRecord &record, std::uint64_t after, PageCallback done);
    void serveWaiters(const std::string &jobId);
    void bodyFromStore(const JobRecord &record, const std::string &itemId, BodyCallback done);
    void loadParts(const JobRecord &record, std::function<void(bool, JobSpec)> done);
    void loadPart(const JobRecord &record, std::uint64_t part, const std::shared_ptr<JobSpec> &spec,
                  std::function<void(bool, JobSpec)> done);
    void loadLog(const std::string &jobId, const std::shared_ptr<ResultLog> &log, std::function<void(bool)> done);

    void endStored(const std::shared_ptr<Ending> &ending, bool fresh);
    void markEnded(const std::string &jobId);
    /// An end that was stored by a node out of contact is found in the store.
    void recheckOwned();
    void announceEnd(const std::string &jobId);
    void tellEnded(const std::string &node, const std::string &jobId, int attempts);
    void onScan(objects::StoreReply reply);
    void takeOver(const JobRecord &record, std::uint64_t revision);
    void dropOld(Instant now);
    Instant dropTime(std::int64_t submittedMs) const;
    /// True if this incarnation of the node owns the job.
    bool isOurs(const JobRecord &record) const;

    JobContext context_;
    absl::flat_hash_map<std::string, std::unique_ptr<Owned>> owned_;
    absl::flat_hash_map<std::string, std::unique_ptr<Owned>> former_; ///< Taken over by other nodes; kept for its text.
    absl::flat_hash_map<std::string, Known> known_; ///< Records as last read.
    absl::flat_hash_map<std::string, Copy> copies_;
    absl::flat_hash_map<std::string, std::shared_ptr<Submission>> submissions_; ///< Under way.
    absl::flat_hash_set<std::string> takingOver_;
    Instant lastRecheck_;
    bool scanning_ = false;
    bool released_ = false;
};

} // namespace currantlug::jobs

#endif
