// Admission and error answers.
#include "server/requestcontext.h"

#include "core/error.h"
#include "telemetry/log.h"

#include <utility>

namespace currantlug::server {

RequestGate::RequestGate(services::ConfigService &config, services::MemberService &members)
    : config_(config)
    , members_(members)
{
}

RequestGate::Pass::Pass(RequestGate &gate)
    : gate_(gate)
{
    // Counted before the check: a drain that closes the gate and then sees no running request has missed none.
    ++gate_.running_;
    const char *reason = nullptr;
    if (gate_.closed_.load()) {
        reason = "this daemon is stopping; use another address";
    } else if (gate_.config_.serving() == config::Serving::Isolated) {
        reason = "this daemon has no fresh configuration; use another address";
    }
    if (reason != nullptr) {
        refusal_ = makeError(absl::StatusCode::kUnavailable, Step::ReadRequest, gate_.members_.self().id.str(),
                             Outcome::NotRun, reason);
    }
}

RequestGate::Pass::~Pass()
{
    --gate_.running_;
}

requests::CallerRequest callerRequest(const httplib::Request &request)
{
    requests::CallerRequest result;
    result.method = request.method;
    result.target = request.target;
    for (const auto &[name, value] : request.headers) {
        // Added by the library; not part of what the caller sent.
        if (name != "REMOTE_ADDR" && name != "REMOTE_PORT" && name != "LOCAL_ADDR" && name != "LOCAL_PORT") {
            result.headers.emplace_back(name, value);
        }
    }
    result.body = request.body;
    return result;
}

absl::StatusOr<AuthorizedRequest> authorizeRequest(const httplib::Request &request, const config::ConfigState &state,
                                                   const RouteId &route)
{
    const config::Route *entry = state.findRoute(route);
    const std::string keyField = entry == nullptr ? "" : entry->keyField;
    absl::StatusOr<requests::KeyedRequest> keyed = requests::takeKey(callerRequest(request), keyField);
    if (!keyed.ok()) {
        return keyed.status();
    }
    absl::StatusOr<requests::Authorization> authorization = requests::authorize(state, keyed->keyDigest, route);
    if (!authorization.ok()) {
        return authorization.status();
    }
    return AuthorizedRequest{*std::move(keyed), *std::move(authorization)};
}

void sendError(httplib::Response &response, const absl::Status &status, const requests::KeyRedactor &redactor,
               const services::MemberService *members)
{
    const requests::ErrorAnswer answer = requests::errorAnswer(status, services::retryAfter(status), redactor);
    response.status = answer.httpStatus;
    if (answer.retryAfterSeconds) {
        response.set_header("Retry-After", std::to_string(*answer.retryAfterSeconds));
    }
    std::string body = answer.body;
    if (members != nullptr && errorContext(status).outcome == Outcome::NotRun) {
        if (std::optional<Json> json = parseJson(body)) {
            (*json)["error"]["addresses"] = members->addresses("", members->self().zone).toJson()["addresses"];
            body = json->dump();
        }
    }
    response.set_content(body, "application/json");
}

void sendJson(httplib::Response &response, const Json &body, int status)
{
    response.status = status;
    response.set_content(body.dump(-1, ' ', false, Json::error_handler_t::replace), "application/json");
}

void installErrorHandlers(httplib::Server &server)
{
    server.set_error_handler([](const httplib::Request &, httplib::Response &response) {
        constexpr int PayloadTooLarge = 413;
        constexpr int NotFound = 404;
        if (!response.body.empty()) {
            return;
        }
        const int status = response.status;
        const char *message = status == PayloadTooLarge ? "the request body is too large"
            : status == NotFound                        ? "no such path"
                                                        : "the request is malformed";
        const absl::StatusCode code =
            status == NotFound ? absl::StatusCode::kNotFound : absl::StatusCode::kInvalidArgument;
        sendError(response, makeError(code, Step::ReadRequest, "", Outcome::NotRun, message));
        response.status = status;
    });
    server.set_exception_handler([](const httplib::Request &, httplib::Response &response,
                                    const std::exception_ptr &error) {
        std::string text = "unknown exception";
        try {
            std::rethrow_exception(error);
        } catch (const std::exception &exception) {
            text = exception.what();
        } catch (...) {
            text = "exception of an unknown type";
        }
        telemetry::log(telemetry::Level::Error, "server", "exception", {{"what", text}});
        sendError(response,
                  makeError(absl::StatusCode::kInternal, Step::ReadRequest, "", Outcome::MayHaveRun, "internal error"));
    });
}

} // namespace currantlug::server
