// Proportional shares with a floor, rounded by the largest remainders.
#include "scheduling/modelshares.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <set>

namespace currantlug::scheduling {

namespace {

constexpr double RoundingTolerance = 1e-9;

using RateByModel = std::map<std::string, double>;

/// Work a second of each model; empty if it is unknown for one, or too even to matter.
RateByModel usableDemand(const std::vector<std::string> &models, const DemandByModel &demand, double minImbalance)
{
    RateByModel usable;
    for (const std::string &model : models) {
        const auto found = demand.find(model);
        if (found == demand.end() || found->second.tokensPerSecond <= 0) {
            return {};
        }
        usable[model] = found->second.tokensPerSecond;
    }
    const auto byDemand = [](const auto &a, const auto &b) { return a.second < b.second; };
    const auto [smallest, largest] = std::minmax_element(usable.begin(), usable.end(), byDemand);
    return largest->second < smallest->second * minImbalance ? RateByModel{} : usable;
}

/// Exact shares: proportional to demand, but not below the floor.
std::map<std::string, double> exactShares(double replicas, const RateByModel &demand, double floor)
{
    std::map<std::string, double> shares;
    std::set<std::string> atFloor;
    bool raised = true;
    while (raised) {
        raised = false;
        double total = 0;
        for (const auto &[model, rate] : demand) {
            total += atFloor.contains(model) ? 0 : rate;
        }
        const double left = replicas - floor * static_cast<double>(atFloor.size());
        for (const auto &[model, rate] : demand) {
            if (atFloor.contains(model)) {
                shares[model] = floor;
                continue;
            }
            shares[model] = left * rate / total;
            if (shares[model] < floor) {
                atFloor.insert(model);
                raised = true;
            }
        }
    }
    return shares;
}

} // namespace

ReplicaCounts shareReplicas(int replicas, const std::vector<std::string> &models, const DemandByModel &demand,
                            double floorFraction, double minImbalance)
{
    const RateByModel usable = usableDemand(models, demand, minImbalance);
    if (usable.empty()) {
        return {};
    }
    const double equal = static_cast<double>(replicas) / static_cast<double>(models.size());
    const double floor = std::min(equal, std::max(1.0, equal * floorFraction));
    ReplicaCounts counts;
    std::vector<std::pair<double, std::string>> remainders;
    int left = replicas;
    for (const auto &[model, share] : exactShares(replicas, usable, floor)) {
        counts[model] = static_cast<int>(std::floor(share + RoundingTolerance));
        left -= counts[model];
        remainders.emplace_back(counts[model] - share, model);
    }
    std::sort(remainders.begin(), remainders.end());
    for (std::size_t index = 0; left > 0; index = (index + 1) % remainders.size(), --left) {
        ++counts[remainders[index].second];
    }
    return counts;
}

bool ModelShares::update(int replicas, const std::vector<std::string> &models, const DemandByModel &demand)
{
    const double minImbalance = counts_.empty() ? settings_.minImbalance : settings_.imbalanceToKeep;
    ReplicaCounts wanted = shareReplicas(replicas, models, demand, settings_.floorFraction, minImbalance);
    const double tolerance = std::max(2.0, settings_.hysteresis * replicas);
    const bool close = replicas == replicas_ && wanted.size() == counts_.size()
        && std::all_of(wanted.begin(), wanted.end(), [this, tolerance](const auto &entry) {
                           const auto current = counts_.find(entry.first);
                           return current != counts_.end() && std::abs(entry.second - current->second) < tolerance;
                       });
    if (close || wanted == counts_) {
        return false;
    }
    counts_ = std::move(wanted);
    replicas_ = replicas;
    return true;
}

} // namespace currantlug::scheduling
