// What a caller or trainer is told when its request fails.
#ifndef CURRANTLUG_REQUESTS_REQUESTOUTCOME_H
#define CURRANTLUG_REQUESTS_REQUESTOUTCOME_H

#include "core/error.h"
#include "requests/keyredactor.h"

#include <absl/status/status.h>
#include <absl/time/time.h>

#include <optional>
#include <string>

namespace currantlug::requests {

struct ErrorAnswer
{
    int httpStatus = 500;
    std::string code; ///< Also in the body: the status code in lower case, or "unknown_step".
    std::string body; ///< JSON of the interface's error shape.
    std::optional<std::uint64_t> retryAfterSeconds; ///< For the Retry-After header, rounded up.
};

/// The answer for a status that is not OK. `redactor` removes the caller's key from message and peer.
ErrorAnswer errorAnswer(const absl::Status &status, std::optional<absl::Duration> retryAfter = std::nullopt,
                        const KeyRedactor &redactor = {});

/// The error event that ends a stream whose answer is cut, in place of its end marker.
std::string errorEvent(const absl::Status &status, const KeyRedactor &redactor = {});

} // namespace currantlug::requests

#endif
