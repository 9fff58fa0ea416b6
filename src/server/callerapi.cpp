// Handlers for callers.
#include "server/callerapi.h"

#include "core/error.h"
#include "core/hash.h"
#include "server/textchannel.h"

#include <thread>
#include <utility>

namespace currantlug::server {

namespace {

constexpr std::size_t RequestIdBytes = 12;
constexpr std::uint64_t DefaultMaxTokens = 256;
constexpr std::uint64_t LargestMaxTokens = 1 << 17;
constexpr absl::Duration DefaultDeadline = absl::Seconds(120);

absl::Status invalid(std::string_view message)
{
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadRequest, "", Outcome::NotRun, message);
}

Json segmentsJson(const std::vector<endpoints::Segment> &segments)
{
    Json list = Json::array();
    for (const endpoints::Segment &segment : segments) {
        list.push_back({{"weight_version", segment.weightVersion}, {"tokens", segment.tokens}});
    }
    return list;
}

Json completionJson(const services::CompletionCall &call, const services::CompletionResult &result, bool withText)
{
    Json body{{"id", call.requestId},
              {"object", "text_completion"},
              {"model", call.route.str()},
              {"choices",
               {{{"index", 0},
                 {"text", withText ? result.answer.text : std::string()},
                 {"finish_reason", result.answer.finishReason}}}},
              {"usage", {{"completion_tokens", result.answer.tokens}}}};
    if (result.answer.labels.ok()) {
        body["segments"] = segmentsJson(result.answer.segments);
    }
    return body;
}

std::string event(const Json &json)
{
    return "data: " + json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n\n";
}

/// Reads the completion's fields from the scrubbed body.
absl::StatusOr<services::CompletionCall> readCompletion(const Json &body)
{
    if (!body.contains("prompt") || !body["prompt"].is_string()) {
        return invalid("prompt: expected a string");
    }
    services::CompletionCall call;
    call.prompt = body["prompt"].get<std::string>();
    call.maxTokens = fieldOr<std::uint64_t>(body, "max_tokens", DefaultMaxTokens);
    if (call.maxTokens == 0 || call.maxTokens > LargestMaxTokens) {
        return invalid("max_tokens: expected an integer from 1 to 131072");
    }
    if (body.contains("max_tokens") && !body["max_tokens"].is_number_unsigned()) {
        return invalid("max_tokens: expected an integer from 1 to 131072");
    }
    if (body.contains("seed") && body["seed"].is_number_unsigned()) {
        call.seed = body["seed"].get<std::uint64_t>();
    }
    call.requestId = randomHex(RequestIdBytes);
    call.deadline = monotonicNow() + DefaultDeadline;
    return call;
}

/// The path and query behind "/v1/services/<route>".
std::string serviceTarget(const std::string &target, const std::string &route)
{
    const std::string prefix = "/v1/services/" + route;
    std::string rest = target.size() > prefix.size() ? target.substr(prefix.size()) : "/";
    return rest.front() == '/' ? rest : "/" + rest;
}

} // namespace

void CallerApi::install(httplib::Server &server)
{
    const auto bind = [this](auto method) {
        return [this, method](const httplib::Request &request, httplib::Response &response) {
            (this->*method)(request, response);
        };
    };
    const std::string servicePath = R"(/v1/services/([^/?]+)(/.*)?)";
    server.Get("/v1/addresses", bind(&CallerApi::addresses));
    server.Post("/v1/completions", bind(&CallerApi::completions));
    server.Post("/v1/call-tokens", bind(&CallerApi::callToken));
    server.Get(servicePath, bind(&CallerApi::serviceCall));
    server.Post(servicePath, bind(&CallerApi::serviceCall));
    server.Put(servicePath, bind(&CallerApi::serviceCall));
    server.Patch(servicePath, bind(&CallerApi::serviceCall));
    server.Delete(servicePath, bind(&CallerApi::serviceCall));
}

void CallerApi::addresses(const httplib::Request &request, httplib::Response &response)
{
    const std::string zone = request.get_param_value("zone");
    // The connection's address spreads callers; a caller behind a shared address may name itself.
    const std::string caller = request.has_param("caller") ? request.get_param_value("caller")
                                                           : request.remote_addr + std::to_string(request.remote_port);
    sendJson(response, services_.members.addresses(caller, ZoneId(zone)).toJson());
}

void CallerApi::completions(const httplib::Request &request, httplib::Response &response)
{
    auto pass = std::make_shared<RequestGate::Pass>(services_.gate);
    if (!pass->refusal().ok()) {
        return sendError(response, pass->refusal(), {}, &services_.members);
    }
    const std::optional<Json> raw = parseJson(request.body);
    if (!raw || !raw->is_object()) {
        return sendError(response, invalid("the body is not a JSON object"));
    }
    const RouteId route(fieldOr<std::string>(*raw, "model", ""));
    const std::shared_ptr<const config::ConfigState> state = services_.config.current();
    const absl::StatusOr<AuthorizedRequest> authorized = authorizeRequest(request, *state, route);
    if (!authorized.ok()) {
        return sendError(response, authorized.status());
    }
    if (authorized->authorization.route.kind != config::PoolKind::Engine) {
        return sendError(response,
                         makeError(absl::StatusCode::kNotFound, Step::CheckRoute, "", Outcome::NotRun,
                                   "the route leads to a plain service"));
    }
    const Json body = parseJson(authorized->keyed.scrubbed.body).value_or(Json::object());
    absl::StatusOr<services::CompletionCall> call = readCompletion(body);
    if (!call.ok()) {
        return sendError(response, call.status(), authorized->keyed.redactor);
    }
    call->authorization = authorized->authorization;
    call->route = route;
    call->repeatable = authorized->authorization.route.repeatable;
    if (absl::Status claimed = claimIfNeeded(*authorized, route, request); !claimed.ok()) {
        return sendError(response, claimed, authorized->keyed.redactor);
    }
    if (request.has_header("X-Request-Id")) {
        response.set_header("X-Request-Id", request.get_header_value("X-Request-Id"));
    }
    if (fieldOr<bool>(body, "stream", false)) {
        return streamCompletion(*std::move(call), pass, authorized->keyed.redactor, response);
    }
    const auto cancel = std::make_shared<endpoints::CancelFlag>();
    const auto result = services_.completions.run(*call, cancel, nullptr);
    if (!result.ok()) {
        return sendError(response, result.status(), authorized->keyed.redactor, &services_.members);
    }
    sendJson(response, completionJson(*call, *result, true));
}

void CallerApi::streamCompletion(services::CompletionCall call, std::shared_ptr<RequestGate::Pass> pass,
                                 requests::KeyRedactor redactor, httplib::Response &response)
{
    /// Lives until the connection is done with the response.
    struct Stream
    {
        services::CompletionCall call;
        std::shared_ptr<RequestGate::Pass> pass;
        requests::KeyRedactor redactor;
        std::shared_ptr<endpoints::CancelFlag> cancel = std::make_shared<endpoints::CancelFlag>();
        TextChannel channel;
        std::thread thread;
    };
    auto stream = std::make_shared<Stream>();
    stream->call = std::move(call);
    stream->pass = std::move(pass);
    stream->redactor = std::move(redactor);
    stream->thread = std::thread([this, stream = stream.get()] {
        stream->channel.finish(services_.completions.run(
            stream->call, stream->cancel, [stream](std::string_view text) { return stream->channel.write(text); }));
    });

    // A failure before the first text still gets an HTTP status of its own.
    stream->channel.waitForFirst();
    if (const auto result = stream->channel.result(); result && !result->ok()) {
        stream->thread.join();
        return sendError(response, result->status(), stream->redactor, &services_.members);
    }
    const auto provide = [stream](std::size_t, httplib::DataSink &sink) {
        const std::string text = stream->channel.read();
        if (!text.empty()) {
            const std::string data =
                event({{"id", stream->call.requestId}, {"choices", {{{"index", 0}, {"text", text}}}}});
            return sink.write(data.data(), data.size());
        }
        const TextChannel::Result result = *stream->channel.result();
        const std::string data = result.ok() ? event(completionJson(stream->call, *result, false)) + "data: [DONE]\n\n"
                                             : requests::errorEvent(result.status(), stream->redactor);
        sink.write(data.data(), data.size());
        sink.done();
        return true;
    };
    const auto release = [stream](bool) {
        stream->channel.abandon();
        stream->cancel->cancel();
        if (stream->thread.joinable()) {
            stream->thread.join();
        }
    };
    response.set_chunked_content_provider("text/event-stream", provide, release);
}

absl::Status CallerApi::claimIfNeeded(const AuthorizedRequest &authorized, const RouteId &route,
                                      const httplib::Request &request)
{
    if (authorized.authorization.route.repeatable) {
        return absl::OkStatus();
    }
    const std::string key = request.get_header_value("Idempotency-Key");
    if (key.empty()) {
        return invalid("calls on this route may not be repeated: an Idempotency-Key header is needed");
    }
    return services_.claims.claim(authorized.authorization.workspace, route, key);
}

void CallerApi::serviceCall(const httplib::Request &request, httplib::Response &response)
{
    const RequestGate::Pass pass(services_.gate);
    if (!pass.refusal().ok()) {
        return sendError(response, pass.refusal(), {}, &services_.members);
    }
    const RouteId route(request.matches[1].str());
    const std::shared_ptr<const config::ConfigState> state = services_.config.current();
    const absl::StatusOr<AuthorizedRequest> authorized = authorizeRequest(request, *state, route);
    if (!authorized.ok()) {
        return sendError(response, authorized.status());
    }
    if (authorized->authorization.route.kind != config::PoolKind::Service) {
        return sendError(response,
                         makeError(absl::StatusCode::kNotFound, Step::CheckRoute, "", Outcome::NotRun,
                                   "the route leads to a model engine"));
    }
    services::PlainCall call;
    call.authorization = authorized->authorization;
    call.route = route;
    call.request.method = request.method;
    call.request.path = serviceTarget(authorized->keyed.scrubbed.target, route.str());
    call.request.headers = authorized->keyed.scrubbed.headers;
    call.request.body = authorized->keyed.scrubbed.body;
    call.request.freshConnection = !authorized->authorization.route.repeatable;
    call.idempotencyKey = request.get_header_value("Idempotency-Key");
    const absl::StatusOr<endpoints::ServiceAnswer> answer = services_.plainCalls.run(std::move(call));
    if (!answer.ok()) {
        return sendError(response, answer.status(), authorized->keyed.redactor, &services_.members);
    }
    response.status = answer->status;
    std::string contentType = "application/octet-stream";
    for (const auto &[name, value] : answer->headers) {
        if (name == "Content-Type" || name == "content-type") {
            contentType = value;
        } else {
            response.set_header(name, value);
        }
    }
    response.set_content(answer->body, contentType);
}

void CallerApi::callToken(const httplib::Request &request, httplib::Response &response)
{
    const RequestGate::Pass pass(services_.gate);
    if (!pass.refusal().ok()) {
        return sendError(response, pass.refusal(), {}, &services_.members);
    }
    const std::optional<Json> body = parseJson(request.body);
    const RouteId route(body ? fieldOr<std::string>(*body, "route", "") : "");
    const absl::StatusOr<AuthorizedRequest> authorized = authorizeRequest(request, *services_.config.current(), route);
    if (!authorized.ok()) {
        return sendError(response, authorized.status());
    }
    const absl::StatusOr<std::string> token = services_.claims.issueToken(authorized->authorization.workspace, route);
    if (!token.ok()) {
        return sendError(response, token.status());
    }
    sendJson(response, {{"token", *token}, {"daemon", services_.members.self().callerAddress}});
}

} // namespace currantlug::server
