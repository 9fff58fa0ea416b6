// The life of one client request.
#include "serving/requestrunner.h"

#include "telemetry/log.h"

#include <algorithm>

namespace currantlug::serving {

using telemetry::Level;

namespace {

/// A replica's answer that another replica might better: its own failure.
bool isReplicaFailure(int status)
{
    return status >= 500;
}

} // namespace

struct RequestRunner::Run
{
    InboundRequest request;
    AnswerSink sink;
    RouteKind kind = RouteKind::Unsafe;
    bool repeatable = false;
    int maxAttempts = 1;
    std::string routeName;
    std::string service;
    std::string workspace;
    Instant until; ///< The final answer is due.
    absl::Duration hedgeAfter;
    std::vector<Attempt> attempts;
    std::set<std::string> tried;
    bool done = false;
    bool streaming = false; ///< The head of the answer went out.
    bool counted = false;
    bool mayHaveRun = false;
    boost::asio::steady_timer timer;

    explicit Run(net::Loop &loop)
        : timer(loop)
    {
    }

    bool anyOpen() const
    {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt &attempt) { return attempt.open; });
    }
};

RequestRunner::RequestRunner(net::Loop &loop, ReplicaTable &replicas, ReplicaPort port, RequestRunnerSettings settings,
                             Observer observer)
    : loop_(loop)
    , replicas_(replicas)
    , port_(std::move(port))
    , settings_(settings)
    , observer_(std::move(observer))
{
}

void RequestRunner::run(InboundRequest request, const Route &route, const std::string &workspace, AnswerSink sink)
{
    const auto run = std::make_shared<Run>(loop_);
    run->sink = std::move(sink);
    run->kind = route.kind;
    run->repeatable = route.repeatable();
    run->maxAttempts = std::max(1, route.maxAttempts);
    run->routeName = route.name;
    run->service = GatewayConfig::pickService(route, request.id);
    run->workspace = workspace;
    const absl::Duration clientTime = request.deadline.value_or(settings_.defaultTimeout);
    const absl::Duration limit = std::min(clientTime, route.timeout);
    run->until = request.arrived + limit - std::min(settings_.answerMargin, limit * 0.1);
    run->hedgeAfter = route.targetLatency * settings_.hedgeShare;
    run->request = std::move(request);
    const std::weak_ptr<Run> weak = run;
    run->sink.onClientGone([this, weak] {
        if (const RunPtr held = weak.lock(); held != nullptr && !held->done) {
            end(held, "client_gone", 0);
        }
    });
    run->timer.expires_after(absl::ToChronoNanoseconds(std::max(absl::ZeroDuration(), run->until - net::loopNow())));
    run->timer.async_wait([this, run](boost::system::error_code error) {
        if (!error && !run->done) {
            timeUp(run);
        }
    });
    launch(run);
}

bool RequestRunner::mayTryAgain(const Run &run) const
{
    return static_cast<int>(run.attempts.size()) < run.maxAttempts && net::loopNow() < run.until;
}

void RequestRunner::launch(const RunPtr &run)
{
    const Instant now = net::loopNow();
    Replica *replica = replicas_.chooseForRequest(run->service, run->tried, now);
    if (replica == nullptr) {
        if (!run->anyOpen()) {
            const int status = run->mayHaveRun ? 502 : 503;
            refuse(run->sink, status, "no replica available", settings_.retryAfter);
            end(run, "no_replica", status);
        }
        return;
    }
    OutboundRequest outbound;
    outbound.id = run->request.id;
    outbound.method = run->request.method;
    outbound.target = run->request.target;
    outbound.host = run->request.host;
    outbound.workspace = run->workspace;
    outbound.headers = run->request.headers;
    outbound.body = run->request.body;
    outbound.remaining = run->until - now;
    outbound.resumeAfter = run->request.resumeAfter;

    const std::size_t index = run->attempts.size();
    run->tried.insert(replica->entry.id);
    ++replica->inFlight;
    net::ClientLimits limits;
    limits.connect = settings_.connect;
    limits.total = run->until - now;
    ReplicaHandlers handlers;
    handlers.onHead = [this, run, index](const ReplicaHead &head, const net::HttpResponse &response) {
        onHead(run, index, head, response);
    };
    if (run->kind == RouteKind::Stream) {
        handlers.onBody = [run](std::string_view part) {
            if (run->streaming && !run->done) {
                run->sink.write(part);
            }
        };
    }
    handlers.onDone = [this, run, index](const ReplicaHead &head, absl::StatusOr<net::HttpResponse> response) {
        onDone(run, index, head, std::move(response));
    };
    run->attempts.push_back({replica->entry.id, 0, true, false});
    run->attempts[index].call = port_.send(*replica, outbound, limits, std::move(handlers));
    scheduleHedge(run);
}

void RequestRunner::scheduleHedge(const RunPtr &run)
{
    if (run->kind != RouteKind::Safe || run->attempts.size() != 1 || !mayTryAgain(*run)
        || run->hedgeAfter >= run->until - net::loopNow()) {
        return;
    }
    net::runAfter(loop_, run->hedgeAfter, [this, weak = std::weak_ptr<Run>(run)] {
        const RunPtr held = weak.lock();
        if (held == nullptr || held->done || held->attempts.size() != 1 || !mayTryAgain(*held)) {
            return;
        }
        telemetry::log(Level::Info, "request", "hedge",
                       {telemetry::requestId(held->request.id), {"first", held->attempts[0].replica}});
        launch(held);
    });
}

void RequestRunner::onHead(const RunPtr &run, std::size_t index, const ReplicaHead &head,
                           const net::HttpResponse &response)
{
    if (run->done || head.notRun || head.forAnotherRequest) {
        return;
    }
    run->attempts[index].began = true;
    if (!std::exchange(run->counted, true) && !run->workspace.empty()) {
        observer_.began(run->workspace);
    }
    if (run->kind == RouteKind::Stream && response.status / 100 == 2) {
        run->streaming = true;
        run->sink.begin(response.status, response.headers);
    }
}

void RequestRunner::release(const RunPtr &run, std::size_t index)
{
    Attempt &attempt = run->attempts[index];
    if (!std::exchange(attempt.open, false)) {
        return;
    }
    if (Replica *replica = replicas_.find(attempt.replica)) {
        replica->inFlight = std::max(0, replica->inFlight - 1);
    }
}

void RequestRunner::onDone(const RunPtr &run, std::size_t index, const ReplicaHead &head,
                           absl::StatusOr<net::HttpResponse> response)
{
    release(run, index);
    if (run->done) {
        return;
    }
    const Instant now = net::loopNow();
    Replica *replica = replicas_.find(run->attempts[index].replica);
    if (!response.ok()) {
        const ErrorContext context = errorContext(response.status());
        telemetry::log(Level::Warning, "request", "attempt_failed",
                       {telemetry::requestId(run->request.id),
                        {"replica", run->attempts[index].replica},
                        telemetry::step(context.step),
                        {"outcome", nameOf(context.outcome)},
                        {"message", std::string(response.status().message())}});
        if (replica != nullptr) {
            replicas_.failed(*replica, now);
        }
        attemptFailed(run, context.outcome == Outcome::NotRun, false);
        return;
    }
    if (head.notRun) {
        if (replica != nullptr) {
            head.otherInstance ? replicas_.failed(*replica, now) : replicas_.refused(*replica, head.load, now);
        }
        attemptFailed(run, true, true);
        return;
    }
    if (replica != nullptr && !isReplicaFailure(response->status)) {
        replicas_.succeeded(*replica);
    }
    if (run->streaming) {
        run->sink.finish();
        end(run, "served", response->status);
        return;
    }
    const bool othersOpen = run->anyOpen();
    if (isReplicaFailure(response->status) && run->repeatable && (othersOpen || mayTryAgain(*run))) {
        run->mayHaveRun = true;
        if (!othersOpen) {
            launch(run);
        }
        return;
    }
    deliver(run, *response);
}

void RequestRunner::attemptFailed(const RunPtr &run, bool notRun, bool full)
{
    run->mayHaveRun = run->mayHaveRun || !notRun;
    if (run->streaming) {
        run->sink.abort();
        end(run, "replica_broke_off", 0);
        return;
    }
    const bool othersOpen = run->anyOpen();
    const bool repeat = !run->mayHaveRun || run->repeatable;
    if (repeat && mayTryAgain(*run)) {
        launch(run);
        return;
    }
    if (othersOpen) {
        return;
    }
    const int status = run->mayHaveRun ? 502 : 503;
    refuse(run->sink, status, full ? "replicas are full" : "replicas failed", settings_.retryAfter);
    end(run, full ? "full" : "failed", status);
}

void RequestRunner::deliver(const RunPtr &run, const net::HttpResponse &response)
{
    run->sink.respond(response.status, response.headers, response.body);
    end(run, "served", response.status);
}

void RequestRunner::timeUp(const RunPtr &run)
{
    if (run->streaming) {
        run->sink.abort();
        end(run, "timeout", 0);
        return;
    }
    const bool mayHaveRun = run->mayHaveRun
        || std::any_of(run->attempts.begin(), run->attempts.end(),
                       [](const Attempt &attempt) { return attempt.open || attempt.began; });
    const int status = mayHaveRun ? 504 : 503;
    refuse(run->sink, status, "time limit", absl::ZeroDuration());
    end(run, "timeout", status);
}

void RequestRunner::end(const RunPtr &run, std::string_view outcome, int status)
{
    run->done = true;
    run->timer.cancel();
    for (std::size_t i = 0; i < run->attempts.size(); ++i) {
        if (run->attempts[i].open) {
            port_.cancel(run->attempts[i].call);
            release(run, i);
        }
    }
    std::string replicas;
    for (const Attempt &attempt : run->attempts) {
        replicas += (replicas.empty() ? "" : ",") + attempt.replica;
    }
    const absl::Duration took = net::loopNow() - run->request.arrived;
    observer_.ended(run->kind, outcome, status, took);
    const bool good = status / 100 == 2;
    telemetry::log(good ? Level::Debug : Level::Warning, "request", "ended",
                   {telemetry::requestId(run->request.id),
                    {"outcome", outcome},
                    {"status", status},
                    {"route", run->routeName},
                    {"workspace", run->workspace},
                    {"replicas", replicas},
                    {"took_ms", absl::ToInt64Milliseconds(took)}});
}

} // namespace currantlug::serving
