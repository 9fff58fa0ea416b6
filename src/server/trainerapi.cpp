// Handlers for trainers and forwarding to the owner of a step.
#include "server/trainerapi.h"

#include "core/error.h"

#include <algorithm>
#include <utility>

namespace currantlug::server {

namespace {

constexpr absl::Duration LongestWait = absl::Seconds(10);

// A forwarded pull waits only this long at the owner, because it holds one of the owner's mesh workers; the daemon that
// the trainer is connected to repeats it until the trainer's own wait is over.
constexpr absl::Duration ForwardedWait = absl::Milliseconds(100);
constexpr absl::Duration ForwardTimeout = absl::Seconds(3);

constexpr std::size_t DefaultMaxSamples = 64;

Json sampleJson(const rollout::DeliveredSample &sample)
{
    Json segments = Json::array();
    for (const rollout::Segment &segment : sample.sample.segments) {
        segments.push_back({{"weight_version", segment.weightVersion}, {"tokens", segment.tokens}});
    }
    return {{"group", sample.group},
            {"index", sample.index},
            {"text", sample.sample.text},
            {"segments", std::move(segments)},
            {"sample_id", sample.sample.sampleId},
            {"finish_reason", sample.sample.finishReason}};
}

absl::Duration requestedWait(const Json &body)
{
    return std::min(absl::Milliseconds(fieldOr<std::int64_t>(body, "wait_ms", 0)), LongestWait);
}

bool broughtNothing(const Json &answer)
{
    return answer.contains("samples") && answer["samples"].empty()
        && fieldOr<std::uint64_t>(answer, "remaining", 0) > 0;
}

} // namespace

void TrainerApi::install(httplib::Server &server)
{
    const std::string step = R"(/v1/trainers/([^/?]+)/steps/([^/?]+))";
    server.Put(step, [this](const auto &request, auto &response) { handle("put", request, response); });
    server.Post(step + "/pull", [this](const auto &request, auto &response) { handle("pull", request, response); });
    server.Delete(step, [this](const auto &request, auto &response) { handle("delete", request, response); });
}

void TrainerApi::registerHandlers()
{
    services_.mesh.setHandler("forward", [this](const mesh::PeerInfo &, const Json &body) -> Json {
        StepRequest request{fieldOr<std::string>(body, "action", ""),
                            TrainerId(fieldOr<std::string>(body, "trainer", "")),
                            fieldOr<std::string>(body, "step", ""), body.value("body", Json::object())};
        const RequestGate::Pass pass(services_.gate);
        const absl::StatusOr<StepAnswer> answer = pass.refusal().ok()
            ? serveLocally(request, std::min(requestedWait(request.body), ForwardedWait))
            : absl::StatusOr<StepAnswer>(pass.refusal());
        if (answer.ok()) {
            return {{"status", answer->status}, {"body", answer->body}};
        }
        const requests::ErrorAnswer error = requests::errorAnswer(answer.status());
        return {{"status", error.httpStatus}, {"body", parseJson(error.body).value_or(Json::object())}};
    });
}

void TrainerApi::handle(const std::string &action, const httplib::Request &request, httplib::Response &response)
{
    const RequestGate::Pass pass(services_.gate);
    if (!pass.refusal().ok()) {
        return sendError(response, pass.refusal(), {}, &services_.members);
    }
    StepRequest stepRequest{action, TrainerId(request.matches[1].str()), request.matches[2].str(), Json::object()};
    if (action != "delete") {
        const std::optional<Json> body = parseJson(request.body);
        if (!body || !body->is_object()) {
            return sendError(response,
                             makeError(absl::StatusCode::kInvalidArgument, Step::ReadRequest, "", Outcome::NotRun,
                                       "the body is not a JSON object"));
        }
        stepRequest.body = *body;
    }
    const absl::StatusOr<KeyedTrainer> keyed = checkTrainer(stepRequest, request);
    if (!keyed.ok()) {
        return sendError(response, keyed.status());
    }
    // Steps are kept by workspace and trainer, so the key of another workspace finds no step.
    stepRequest.trainer = TrainerId(keyed->workspace.str() + "/" + stepRequest.trainer.str());
    const absl::StatusOr<StepAnswer> answer = serve(stepRequest);
    if (!answer.ok()) {
        return sendError(response, answer.status(), keyed->redactor);
    }
    sendJson(response, answer->body, answer->status);
}

absl::StatusOr<TrainerApi::KeyedTrainer> TrainerApi::checkTrainer(const StepRequest &stepRequest,
                                                                  const httplib::Request &request)
{
    const std::shared_ptr<const config::ConfigState> state = services_.config.current();
    if (stepRequest.action == "put") {
        const RouteId route(fieldOr<std::string>(stepRequest.body, "route", ""));
        absl::StatusOr<AuthorizedRequest> authorized = authorizeRequest(request, *state, route);
        if (!authorized.ok()) {
            return authorized.status();
        }
        if (authorized->authorization.route.kind != config::PoolKind::Engine) {
            return makeError(absl::StatusCode::kInvalidArgument, Step::CheckRoute, "", Outcome::NotRun,
                             "the route leads to a plain service");
        }
        return KeyedTrainer{authorized->authorization.workspace, std::move(authorized->keyed.redactor)};
    }
    absl::StatusOr<requests::KeyedRequest> keyed = requests::takeKey(callerRequest(request));
    if (!keyed.ok()) {
        return keyed.status();
    }
    absl::StatusOr<WorkspaceId> workspace = requests::workspaceOfKey(*state, keyed->keyDigest);
    if (!workspace.ok()) {
        return workspace.status();
    }
    return KeyedTrainer{*std::move(workspace), std::move(keyed->redactor)};
}

absl::StatusOr<TrainerApi::StepAnswer> TrainerApi::serve(const StepRequest &request)
{
    const bool isHere = services_.steps.find(request.trainer, request.step).has_value();
    const std::optional<DaemonId> owner =
        services_.members.ownerOf("step/" + request.trainer.str() + "/" + request.step);
    if (isHere || !owner || *owner == services_.members.self().id) {
        return serveLocally(request, requestedWait(request.body));
    }
    absl::StatusOr<StepAnswer> answer = forward(*owner, request);
    // The owner cannot be reached, or the definition exceeds a mesh message: the trainer's cursor makes it safe to
    // serve the step here.
    return answer.ok() ? answer : serveLocally(request, requestedWait(request.body));
}

absl::StatusOr<TrainerApi::StepAnswer> TrainerApi::forward(const DaemonId &owner, StepRequest request)
{
    const Instant end = monotonicNow() + requestedWait(request.body);
    for (;;) {
        absl::StatusOr<StepAnswer> answer = forwardOnce(owner, request);
        const std::size_t maxSamples = fieldOr<std::size_t>(request.body, "max_samples", DefaultMaxSamples);
        if (!answer.ok() && answer.status().code() == absl::StatusCode::kInternal && maxSamples > 1) {
            // The answer exceeds a mesh message: ask for fewer samples.
            request.body["max_samples"] = maxSamples / 2;
            continue;
        }
        if (!answer.ok() || !broughtNothing(answer->body) || monotonicNow() >= end) {
            return answer;
        }
    }
}

absl::StatusOr<TrainerApi::StepAnswer> TrainerApi::forwardOnce(const DaemonId &owner, const StepRequest &request)
{
    const Json message{
        {"action", request.action}, {"trainer", request.trainer.str()}, {"step", request.step}, {"body", request.body}};
    const absl::StatusOr<Json> answer = services_.mesh.call(owner, "forward", message, ForwardTimeout);
    if (!answer.ok()) {
        return answer.status();
    }
    return StepAnswer{fieldOr<int>(*answer, "status", 500), answer->value("body", Json::object())};
}

absl::StatusOr<TrainerApi::StepAnswer> TrainerApi::serveLocally(const StepRequest &request, absl::Duration wait)
{
    if (request.action == "put") {
        absl::StatusOr<rollout::StepDefinition> definition =
            rollout::parseStepDefinition(request.trainer, request.step, request.body.dump());
        if (!definition.ok()) {
            return definition.status();
        }
        if (absl::Status status = services_.steps.put(*std::move(definition), monotonicNow()); !status.ok()) {
            return status;
        }
        return StepAnswer{200, {{"accepted", true}}};
    }
    if (request.action == "pull") {
        return pull(request, wait);
    }
    if (request.action == "delete") {
        return StepAnswer{200, {{"removed", services_.steps.remove(request.trainer, request.step)}}};
    }
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadRequest, "", Outcome::NotRun, "unknown action");
}

absl::StatusOr<TrainerApi::StepAnswer> TrainerApi::pull(const StepRequest &request, absl::Duration wait)
{
    if (!request.body.contains("trainer_version") || !request.body["trainer_version"].is_number_unsigned()) {
        return makeError(absl::StatusCode::kInvalidArgument, Step::ReadRequest, "", Outcome::NotRun,
                         "trainer_version: expected an integer; staleness is judged by it");
    }
    const absl::StatusOr<rollout::PullAnswer> answer =
        services_.steps.pullWaiting(request.trainer, request.step, fieldOr<std::string>(request.body, "cursor", ""),
                                    request.body["trainer_version"].get<std::uint64_t>(),
                                    fieldOr<std::size_t>(request.body, "max_samples", DefaultMaxSamples), wait);
    if (!answer.ok()) {
        return answer.status();
    }
    Json samples = Json::array();
    for (const rollout::DeliveredSample &sample : answer->samples) {
        samples.push_back(sampleJson(sample));
    }
    return StepAnswer{200,
                      {{"cursor", answer->cursor},
                       {"samples", std::move(samples)},
                       {"remaining", answer->remaining},
                       {"dropped_stale", answer->droppedStale}}};
}

} // namespace currantlug::server
