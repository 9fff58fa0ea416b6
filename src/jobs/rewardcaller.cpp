// Processing of a reward call, from the first attempt to its outcome.
#include "jobs/rewardcaller.h"

#include "telemetry/log.h"

#include <absl/hash/hash.h>

#include <algorithm>
#include <utility>

namespace currantlug::jobs {

using telemetry::Level;

namespace {

constexpr int ErrorStatus = 500; // The only status that counts as a failed attempt of an item.

routing::RetrySettings retrySettings()
{
    routing::RetrySettings settings;
    settings.baseDelay = absl::Milliseconds(60); // About the time of one reward call.
    settings.maxDelay = absl::Milliseconds(800); // A service that comes back is used again within a second.
    return settings;
}

} // namespace

RewardCaller::RewardCaller(JobContext &context)
    : context_(context)
    , budget_(retrySettings(), absl::HashOf(context.node, context.incarnation))
{
}

absl::Duration RewardCaller::backoff(int retries)
{
    return budget_.backoff(static_cast<std::uint32_t>(std::max(1, retries)));
}

std::optional<RewardCaller::CallId> RewardCaller::start(const RewardSpec &reward, const std::string &itemId,
                                                        const serving::Route &route, const std::string &service,
                                                        absl::Duration timeLeft, Callback done)
{
    const Instant now = net::loopNow();
    serving::ConcurrencyLimit &limit = limits_[service];
    if (!limit.tryAcquire()) {
        return std::nullopt;
    }
    const CallId id = ++lastId_;
    Call &call = calls_[id];
    call.reward = reward;
    call.itemId = itemId;
    call.service = service;
    call.regions = route.homes;
    call.startedAt = now;
    call.deadline = now + std::min({context_.settings.rewardTimeout, route.timeout, timeLeft});
    call.done = std::move(done);
    if (!startAttempt(id)) {
        remove(id);
        return std::nullopt;
    }
    const std::weak_ptr<RewardCaller *> weak = self_;
    net::runAfter(context_.loop, call.deadline - now, [weak, id] {
        if (const auto self = weak.lock()) {
            (*self)->onDeadline(id);
        }
    });
    if (route.targetLatency < call.deadline - now) {
        net::runAfter(context_.loop, route.targetLatency, [weak, id] {
            if (const auto self = weak.lock()) {
                (*self)->hedge(id);
            }
        });
    }
    return id;
}

bool RewardCaller::startAttempt(CallId id)
{
    Call &call = calls_.at(id);
    const Instant now = net::loopNow();
    serving::Replica *replica = context_.replicas.chooseForBackground(call.service, call.tried, now, call.regions);
    if (replica == nullptr || now >= call.deadline) {
        return false;
    }
    call.tried.insert(replica->entry.id);
    ++replica->inFlight;
    serving::ReplicaTable::usePermit(*replica, now);
    serving::OutboundRequest outbound;
    outbound.id = call.reward.id;
    outbound.method = "POST";
    outbound.target = call.reward.path;
    outbound.host = call.reward.host;
    outbound.body = call.reward.body;
    outbound.remaining = call.deadline - now;
    net::ClientLimits limits;
    limits.connect = context_.settings.connectTimeout;
    limits.total = call.deadline - now;
    serving::ReplicaHandlers handlers;
    const std::size_t index = call.attempts.size();
    const std::weak_ptr<RewardCaller *> weak = self_;
    handlers.onDone = [weak, id, index](const serving::ReplicaHead &head,
                                        const absl::StatusOr<net::HttpResponse> &response) {
        if (const auto self = weak.lock()) {
            (*self)->onAttemptDone(id, index, head, response);
        }
    };
    telemetry::log(Level::Debug, "reward", "sent",
                   {telemetry::requestId(call.itemId), {"reward", call.reward.id}, {"replica", replica->entry.id}});
    call.attempts.push_back({replica->entry.id});
    call.attempts[index].call = context_.replicaPort.send(*replica, outbound, limits, std::move(handlers));
    return true;
}

void RewardCaller::hedge(CallId id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.attempts.size() != 1 || !budget_.spend()) {
        return;
    }
    if (startAttempt(id)) {
        telemetry::log(Level::Info, "reward", "hedge",
                       {telemetry::requestId(found->second.itemId),
                        {"reward", found->second.reward.id},
                        {"first", found->second.attempts[0].replica}});
    }
}

void RewardCaller::releaseAttempt(Attempt &attempt)
{
    if (!std::exchange(attempt.pending, false)) {
        return;
    }
    if (serving::Replica *replica = context_.replicas.find(attempt.replica)) {
        replica->inFlight = std::max(0, replica->inFlight - 1);
    }
}

void RewardCaller::onAttemptDone(CallId id, std::size_t index, const serving::ReplicaHead &head,
                                 const absl::StatusOr<net::HttpResponse> &response)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    Call &call = found->second;
    releaseAttempt(call.attempts[index]);
    const Instant now = net::loopNow();
    serving::Replica *replica = context_.replicas.find(call.attempts[index].replica);
    serving::ConcurrencyLimit &limit = limits_[call.service];
    if (replica != nullptr) {
        serving::ReplicaTable::recordLoad(*replica, head.load, now);
    }
    if (head.load && head.load->waiting > 0) {
        limit.recordCongestion(now);
    }
    const bool usable = response.ok() && !head.requestMismatch;
    if (usable && !head.notRun && head.status / 100 == 2) {
        if (replica != nullptr) {
            context_.replicas.recordSuccess(*replica, now);
        }
        limit.recordSuccess();
        budget_.succeeded();
        call.reply.score = head.signature;
        finish(id, RewardOutcome::Scored);
        return;
    }
    if (usable && head.notRun) {
        call.anyNotRun = true;
        limit.recordCongestion(now);
        if (replica != nullptr) {
            head.instanceMismatch ? context_.replicas.recordFailure(*replica, now)
                                  : context_.replicas.recordRefusal(*replica, head.load, now);
        }
    } else if (usable && head.status == ErrorStatus) {
        ++call.reply.failures;
    } else {
        const bool unsent = !response.ok() && errorContext(response.status()).outcome == Outcome::NotRun;
        (unsent ? call.anyNotRun : call.anyLost) = true;
        if (replica != nullptr && !usable) {
            context_.replicas.recordFailure(*replica, now);
        }
    }
    telemetry::log(Level::Info, "reward", "attempt_failed",
                   {telemetry::requestId(call.itemId),
                    {"reward", call.reward.id},
                    {"replica", call.attempts[index].replica},
                    {"status", head.status},
                    {"not_run", head.notRun},
                    {"message", response.ok() ? std::string() : std::string(response.status().message())}});
    if (std::any_of(call.attempts.begin(), call.attempts.end(),
                    [](const Attempt &attempt) { return attempt.pending; })) {
        return;
    }
    if (call.reply.failures > 0) {
        finish(id, RewardOutcome::Failed);
    } else {
        finish(id, call.anyLost ? RewardOutcome::Lost : RewardOutcome::NotRun);
    }
}

void RewardCaller::onDeadline(CallId id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    for (const Attempt &attempt : found->second.attempts) {
        serving::Replica *replica = attempt.pending ? context_.replicas.find(attempt.replica) : nullptr;
        if (replica != nullptr) {
            context_.replicas.recordFailure(*replica, net::loopNow());
        }
    }
    finish(id, found->second.reply.failures > 0 ? RewardOutcome::Failed : RewardOutcome::Lost);
}

RewardCaller::Call RewardCaller::remove(CallId id)
{
    const auto found = calls_.find(id);
    Call call = std::move(found->second);
    calls_.erase(found);
    limits_[call.service].release();
    for (Attempt &attempt : call.attempts) {
        if (attempt.pending) {
            context_.replicaPort.cancel(attempt.call);
            releaseAttempt(attempt);
        }
    }
    return call;
}

void RewardCaller::finish(CallId id, RewardOutcome outcome)
{
    Call call = remove(id);
    call.reply.outcome = outcome;
    const absl::Duration took = net::loopNow() - call.startedAt;
    telemetry::log(outcome == RewardOutcome::Scored ? Level::Debug : Level::Info, "reward", "ended",
                   {telemetry::requestId(call.itemId),
                    {"reward", call.reward.id},
                    {"outcome", nameOf(outcome)},
                    {"service", call.service},
                    {"attempts", call.attempts.size()},
                    {"took_ms", absl::ToInt64Milliseconds(took)}});
    if (context_.rewardEnded) {
        context_.rewardEnded(outcome, took);
    }
    call.done(call.reply);
}

void RewardCaller::cancel(CallId id)
{
    if (calls_.contains(id)) {
        remove(id);
    }
}

} // namespace currantlug::jobs
