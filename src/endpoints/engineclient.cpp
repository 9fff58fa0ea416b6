// Builds engine requests and runs their streams.
#include "endpoints/engineclient.h"

#include "core/json.h"

#include <fmt/format.h>

#include <optional>

namespace currantlug::endpoints {

namespace {

constexpr const char *CompletionsPath = "/v1/completions";
constexpr std::size_t MaxErrorBytes = 4096; ///< Of the body of a refusal that goes into a message.
constexpr int HttpOk = 200;

// nullopt where a text is not UTF-8.
std::optional<std::string> requestBody(const EngineRequest &request)
{
    Json body = {{"model", request.model},
                 {"prompt", request.prompt},
                 {"max_tokens", request.maxTokens - countTokens(request.resumeFrom.segments)},
                 {"stream", true},
                 {"request_id", request.requestId}};
    if (request.seed) {
        body["seed"] = *request.seed;
    }
    if (!request.resumeFrom.text.empty()) {
        body["resume_text"] = request.resumeFrom.text;
    }
    try {
        return body.dump();
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

absl::Status refusal(int httpStatus, std::string_view body, std::string_view peer)
{
    absl::StatusCode code = absl::StatusCode::kInternal;
    if (httpStatus == 429) {
        code = absl::StatusCode::kResourceExhausted;
    } else if (httpStatus == 404) {
        code = absl::StatusCode::kNotFound;
    } else if (httpStatus >= 400 && httpStatus < 500) {
        code = absl::StatusCode::kInvalidArgument;
    } else if (httpStatus >= 500) {
        code = absl::StatusCode::kUnavailable;
    }
    return makeError(code, Step::ReadAnswer, peer, Outcome::Ran,
                     fmt::format("engine answered {}: {}", httpStatus, body));
}

// The same error with the peer's name added.
absl::Status withPeer(const absl::Status &status, std::string_view peer)
{
    const ErrorContext context = errorContext(status);
    return makeError(status.code(), context.step, peer, context.outcome,
                     std::string_view(status.message().data(), status.message().size()));
}

bool urlSafe(std::string_view id)
{
    return !id.empty()
        && id.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:")
        == std::string_view::npos;
}

} // namespace

absl::StatusOr<EngineAnswer> EngineClient::complete(const EngineRequest &request, const OnChunk &onChunk,
                                                    CancelFlag *cancel, PartialAnswer *partial)
{
    if (partial != nullptr) {
        *partial = request.resumeFrom;
    }
    const std::uint64_t resumedTokens = countTokens(request.resumeFrom.segments);
    if (resumedTokens > 0 && resumedTokens >= request.maxTokens) {
        // The earlier attempt was cut between its last token and its closing event.
        return EngineAnswer{request.resumeFrom.text, request.resumeFrom.segments, "length", resumedTokens,
                            absl::OkStatus()};
    }
    std::optional<std::string> body = requestBody(request);
    if (!urlSafe(request.requestId) || !body) {
        return makeError(absl::StatusCode::kInvalidArgument, Step::Send, request.address, Outcome::NotRun,
                         body ? "request id has characters outside letters, digits and -_.:" : "text is not UTF-8");
    }
    CompletionStream completion(request.requestId, request.resumeFrom, onChunk, settings_);
    absl::StatusOr<EngineAnswer> answer = stream(request, std::move(*body), completion, cancel);
    if (!answer.ok() && partial != nullptr) {
        *partial = completion.partial();
    }
    return answer;
}

absl::StatusOr<EngineAnswer> EngineClient::stream(const EngineRequest &request, std::string body,
                                                  CompletionStream &stream, CancelFlag *cancel)
{
    auto connection = pool_.take(request.address);
    if (!connection.ok()) {
        return connection.status();
    }
    ConnectionPool::Progress progress;
    httplib::Response response;
    std::string refusalBody;
    int httpStatus = 0;
    httplib::Request http;
    http.method = "POST";
    http.path = CompletionsPath;
    http.headers = {{"Content-Type", "application/json"}, {"Accept", "text/event-stream"}};
    http.body = std::move(body);
    http.response_handler = [&httpStatus](const httplib::Response &head) {
        httpStatus = head.status;
        return true;
    };
    http.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (httpStatus != HttpOk) {
            refusalBody.append(data, std::min(size, MaxErrorBytes - refusalBody.size()));
            return refusalBody.size() < MaxErrorBytes;
        }
        const std::uint64_t before = stream.events();
        const bool more = stream.feed({data, size}).ok();
        if (stream.events() != before) {
            progress.mark();
        }
        return more;
    };
    const auto exchange = pool_.run(**connection, http, response, request.deadlines, progress, cancel);

    if (httpStatus != 0 && httpStatus != HttpOk) {
        return refusal(httpStatus, refusalBody, request.address);
    }
    if (!stream.status().ok()) {
        return withPeer(stream.status(), request.address);
    }
    if (stream.done()) {
        if (exchange.complete) {
            pool_.giveBack(std::move(*connection));
        }
        return stream.answer();
    }
    if (!exchange.complete) {
        return exchangeError(exchange, request.address);
    }
    return makeError(absl::StatusCode::kUnavailable, Step::ReadAnswer, request.address, Outcome::MayHaveRun,
                     "stream ended before its end marker");
}

absl::Status EngineClient::cancelRequest(std::string_view address, std::string_view requestId)
{
    if (!urlSafe(requestId)) {
        return makeError(absl::StatusCode::kInvalidArgument, Step::Send, address, Outcome::NotRun,
                         "request id cannot be part of a path");
    }
    auto connection = pool_.take(address);
    if (!connection.ok()) {
        return connection.status();
    }
    constexpr CallDeadlines Deadlines{absl::Seconds(2), absl::Seconds(2), absl::Seconds(2)};
    ConnectionPool::Progress progress;
    httplib::Response response;
    httplib::Request http;
    http.method = "DELETE";
    http.path = fmt::format("{}/{}", CompletionsPath, requestId);
    std::size_t received = 0;
    http.content_receiver = [&received](const char *, std::size_t size, std::uint64_t, std::uint64_t) {
        received += size;
        return received <= MaxErrorBytes;
    };
    const auto exchange = pool_.run(**connection, http, response, Deadlines, progress, nullptr);
    if (!exchange.complete) {
        return exchangeError(exchange, address);
    }
    if (response.status >= 500) {
        return refusal(response.status, "", address);
    }
    return absl::OkStatus();
}

} // namespace currantlug::endpoints
