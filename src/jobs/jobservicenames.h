// Object kinds and peer methods that the job service uses, and how the end of a job is announced.
#ifndef CURRANTLUG_JOBS_JOBSERVICENAMES_H
#define CURRANTLUG_JOBS_JOBSERVICENAMES_H

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace currantlug::jobs::detail {

inline constexpr const char *RecordKind = "jobs";
inline constexpr const char *PartKind = "job-items";
inline constexpr const char *SubmitMethod = "job/submit";
inline constexpr const char *ReadMethod = "job/read";
inline constexpr const char *BodyMethod = "job/body";
inline constexpr const char *EndMethod = "job/end";
inline constexpr const char *EndedMethod = "job/ended";
inline constexpr const char *TakenOverMethod = "job/taken";
inline constexpr const char *TextsMethod = "job/texts";
inline constexpr const char *ScanMethod = "job/scan";
// A peer that doesn't answer is notified of the end of a job at most this many times.
inline constexpr int EndNoticeTries = 5;
inline constexpr absl::Duration EndNoticeRetryDelay = absl::Milliseconds(400);

/// Returns the name of the object that holds one part of a job's items.
inline std::string partName(const std::string &jobId, std::uint64_t part)
{
    return absl::StrCat(jobId, ".", part);
}

} // namespace currantlug::jobs::detail

#endif
