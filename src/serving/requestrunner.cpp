// Processing of a client request, from the first attempt to the final response.
#include "serving/requestrunner.h"

#include "telemetry/log.h"

#include <algorithm>

namespace currantlug::serving {

using telemetry::Level;

namespace {

/// True if the response is a failure of the replica itself, so that another replica may succeed.
bool isServerError(int status)
{
    return status >= 500;
}

} // namespace

struct RequestRunner::ActiveRequest
{
    InboundRequest request;
    ResponseSink sink;
    RouteKind kind = RouteKind::Unsafe;
    bool repeatable = false;
    int maxAttempts = 1;
    std::string routeName;
    std::string service;
    std::string workspace;
    RegionSet regions;
    std::string digest; ///< Computed when it is needed first.
    Instant deadline; ///< When the final response is due.
    absl::Duration hedgeDelay;
    absl::Duration maxPermitWait;
    bool waitingForPermit = false;
    std::vector<Attempt> attempts;
    std::set<std::string> tried;
    bool finished = false;
    bool streaming = false; ///< The head of the response was sent.
    bool startReported = false;
    bool mayHaveRun = false;
    boost::asio::steady_timer timer;

    explicit ActiveRequest(net::Loop &loop)
        : timer(loop)
    {
    }

    bool anyPending() const
    {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt &attempt) { return attempt.pending; });
    }
};

RequestRunner::RequestRunner(net::Loop &loop, ReplicaTable &replicas, CrashSuspects &suspects, ReplicaPort port,
                             PermitSource permits, RequestRunnerSettings settings, Observer observer)
    : loop_(loop)
    , replicas_(replicas)
    , suspects_(suspects)
    , port_(std::move(port))
    , permits_(std::move(permits))
    , settings_(settings)
    , observer_(std::move(observer))
{
}

void RequestRunner::run(InboundRequest request, const Route &route, const std::string &workspace,
                        const RegionSet &regions, ResponseSink sink)
{
    const auto active = std::make_shared<ActiveRequest>(loop_);
    active->sink = std::move(sink);
    active->kind = route.kind;
    active->repeatable = route.repeatable();
    active->maxAttempts = std::max(1, route.maxAttempts);
    active->routeName = route.name;
    active->service = GatewayConfig::pickService(route, request.id);
    active->workspace = workspace;
    active->regions = regions;
    const absl::Duration clientTimeout = request.deadline.value_or(settings_.defaultTimeout);
    const absl::Duration limit = std::min(clientTimeout, route.timeout);
    active->deadline = request.arrived + limit - std::min(settings_.responseMargin, limit * 0.1);
    active->hedgeDelay = route.targetLatency * settings_.hedgeFraction;
    active->maxPermitWait = std::min(route.targetLatency, limit) * settings_.permitWaitFraction;
    active->request = std::move(request);
    const std::weak_ptr<ActiveRequest> weak = active;
    active->sink.onClientGone([this, weak] {
        if (const ActiveRequestPtr locked = weak.lock(); locked != nullptr && !locked->finished) {
            finish(locked, "client_gone", 0);
        }
    });
    if (regions.isNowhere()) {
        telemetry::log(Level::Warning, "request", "no_region",
                       {telemetry::requestId(active->request.id), {"route", route.name}, {"workspace", workspace}});
        rejectRequest(active->sink, 503, "no region is allowed by both the route and the workspace",
                      settings_.configRetryAfter);
        finish(active, "no_region", 503);
        return;
    }
    if (refuseCrashing(active)) {
        return;
    }
    active->timer.expires_after(
        absl::ToChronoNanoseconds(std::max(absl::ZeroDuration(), active->deadline - net::loopNow())));
    active->timer.async_wait([this, active](boost::system::error_code error) {
        if (!error && !active->finished) {
            onDeadline(active);
        }
    });
    startAttempt(active);
}

bool RequestRunner::refuseCrashing(const ActiveRequestPtr &active)
{
    if (suspects_.empty() || !suspects_.refuses(digestOf(*active))) {
        return false;
    }
    telemetry::log(Level::Warning, "request", "crashing",
                   {telemetry::requestId(active->request.id),
                    {"digest", active->digest},
                    {"crashes", suspects_.crashes(active->digest)}});
    rejectRequest(active->sink, 503, "replicas end when they run this request", settings_.crashRetryAfter);
    finish(active, "crashing", 503);
    return true;
}

bool RequestRunner::isSuspect(ActiveRequest &active) const
{
    return !suspects_.empty() && !suspects_.mayRepeat(digestOf(active));
}

bool RequestRunner::canRetry(const ActiveRequest &active) const
{
    return static_cast<int>(active.attempts.size()) < active.maxAttempts && net::loopNow() < active.deadline;
}

void RequestRunner::startAttempt(const ActiveRequestPtr &active)
{
    const Instant now = net::loopNow();
    ReplicaTable::LimitedReplicas limited;
    limited.allowed = !active->anyPending();
    limited.maxPermitWait = permitWaitNow(*active);
    Replica *replica = replicas_.chooseForRequest(active->service, active->tried, now, limited, active->regions);
    if (replica == nullptr) {
        if (!active->anyPending()) {
            refuseWithoutReplica(active);
        }
    } else if (ReplicaTable::hasPermit(*replica, now)) {
        ReplicaTable::usePermit(*replica, now);
        sendAttempt(active, *replica);
    } else {
        awaitPermit(active, *replica, now);
    }
}

absl::Duration RequestRunner::permitWaitNow(const ActiveRequest &active) const
{
    return std::min(active.maxPermitWait, (active.deadline - net::loopNow()) * settings_.permitWaitFraction);
}

void RequestRunner::refuseWithoutReplica(const ActiveRequestPtr &active)
{
    const int status = active->mayHaveRun ? 502 : 503;
    const auto permitIn = replicas_.nextPermitIn(active->service, net::loopNow(), active->regions);
    if (!permitIn) {
        rejectRequest(active->sink, status, "no replica available", settings_.retryAfter);
        finish(active, "no_replica", status);
        return;
    }
    const double spread = std::uniform_real_distribution<double>(0, settings_.retryAfterSpread)(random_);
    rejectRequest(active->sink, status, "replicas limit their request rate",
                  std::max(settings_.retryAfter, *permitIn) * (1 + spread));
    finish(active, "limited", status);
}

void RequestRunner::awaitPermit(const ActiveRequestPtr &active, const Replica &replica, Instant now)
{
    active->waitingForPermit = true;
    const ReplicaIncarnation incarnation = incarnationOf(replica.entry);
    permits_(permitRequestFor(replica, 1, permitWaitNow(*active), now),
             [this, active, incarnation](const PermitReply &reply) { onPermitReply(active, incarnation, reply); });
}

void RequestRunner::onPermitReply(const ActiveRequestPtr &active, const ReplicaIncarnation &incarnation,
                                  const PermitReply &reply)
{
    const Instant now = net::loopNow();
    if (Replica *replica = replicas_.find(incarnation)) {
        replicas_.addPermits(*replica, reply, now);
    }
    if (reply.delays.empty()) {
        active->waitingForPermit = false;
        active->tried.insert(incarnation.id);
        if (!active->finished) {
            startAttempt(active);
        }
        return;
    }
    if (reply.delays.front() <= absl::ZeroDuration()) {
        onPermitUsable(active, incarnation);
        return;
    }
    net::runAfter(loop_, reply.delays.front(), [this, active, incarnation] { onPermitUsable(active, incarnation); });
}

void RequestRunner::onPermitUsable(const ActiveRequestPtr &active, const ReplicaIncarnation &incarnation)
{
    active->waitingForPermit = false;
    if (active->finished) {
        return; // The permit stays for another request.
    }
    const Instant now = net::loopNow();
    Replica *replica = replicas_.find(incarnation);
    if (replica != nullptr && replica->acceptsRequests() && !replicas_.isEvacuated(*replica)
        && ReplicaTable::hasPermit(*replica, now)) {
        ReplicaTable::usePermit(*replica, now);
        sendAttempt(active, *replica);
    } else {
        // Another request has used the permit, the replica leaves, or its zone is evacuated.
        startAttempt(active);
    }
}

void RequestRunner::sendAttempt(const ActiveRequestPtr &active, Replica &replica)
{
    const Instant now = net::loopNow();
    OutboundRequest outbound;
    outbound.id = active->request.id;
    outbound.method = active->request.method;
    outbound.target = active->request.target;
    outbound.host = active->request.host;
    outbound.workspace = active->workspace;
    outbound.headers = active->request.headers;
    outbound.body = active->request.body;
    outbound.remaining = active->deadline - now;
    outbound.resumeAfter = active->request.resumeAfter;

    const std::size_t index = active->attempts.size();
    active->tried.insert(replica.entry.id);
    ++replica.inFlight;
    net::ClientLimits limits;
    limits.connect = settings_.connectTimeout;
    limits.total = active->deadline - now;
    ReplicaHandlers handlers;
    handlers.onHead = [this, active, index](const ReplicaHead &head, const net::HttpResponse &response) {
        onHead(active, index, head, response);
    };
    if (active->kind == RouteKind::Stream) {
        handlers.onBody = [this, active, index](std::string_view part) {
            if (active->streaming && !active->finished) {
                active->sink.write(part);
                pauseIfCongested(*active, active->attempts[index].call);
            }
        };
    }
    handlers.onDone = [this, active, index](const ReplicaHead &head, absl::StatusOr<net::HttpResponse> response) {
        onDone(active, index, head, std::move(response));
    };
    active->attempts.push_back({replica.entry.id, 0, true, false});
    active->attempts[index].call = port_.send(replica, std::move(outbound), limits, std::move(handlers));
    scheduleHedge(active);
}

void RequestRunner::pauseIfCongested(const ActiveRequest &active, net::CallId call)
{
    if (!active.sink.isCongested || !port_.pause || !active.sink.isCongested()) {
        return;
    }
    port_.pause(call);
    active.sink.onSent([this, call] { port_.resume(call); });
}

void RequestRunner::scheduleHedge(const ActiveRequestPtr &active)
{
    if (active->kind != RouteKind::Safe || active->attempts.size() != 1 || !canRetry(*active)
        || active->hedgeDelay >= active->deadline - net::loopNow()) {
        return;
    }
    net::runAfter(loop_, active->hedgeDelay, [this, weak = std::weak_ptr<ActiveRequest>(active)] {
        const ActiveRequestPtr locked = weak.lock();
        if (locked == nullptr || locked->finished || locked->attempts.size() != 1 || locked->waitingForPermit
            || !canRetry(*locked) || (!suspects_.empty() && suspects_.losses(digestOf(*locked)) > 0)) {
            return;
        }
        telemetry::log(Level::Info, "request", "hedge",
                       {telemetry::requestId(locked->request.id), {"first", locked->attempts[0].replica}});
        startAttempt(locked);
    });
}

void RequestRunner::onHead(const ActiveRequestPtr &active, std::size_t index, const ReplicaHead &head,
                           const net::HttpResponse &response)
{
    if (active->finished || head.notRun || head.requestMismatch) {
        return;
    }
    active->attempts[index].responseBegan = true;
    if (!std::exchange(active->startReported, true) && !active->workspace.empty()) {
        observer_.started(active->workspace);
    }
    if (active->kind == RouteKind::Stream && response.status / 100 == 2) {
        active->streaming = true;
        active->sink.begin(response.status, response.headers);
    }
}

void RequestRunner::releaseAttempt(const ActiveRequestPtr &active, std::size_t index)
{
    Attempt &attempt = active->attempts[index];
    if (!std::exchange(attempt.pending, false)) {
        return;
    }
    if (Replica *replica = replicas_.find(attempt.replica)) {
        replica->inFlight = std::max(0, replica->inFlight - 1);
    }
}

void RequestRunner::onDone(const ActiveRequestPtr &active, std::size_t index, const ReplicaHead &head,
                           absl::StatusOr<net::HttpResponse> response)
{
    releaseAttempt(active, index);
    if (active->finished) {
        return;
    }
    const Instant now = net::loopNow();
    Replica *replica = replicas_.find(active->attempts[index].replica);
    if (replica != nullptr) {
        ReplicaTable::recordLoad(*replica, head.load, now);
    }
    if (!response.ok()) {
        const ErrorContext context = errorContext(response.status());
        telemetry::log(Level::Warning, "request", "attempt_failed",
                       {telemetry::requestId(active->request.id),
                        {"replica", active->attempts[index].replica},
                        telemetry::step(context.step),
                        {"outcome", nameOf(context.outcome)},
                        {"message", std::string(response.status().message())}});
        // Lack of memory here says nothing about the replica.
        if (replica != nullptr && response.status().code() != absl::StatusCode::kResourceExhausted) {
            replicas_.recordFailure(*replica, now);
            const bool lost = context.step == Step::ReadAnswer && context.outcome == Outcome::MayHaveRun
                && response.status().code() != absl::StatusCode::kDeadlineExceeded;
            if (lost && replica->acceptsRequests()) {
                onConnectionLost(active, *replica);
            }
        }
        onAttemptFailed(active, context.outcome == Outcome::NotRun, false);
        return;
    }
    if (head.notRun) {
        if (replica != nullptr) {
            head.instanceMismatch ? replicas_.recordFailure(*replica, now)
                                  : replicas_.recordRefusal(*replica, head.load, now);
        }
        onAttemptFailed(active, true, true);
        return;
    }
    if (replica != nullptr && !isServerError(response->status)) {
        replicas_.recordSuccess(*replica, now);
    }
    if (!isServerError(response->status) && !suspects_.empty() && suspects_.recordAnswer(digestOf(*active), now)) {
        telemetry::log(Level::Info, "request", "suspect_cleared",
                       {telemetry::requestId(active->request.id), {"digest", active->digest}});
    }
    if (active->streaming) {
        active->sink.finish();
        finish(active, "served", response->status);
        return;
    }
    const bool othersPending = active->anyPending();
    if (isServerError(response->status) && active->repeatable && (othersPending || canRetry(*active))) {
        active->mayHaveRun = true;
        if (!othersPending) {
            startAttempt(active);
        }
        return;
    }
    sendResponse(active, *response);
}

const std::string &RequestRunner::digestOf(ActiveRequest &active)
{
    if (active.digest.empty()) {
        active.digest = requestDigest(active.request, active.workspace);
    }
    return active.digest;
}

void RequestRunner::onConnectionLost(const ActiveRequestPtr &active, const Replica &replica)
{
    suspects_.recordLoss(digestOf(*active), incarnationOf(replica.entry), net::loopNow());
    telemetry::log(Level::Info, "request", "connection_lost",
                   {telemetry::requestId(active->request.id),
                    {"digest", active->digest},
                    {"replica", replica.entry.id},
                    {"losses", suspects_.losses(active->digest)},
                    {"crashes", suspects_.crashes(active->digest)}});
    if (port_.check && checking_.insert(replica.entry.id).second) {
        checkReplica(replica, settings_.checkTries);
    }
}

void RequestRunner::checkReplica(const Replica &replica, int triesLeft)
{
    if (replicas_.isEvacuated(replica)) {
        onReplicaChecked(replica, ReplicaLiveness::Unknown);
        return;
    }
    port_.check(replica, [this, replica, triesLeft](ReplicaLiveness liveness) {
        if (liveness == ReplicaLiveness::Unknown && triesLeft > 1) {
            net::runAfter(loop_, settings_.checkRetryDelay,
                          [this, replica, triesLeft] { checkReplica(replica, triesLeft - 1); });
            return;
        }
        onReplicaChecked(replica, liveness);
    });
}

void RequestRunner::onReplicaChecked(const Replica &replica, ReplicaLiveness liveness)
{
    checking_.erase(replica.entry.id);
    telemetry::log(Level::Info, "replica", "checked", {{"replica", replica.entry.id}, {"outcome", nameOf(liveness)}});
    const ReplicaIncarnation incarnation = incarnationOf(replica.entry);
    if (liveness == ReplicaLiveness::Alive) {
        suspects_.recordAlive(incarnation);
        return;
    }
    if (liveness != ReplicaLiveness::Ended) {
        return;
    }
    for (const SuspectStatement &statement : suspects_.recordEnded(incarnation, net::loopNow())) {
        telemetry::log(Level::Warning, "request", "replica_crashed",
                       {{"digest", statement.digest},
                        {"replica", replica.entry.id},
                        {"crashes", suspects_.crashes(statement.digest)},
                        {"refused", suspects_.refuses(statement.digest)}});
        if (observer_.crashed) {
            observer_.crashed(statement);
        }
    }
}

void RequestRunner::onAttemptFailed(const ActiveRequestPtr &active, bool notRun, bool full)
{
    active->mayHaveRun = active->mayHaveRun || !notRun;
    if (active->streaming) {
        active->sink.abort();
        finish(active, "replica_broke_off", 0);
        return;
    }
    const bool othersPending = active->anyPending();
    const bool repeat = !active->mayHaveRun || active->repeatable;
    if (repeat && canRetry(*active) && !isSuspect(*active)) {
        startAttempt(active);
        return;
    }
    if (othersPending) {
        return;
    }
    const int status = active->mayHaveRun ? 502 : 503;
    rejectRequest(active->sink, status, full ? "replicas are full" : "replicas failed", settings_.retryAfter);
    finish(active, full ? "full" : "failed", status);
}

void RequestRunner::sendResponse(const ActiveRequestPtr &active, const net::HttpResponse &response)
{
    active->sink.respond(response.status, response.headers, response.body);
    finish(active, "served", response.status);
}

void RequestRunner::onDeadline(const ActiveRequestPtr &active)
{
    if (active->streaming) {
        active->sink.abort();
        finish(active, "timeout", 0);
        return;
    }
    const bool mayHaveRun = active->mayHaveRun
        || std::any_of(active->attempts.begin(), active->attempts.end(),
                       [](const Attempt &attempt) { return attempt.pending || attempt.responseBegan; });
    const int status = mayHaveRun ? 504 : 503;
    rejectRequest(active->sink, status, "time limit", absl::ZeroDuration());
    finish(active, "timeout", status);
}

void RequestRunner::finish(const ActiveRequestPtr &active, std::string_view outcome, int status)
{
    active->finished = true;
    active->timer.cancel();
    for (std::size_t i = 0; i < active->attempts.size(); ++i) {
        if (active->attempts[i].pending) {
            port_.cancel(active->attempts[i].call);
            releaseAttempt(active, i);
        }
    }
    std::string replicas;
    for (const Attempt &attempt : active->attempts) {
        replicas += (replicas.empty() ? "" : ",") + attempt.replica;
    }
    const absl::Duration duration = net::loopNow() - active->request.arrived;
    observer_.finished(active->kind, outcome, status, duration);
    const bool success = status / 100 == 2;
    telemetry::log(success ? Level::Debug : Level::Warning, "request", "ended",
                   {telemetry::requestId(active->request.id),
                    {"outcome", outcome},
                    {"status", status},
                    {"route", active->routeName},
                    {"workspace", active->workspace},
                    {"replicas", replicas},
                    {"took_ms", absl::ToInt64Milliseconds(duration)}});
}

} // namespace currantlug::serving
