// Polling the duties while the lease is held.
#include "control/controller.h"

#include "telemetry/log.h"

#include <absl/strings/numbers.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace currantlug::control {

using objects::StoreOutcome;
using objects::StoreReply;
using telemetry::Level;

namespace {

constexpr const char *PlanKind = "plans";
constexpr const char *TargetName = "replica-targets";
constexpr const char *FrozenName = "usage-frozen";
// Windows kept in the frozen object; a controller reports at most a few behind the present one.
constexpr std::size_t KeptFrozen = 12;

/// Counts by window as they are stored and passed on; nothing if a part can't be read.
std::optional<std::map<std::uint64_t, WindowCounts>> readWindows(const Json &value)
{
    std::map<std::uint64_t, WindowCounts> windows;
    if (!value.is_object()) {
        return std::nullopt;
    }
    for (const auto &[key, counts] : value.items()) {
        std::uint64_t window = 0;
        if (!absl::SimpleAtoi(key, &window) || !counts.is_object()) {
            return std::nullopt;
        }
        for (const auto &[workspace, count] : counts.items()) {
            if (!count.is_number_unsigned()) {
                return std::nullopt;
            }
            windows[window][workspace] = count.get<std::uint64_t>();
        }
    }
    return windows;
}

} // namespace

Controller::Controller(ControllerContext context)
    : context_(std::move(context))
    , lease_(context_.loop, context_.store, context_.machine, context_.lease)
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
    pollUsage(now);
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
    frozenLoaded_ = false;
    reports_.clear();
    firstWindow_.reset();
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
        if (replica.entry.service == service && !replica.entry.draining && replica.gone > now) {
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
        if (!replica.entry.draining && replica.gone > now) {
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

// Usage

Json Controller::usageOf(std::uint64_t window) const
{
    Json counts = Json::object();
    for (const auto &[workspace, count] : context_.counts.of(window)) {
        counts[workspace] = count;
    }
    return {{"counts", std::move(counts)}};
}

Json Controller::usageToHandOver() const
{
    Json windows = Json::object();
    for (const auto &[window, counts] : context_.counts.all()) {
        windows[std::to_string(window)] = counts;
    }
    return windows;
}

bool Controller::takeUsage(const Json &handedOver)
{
    const auto windows = readWindows(handedOver);
    if (!windows) {
        return false;
    }
    for (const auto &[window, counts] : *windows) {
        for (const auto &[workspace, count] : counts) {
            context_.counts.add(workspace, window, count);
        }
    }
    return true;
}

void Controller::loadFrozen()
{
    if (net::loopNow() < frozenRetryAt_ || std::exchange(frozenLoading_, true)) {
        return;
    }
    context_.store.get(PlanKind, FrozenName, [this](const StoreReply &reply) {
        frozenLoading_ = false;
        frozenRetryAt_ = net::loopNow() + context_.settings.usageRetry;
        if (reply.outcome == StoreOutcome::NotFound) {
            frozenRetryAt_ = Instant();
            frozenRevision_ = 0;
            frozen_.clear();
            frozenLoaded_ = true;
        } else if (reply.outcome == StoreOutcome::Done && !reply.changes.empty()) {
            const objects::StoredObject &object = reply.changes.front().object;
            auto windows = readWindows(object.value);
            if (!windows) {
                // Without the figures that were fixed, a window might be reported with others.
                telemetry::log(Level::Error, "usage", "frozen_unreadable", {{"revision", object.revision}});
                return;
            }
            frozenRetryAt_ = Instant();
            frozenRevision_ = object.revision;
            frozen_ = std::move(*windows);
            frozenLoaded_ = true;
        }
    });
}

void Controller::pollUsage(Instant now)
{
    if (!frozenLoaded_) {
        loadFrozen();
        return;
    }
    const absl::Time wall = absl::Now();
    const std::uint64_t current = context_.counts.windowAt(wall);
    if (!firstWindow_) {
        firstWindow_ = current - static_cast<std::uint64_t>(context_.settings.usageCatchUp);
    }
    for (std::uint64_t window = *firstWindow_; window < current; ++window) {
        if (reported_.contains(window) || wall < context_.counts.endOf(window) + context_.settings.usageGather) {
            continue;
        }
        const auto [entry, fresh] = reports_.try_emplace(window);
        WindowReport &report = entry->second;
        if (fresh) {
            if (const auto found = frozen_.find(window); found != frozen_.end()) {
                report.counts = found->second;
                report.gathered = true;
                report.frozen = true;
            } else {
                gather(window);
            }
        }
        if (!report.gathered && now >= report.gatherUntil) {
            report.gathered = true;
        }
        if (!report.gathered || report.busy || report.retryAt > now) {
            continue;
        }
        if (report.frozen) {
            sendUsage(window);
        } else if (report.counts.empty()) {
            reported_.insert(window);
        } else if (!freezing_) {
            freeze(window);
        }
    }
    while (reported_.size() > KeptFrozen * 2) {
        reports_.erase(*reported_.begin());
        firstWindow_ = std::max(*firstWindow_, *reported_.begin() + 1);
        reported_.erase(reported_.begin());
    }
}

void Controller::gather(std::uint64_t window)
{
    WindowReport &report = reports_[window];
    report.counts = context_.counts.of(window);
    report.gatherUntil = net::loopNow() + context_.settings.usageGatherTimeout + absl::Milliseconds(100);
    const std::vector<std::string> nodes = context_.peers.reachable();
    report.waiting = static_cast<int>(nodes.size());
    report.gathered = nodes.empty();
    for (const std::string &node : nodes) {
        context_.peers.call(
            node, "usage/counts", {{"window", window}}, context_.settings.usageGatherTimeout,
            [this, window, node](const absl::StatusOr<Json> &reply) {
                const auto found = reports_.find(window);
                if (found == reports_.end() || found->second.gathered) {
                    return;
                }
                WindowReport &open = found->second;
                if (!reply.ok()) {
                    telemetry::log(Level::Warning, "usage", "counts_missing", {{"window", window}, {"node", node}});
                } else if (reply->contains("counts")) {
                    for (const auto &[workspace, count] : (*reply)["counts"].items()) {
                        open.counts[workspace] += count.is_number_unsigned() ? count.get<std::uint64_t>() : 0;
                    }
                }
                open.gathered = --open.waiting == 0;
            });
    }
}

void Controller::freeze(std::uint64_t window)
{
    freezing_ = true;
    reports_[window].busy = true;
    auto frozen = frozen_;
    frozen[window] = reports_[window].counts;
    while (frozen.size() > KeptFrozen) {
        frozen.erase(frozen.begin());
    }
    Json value = Json::object();
    for (const auto &[number, counts] : frozen) {
        value[std::to_string(number)] = counts;
    }
    const auto done = [this, window, frozen](const StoreReply &reply) {
        freezing_ = false;
        const auto found = reports_.find(window);
        if (found != reports_.end()) {
            found->second.busy = false;
        }
        if (reply.outcome == StoreOutcome::Done && !reply.changes.empty()) {
            frozenRevision_ = reply.changes.front().object.revision;
            frozen_ = frozen;
            if (found != reports_.end()) {
                found->second.frozen = true;
            }
            return;
        }
        // Another controller's counts may be fixed already, or this write may still take effect: read first.
        reports_.clear();
        frozenLoaded_ = false;
    };
    if (frozenRevision_ == 0) {
        context_.store.create(PlanKind, FrozenName, std::move(value), done);
    } else {
        context_.store.replace(PlanKind, FrozenName, frozenRevision_, std::move(value), done);
    }
}

void Controller::sendUsage(std::uint64_t window)
{
    const auto holder = this->holder();
    if (!holder) {
        return;
    }
    WindowReport &report = reports_[window];
    report.busy = true;
    context_.duties.reportUsage(window, report.counts, *holder, [this, window](DutyReply reply) {
        telemetry::log(Level::Info, "usage", "reported", {{"window", window}, {"reply", nameOf(reply)}});
        const auto found = reports_.find(window);
        if (reply == DutyReply::Done) {
            reported_.insert(window);
        } else if (found != reports_.end()) {
            found->second.busy = false;
            found->second.retryAt = net::loopNow() + context_.settings.usageRetry;
        }
    });
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
