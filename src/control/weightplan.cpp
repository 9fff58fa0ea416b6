// Assigns models to replicas and chooses the next weight loads.
#include "control/weightplan.h"

#include <algorithm>
#include <tuple>

namespace currantlug::control {

namespace {

// Time from an accepted order to the first query whether the load has ended.
constexpr absl::Duration FirstQueryDelay = absl::Milliseconds(1000);

} // namespace

void WeightPlan::onVersionPublished(const std::string &model, std::uint64_t version, Instant now)
{
    LatestVersion &latest = latestVersions_[model];
    if (version > latest.version) {
        latest = {version, now};
    }
}

std::uint64_t WeightPlan::latestVersion(const std::string &model) const
{
    const auto found = latestVersions_.find(model);
    return found == latestVersions_.end() ? 0 : found->second.version;
}

std::uint64_t WeightPlan::versionOf(const serving::Replica &replica, const std::string &model) const
{
    std::uint64_t version = 0;
    if (const auto found = replica.entry.weightVersions.find(model); found != replica.entry.weightVersions.end()) {
        version = found->second;
    }
    if (const auto reported = reportedVersions_.find(replica.entry.id); reported != reportedVersions_.end()) {
        if (const auto found = reported->second.find(model); found != reported->second.end()) {
            version = std::max(version, found->second);
        }
    }
    return version;
}

void WeightPlan::assign(const std::vector<const serving::Replica *> &replicas, const std::vector<std::string> &models,
                        const scheduling::ReplicaCounts &counts)
{
    if (models.empty()) {
        return;
    }
    std::erase_if(modelByReplica_, [&replicas, &models](const auto &assignment) {
        const bool modelOfService = std::find(models.begin(), models.end(), assignment.second) != models.end();
        return modelOfService
            && std::none_of(replicas.begin(), replicas.end(), [&assignment](const serving::Replica *replica) {
                   return replica->entry.id == assignment.first;
               });
    });
    const int equalCount = static_cast<int>((replicas.size() + models.size() - 1) / models.size());
    std::map<std::string, int> surplus; // Number of replicas beyond the intended one; negative if some are missing.
    for (const std::string &model : models) {
        const auto intended = counts.find(model);
        surplus[model] = intended == counts.end() ? -equalCount : -intended->second;
    }
    std::vector<const serving::Replica *> unassigned;
    for (const serving::Replica *replica : replicas) {
        const auto found = modelByReplica_.find(replica->entry.id);
        if (found != modelByReplica_.end() && surplus.contains(found->second)) {
            ++surplus[found->second];
        } else {
            unassigned.push_back(replica);
        }
    }
    for (const serving::Replica *replica : unassigned) {
        const std::string *best = nullptr;
        std::tuple<bool, std::uint64_t, int> bestRank;
        for (const std::string &model : models) {
            const std::uint64_t latest = latestVersion(model);
            const std::uint64_t loaded = versionOf(*replica, model);
            const std::tuple<bool, std::uint64_t, int> rank{surplus[model] >= 0, latest > loaded ? latest - loaded : 0,
                                                            surplus[model]};
            if (best == nullptr || rank < bestRank) {
                best = &model;
                bestRank = rank;
            }
        }
        modelByReplica_[replica->entry.id] = *best;
        ++surplus[*best];
    }
    const auto [fewest, most] = std::minmax_element(surplus.begin(), surplus.end(),
                                                    [](const auto &a, const auto &b) { return a.second < b.second; });
    if (most->second - fewest->second < 2) {
        return;
    }
    // Moves one replica per call; the next call continues with the new counts.
    for (const serving::Replica *replica : replicas) {
        if (modelByReplica_[replica->entry.id] == most->first && !isLoading(replica->entry.id)) {
            modelByReplica_[replica->entry.id] = fewest->first;
            return;
        }
    }
}

bool WeightPlan::isLoading(const std::string &replica) const
{
    return loads_.contains(replica);
}

void WeightPlan::resetAfterRestart(const serving::ReplicaEntry &entry)
{
    std::int64_t &incarnation = incarnations_[entry.id];
    if (incarnation != entry.startedAtMs) {
        incarnation = entry.startedAtMs;
        loads_.erase(entry.id);
        stateUnknown_.erase(entry.id);
        ordersAccepted_.erase(entry.id);
        reportedVersions_.erase(entry.id);
    }
}

std::vector<WeightOrder> WeightPlan::dueOrders(const std::vector<const serving::Replica *> &replicas, SwapMode mode,
                                               Instant now, std::optional<std::size_t> weightStoreReplicas)
{
    for (const serving::Replica *replica : replicas) {
        resetAfterRestart(replica->entry);
        const auto load = loads_.find(replica->entry.id);
        if (load != loads_.end() && versionOf(*replica, load->second.order.model) >= load->second.order.version) {
            loads_.erase(load);
        }
    }
    std::erase_if(loads_, [&](const auto &entry) {
        const bool present = std::any_of(replicas.begin(), replicas.end(), [&](const serving::Replica *replica) {
            return replica->entry.id == entry.first;
        });
        const bool timedOut = now - entry.second.sentAt > settings_.loadTimeout;
        if (present && timedOut) {
            stateUnknown_.insert(entry.first);
        }
        return !present || timedOut;
    });
    struct Candidate
    {
        const serving::Replica *replica;
        std::uint64_t versionsBehind;
    };
    std::vector<Candidate> candidates;
    for (const serving::Replica *replica : replicas) {
        const std::string &id = replica->entry.id;
        const auto model = modelByReplica_.find(id);
        const auto paused = pausedUntil_.find(id);
        if (model == modelByReplica_.end() || loads_.contains(id) || stateUnknown_.contains(id)
            || (paused != pausedUntil_.end() && paused->second > now)) {
            continue;
        }
        const std::uint64_t latest = latestVersion(model->second);
        const std::uint64_t loaded = versionOf(*replica, model->second);
        const bool tooEarly =
            latest == loaded + 1 && now - latestVersions_[model->second].publishedAt < settings_.loadDelay;
        if (latest > loaded && latest > 1 && !tooEarly) {
            candidates.push_back({replica, latest - loaded});
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::tuple(b.versionsBehind, a.replica->inFlight) < std::tuple(a.versionsBehind, b.replica->inFlight);
    });
    std::map<std::string, int> loadingByModel;
    for (const auto &[id, load] : loads_) {
        ++loadingByModel[load.order.model];
    }
    std::map<std::string, int> replicasByModel;
    std::map<std::string, int> upToDateByModel; // Replicas that have, or will have, the newest version of their model.
    for (const serving::Replica *replica : replicas) {
        const auto model = modelByReplica_.find(replica->entry.id);
        if (model == modelByReplica_.end()) {
            continue;
        }
        ++replicasByModel[model->second];
        if (loads_.contains(replica->entry.id) || versionOf(*replica, model->second) >= latestVersion(model->second)) {
            ++upToDateByModel[model->second];
        }
    }
    const auto share = static_cast<std::size_t>(settings_.replicasPerConcurrentLoad);
    const std::size_t sizedFor = std::min(replicas.size(), weightStoreReplicas.value_or(replicas.size()));
    const std::size_t maxConcurrentLoads = (sizedFor + share / 2) / share + 1;
    std::vector<WeightOrder> orders;
    for (const Candidate &candidate : candidates) {
        if (loads_.size() >= maxConcurrentLoads) {
            break;
        }
        const serving::ReplicaEntry &entry = candidate.replica->entry;
        const std::string &model = modelByReplica_[entry.id];
        const int maxLoads = std::max(1, replicasByModel[model] / settings_.replicasPerLoad);
        const bool enoughUpToDate = upToDateByModel[model] * 2 >= replicasByModel[model];
        if (candidate.versionsBehind == 1 && (enoughUpToDate || loadingByModel[model] >= maxLoads)) {
            continue;
        }
        ++loadingByModel[model];
        ++upToDateByModel[model];
        WeightOrder order;
        order.id = ++lastOrderId_;
        order.replica = entry.id;
        order.model = modelByReplica_[entry.id];
        order.version = latestVersion(order.model);
        order.mode = mode;
        order.expectedOrdersAccepted = ordersAccepted_[entry.id];
        loads_[entry.id] = {order, now, false};
        orders.push_back(order);
    }
    return orders;
}

void WeightPlan::onReply(const WeightOrder &order, OrderReply reply, Instant now)
{
    if (const auto load = loads_.find(order.replica); load != loads_.end() && load->second.order.id != order.id) {
        return; // Late: the replica has restarted or was queried meanwhile, and has another order.
    }
    switch (reply) {
    case OrderReply::Started:
        ordersAccepted_[order.replica] = order.expectedOrdersAccepted + 1;
        if (const auto load = loads_.find(order.replica); load != loads_.end()) {
            load->second.sentAt = now;
            load->second.accepted = true;
        }
        return;
    case OrderReply::AlreadyDone:
        loads_.erase(order.replica);
        reportedVersions_[order.replica][order.model] = order.version;
        return;
    case OrderReply::Busy:
    case OrderReply::Unknown:
        loads_.erase(order.replica);
        stateUnknown_.insert(order.replica);
        pausedUntil_[order.replica] = now + settings_.retryDelay;
        return;
    case OrderReply::Refused:
        loads_.erase(order.replica);
        pausedUntil_[order.replica] = now + settings_.retryDelay;
        return;
    }
}

void WeightPlan::onReport(const std::string &replica, const ReplicaReport &report, Instant now)
{
    const auto load = loads_.find(replica);
    if (load != loads_.end()) {
        const auto version = report.weightVersions.find(load->second.order.model);
        if (version == report.weightVersions.end() || version->second < load->second.order.version) {
            // A report may be some hundred milliseconds old and may not yet show a load that has just ended.
            return;
        }
        loads_.erase(load);
    }
    reportedVersions_[replica] = report.weightVersions;
    if (report.busy) {
        pausedUntil_[replica] = now + settings_.retryDelay;
        return;
    }
    ordersAccepted_[replica] = report.ordersAccepted;
    stateUnknown_.erase(replica);
}

std::vector<std::string> WeightPlan::replicasToQuery(Instant now) const
{
    std::vector<std::string> replicas;
    for (const auto &[id, load] : loads_) {
        if (load.accepted && now - load.sentAt >= FirstQueryDelay) {
            replicas.push_back(id);
        }
    }
    for (const std::string &id : stateUnknown_) {
        const auto paused = pausedUntil_.find(id);
        if (paused == pausedUntil_.end() || paused->second <= now) {
            replicas.push_back(id);
        }
    }
    return replicas;
}

} // namespace currantlug::control
