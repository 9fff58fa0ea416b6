// A batch job, its items and their results, in memory and as they are kept in the object store.
#ifndef CURRANTLUG_JOBS_JOB_H
#define CURRANTLUG_JOBS_JOB_H

#include "core/enumnames.h"
#include "core/json.h"
#include "net/httpmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace currantlug::jobs {

enum class ResultState {
    Completed,
    Abandoned, ///< Given up: it can never be done, failed too often, or its time is over.
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

struct ItemSpec
{
    std::string id; ///< The trainer's; may come again in a later job.
    std::string path;
    net::Headers headers;
    std::string body;
    std::string group; ///< Items of a group share their prompt.
    double lengthHint = 0; ///< Estimate of the output tokens; 0 if none came.
};

/// What the trainer submitted.
struct JobSpec
{
    std::string id;
    std::string workspace;
    std::string host;
    std::string path;
    std::string model;
    std::uint64_t step = 0;
    std::uint64_t minVersion = 0; ///< Oldest weights that may generate a token of it.
    std::uint64_t desiredGroups = 0; ///< The trainer goes on with this many complete groups.
    std::vector<ItemSpec> items;
};

/// The part of a job that decides: one object, created by the submission and replaced when the owner or `ended` change.
struct JobRecord
{
    std::string id;
    std::string workspace;
    std::string host;
    std::string path;
    std::string owner; ///< Node that runs the items.
    std::string ownerIncarnation;
    std::string submission; ///< Nonce of the create call.
    std::int64_t submittedMs = 0; ///< Unix time at the node that accepted it.
    std::uint64_t parts = 0; ///< Objects that hold the items.
    std::uint64_t total = 0; ///< Items.
    bool ended = false; ///< The trainer ended it: nothing more is run.
};

/// Text that replicas have generated for an item so far.
struct ItemText
{
    std::vector<std::string> events; ///< Data of each event in order.
    std::uint64_t lastEventId = 0; ///< Of the last of them.
    std::vector<std::uint64_t> versions; ///< Weight versions in order, without repeats.

    bool empty() const { return events.empty(); }
    void addVersion(std::uint64_t version);
    std::string joinEvents() const;
};

struct ItemResult
{
    std::string id;
    ResultState state = ResultState::Completed;
    std::string text;
    std::vector<std::uint64_t> versions;
};

/// Results from a position on.
struct ResultPage
{
    std::uint64_t total = 0; ///< Items of the job.
    std::uint64_t next = 0; ///< Position behind the last of `results`.
    std::vector<ItemResult> results;
};

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

/// Head of a job as it is kept beside its items.
Json jobHeaderToJson(const JobSpec &spec);
/// Fills the fields of the head; false if it can't be read.
bool readJobHeader(const Json &value, JobSpec &spec);

} // namespace currantlug::jobs

#endif
