// JSON form of lease records.
#include "lease/leaserecord.h"

#include "core/error.h"

namespace currantlug::lease {

std::string leaseKey(std::string_view name)
{
    return "leases/" + std::string(name);
}

Json toJson(const LeaseRecord &record)
{
    return {{"holder", record.holder.str()},
            {"nonce", record.nonce},
            {"term", record.term},
            {"duration_ms", absl::ToInt64Milliseconds(record.duration)}};
}

absl::StatusOr<LeaseRecord> parseLeaseRecord(std::string_view text)
{
    const std::optional<Json> json = parseJson(text);
    const bool complete = json && json->is_object() && json->contains("holder") && json->contains("nonce")
        && fieldOr<std::uint64_t>(*json, "term", 0) > 0 && fieldOr<std::uint64_t>(*json, "duration_ms", 0) > 0;
    if (!complete) {
        return makeError(absl::StatusCode::kDataLoss, Step::Lease, "", Outcome::Ran, "a lease record is unreadable");
    }
    return LeaseRecord{DaemonId(fieldOr<std::string>(*json, "holder", {})), fieldOr<std::string>(*json, "nonce", {}),
                       fieldOr<std::uint64_t>(*json, "term", 0),
                       absl::Milliseconds(fieldOr<std::int64_t>(*json, "duration_ms", 0))};
}

} // namespace currantlug::lease
