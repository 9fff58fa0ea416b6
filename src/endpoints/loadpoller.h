// Reads the load report of one engine or service.
#ifndef CURRANTLUG_ENDPOINTS_LOADPOLLER_H
#define CURRANTLUG_ENDPOINTS_LOADPOLLER_H

#include "endpoints/connectionpool.h"
#include "endpoints/segment.h"

#include <absl/status/statusor.h>

#include <string>

namespace currantlug::endpoints {

/// What an endpoint says of itself. Counts are requests.
struct LoadReport
{
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
    double kvUsed = 0; ///< Share of the KV cache in use, 0 to 1.
    WeightVersion weightVersion = 0;
    std::string role;
    bool leaving = false;
    absl::Duration age; ///< Lag of the report when the endpoint sent it.
};

/// Parses the body of /v1/load. Errors: kDataLoss where it is no load report.
absl::StatusOr<LoadReport> parseLoadReport(std::string_view body, std::string_view peer);

/// Thread-safe.
class LoadPoller
{
public:
    /// The pool must outlive the poller.
    explicit LoadPoller(ConnectionPool &pool, absl::Duration timeout = absl::Seconds(1))
        : pool_(pool)
        , timeout_(timeout)
    {
    }

    /// Reads `/v1/load` once. `age` includes the time that the call took.
    absl::StatusOr<LoadReport> poll(std::string_view address);

private:
    ConnectionPool &pool_;
    absl::Duration timeout_;
};

} // namespace currantlug::endpoints

#endif
