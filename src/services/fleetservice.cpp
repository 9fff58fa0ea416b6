// Fleet loop of the lease holder.
#include "services/fleetservice.h"

#include "core/error.h"
#include "lease/deadlineguard.h"
#include "platform/guardedcall.h"
#include "telemetry/log.h"

#include <algorithm>
#include <utility>

namespace currantlug::services {

using fleet::OrderPlace;
using fleet::OrderTotals;

FleetService::FleetService(const DaemonId &self, platform::HttpObjectStore &store,
                           platform::HttpClientSettings orderClient, FleetInputs inputs, FleetServiceSettings settings)
    : self_(self)
    , inputs_(std::move(inputs))
    , settings_(settings)
    , keeper_(store, "orders", self, settings.lease)
    , orders_(std::move(orderClient), self.str())
    , journal_(store)
{
}

FleetService::~FleetService()
{
    stop();
}

void FleetService::start()
{
    {
        const std::lock_guard lock(stopMutex_);
        stopping_ = false;
    }
    thread_ = std::thread([this] { run(); });
}

void FleetService::stop()
{
    {
        const std::lock_guard lock(stopMutex_);
        stopping_ = true;
    }
    stopChanged_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
        keeper_.release().IgnoreError();
    }
}

void FleetService::run()
{
    std::unique_lock lock(stopMutex_);
    while (!stopping_) {
        lock.unlock();
        if (keeper_.holds() || inputs_.candidate()) {
            keeper_.poll().IgnoreError();
        }
        act();
        lock.lock();
        stopChanged_.wait_for(lock, absl::ToChronoMilliseconds(settings_.tick), [this] { return stopping_; });
    }
}

void FleetService::act()
{
    const std::optional<lease::LeaseGrant> grant = keeper_.grant();
    if (!grant) {
        loadedTerm_.reset();
        return;
    }
    if (loadedTerm_ != grant->term) {
        if (!journal_.load().ok()) {
            return;
        }
        loadedTerm_ = grant->term;
    }
    if (absl::Status status = orderEndpoints(); !status.ok()) {
        telemetry::log(telemetry::Level::Warning, "fleet", "order_failed", telemetry::errorFields(status));
        // A mismatch means that the records changed under this holder: read them again before the next order.
        loadedTerm_.reset();
    }
    rollOutWeights();
}

absl::Status FleetService::orderEndpoints()
{
    for (const auto &[place, record] : journal_.open()) {
        if (absl::Status status = send(place, record); !status.ok()) {
            return status;
        }
    }
    const std::shared_ptr<const config::ConfigState> state = inputs_.state();
    for (const auto &[id, pool] : state->objects().pools) {
        if (pool.max == 0) {
            continue;
        }
        if (absl::Status status = orderPool(id, pool); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

fleet::PoolDemand FleetService::demandOf(const PoolId &id, const config::Pool &pool) const
{
    const PoolLoad load = inputs_.load(id);
    fleet::PoolDemand demand;
    demand.arrivingTokensPerSecond = load.arrivingTokensPerSecond;
    demand.outstandingTokens = load.outstandingTokens;
    // Work of a service pool may not be repeatable, and cheap endpoints are only for work that can lose them.
    demand.repeatableShare = pool.kind == config::PoolKind::Engine ? 1 : 0;
    demand.replicaTokensPerSecond = settings_.replicaTokensPerSecond;
    demand.minimum = static_cast<std::uint32_t>(pool.min);
    demand.maximum = static_cast<std::uint32_t>(pool.max);
    demand.spendPerHour = pool.spendPerHour;
    demand.lastingPrice = settings_.lastingPrice;
    demand.cheapPrice = settings_.cheapPrice;
    for (const ZoneId &zone : inputs_.zones()) {
        fleet::ZoneSupply supply;
        supply.zone = zone;
        for (const EndpointRow &row : inputs_.endpoints()) {
            const bool counts = row.entry.config.pool == id && row.entry.config.zone == zone
                && row.entry.state == membership::EndpointState::Live;
            if (counts) {
                ++(row.entry.config.cheap ? supply.cheap : supply.lasting);
            }
        }
        demand.zones.push_back(supply);
    }
    return demand;
}

absl::Status FleetService::orderPool(const PoolId &id, const config::Pool &pool)
{
    const auto planner = replicaPlanners_.try_emplace(id, settings_.replicas).first;
    std::vector<fleet::ZonePlan> plans = planner->second.plan(demandOf(id, pool), monotonicNow());
    const auto current = [&](const fleet::ZonePlan &plan) {
        const fleet::OrderRecord *record = journal_.find({plan.zone, id});
        return record == nullptr ? OrderTotals() : record->totals;
    };
    // Decreases first: an increase then fits below the ticket's maximum at every moment.
    std::sort(plans.begin(), plans.end(), [&](const fleet::ZonePlan &a, const fleet::ZonePlan &b) {
        const auto change = [&](const fleet::ZonePlan &plan) {
            return static_cast<int>(plan.lasting + plan.cheap) - static_cast<int>(current(plan).sum());
        };
        return change(a) < change(b);
    });
    for (const fleet::ZonePlan &plan : plans) {
        const OrderTotals wanted{plan.lasting, plan.cheap};
        if (wanted == current(plan)) {
            continue;
        }
        if (journal_.heldElsewhere(id, plan.zone) + wanted.sum() > pool.max && wanted.sum() > current(plan).sum()) {
            continue;
        }
        if (absl::Status status = orderPlace({plan.zone, id}, wanted); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status FleetService::orderPlace(const OrderPlace &place, const OrderTotals &totals)
{
    const std::optional<lease::LeaseGrant> grant = keeper_.grant();
    if (!grant) {
        return makeError(absl::StatusCode::kAborted, Step::Lease, "orders", Outcome::NotRun, "the lease lapsed");
    }
    const absl::StatusOr<fleet::OrderRecord> record = journal_.begin(place, totals, grant->term);
    if (!record.ok()) {
        return record.status();
    }
    return send(place, *record);
}

absl::Status FleetService::send(const OrderPlace &place, const fleet::OrderRecord &record)
{
    const std::optional<lease::LeaseGrant> grant = keeper_.grant();
    if (!grant) {
        return makeError(absl::StatusCode::kAborted, Step::Lease, "orders", Outcome::NotRun, "the lease lapsed");
    }
    platform::EndpointOrder order;
    order.orderId = record.orderId;
    order.fencingToken = grant->term;
    order.zone = place.first;
    order.pool = place.second;
    order.lasting = record.totals.lasting;
    order.cheap = record.totals.cheap;

    lease::DeadlineGuard guard(grant->deadline);
    const absl::Status sent = orders_.send(order, [&guard](int socket) { guard.attachSocket(socket); });
    guard.detachSocket();
    return sent.ok() ? journal_.finish(place) : sent;
}

void FleetService::rollOutWeights()
{
    const std::shared_ptr<const config::ConfigState> state = inputs_.state();
    const std::vector<EndpointRow> rows = inputs_.endpoints();
    for (const auto &[id, pool] : state->objects().pools) {
        const config::ModelVersion *target = state->findModelVersion(pool.model);
        if (target == nullptr || pool.kind != config::PoolKind::Engine) {
            continue;
        }
        std::vector<fleet::ReplicaVersion> replicas;
        std::map<EndpointId, std::string> addresses;
        for (const EndpointRow &row : rows) {
            if (row.entry.config.pool == id && row.load && row.entry.state == membership::EndpointState::Live) {
                replicas.push_back({row.entry.config.id, row.load->weightVersion});
                addresses[row.entry.config.id] = row.entry.config.address;
            }
        }
        fleet::RolloutPlanner &planner = rolloutPlanners_.try_emplace(id, settings_.rollout).first->second;
        for (const EndpointId &endpoint : planner.next(target->version, replicas, monotonicNow())) {
            orderWeights(endpoint, addresses[endpoint], target->version, planner);
        }
    }
}

void FleetService::orderWeights(const EndpointId &id, const std::string &address, std::uint64_t version,
                                fleet::RolloutPlanner &planner)
{
    const std::optional<lease::LeaseGrant> grant = keeper_.grant();
    platform::HttpClientSettings settings;
    if (!grant || !platform::parsePeer(address, settings)) {
        planner.failed(id, monotonicNow());
        return;
    }
    platform::HttpClient http(platform::guardedSettings(settings));
    const Json body{{"kind", "load_weights"}, {"version", version}, {"fencing_token", grant->term}};
    lease::DeadlineGuard guard(grant->deadline);
    const absl::Status sent = platform::postGuarded(http, "/v1/orders", body, self_.str(), Step::Order,
                                                    [&guard](int socket) { guard.attachSocket(socket); });
    guard.detachSocket();
    if (!sent.ok()) {
        planner.failed(id, monotonicNow());
        telemetry::log(telemetry::Level::Warning, "fleet", "weights_not_ordered", telemetry::errorFields(sent));
    }
}

} // namespace currantlug::services
