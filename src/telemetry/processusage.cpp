// Reading of the processor clock and of /proc.
#include "telemetry/processusage.h"

#include <ctime>
#include <fstream>
#include <unistd.h>

namespace currantlug::telemetry {

absl::Duration processorTime()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return absl::DurationFromTimespec(used);
}

std::uint64_t residentBytes()
{
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    std::ifstream statm("/proc/self/statm");
    if (!(statm >> totalPages >> residentPages)) {
        return 0;
    }
    return residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace currantlug::telemetry
