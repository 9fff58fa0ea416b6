// Mapping of statuses to HTTP answers.
#include "requests/requestoutcome.h"

#include "core/json.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace currantlug::requests {

namespace {

int httpStatusOf(absl::StatusCode code)
{
    switch (code) {
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kOutOfRange:
        return 400;
    case absl::StatusCode::kUnauthenticated:
        return 401;
    case absl::StatusCode::kPermissionDenied:
        return 403;
    case absl::StatusCode::kNotFound:
        return 404;
    case absl::StatusCode::kAborted:
    case absl::StatusCode::kAlreadyExists:
    case absl::StatusCode::kFailedPrecondition:
        return 409;
    case absl::StatusCode::kResourceExhausted:
        return 429;
    case absl::StatusCode::kCancelled:
        return 499; // the caller went away; widely used, though not registered
    case absl::StatusCode::kUnimplemented:
        return 501;
    case absl::StatusCode::kDataLoss:
        return 502;
    case absl::StatusCode::kUnavailable:
        return 503;
    case absl::StatusCode::kDeadlineExceeded:
        return 504;
    default:
        return 500;
    }
}

std::string codeOf(const absl::Status &status, const ErrorContext &context)
{
    if (absl::IsNotFound(status) && context.step == Step::Deliver) {
        return "unknown_step"; // tells the trainer to send the definition again
    }
    return absl::AsciiStrToLower(absl::StatusCodeToString(status.code()));
}

Json errorObject(const absl::Status &status, std::optional<absl::Duration> retryAfter, const KeyRedactor &redactor)
{
    const ErrorContext context = errorContext(status);
    Json error = {{"code", codeOf(status, context)},
                  {"message", redactor.redact({status.message().data(), status.message().size()})},
                  {"step", nameOf(context.step)},
                  {"peer", redactor.redact(context.peer)},
                  {"outcome", nameOf(context.outcome)}};
    if (retryAfter) {
        error["retry_after_ms"] = std::max<std::int64_t>(absl::ToInt64Milliseconds(*retryAfter), 0);
    }
    return Json{{"error", std::move(error)}};
}

// Messages can hold bytes of endpoints that are not UTF-8.
std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

ErrorAnswer errorAnswer(const absl::Status &status, std::optional<absl::Duration> retryAfter,
                        const KeyRedactor &redactor)
{
    const Json body = errorObject(status, retryAfter, redactor);
    ErrorAnswer answer;
    answer.httpStatus = httpStatusOf(status.code());
    answer.code = body["error"]["code"].get<std::string>();
    answer.body = dump(body);
    if (retryAfter) {
        const absl::Duration seconds = absl::Ceil(std::max(*retryAfter, absl::ZeroDuration()), absl::Seconds(1));
        answer.retryAfterSeconds = static_cast<std::uint64_t>(absl::ToInt64Seconds(seconds));
    }
    return answer;
}

std::string errorEvent(const absl::Status &status, const KeyRedactor &redactor)
{
    return "event: error\ndata: " + dump(errorObject(status, std::nullopt, redactor)) + "\n\n";
}

} // namespace currantlug::requests
