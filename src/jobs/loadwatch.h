// Finds out when replicas that load weights can run the items of a job.
//
// Designed for the start of a training step: half of the replicas of its model load the version that was just
// published, and most items wait for them. The registry shows the end of a load one to two seconds late, the replica
// itself after some hundred milliseconds. A replica is asked only while an item waits that it would run with a newer
// version.
#ifndef CURRANTLUG_JOBS_LOADWATCH_H
#define CURRANTLUG_JOBS_LOADWATCH_H

#include "core/instant.h"
#include "serving/replicatable.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace currantlug::jobs {

struct LoadWatchSettings
{
    absl::Duration period = absl::Milliseconds(200); ///< Between two queries of a replica; its reports lag as much.
};

class LoadWatch
{
public:
    explicit LoadWatch(LoadWatchSettings settings = {})
        : settings_(settings)
    {
    }

    /// Returns the replicas to ask for their weight versions now, on behalf of a job with waiting items.
    std::vector<std::string> replicasToQuery(const serving::ReplicaTable &replicas,
                                             const serving::ReplicaTable::ItemRequirements &requirements, Instant now);
    /// Forgets replicas that were not asked for a while.
    void expire(Instant now);

private:
    LoadWatchSettings settings_;
    std::map<std::string, Instant> askedAt_; ///< Time of the last query, by replica.
};

} // namespace currantlug::jobs

#endif
