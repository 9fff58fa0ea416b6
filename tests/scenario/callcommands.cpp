// Scenario commands that call the daemons and read the endpoints' audits.
#include "scenario/scenario.h"

#include "standins/enginestandin.h"

#include <sstream>

namespace currantlug::scenario {

namespace {

/// The executions that the service's audit lists for an Idempotency-Key.
int executionsOf(const Json &audit, const std::string &idempotencyKey)
{
    const Json executions = audit.value("executions", Json::object());
    return fieldOr<int>(executions, idempotencyKey.c_str(), 0);
}

/// Tokens of text in a stream of completion events.
int streamedTokens(const std::string &stream)
{
    std::size_t bytes = 0;
    std::istringstream lines(stream);
    for (std::string line; std::getline(lines, line);) {
        const auto event = line.starts_with("data: {") ? parseJson(line.substr(6)) : std::nullopt;
        if (event && event->contains("choices")) {
            bytes += fieldOr<std::string>((*event)["choices"][0], "text", "").size();
        }
    }
    return static_cast<int>(bytes / standins::EngineTokenBytes);
}

std::string keyText(const std::string &name)
{
    return name == "herders" ? HerdersKey : name == "clinic" ? ClinicKey : name;
}

} // namespace

/// The daemon of `at`; "other" is one that `signal holder=` did not name last.
int ScenarioRunner::calledDaemon(const Command &command)
{
    if (command.text("at") != "other") {
        return command.number("at", 1);
    }
    return std::stoi(variables_.at("last-holder")) % site_->daemonCount() + 1;
}

HttpReply ScenarioRunner::sendCall(const Command &command, BackgroundCall *background)
{
    const int port = site_->daemon(calledDaemon(command)).callerPort;
    httplib::Client client("127.0.0.1", port);
    client.set_connection_timeout(2);
    client.set_read_timeout(std::chrono::milliseconds(command.number("timeout_ms", 60'000)));
    httplib::Request request;
    request.method = "POST";
    const std::string route = command.text("route", "count");
    if (command.has("key")) {
        request.set_header("Authorization", "Bearer " + keyText(command.text("key")));
    }
    if (command.has("idempotency")) {
        const auto variable = variables_.find(command.text("idempotency"));
        request.set_header("Idempotency-Key",
                           variable == variables_.end() ? command.text("idempotency") : variable->second);
    }
    if (command.has("service")) {
        request.path = "/v1/services/" + route + command.text("service");
        request.body = command.text("body", "{}");
    } else {
        request.path = "/v1/completions";
        request.body = Json{{"model", route},
                            {"prompt", command.text("prompt", "count the flock")},
                            {"max_tokens", command.number("tokens", 20)},
                            {"stream", background != nullptr}}
                           .dump();
    }
    request.set_header("Content-Type", "application/json");
    std::string received;
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        received.append(data, size);
        if (background != nullptr) {
            const std::lock_guard lock(background->mutex);
            background->streamed.append(data, size);
        }
        return true;
    };
    const httplib::Result result = client.send(request);
    if (!result) {
        return {0, received, Json()};
    }
    return {result->status, received, parseJson(received).value_or(Json())};
}

/// call at=N key=herders|clinic|TEXT route=R tokens=N [service=/path idempotency=K body=JSON] [as=NAME]
///      [status=N] [outcome=not_run|...] — with as= it runs in the background, streamed.
void ScenarioRunner::call(const Command &command)
{
    if (command.has("as")) {
        auto entry = std::make_unique<BackgroundCall>();
        BackgroundCall *call = entry.get();
        call->thread = std::thread([this, command, call] {
            HttpReply reply = sendCall(command, call);
            const std::lock_guard lock(call->mutex);
            call->reply = std::move(reply);
            call->done = true;
        });
        calls_[command.text("as")] = std::move(entry);
        return;
    }
    const HttpReply reply = sendCall(command, nullptr);
    const std::string outcome =
        reply.json.is_object() ? fieldOr<std::string>(reply.json.value("error", Json::object()), "outcome", "") : "";
    if (reply.status != command.number("status", 200)) {
        throw ScenarioError("status " + std::to_string(reply.status) + ": " + reply.body);
    }
    if (command.has("outcome") && outcome != command.text("outcome")) {
        throw ScenarioError("outcome " + outcome + ": " + reply.body);
    }
}

/// expect-call name=NAME result=whole|cut [tokens=N] within_ms=N — whole: with the end marker, and with the text of all
/// tokens; cut: ended without the marker.
void ScenarioRunner::expectCall(const Command &command)
{
    BackgroundCall &call = *calls_.at(command.text("name"));
    eventually(command, [&](std::string &seen) {
        const std::lock_guard lock(call.mutex);
        seen = call.streamed;
        return call.done;
    });
    const bool whole = call.streamed.find("data: [DONE]") != std::string::npos;
    if (whole != (command.text("result", "whole") == "whole")) {
        throw ScenarioError("status " + std::to_string(call.reply.status) + ", received " + call.streamed);
    }
    if (command.has("tokens") && streamedTokens(call.streamed) != command.number("tokens")) {
        throw ScenarioError("received " + std::to_string(streamedTokens(call.streamed)) + " tokens");
    }
    if (!whole && call.reply.status == 200 && call.streamed.find("\"error\"") == std::string::npos) {
        throw ScenarioError("the stream was cut without an error event: " + call.streamed);
    }
}

/// expect-streamed name=NAME events=N within_ms=N — at least this many events have arrived.
void ScenarioRunner::expectStreamed(const Command &command)
{
    BackgroundCall &call = *calls_.at(command.text("name"));
    eventually(command, [&](std::string &seen) {
        const std::lock_guard lock(call.mutex);
        seen = call.streamed;
        int events = 0;
        for (std::size_t at = seen.find("data:"); at != std::string::npos; at = seen.find("data:", at + 1)) {
            ++events;
        }
        return events >= command.number("events");
    });
}

/// call-token at=N key=K route=R as=NAME — later idempotency=NAME sends the token.
void ScenarioRunner::callToken(const Command &command)
{
    const httplib::Headers headers{{"Authorization", "Bearer " + keyText(command.text("key"))}};
    const HttpReply reply = Site::request(site_->daemon(command.number("at", 1)).callerPort, "POST", "/v1/call-tokens",
                                          headers, Json{{"route", command.text("route")}}.dump());
    if (reply.status != 200) {
        throw ScenarioError("status " + std::to_string(reply.status) + ": " + reply.body);
    }
    variables_[command.text("as")] = fieldOr<std::string>(reply.json, "token", "");
}

/// trainer name=NAME at=N steps=N groups=N samples=N tokens=N bound=N [flags='...'] — in the background.
void ScenarioRunner::trainer(const Command &command)
{
    std::string engines;
    for (int i = 1; i <= site_->engineCount(); ++i) {
        engines += (engines.empty() ? "" : ",") + ("127.0.0.1:" + std::to_string(site_->engine(i).port));
    }
    std::vector<std::string> arguments{"--trainer=" + command.text("name"),
                                       std::string("--key=") + HerdersKey,
                                       "--route=count",
                                       "--daemons=127.0.0.1:"
                                           + std::to_string(site_->daemon(command.number("at", 1)).callerPort),
                                       "--engines=" + engines,
                                       "--steps=" + std::to_string(command.number("steps", 2)),
                                       "--groups=" + std::to_string(command.number("groups", 4)),
                                       "--samples=" + std::to_string(command.number("samples", 4)),
                                       "--max-tokens=" + std::to_string(command.number("tokens", 20)),
                                       "--staleness-bound=" + std::to_string(command.number("bound", 1))};
    std::istringstream flags(command.text("flags"));
    for (std::string flag; flags >> flag;) {
        arguments.push_back(flag);
    }
    trainers_[command.text("name")] = std::make_unique<ChildProcess>(
        Site::program("standin-trainer"), arguments, site_->logFolder() + "/" + command.text("name") + ".log");
}

/// expect-trainer name=NAME delivered=N within_ms=N — exit code 0, and its summary counts this many samples.
void ScenarioRunner::expectTrainer(const Command &command)
{
    ChildProcess &process = *trainers_.at(command.text("name"));
    const int code = process.waitForExit(command.number("within_ms", 60'000));
    std::string last;
    for (std::string line = process.readLine(); !line.empty(); line = process.readLine()) {
        last = line;
    }
    const std::string wanted = "delivered=" + command.text("delivered") + " ";
    if (code != 0 || last.find(wanted) == std::string::npos) {
        throw ScenarioError("exit code " + std::to_string(code) + ": " + last);
    }
}

/// expect-no-key — no engine and no service has seen the text of a key.
void ScenarioRunner::expectNoKeyAtEndpoints(const Command &)
{
    const auto check = [](const StandinProcess &endpoint) {
        const HttpReply reply = Site::request(endpoint.port, "GET", "/audit", {}, "");
        if (reply.status != 200 || reply.body.find(HerdersKey) != std::string::npos
            || reply.body.find(ClinicKey) != std::string::npos) {
            throw ScenarioError("an endpoint saw a key, or has no audit: " + reply.body.substr(0, 2000));
        }
    };
    for (int i = 1; i <= site_->engineCount(); ++i) {
        check(site_->engine(i));
    }
    for (int i = 1; i <= site_->serviceCount(); ++i) {
        check(site_->service(i));
    }
}

/// expect-executions idempotency=K count=N — over all services.
void ScenarioRunner::expectExecutions(const Command &command)
{
    const auto variable = variables_.find(command.text("idempotency"));
    const std::string key = variable == variables_.end() ? command.text("idempotency") : variable->second;
    int executions = 0;
    for (int i = 1; i <= site_->serviceCount(); ++i) {
        executions += executionsOf(Site::request(site_->service(i).port, "GET", "/audit", {}, "").json, key);
    }
    if (executions != command.number("count")) {
        throw ScenarioError("ran " + std::to_string(executions) + " times");
    }
}

std::uint64_t ScenarioRunner::acceptedByEngine(int number)
{
    const HttpReply reply = Site::request(site_->engine(number).port, "GET", "/audit", {}, "");
    return reply.json.is_object() ? reply.json.value("requests", Json::object()).size() : 0;
}

/// expect-no-new-work engine=N ms=N — the engine gets no request during this time, while the others get some.
void ScenarioRunner::expectNoNewWork(const Command &command)
{
    const int engine = command.number("engine");
    const auto countOthers = [&] {
        std::uint64_t total = 0;
        for (int i = 1; i <= site_->engineCount(); ++i) {
            total += i == engine ? 0 : acceptedByEngine(i);
        }
        return total;
    };
    const std::uint64_t before = acceptedByEngine(engine);
    const std::uint64_t othersBefore = countOthers();
    pauseRun(command);
    const std::uint64_t after = acceptedByEngine(engine);
    if (after != before) {
        throw ScenarioError(std::to_string(after - before) + " new requests");
    }
    if (countOthers() == othersBefore) {
        throw ScenarioError("no engine got work, so nothing was shown");
    }
}

/// expect-orders replicas=N within_ms=N — the newest orders of all zones add up to this many replicas, and no order
/// came from a sender after one with a higher term had arrived.
void ScenarioRunner::expectOrders(const Command &command)
{
    eventually(command, [&](std::string &seen) {
        const HttpReply reply = Site::request(site_->platform().port, "GET", "/audit", {}, "");
        const Json orders = reply.json.is_object() ? reply.json.value("orders", Json::array()) : Json::array();
        seen = orders.dump();
        std::map<std::string, int> newest;
        std::map<std::uint64_t, std::string> senderOfTerm;
        std::uint64_t highest = 0;
        for (const Json &order : orders) {
            const auto term = fieldOr<std::uint64_t>(order, "fencing_token", 0);
            const std::string sender = fieldOr<std::string>(order, "sender", "");
            if (term < highest || senderOfTerm.try_emplace(term, sender).first->second != sender) {
                throw ScenarioError("an order came from a process that was no longer in charge: " + seen);
            }
            highest = term;
            newest[fieldOr<std::string>(order, "availability_zone", "")] =
                fieldOr<int>(order, "lasting", 0) + fieldOr<int>(order, "cheap", 0);
        }
        int total = 0;
        for (const auto &[zone, replicas] : newest) {
            total += replicas;
        }
        return total == command.number("replicas");
    });
}

/// expect-usage workspace=W tokens=N within_ms=N — the reported windows add up to this many tokens, and no window was
/// reported twice with different figures.
void ScenarioRunner::expectUsage(const Command &command)
{
    eventually(command, [&](std::string &seen) {
        const HttpReply reply = Site::request(site_->platform().port, "GET", "/audit", {}, "");
        const Json reports = reply.json.is_object() ? reply.json.value("reports", Json::array()) : Json::array();
        seen = reports.dump();
        std::map<std::string, std::string> bodies;
        for (const Json &report : reports) {
            if (fieldOr<std::string>(report, "workspace", "") != command.text("workspace")) {
                continue;
            }
            const std::string body = fieldOr<std::string>(report, "body", "");
            if (bodies.try_emplace(fieldOr<std::string>(report, "window", ""), body).first->second != body) {
                throw ScenarioError("a window was reported twice with different figures: " + seen);
            }
        }
        int tokens = 0;
        for (const auto &[window, body] : bodies) {
            tokens += fieldOr<int>(parseJson(body).value_or(Json()), "tokens", 0);
        }
        return tokens == command.number("tokens");
    });
}

} // namespace currantlug::scenario
