// Processor time and memory of this process, from the kernel.
#ifndef CURRANTLUG_TELEMETRY_PROCESSUSAGE_H
#define CURRANTLUG_TELEMETRY_PROCESSUSAGE_H

#include <absl/time/time.h>

#include <cstdint>

namespace currantlug::telemetry {

/// Processor time used since the start.
absl::Duration processorTime();

/// Resident memory in bytes; 0 where the kernel doesn't tell.
std::uint64_t residentBytes();

} // namespace currantlug::telemetry

#endif
