// A lease as it is stored under leases/<name>.
#ifndef CURRANTLUG_LEASE_LEASERECORD_H
#define CURRANTLUG_LEASE_LEASERECORD_H

#include "core/ids.h"
#include "core/json.h"

#include <absl/status/statusor.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace currantlug::lease {

struct LeaseRecord
{
    DaemonId holder; ///< Empty after a release.
    std::string nonce; ///< New with each write, so that a holder recognises a write whose answer was lost.
    std::uint64_t term = 0; ///< Grows with each change of holder; the fencing token of orders.
    absl::Duration duration; ///< Whole milliseconds.

    friend bool operator==(const LeaseRecord &, const LeaseRecord &) = default;
};

std::string leaseKey(std::string_view name);

Json toJson(const LeaseRecord &record);
/// kDataLoss if a field is missing or has the wrong type.
absl::StatusOr<LeaseRecord> parseLeaseRecord(std::string_view text);

} // namespace currantlug::lease

#endif
