#include "standins/enginestandin.h"

#include "standins/enginestate.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

namespace currantlug::standins {

namespace {

constexpr std::size_t OtherRequestsKept = 1000; ///< Load polls and the like, for the audit.

} // namespace

void EngineStandin::State::handle(const Request &request, Response &response)
{
    const std::string route = request.method + " " + request.path;
    const std::string cancelRoute = fmt::format("DELETE {}/", CompletionsPath);
    if (route == "GET /audit") {
        answerJson(response, audit());
        return;
    }
    if (route == "POST /settings") {
        change(request, response);
        return;
    }
    if (request.method == "POST" && request.path == CompletionsPath) {
        complete(request, response);
        return;
    }
    {
        const std::lock_guard lock(mutex);
        others.push_back({{"method", request.method},
                          {"target", request.target},
                          {"headers", headersJson(request)},
                          {"body", request.body}});
        if (others.size() > OtherRequestsKept) {
            others.pop_front();
        }
    }
    if (route.starts_with(cancelRoute)) {
        cancel(route.substr(cancelRoute.size()), response);
    } else if (route == "GET /v1/load") {
        reportLoad(response);
    } else if (route == "POST /v1/orders") {
        takeOrder(request, response);
    } else if (route == "GET /v1/cache-events") {
        std::uint64_t after = 0;
        (void)absl::SimpleAtoi(request.get_param_value("after"), &after);
        const std::lock_guard lock(mutex);
        answerJson(response, cache.eventsAfter(after, monotonicNow()));
    } else {
        answerError(response, 404, "not_found", "no such path");
    }
}

void EngineStandin::State::takeOrder(const Request &request, Response &response)
{
    const std::optional<Json> body = parseJson(request.body);
    const std::string kind = body ? fieldOr<std::string>(*body, "kind", "") : "";
    const std::uint64_t version = body ? fieldOr<std::uint64_t>(*body, "version", 0) : 0;
    const std::string newRole = body ? fieldOr<std::string>(*body, "role", "") : "";
    if (!(kind == "load_weights" && version > 0) && !(kind == "set_role" && !newRole.empty())) {
        answerError(response, 400, "invalid", "expected load_weights with a version or set_role with a role");
    } else if (!admitOrder(request, *body)) {
        answerError(response, 409, "stale_token", "fencing token below the highest seen");
    } else if (kind == "load_weights") {
        loadWeights(version, response);
    } else {
        const std::lock_guard lock(mutex);
        role = newRole;
        answerJson(response, {{"role", role}});
    }
}

bool EngineStandin::State::admitOrder(const Request &request, const Json &body)
{
    const auto token = fieldOr<std::uint64_t>(body, "fencing_token", 0);
    const std::lock_guard lock(mutex);
    const bool accepted = !settings.checkFencing || token >= highestToken;
    highestToken = std::max(highestToken, token);
    Json order = body;
    order["sender"] = request.has_header("X-Sender") ? request.get_header_value("X-Sender") : request.remote_addr;
    order["at_ms"] = monotonicMs();
    order["accepted"] = accepted;
    orders.push_back(std::move(order));
    return accepted;
}

void EngineStandin::State::loadWeights(std::uint64_t version, Response &response)
{
    absl::Duration time;
    {
        const std::lock_guard lock(mutex);
        time = settings.swapTime;
    }
    // A load goes on when its sender closes the connection.
    const Instant end = monotonicNow() + time;
    std::unique_lock lock(mutex);
    const std::uint64_t startedIn = epoch;
    changed.wait_for(lock, absl::ToChronoNanoseconds(end - monotonicNow()),
                     [&] { return server.stopping() || epoch != startedIn || monotonicNow() >= end; });
    Fault fault;
    if (epoch != startedIn || server.faults().take(FaultKind::FailSwap, "/v1/orders", fault)) {
        answerError(response, 500, "swap_failed", "the weights could not be loaded");
        return;
    }
    settings.weightVersion = version;
    answerJson(response, {{"weight_version", version}});
}

void EngineStandin::State::reportLoad(Response &response)
{
    const std::lock_guard lock(mutex);
    const Instant now = monotonicNow();
    if (load.is_null() || now - loadAt > settings.loadLag) {
        load = {{"running", running},
                {"waiting", waiting.size()},
                {"kv_used", cache.used()},
                {"weight_version", settings.weightVersion},
                {"role", role},
                {"leaving", leaving}};
        loadAt = now;
    }
    Json report = load;
    report["age_ms"] = absl::ToInt64Milliseconds(now - loadAt);
    answerJson(response, report);
}

void EngineStandin::State::change(const Request &request, Response &response)
{
    const std::optional<Json> body = parseJson(request.body);
    if (!body || !body->is_object()) {
        answerError(response, 400, "invalid", "expected an object");
        return;
    }
    const std::lock_guard lock(mutex);
    settings.checkFencing = fieldOr<bool>(*body, "check_fencing", settings.checkFencing);
    settings.maxRunning = fieldOr<std::size_t>(*body, "max_running", settings.maxRunning);
    settings.weightVersion = fieldOr<std::uint64_t>(*body, "weight_version", settings.weightVersion);
    leaving = fieldOr<bool>(*body, "leaving", leaving);
    if (body->contains("ms_per_token")) {
        settings.perToken = absl::Milliseconds(fieldOr<double>(*body, "ms_per_token", 0));
    }
    changed.notify_all();
    answerJson(response, Json::object());
}

void EngineStandin::State::crash(absl::Duration downTime)
{
    {
        const std::lock_guard lock(mutex);
        ++epoch;
        cache.clear();
        changed.notify_all();
    }
    server.closeConnections(downTime);
}

Json EngineStandin::State::audit() const
{
    const std::lock_guard lock(mutex);
    Json requests = Json::object();
    for (const auto &[id, list] : attempts) {
        Json entries = Json::array();
        for (const AttemptPtr &attempt : list) {
            entries.push_back(attemptJson(*attempt));
        }
        requests[id] = std::move(entries);
    }
    return {{"requests", std::move(requests)}, {"orders", orders}, {"other", others}};
}

EngineStandin::EngineStandin(EngineSettings settings)
    : state_(std::make_unique<State>(std::move(settings)))
{
}

EngineStandin::~EngineStandin()
{
    stop();
}

absl::Status EngineStandin::start()
{
    return state_->server.start(state_->settings.port);
}

void EngineStandin::stop()
{
    state_->server.stop([this] { state_->changed.notify_all(); });
}

int EngineStandin::port() const
{
    return state_->server.port();
}

void EngineStandin::addFault(const Fault &fault)
{
    state_->server.faults().add(fault);
}

void EngineStandin::clearFaults()
{
    state_->server.faults().clear();
}

void EngineStandin::setWeightVersion(std::uint64_t version)
{
    const std::lock_guard lock(state_->mutex);
    state_->settings.weightVersion = version;
}

void EngineStandin::setCheckFencing(bool on)
{
    const std::lock_guard lock(state_->mutex);
    state_->settings.checkFencing = on;
}

void EngineStandin::setLeaving(bool leaving)
{
    const std::lock_guard lock(state_->mutex);
    state_->leaving = leaving;
}

void EngineStandin::crash(absl::Duration downTime)
{
    state_->crash(downTime);
}

Json EngineStandin::audit() const
{
    return state_->audit();
}

} // namespace currantlug::standins
