// Polling the duties while the lease is held.
#include "control/controller.h"

#include "telemetry/log.h"

#include <algorithm>

namespace currantlug::control {

using objects::StoreOutcome;
using objects::StoreReply;
using telemetry::Level;

namespace {

constexpr const char *TargetName = "replica-targets";

} // namespace

Controller::Controller(ControllerContext context)
    : context_(std::move(context))
    , lease_(context_.loop, context_.store, context_.machine, context_.lease)
    , usage_(
          context_.counts, context_.store, context_.peers, context_.duties.reportUsage, [this] { return holder(); },
          context_.settings.usage)
    , versions_(context_.loop, context_.store, context_.kinds.versions, {},
                [this](const objects::ObjectChange &change) {
                    const auto named = context_.kinds.parseVersion(change.object);
                    if (!change.removed && named) {
                        telemetry::log(Level::Info, "weights", "named",
                                       {{"model", named->model}, {"version", named->version}});
                        weights_.name(named->model, named->version, net::loopNow());
                        if (token_) {
                            pollWeights(net::loopNow());
                        }
                    }
                })
    , retirements_(context_.loop, context_.store, context_.kinds.retirements, {},
                   [this](const objects::ObjectChange &change) { onRetirement(change); })
{
}

std::optional<Holder> Controller::holder() const
{
    const auto token = lease_.token();
    return token ? std::optional(Holder{context_.node, *token}) : std::nullopt;
}

void Controller::poll()
{
    pollLease();
    if (!token_) {
        return;
    }
    const Instant now = net::loopNow();
    pollWeights(now);
    pollScale(now);
    usage_.poll(now);
}

void Controller::pollLease()
{
    const Instant now = net::loopNow();
    if (context_.otherLeads()) {
        noLeaderSince_ = Instant();
    } else if (noLeaderSince_ == Instant()) {
        noLeaderSince_ = now;
    }
    const bool storeAnswers = context_.storeAnswers();
    if (storeAnswers) {
        noAnswerSince_ = Instant();
    } else if (noAnswerSince_ == Instant()) {
        noAnswerSince_ = now;
    }
    const bool turnedAway = !storeAnswers && now - noAnswerSince_ >= context_.settings.turnedAwayAfter;
    if (lease_.holds() && turnedAway && !context_.peers.live().empty()) {
        // A controller that the store turns away hears of nothing: another node takes over.
        release();
        return;
    }
    // The first in rank looks at the lease all the time, so that it need not wait for a whole lease to lapse once the
    // holder is gone.
    const int rank = context_.rank();
    const bool mayReturn = releasedAt_ == Instant() || now - releasedAt_ >= context_.settings.returnAfter;
    const bool candidate = storeAnswers && mayReturn
        && (rank == 0
            || (noLeaderSince_ != Instant() && now - noLeaderSince_ >= context_.settings.candidateStep * rank));
    // The first look shows whether the lease is still this machine's.
    lease_.poll(candidate || (storeAnswers && mayReturn && !lease_.seen()));
    const auto token = lease_.token();
    if (token && !token_) {
        token_ = token;
        startLeading();
    } else if (!token && token_) {
        token_.reset();
        stopLeading();
    } else {
        token_ = token;
    }
}

void Controller::startLeading()
{
    leadingSince_ = net::loopNow();
    versions_.start();
    retirements_.start();
    targetLoaded_ = false;
    usage_.start();
}

void Controller::stopLeading()
{
    versions_.stop();
    retirements_.stop();
    asking_.clear();
}

void Controller::release()
{
    if (lease_.holds()) {
        releasedAt_ = net::loopNow();
    }
    lease_.release();
    token_.reset();
    stopLeading();
}

std::vector<const serving::Replica *> Controller::usable(const std::string &service) const
{
    const Instant now = net::loopNow();
    std::vector<const serving::Replica *> replicas;
    for (const auto &[id, replica] : context_.replicas.all()) {
        if (replica.entry.service == service && !replica.entry.draining && replica.removeAt > now) {
            replicas.push_back(&replica);
        }
    }
    return replicas;
}

// Weights

void Controller::pollWeights(Instant now)
{
    const serving::GatewayConfig *config = context_.config();
    if (config == nullptr || !versions_.synced()) {
        return;
    }
    for (const auto &entry : config->services) {
        const std::string &name = entry.first;
        const serving::Service &service = entry.second;
        if (service.models.empty()) {
            continue;
        }
        const auto replicas = usable(name);
        weights_.assign(replicas, service.models);
        const bool single = std::any_of(config->routes.begin(), config->routes.end(), [&](const serving::Route &route) {
            return route.singleVersion
                && std::any_of(route.services.begin(), route.services.end(),
                               [&](const serving::WeightedService &choice) { return choice.service == name; });
        });
        for (const WeightOrder &order : weights_.due(replicas, single ? SwapMode::Wait : SwapMode::Truncate, now)) {
            const auto holder = this->holder();
            serving::Replica *replica = context_.replicas.find(order.replica);
            if (!holder || replica == nullptr) {
                weights_.replied(order, OrderReply::Refused, now);
                continue;
            }
            context_.duties.orderWeights(*replica, order, *holder, [this, order](OrderReply reply) {
                telemetry::log(Level::Info, "weights", "ordered",
                               {{"replica", order.replica},
                                {"model", order.model},
                                {"version", order.version},
                                {"orders_seen", order.ordersSeen},
                                {"reply", nameOf(reply)}});
                weights_.replied(order, reply, net::loopNow());
            });
        }
    }
    for (const std::string &id : weights_.toAsk(now)) {
        const serving::Replica *replica = context_.replicas.find(id);
        if (replica == nullptr || !asking_.insert(id).second) {
            continue;
        }
        context_.duties.report(*replica, [this, id](const std::optional<ReplicaReport> &report) {
            net::runAfter(context_.loop, absl::Milliseconds(300), [this, id] { asking_.erase(id); });
            if (report) {
                weights_.reported(id, *report, net::loopNow());
                if (serving::Replica *known = context_.replicas.find(id)) {
                    for (const auto &[model, version] : report->weightVersions) {
                        known->entry.weightVersions[model] = version;
                    }
                }
            }
        });
    }
}

// Replicas

ScalePlan::Counts Controller::servingNow() const
{
    ScalePlan::Counts counts;
    const Instant now = net::loopNow();
    for (const auto &[id, replica] : context_.replicas.all()) {
        if (!replica.entry.draining && replica.removeAt > now) {
            ++counts[{replica.entry.service, replica.entry.availabilityZone}];
        }
    }
    return counts;
}

void Controller::loadTarget()
{
    if (std::exchange(targetLoading_, true)) {
        return;
    }
    context_.store.get(PlanKind, TargetName, [this](const StoreReply &reply) {
        targetLoading_ = false;
        if (reply.outcome == StoreOutcome::Done && !reply.changes.empty()) {
            scale_.setTarget(parseScaleCounts(reply.changes.front().object.value));
            targetLoaded_ = true;
            return;
        }
        if (reply.outcome != StoreOutcome::NotFound) {
            return;
        }
        targetLoading_ = true;
        const ScalePlan::Counts counts = servingNow();
        context_.store.create(PlanKind, TargetName, toJson(counts), [this, counts](const StoreReply &created) {
            targetLoading_ = false;
            if (created.outcome == StoreOutcome::Done) {
                scale_.setTarget(counts);
                targetLoaded_ = true;
            }
        });
    });
}

void Controller::pollScale(Instant now)
{
    const serving::GatewayConfig *config = context_.config();
    if (now - lastScale_ < context_.settings.scalePeriod || config == nullptr) {
        return;
    }
    lastScale_ = now;
    if (!targetLoaded_) {
        if (now - leadingSince_ >= context_.settings.targetAfter) {
            loadTarget();
        }
        return;
    }
    std::map<std::string, int> maximum;
    for (const auto &[name, service] : config->services) {
        if (service.scaling) {
            maximum[name] = service.scaling->maximum;
        }
    }
    for (const ScaleOrder &order : scale_.due(servingNow(), maximum, now)) {
        const auto holder = this->holder();
        if (!holder) {
            return;
        }
        context_.duties.scale(order, *holder, [this, order](DutyReply reply) {
            telemetry::log(Level::Info, "scale", "ordered",
                           {{"service", order.service},
                            {"zone", order.availabilityZone},
                            {"desired", order.desired},
                            {"reply", nameOf(reply)}});
            scale_.replied(order, reply, net::loopNow());
        });
    }
}

// Retirements

void Controller::onRetirement(const objects::ObjectChange &change)
{
    if (change.removed) {
        return;
    }
    const Json status = context_.kinds.retiredStatus(change.object);
    if (status.is_null()) {
        return;
    }
    // Nothing of the product lies on the disk machines, so they are empty at any time.
    context_.store.replaceStatus(
        context_.kinds.retirements, change.object.name, change.object.revision, status,
        [this, change](const StoreReply &reply) {
            telemetry::log(Level::Info, "retirement", "completed",
                           {{"machine", change.object.name}, {"outcome", nameOf(reply.outcome)}});
            if (reply.outcome != StoreOutcome::Done && reply.outcome != StoreOutcome::Conflict && token_) {
                net::runAfter(context_.loop, absl::Milliseconds(500), [this, change] { onRetirement(change); });
            }
        });
}

} // namespace currantlug::control
