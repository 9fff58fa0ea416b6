// Polls the lease and, while this node holds it, the duties.
#include "control/controller.h"

#include "telemetry/log.h"

#include <algorithm>
#include <cmath>

namespace currantlug::control {

using objects::StoreOutcome;
using objects::StoreReply;
using telemetry::Level;

namespace {

constexpr const char *DesiredCountsName = "replica-targets";
// Delay after the report of a replica before the replica is queried again.
constexpr absl::Duration ReportQueryDelay = absl::Milliseconds(300);
constexpr absl::Duration RetirementRetryDelay = absl::Milliseconds(500);

} // namespace

Controller::Controller(ControllerContext context)
    : context_(std::move(context))
    , lease_(context_.loop, context_.store, context_.machine, context_.lease)
    , usage_(
          context_.counts, context_.store, context_.peers, context_.duties.reportUsage, [this] { return holder(); },
          context_.settings.usage)
    , versions_(context_.loop, context_.store, context_.kinds.versions, context_.settings.mirror,
                [this](const objects::ObjectChange &change) {
                    const auto published = context_.kinds.parseVersion(change.object);
                    if (!change.removed && published) {
                        telemetry::log(Level::Info, "weights", "named",
                                       {{"model", published->model}, {"version", published->version}});
                        weights_.onVersionPublished(published->model, published->version, net::loopNow());
                        if (fencingToken_) {
                            pollWeights(net::loopNow());
                        }
                    }
                })
    , retirements_(context_.loop, context_.store, context_.kinds.retirements, context_.settings.mirror,
                   [this](const objects::ObjectChange &change) { onRetirement(change); })
{
}

std::optional<LeaseHolder> Controller::holder() const
{
    const auto fencingToken = lease_.fencingToken();
    return fencingToken ? std::optional(LeaseHolder{context_.node, *fencingToken}) : std::nullopt;
}

void Controller::poll()
{
    pollLease();
    if (!fencingToken_) {
        return;
    }
    const Instant now = net::loopNow();
    for (const auto &[node, demand] : context_.reportedDemand()) {
        demandBook_.record(node, demand, now);
    }
    pollWeights(now);
    pollScale(now);
    usage_.poll(now);
}

void Controller::pollLease()
{
    const Instant now = net::loopNow();
    if (context_.peerLeads()) {
        noLeaderSince_ = Instant();
    } else if (noLeaderSince_ == Instant()) {
        noLeaderSince_ = now;
    }
    const bool storeReachable = context_.storeReachable();
    if (storeReachable) {
        storeOutageSince_ = Instant();
    } else if (storeOutageSince_ == Instant()) {
        storeOutageSince_ = now;
    }
    const bool storeOutage = !storeReachable && now - storeOutageSince_ >= context_.settings.storeOutageTimeout;
    // A renewal during the outage went through a peer, so that one reaches the store.
    const bool peerReachesStore = lease_.renewedAt() > storeOutageSince_;
    if (lease_.holds() && storeOutage && peerReachesStore) {
        // Without the store this controller learns of no changes. It releases the lease so that a peer can acquire it.
        release();
        return;
    }
    // The node of rank 0 reads the lease all the time. Expiry is measured from when the record was last seen to change,
    // so that a node that began to read only after the loss of the lease holder would wait for a whole lease duration.
    const int rank = context_.rank();
    const bool mayReacquire = releasedAt_ == Instant() || now - releasedAt_ >= context_.settings.reacquireDelay;
    const bool candidate = storeReachable && mayReacquire
        && (rank == 0
            || (noLeaderSince_ != Instant() && now - noLeaderSince_ >= context_.settings.candidateRankDelay * rank));
    // The first read after the start shows whether the lease still belongs to this machine.
    lease_.poll(candidate || (storeReachable && mayReacquire && !lease_.hasRead()));
    const auto fencingToken = lease_.fencingToken();
    if (fencingToken && !fencingToken_) {
        fencingToken_ = fencingToken;
        startLeading();
    } else if (!fencingToken && fencingToken_) {
        fencingToken_.reset();
        stopLeading();
    } else {
        fencingToken_ = fencingToken;
    }
}

void Controller::startLeading()
{
    leadingSince_ = net::loopNow();
    versions_.start();
    retirements_.start();
    desiredCountsLoaded_ = false;
    capacityByService_.clear();
    scale_.setExtraCounts({});
    usage_.startTerm(*fencingToken_);
}

void Controller::stopLeading()
{
    versions_.stop();
    retirements_.stop();
    pendingReports_.clear();
}

void Controller::release()
{
    if (lease_.holds()) {
        releasedAt_ = net::loopNow();
    }
    lease_.release();
    fencingToken_.reset();
    stopLeading();
}

std::vector<const serving::Replica *> Controller::usableReplicas(const std::string &service) const
{
    const Instant now = net::loopNow();
    std::vector<const serving::Replica *> replicas;
    for (const auto &[id, replica] : context_.replicas.all()) {
        if (replica.entry.service == service && replica.acceptsRequests() && replica.removeAt > now) {
            replicas.push_back(&replica);
        }
    }
    return replicas;
}

std::vector<const serving::Replica *>
Controller::outsideEvacuations(std::vector<const serving::Replica *> replicas) const
{
    std::erase_if(replicas,
                  [this](const serving::Replica *replica) { return context_.replicas.isEvacuated(*replica); });
    return replicas;
}

// Weights

const scheduling::ReplicaCounts &Controller::shares(const std::string &service, int replicas,
                                                    const std::vector<std::string> &models, Instant now)
{
    scheduling::ModelShares &shares = sharesByService_[service];
    const scheduling::DemandByModel demand = demandBook_.demand(now);
    if (shares.update(replicas, models, demand)) {
        for (const auto &[model, count] : shares.counts()) {
            const auto known = demand.find(model);
            telemetry::log(Level::Info, "weights", "shared",
                           {{"service", service},
                            {"model", model},
                            {"replicas", count},
                            {"of", replicas},
                            {"tokens_per_s", known == demand.end() ? 0 : std::llround(known->second.tokensPerSecond)}});
        }
    }
    return shares.counts();
}

scheduling::ReplicaCounts Controller::replicaShares() const
{
    scheduling::ReplicaCounts counts;
    if (leading()) {
        for (const auto &[service, shares] : sharesByService_) {
            counts.insert(shares.counts().begin(), shares.counts().end());
        }
    }
    return counts;
}

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
        const auto replicas = usableReplicas(name);
        weights_.assign(replicas, service.models, shares(name, static_cast<int>(replicas.size()), service.models, now));
        const bool requiresSingleVersion =
            std::any_of(config->routes.begin(), config->routes.end(), [&](const serving::Route &route) {
                return route.singleVersion
                    && std::any_of(route.services.begin(), route.services.end(),
                                   [&](const serving::WeightedService &choice) { return choice.service == name; });
            });
        // Replicas of an evacuated zone keep their models and get no orders.
        for (const WeightOrder &order : weights_.dueOrders(outsideEvacuations(replicas),
                                                           requiresSingleVersion ? SwapMode::Wait : SwapMode::Truncate,
                                                           now, weightStoreReplicas(name))) {
            const auto holder = this->holder();
            serving::Replica *replica = context_.replicas.find(order.replica);
            if (!holder || replica == nullptr) {
                weights_.onReply(order, OrderReply::Refused, now);
                continue;
            }
            context_.duties.orderWeights(*replica, order, *holder, [this, order](OrderReply reply) {
                telemetry::log(Level::Info, "weights", "ordered",
                               {{"replica", order.replica},
                                {"model", order.model},
                                {"version", order.version},
                                {"orders_seen", order.expectedOrdersAccepted},
                                {"reply", nameOf(reply)}});
                weights_.onReply(order, reply, net::loopNow());
            });
        }
    }
    for (const std::string &id : weights_.replicasToQuery(now)) {
        const serving::Replica *replica = context_.replicas.find(id);
        if (replica == nullptr || context_.replicas.isEvacuated(*replica) || !pendingReports_.insert(id).second) {
            continue;
        }
        context_.duties.report(*replica, [this, id](const std::optional<ReplicaReport> &report) {
            net::runAfter(context_.loop, ReportQueryDelay, [this, id] { pendingReports_.erase(id); });
            if (report) {
                weights_.onReport(id, *report, net::loopNow());
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

ScalePlan::Counts Controller::servingCounts() const
{
    ScalePlan::Counts counts;
    const Instant now = net::loopNow();
    for (const auto &[id, replica] : context_.replicas.all()) {
        if (replica.acceptsRequests() && replica.removeAt > now) {
            ++counts[{replica.entry.service, replica.entry.availabilityZone}];
        }
    }
    return counts;
}

void Controller::loadDesiredCounts()
{
    if (std::exchange(desiredCountsLoading_, true)) {
        return;
    }
    context_.store.get(PlanKind, DesiredCountsName, [this](const StoreReply &reply) {
        desiredCountsLoading_ = false;
        if (reply.outcome == StoreOutcome::Done && !reply.changes.empty()) {
            scale_.setDesiredCounts(parseScaleCounts(reply.changes.front().object.value));
            desiredCountsLoaded_ = true;
            return;
        }
        if (reply.outcome != StoreOutcome::NotFound) {
            return;
        }
        desiredCountsLoading_ = true;
        const ScalePlan::Counts counts = servingCounts();
        context_.store.create(PlanKind, DesiredCountsName, toJson(counts), [this, counts](const StoreReply &created) {
            desiredCountsLoading_ = false;
            if (created.outcome == StoreOutcome::Done) {
                scale_.setDesiredCounts(counts);
                desiredCountsLoaded_ = true;
            }
        });
    });
}

double Controller::slotsPerReplica(const std::string &service) const
{
    double slots = 0;
    const auto replicas = usableReplicas(service);
    for (const serving::Replica *replica : replicas) {
        slots += replica->entry.slots;
    }
    return replicas.empty() ? 0 : slots / static_cast<double>(replicas.size());
}

std::optional<std::size_t> Controller::weightStoreReplicas(const std::string &service) const
{
    const auto plan = capacityByService_.find(service);
    return plan == capacityByService_.end() || !plan->second.active()
        ? std::nullopt
        : std::optional(static_cast<std::size_t>(plan->second.base()));
}

std::map<std::string, PlannedReplicas> Controller::plannedReplicas() const
{
    std::map<std::string, PlannedReplicas> counts;
    if (leading()) {
        for (const auto &[service, plan] : capacityByService_) {
            counts[service] = {plan.wanted(), plan.base()};
        }
    }
    return counts;
}

void Controller::planCapacity(const serving::GatewayConfig &config, const ScalePlan::Counts &serving, Instant now)
{
    const scheduling::DemandByModel demand = demandBook_.demand(now);
    const std::set<std::string> &evacuated = context_.replicas.evacuatedZones();
    ScalePlan::Counts extraCounts;
    for (const auto &[name, service] : config.services) {
        if (!service.scaling || service.models.empty()) {
            continue;
        }
        scheduling::ServiceCapacity capacity;
        capacity.slotsPerReplica = slotsPerReplica(name);
        capacity.maxPerZone = service.scaling->maximum;
        for (const auto &[serviceZone, base] : scale_.desiredCounts()) {
            if (serviceZone.first == name) {
                const auto price = service.scaling->priceByZone.find(serviceZone.second);
                const auto count = serving.find(serviceZone);
                capacity.zones[serviceZone.second] = {base, count == serving.end() ? 0 : count->second,
                                                      price == service.scaling->priceByZone.end() ? 1 : price->second,
                                                      scale_.hasCapacity(serviceZone, now)
                                                          && !evacuated.contains(serviceZone.second)};
            }
        }
        double items = 0;
        for (const std::string &model : service.models) {
            const auto reported = demand.find(model);
            items += reported == demand.end() ? 0 : reported->second.items;
        }
        scheduling::CapacityPlan &plan = capacityByService_.try_emplace(name, context_.settings.capacity).first->second;
        const scheduling::CapacityChange change = plan.update(capacity, items, now);
        if (change != scheduling::CapacityChange::None) {
            telemetry::log(Level::Info, "scale", "planned",
                           {{"service", name},
                            {"wanted", plan.wanted()},
                            {"base", plan.base()},
                            {"items", std::llround(items)},
                            {"reason", nameOf(change)}});
        }
        for (const auto &[zone, extra] : plan.extraByZone()) {
            extraCounts[{name, zone}] = extra;
        }
    }
    scale_.setExtraCounts(std::move(extraCounts));
}

void Controller::pollScale(Instant now)
{
    const serving::GatewayConfig *config = context_.config();
    if (now - lastScale_ < context_.settings.scalePeriod || config == nullptr) {
        return;
    }
    lastScale_ = now;
    if (!desiredCountsLoaded_) {
        if (now - leadingSince_ >= context_.settings.desiredCountsDelay) {
            loadDesiredCounts();
        }
        return;
    }
    std::map<std::string, int> maxReplicas;
    for (const auto &[name, service] : config->services) {
        if (service.scaling) {
            maxReplicas[name] = service.scaling->maximum;
        }
    }
    const ScalePlan::Counts serving = servingCounts();
    planCapacity(*config, serving, now);
    for (const ScaleOrder &order : scale_.dueOrders(serving, maxReplicas, now, context_.replicas.evacuatedZones())) {
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
            scale_.onReply(order, reply, net::loopNow());
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
    // This software stores nothing on disk machines, so they can be reported as empty at once.
    context_.store.replaceStatus(
        context_.kinds.retirements, change.object.name, change.object.revision, status,
        [this, change](const StoreReply &reply) {
            telemetry::log(Level::Info, "retirement", "completed",
                           {{"machine", change.object.name}, {"outcome", nameOf(reply.outcome)}});
            if (reply.outcome != StoreOutcome::Done && reply.outcome != StoreOutcome::Conflict && fencingToken_) {
                net::runAfter(context_.loop, RetirementRetryDelay, [this, change] { onRetirement(change); });
            }
        });
}

} // namespace currantlug::control
