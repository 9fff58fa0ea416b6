#include "platform/guardedcall.h"

#include <fmt/format.h>

namespace currantlug::platform {

HttpClientSettings guardedSettings(HttpClientSettings settings)
{
    settings.maxIdleConnections = 0;
    if (settings.tcpUserTimeout == absl::ZeroDuration()) {
        settings.tcpUserTimeout = absl::Seconds(2);
    }
    return settings;
}

absl::Status postGuarded(HttpClient &http, std::string_view target, const Json &body, std::string_view sender,
                         Step step, const SocketHook &hook)
{
    const HttpCall call{.method = "POST",
                        .target = std::string(target),
                        .headers = {{"X-Sender", std::string(sender)}},
                        .body = body.dump(-1, ' ', false, Json::error_handler_t::replace)};
    const absl::StatusOr<HttpAnswer> answer = http.call(call, step, {}, hook);
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status >= 200 && answer->status < 300) {
        return absl::OkStatus();
    }
    const std::string message = fmt::format("{}: status {}", target, answer->status);
    if (answer->status == 409) {
        return makeError(absl::StatusCode::kFailedPrecondition, step, http.peer(), Outcome::Ran, message);
    }
    if (answer->status >= 400 && answer->status < 500 && answer->status != 429) {
        return makeError(absl::StatusCode::kInvalidArgument, step, http.peer(), Outcome::Ran, message);
    }
    return makeError(absl::StatusCode::kUnavailable, step, http.peer(), Outcome::MayHaveRun, message);
}

} // namespace currantlug::platform
