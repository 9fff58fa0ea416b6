// Assignment of models and order of loads.
#include "control/weightplan.h"

#include <algorithm>
#include <tuple>

namespace currantlug::control {

namespace {

// Time from an accepted order to the first look whether the load has ended.
constexpr absl::Duration FirstLook = absl::Milliseconds(1000);

} // namespace

void WeightPlan::name(const std::string &model, std::uint64_t version, Instant now)
{
    Named &named = named_[model];
    if (version > named.version) {
        named = {version, now};
    }
}

std::uint64_t WeightPlan::namedVersion(const std::string &model) const
{
    const auto found = named_.find(model);
    return found == named_.end() ? 0 : found->second.version;
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

void WeightPlan::assign(const std::vector<const serving::Replica *> &replicas, const std::vector<std::string> &models)
{
    if (models.empty()) {
        return;
    }
    std::erase_if(modelByReplica_, [&replicas, &models](const auto &given) {
        const bool ours = std::find(models.begin(), models.end(), given.second) != models.end();
        return ours && std::none_of(replicas.begin(), replicas.end(), [&given](const serving::Replica *replica) {
                   return replica->entry.id == given.first;
               });
    });
    std::map<std::string, int> count;
    for (const std::string &model : models) {
        count[model] = 0;
    }
    std::vector<const serving::Replica *> fresh;
    for (const serving::Replica *replica : replicas) {
        const auto found = modelByReplica_.find(replica->entry.id);
        if (found != modelByReplica_.end() && count.contains(found->second)) {
            ++count[found->second];
        } else {
            fresh.push_back(replica);
        }
    }
    const int cap = static_cast<int>((replicas.size() + models.size() - 1) / models.size());
    for (const serving::Replica *replica : fresh) {
        const std::string *best = nullptr;
        std::tuple<bool, std::uint64_t, int> bestRank;
        for (const std::string &model : models) {
            const std::uint64_t named = namedVersion(model);
            const std::uint64_t held = versionOf(*replica, model);
            const std::tuple<bool, std::uint64_t, int> rank{count[model] >= cap, named > held ? named - held : 0,
                                                            count[model]};
            if (best == nullptr || rank < bestRank) {
                best = &model;
                bestRank = rank;
            }
        }
        modelByReplica_[replica->entry.id] = *best;
        ++count[*best];
    }
    const auto [fewest, most] = std::minmax_element(count.begin(), count.end(),
                                                    [](const auto &a, const auto &b) { return a.second < b.second; });
    if (most->second - fewest->second < 2) {
        return;
    }
    // One at a time: the next call sees the counts after it.
    for (const serving::Replica *replica : replicas) {
        if (modelByReplica_[replica->entry.id] == most->first && !loading(replica->entry.id)) {
            modelByReplica_[replica->entry.id] = fewest->first;
            return;
        }
    }
}

bool WeightPlan::loading(const std::string &replica) const
{
    return loads_.contains(replica);
}

void WeightPlan::forgetFormerIncarnation(const serving::ReplicaEntry &entry)
{
    std::int64_t &born = born_[entry.id];
    if (born != entry.startedAtMs) {
        born = entry.startedAtMs;
        loads_.erase(entry.id);
        unclear_.erase(entry.id);
        ordersSeen_.erase(entry.id);
        reportedVersions_.erase(entry.id);
    }
}

std::vector<WeightOrder> WeightPlan::due(const std::vector<const serving::Replica *> &replicas, SwapMode mode,
                                         Instant now)
{
    for (const serving::Replica *replica : replicas) {
        forgetFormerIncarnation(replica->entry);
        const auto load = loads_.find(replica->entry.id);
        if (load != loads_.end() && versionOf(*replica, load->second.order.model) >= load->second.order.version) {
            loads_.erase(load);
        }
    }
    std::erase_if(loads_, [&](const auto &entry) {
        const bool present = std::any_of(replicas.begin(), replicas.end(), [&](const serving::Replica *replica) {
            return replica->entry.id == entry.first;
        });
        const bool late = now - entry.second.sent > settings_.loadTimeout;
        if (present && late) {
            unclear_.insert(entry.first);
        }
        return !present || late;
    });
    struct Candidate
    {
        const serving::Replica *replica;
        std::uint64_t behind;
    };
    std::vector<Candidate> candidates;
    for (const serving::Replica *replica : replicas) {
        const std::string &id = replica->entry.id;
        const auto model = modelByReplica_.find(id);
        const auto paused = pausedUntil_.find(id);
        if (model == modelByReplica_.end() || loads_.contains(id) || unclear_.contains(id)
            || (paused != pausedUntil_.end() && paused->second > now)) {
            continue;
        }
        const std::uint64_t named = namedVersion(model->second);
        const std::uint64_t held = versionOf(*replica, model->second);
        const bool early = named == held + 1 && now - named_[model->second].at < settings_.settle;
        if (named > held && named > 1 && !early) {
            candidates.push_back({replica, named - held});
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::tuple(b.behind, a.replica->inFlight) < std::tuple(a.behind, b.replica->inFlight);
    });
    std::map<std::string, int> loadingByModel;
    for (const auto &[id, load] : loads_) {
        ++loadingByModel[load.order.model];
    }
    std::vector<WeightOrder> orders;
    for (const Candidate &candidate : candidates) {
        if (static_cast<int>(loads_.size()) >= settings_.concurrentLoads) {
            break;
        }
        const serving::ReplicaEntry &entry = candidate.replica->entry;
        const std::string &model = modelByReplica_[entry.id];
        const auto serving = std::count_if(modelByReplica_.begin(), modelByReplica_.end(),
                                           [&model](const auto &given) { return given.second == model; });
        const int most = std::max(1, static_cast<int>(serving) / settings_.sharePerModel);
        if (candidate.behind == 1 && loadingByModel[model] >= most) {
            continue;
        }
        ++loadingByModel[model];
        WeightOrder order;
        order.replica = entry.id;
        order.model = modelByReplica_[entry.id];
        order.version = namedVersion(order.model);
        order.mode = mode;
        order.ordersSeen = ordersSeen_[entry.id];
        loads_[entry.id] = {order, now, false};
        orders.push_back(order);
    }
    return orders;
}

void WeightPlan::replied(const WeightOrder &order, OrderReply reply, Instant now)
{
    switch (reply) {
    case OrderReply::Started:
        ordersSeen_[order.replica] = order.ordersSeen + 1;
        if (const auto load = loads_.find(order.replica); load != loads_.end()) {
            load->second.sent = now;
            load->second.clear = true;
        }
        return;
    case OrderReply::AlreadyDone:
        loads_.erase(order.replica);
        reportedVersions_[order.replica][order.model] = order.version;
        return;
    case OrderReply::Busy:
    case OrderReply::Unknown:
        loads_.erase(order.replica);
        unclear_.insert(order.replica);
        pausedUntil_[order.replica] = now + settings_.retry;
        return;
    case OrderReply::Refused:
        loads_.erase(order.replica);
        pausedUntil_[order.replica] = now + settings_.retry;
        return;
    }
}

void WeightPlan::reported(const std::string &replica, const ReplicaReport &report, Instant now)
{
    const auto load = loads_.find(replica);
    if (load != loads_.end()) {
        const auto version = report.weightVersions.find(load->second.order.model);
        if (version == report.weightVersions.end() || version->second < load->second.order.version) {
            // A report may be some hundred milliseconds old, so a load just ended may not show yet.
            return;
        }
        loads_.erase(load);
    }
    reportedVersions_[replica] = report.weightVersions;
    if (report.busy) {
        pausedUntil_[replica] = now + settings_.retry;
        return;
    }
    ordersSeen_[replica] = report.ordersAccepted;
    unclear_.erase(replica);
}

std::vector<std::string> WeightPlan::toAsk(Instant now) const
{
    std::vector<std::string> ask;
    for (const auto &[id, load] : loads_) {
        if (load.clear && now - load.sent >= FirstLook) {
            ask.push_back(id);
        }
    }
    for (const std::string &id : unclear_) {
        const auto paused = pausedUntil_.find(id);
        if (paused == pausedUntil_.end() || paused->second <= now) {
            ask.push_back(id);
        }
    }
    return ask;
}

} // namespace currantlug::control
