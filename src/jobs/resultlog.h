// The results of a job in the order of their positions, and the segments in which they are stored.
//
// A segment is one object that is created under the next number if it doesn't exist yet. The store thereby orders the
// results: two nodes that both run a job can't store different results for one position. A result can be read only
// after its segment is stored.
#ifndef CURRANTLUG_JOBS_RESULTLOG_H
#define CURRANTLUG_JOBS_RESULTLOG_H

#include "jobs/job.h"

#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace currantlug::jobs {

struct Segment
{
    std::uint64_t number = 0;
    std::string nonce; ///< Tells the writer's own segment from another node's after an unanswered write.
    std::vector<ItemResult> results;
};

Json toJson(const Segment &segment);
/// Bytes that the result takes in a stored segment, estimated from above.
std::size_t encodedSize(const ItemResult &result);
std::optional<Segment> parseSegment(std::uint64_t number, const Json &value);
/// Returns the object name of a segment. Names sort in the order of the numbers.
std::string segmentName(std::uint64_t number);

class ResultLog
{
public:
    bool has(const std::string &itemId) const { return itemIds_.contains(itemId); }
    std::uint64_t size() const { return results_.size(); }
    std::uint64_t nextSegment() const { return nextSegment_; }
    const std::vector<ItemResult> &results() const { return results_; }

    /// Appends a stored segment. Returns false if it isn't the next one; the caller must read the missing ones first.
    bool append(const Segment &segment);

    /// Returns the results from position `after` on that fit into `maxBytes`, and at least one if there is any.
    ResultPage page(std::uint64_t after, std::uint64_t total, std::size_t maxBytes) const;

private:
    std::vector<ItemResult> results_;
    absl::flat_hash_set<std::string> itemIds_; ///< Ids of the items in results_.
    std::uint64_t nextSegment_ = 0;
};

} // namespace currantlug::jobs

#endif
