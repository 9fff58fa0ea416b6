// Recording and text exposition of the metrics of a node.
#include "node/nodemetrics.h"

#include "telemetry/log.h"

#include <algorithm>

namespace currantlug::node {

namespace {

enum class ReplicaCondition {
    Ready,
    Draining,
    Avoided, ///< Avoided for a short time after a failure or a refusal for lack of capacity.
    PendingRemoval, ///< No longer registered, but kept for a while because the registry was unreachable.
};

} // namespace

} // namespace currantlug::node

template<>
struct currantlug::EnumNames<currantlug::node::ReplicaCondition>
{
    using Condition = currantlug::node::ReplicaCondition;
    static constexpr std::array<std::pair<Condition, std::string_view>, 4> Table{{
        {Condition::Ready, "ready"},
        {Condition::Draining, "draining"},
        {Condition::Avoided, "avoided"},
        {Condition::PendingRemoval, "vanishing"},
    }};
};

namespace currantlug::node {

namespace {

ReplicaCondition conditionOf(const serving::Replica &replica, Instant now)
{
    if (replica.removeAt != Instant(absl::InfiniteDuration())) {
        return ReplicaCondition::PendingRemoval;
    }
    if (!replica.acceptsRequests()) {
        return ReplicaCondition::Draining;
    }
    return replica.backoffUntil > now ? ReplicaCondition::Avoided : ReplicaCondition::Ready;
}

} // namespace

NodeMetrics::NodeMetrics()
{
    telemetry::setEventObserver([this](std::string_view subsystem, std::string_view event) {
        registry_
            .counter("currantlug_events_total",
                     "Log events, such as decisions and state changes, by subsystem and name.",
                     {{"subsystem", std::string(subsystem)}, {"event", std::string(event)}})
            .add();
    });
}

NodeMetrics::~NodeMetrics()
{
    telemetry::setEventObserver({});
}

void NodeMetrics::recordRequest(serving::RouteKind kind, std::string_view outcome, int status, absl::Duration elapsed)
{
    // Only the class of the status is a label: replicas can send any status, and label sets must be bounded.
    registry_
        .counter("currantlug_requests_total", "Client requests that ended, excluding batch jobs.",
                 {{"kind", std::string(nameOf(kind))},
                  {"outcome", std::string(outcome)},
                  {"status", status == 0 ? "none" : std::to_string(status / 100) + "xx"}})
        .add();
    registry_
        .histogram("currantlug_request_seconds", "Time from a request's arrival to the end of its answer.",
                   {{"outcome", std::string(outcome)}})
        .record(elapsed);
}

void NodeMetrics::recordReward(jobs::RewardOutcome outcome, absl::Duration elapsed)
{
    const std::string name(nameOf(outcome));
    registry_.counter("currantlug_reward_calls_total", "Reward calls of batch jobs that ended.", {{"outcome", name}})
        .add();
    registry_
        .histogram("currantlug_reward_seconds", "Time from the first attempt of a reward call to its end.",
                   {{"outcome", name}})
        .record(elapsed);
}

void NodeMetrics::recordPermits(std::size_t issued)
{
    registry_
        .counter("currantlug_permits_total", "Permits for replicas that limit their request rate, issued by this node.",
                 {{"outcome", issued > 0 ? "issued" : "refused"}})
        .add(std::max<std::size_t>(issued, 1));
}

void NodeMetrics::setReplicas(const serving::ReplicaTable &replicas, Instant now)
{
    std::map<std::pair<std::string, ReplicaCondition>, int> counts;
    std::map<std::string, int> cold;
    std::map<std::string, std::pair<int, double>> limits; // Number of limited replicas, and the sum of their limits.
    for (const auto &[id, replica] : replicas.all()) {
        services_.insert(replica.entry.service);
        auto &[limited, limit] = limits[replica.entry.service];
        cold[replica.entry.service] += replica.isCold(now) ? 1 : 0;
        limited += replica.requestLimit ? 1 : 0;
        limit += replica.requestLimit.value_or(0);
        ++counts[{replica.entry.service, conditionOf(replica, now)}];
    }
    // Conditions without replicas are exported as 0 rather than omitted, also when the last one of a service has gone.
    for (const std::string &service : services_) {
        for (const auto &[condition, name] : EnumNames<ReplicaCondition>::Table) {
            counts.try_emplace({service, condition}, 0);
        }
    }
    for (const std::string &service : services_) {
        registry_
            .gauge("currantlug_replicas_cold", "Replicas that are cold after their start, as this node knows.",
                   {{"service", service}})
            .set(cold[service]);
        registry_
            .gauge("currantlug_replicas_limited", "Replicas that limit their request rate, as this node knows.",
                   {{"service", service}})
            .set(limits[service].first);
        registry_
            .gauge("currantlug_replica_limit_per_second", "Sum of the request rates that limited replicas state.",
                   {{"service", service}})
            .set(limits[service].second);
    }
    for (const auto &[key, count] : counts) {
        registry_
            .gauge("currantlug_replicas", "Replicas by service and condition, as this node sees them.",
                   {{"service", key.first}, {"condition", std::string(nameOf(key.second))}})
            .set(count);
    }
}

std::string NodeMetrics::exposition(const NodeStatus &status, const serving::ReplicaTable &replicas, Instant now)
{
    const auto set = [this](std::string_view name, std::string_view help, double value) {
        registry_.gauge(name, help).set(value);
    };
    set("currantlug_ready", "1 while this node takes requests.", status.ready ? 1 : 0);
    set("currantlug_leading", "1 while this node holds the controller lease.", status.leading ? 1 : 0);
    set("currantlug_store_reached", "1 while the object store answers this node.", status.storeReached ? 1 : 0);
    set("currantlug_watching_replicas", "1 while this node watches the registry of replicas in the object store.",
        status.watchesReplicas ? 1 : 0);
    set("currantlug_config_version", "Version of the configuration in force.",
        static_cast<double>(status.configVersion));
    for (const auto &[view, age] : status.viewAges) {
        registry_
            .gauge("currantlug_view_age_seconds",
                   "Time since the store, or the node followed, last confirmed the view.",
                   {{"view", std::string(nameOf(view))}})
            .set(absl::ToDoubleSeconds(age));
    }
    set("currantlug_nodes_in_contact", "Peers that answered recently.", static_cast<double>(status.nodesInContact));
    set("currantlug_zones_evacuated", "Zones whose replicas get no requests.",
        static_cast<double>(status.evacuatedZones));
    set("currantlug_jobs_open", "Batch jobs that this node runs.", static_cast<double>(status.openJobs));
    set("currantlug_connections_opened", "Connections opened since the start.",
        static_cast<double>(status.connectionsOpened));
    set("currantlug_longest_stall_seconds",
        "Longest delay of periodic work by a turn of the event loop since the start.",
        absl::ToDoubleSeconds(status.longestStall));
    for (const auto &[state, name] : EnumNames<jobs::ItemState>::Table) {
        const auto found = status.items.find(state);
        registry_.gauge("currantlug_items", "Items of the open batch jobs by state.", {{"state", std::string(name)}})
            .set(found == status.items.end() ? 0 : static_cast<double>(found->second));
    }
    for (const auto &[model, demand] : status.modelDemand) {
        registry_
            .gauge("currantlug_model_demand_tokens_per_second", "Demand of the trainers whose jobs this node runs.",
                   {{"model", model}})
            .set(demand.tokensPerSecond);
        registry_
            .gauge("currantlug_model_demand_items", "Items of a job of the trainers whose jobs this node runs.",
                   {{"model", model}})
            .set(demand.items);
    }
    for (const auto &[service, counts] : status.plannedReplicas) {
        registry_
            .gauge("currantlug_service_replicas_wanted",
                   "Replicas that the demand for a service calls for, at the leader.", {{"service", service}})
            .set(counts.wanted);
        registry_
            .gauge("currantlug_service_replicas_base", "Replicas of a service without demand, at the leader.",
                   {{"service", service}})
            .set(counts.base);
    }
    for (const auto &[model, count] : status.replicaShares) {
        registry_
            .gauge("currantlug_model_replicas_intended", "Replicas that a model is to have, at the leader.",
                   {{"model", model}})
            .set(count);
    }
    setReplicas(replicas, now);
    return registry_.exposition();
}

} // namespace currantlug::node
