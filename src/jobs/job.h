// Data types of a batch job, its items and their results, and their JSON forms in the object store and in messages.
#ifndef CURRANTLUG_JOBS_JOB_H
#define CURRANTLUG_JOBS_JOB_H

#include "core/enumnames.h"
#include "core/json.h"
#include "net/httpmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::jobs {

enum class ResultState {
    Completed,
    Abandoned, ///< Given up: the item can't be processed, failed too often, or its time limit has passed.
};

} // namespace currantlug::jobs

template<>
struct currantlug::EnumNames<currantlug::jobs::ResultState>
{
    using ResultState = currantlug::jobs::ResultState;
    static constexpr std::array<std::pair<ResultState, std::string_view>, 2> Table{{
        {ResultState::Completed, "completed"},
        {ResultState::Abandoned, "abandoned"},
    }};
};

namespace currantlug::jobs {

/// A request that scores the text of an item. It is sent once the text is complete and may be repeated. It carries
/// neither a key nor a workspace.
struct RewardSpec
{
    std::string id;
    std::string host; ///< With `path`, selects the route.
    std::string path;
    std::string body;
};

enum class RewardOutcome {
    Scored, ///< A replica answered with a score.
    Failed, ///< A replica ran the request and answered with an error.
    NotRun, ///< Every replica asked refused the request, or no byte was sent.
    Lost, ///< No usable answer came; the request may have run.
};

} // namespace currantlug::jobs

template<>
struct currantlug::EnumNames<currantlug::jobs::RewardOutcome>
{
    using RewardOutcome = currantlug::jobs::RewardOutcome;
    static constexpr std::array<std::pair<RewardOutcome, std::string_view>, 4> Table{{
        {RewardOutcome::Scored, "scored"},
        {RewardOutcome::Failed, "failed"},
        {RewardOutcome::NotRun, "not_run"},
        {RewardOutcome::Lost, "lost"},
    }};
};

namespace currantlug::jobs {

struct ItemSpec
{
    std::string id; ///< Chosen by the trainer; a later job may use the same id.
    std::string path;
    net::Headers headers;
    std::string body;
    std::string group; ///< Items of a group share a prompt.
    double lengthHint = 0; ///< Estimated number of output tokens; 0 if the trainer sent none.
    double tokens = 0; ///< Upper bound of the tokens of prompt and output; 0 if the trainer sent none.
    std::optional<RewardSpec> reward; ///< If set, the item isn't completed without a score.
    /// Digest of everything that determines the text, set by assignTextKeys(). Jobs share the texts of items with equal
    /// keys; an item with an empty key shares none.
    std::string textKey;
};

/// A job as the trainer submitted it.
struct JobSpec
{
    std::string id;
    std::string workspace;
    std::string host;
    std::string path;
    std::string model;
    std::uint64_t step = 0;
    std::uint64_t minVersion = 0; ///< Oldest weight version that may generate any token of the job.
    std::uint64_t desiredGroups = 0; ///< Number of complete groups with which the trainer continues.
    std::vector<ItemSpec> items;
};

/// The authoritative record of a job: one object, created by the submission and replaced when the owner or `ended`
/// changes. Items and results are in objects of their own.
struct JobRecord
{
    std::string id;
    std::string workspace;
    std::string host;
    std::string path;
    std::string owner; ///< Name of the node that runs the items.
    std::string ownerIncarnation;
    /// Nonce of the submission, which identifies its own record after an unanswered create call.
    std::string submission;
    std::int64_t submittedMs = 0; ///< Unix time by the clock of the node that accepted the job.
    std::uint64_t parts = 0; ///< Number of objects that hold the items.
    std::uint64_t total = 0; ///< Number of items.
    bool ended = false; ///< The trainer ended the job: no more items are run.
};

/// Text that replicas have generated for an item so far, as the data of stream events.
struct ItemText
{
    std::vector<std::string> events; ///< Data of the events, in order.
    std::uint64_t lastEventId = 0; ///< Id of the last event.
    std::vector<std::uint64_t> versions; ///< Weight versions that generated it, in order of first use.
    bool complete = false; ///< The replica has sent the last event.

    bool empty() const { return events.empty(); }
    void addVersion(std::uint64_t version);
    /// Returns the data of all events, separated by line breaks.
    std::string joinEvents() const;
};

struct ItemResult
{
    std::string id;
    ResultState state = ResultState::Completed;
    std::string text;
    std::vector<std::uint64_t> versions;
    std::string score; ///< Signature of the response to the reward call; empty for items without one.
};

/// Results of a job from one position of its result log on.
struct ResultPage
{
    std::uint64_t total = 0; ///< Number of items of the job.
    std::uint64_t next = 0; ///< Position after the last of `results`.
    std::vector<ItemResult> results;
};

/// Expected work of a job, in tokens. An item without an estimate of its output counts with its upper bound.
double expectedWork(const JobSpec &spec);
/// Memory that the items of a job take, in bytes.
std::size_t itemMemory(const JobSpec &spec);
/// The job with its items, which are moved out of `spec`.
JobSpec takeItems(JobSpec &spec);
/// Sets the text keys of all items: digests of the workspace, host and model of the job, and of the id, path, header
/// fields and body of the item. Ids alone are chosen by clients and are unique only within a job.
void assignTextKeys(JobSpec &spec);
/// Digest of a whole reward call; empty without one. A score belongs to one such call.
std::string scoreKey(const ItemSpec &item);

/// Names the part of the item that can't be written into a request, such as a path with a line break; empty if it can
/// be sent. Items come from clients, peers and the store.
std::string_view unsendablePart(const ItemSpec &item);

Json toJson(const JobRecord &record);
std::optional<JobRecord> parseJobRecord(std::string_view id, const Json &value);
Json toJson(const ItemSpec &item);
std::optional<ItemSpec> parseItemSpec(const Json &value);
Json toJson(const ItemResult &result);
std::optional<ItemResult> parseItemResult(const Json &value);
Json toJson(const ItemText &text);
std::optional<ItemText> parseItemText(const Json &value);
Json toJson(const ResultPage &page);
std::optional<ResultPage> parseResultPage(const Json &value);

/// Fields of the job that are stored with each object of its items.
Json jobHeaderToJson(const JobSpec &spec);
/// Reads an object with the header ("head") and some items of a job, and appends the items. Returns false if it can't
/// be read.
bool readJobPart(const Json &value, JobSpec &spec);

} // namespace currantlug::jobs

#endif
