// Scoring of complete texts by reward calls.
#include "jobs/jobrunner.h"

#include "telemetry/log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace currantlug::jobs {

using telemetry::Level;

absl::Duration JobRunner::timeLeft(const serving::Route &route, Instant now) const
{
    return route.queueTtl + context_.settings.ttlMargin - ageAtAccept_ - (now - acceptedAt_);
}

void JobRunner::onTextComplete(std::size_t index)
{
    Item &item = tracker_.items()[index];
    item.text.complete = true;
    if (!item.spec.reward) {
        finishItem(index, ResultState::Completed);
        return;
    }
    item.state = ItemState::Scoring;
    item.textCompletedAt = net::loopNow();
    item.notBefore = item.textCompletedAt;
    item.rewardRetries = 0;
    sendRewardCalls();
}

void JobRunner::sendRewardCalls()
{
    const serving::GatewayConfig *config = context_.config();
    const serving::Route *jobRoute = route();
    if (stopped_ || sendingSuspended_ || config == nullptr || jobRoute == nullptr) {
        return;
    }
    const Instant now = net::loopNow();
    std::set<std::string> servicesWithoutRoom;
    for (const std::size_t index : tracker_.rewardOrder(now)) {
        Item &item = tracker_.items()[index];
        const RewardSpec &reward = *item.spec.reward;
        const serving::Route *rewardRoute = config->findRoute(reward.host, reward.path);
        if (rewardRoute == nullptr || rewardRoute->services.empty()) {
            item.notBefore = now + context_.settings.missingRouteDelay;
            telemetry::log(Level::Warning, "reward", "no_route",
                           {telemetry::requestId(item.spec.id),
                            {"job", spec_.id},
                            {"reward", reward.id},
                            {"host", reward.host},
                            {"config_version", config->version}});
            continue;
        }
        const std::string &service = serving::GatewayConfig::pickService(*rewardRoute, reward.id);
        if (servicesWithoutRoom.contains(service)) {
            continue;
        }
        // The operator's limit on failed attempts may differ between the two routes; the item gets the larger one.
        const int maxAttempts = std::max(jobRoute->maxAttempts, rewardRoute->maxAttempts);
        const std::weak_ptr<JobRunner> weak = weak_from_this();
        const auto call = rewards_.start(reward, item.spec.id, *rewardRoute, service, timeLeft(*jobRoute, now),
                                         [weak, index, maxAttempts](const RewardReply &reply) {
                                             if (const auto self = weak.lock()) {
                                                 self->onRewardReply(index, maxAttempts, reply);
                                             }
                                         });
        if (call) {
            item.rewardCall = *call;
        } else {
            servicesWithoutRoom.insert(service);
        }
    }
}

void JobRunner::onRewardReply(std::size_t index, int maxAttempts, const RewardReply &reply)
{
    Item &item = tracker_.items()[index];
    item.rewardCall = 0;
    item.rewardFailures += reply.failures;
    if (reply.outcome == RewardOutcome::Scored) {
        item.score = reply.score;
        finishItem(index, ResultState::Completed);
    } else if (reply.outcome == RewardOutcome::Failed && item.rewardFailures >= maxAttempts) {
        finishItem(index, ResultState::Abandoned);
    } else {
        // A failed call is repeated soon; refused and lost calls ease the load on a service in trouble.
        const bool failed = reply.outcome == RewardOutcome::Failed;
        const absl::Duration delay = failed ? context_.settings.itemRetryDelay : rewards_.backoff(++item.rewardRetries);
        item.notBefore = net::loopNow() + delay;
        telemetry::log(Level::Info, "reward", "retry",
                       {telemetry::requestId(item.spec.id),
                        {"job", spec_.id},
                        {"reward", item.spec.reward->id},
                        {"outcome", nameOf(reply.outcome)},
                        {"failures", item.rewardFailures},
                        {"retries", item.rewardRetries},
                        {"delay_ms", absl::ToInt64Milliseconds(delay)}});
    }
    sendRewardCalls();
}

void JobRunner::cancelRewardCall(Item &item)
{
    if (item.rewardCall != 0) {
        rewards_.cancel(std::exchange(item.rewardCall, 0));
    }
}

} // namespace currantlug::jobs
