// Rendezvous hashing among the hosts with the most processor time.
#include "jobs/jobplacement.h"

#include "core/hash.h"

#include <algorithm>
#include <concepts>
#include <set>
#include <tuple>
#include <utility>

namespace currantlug::jobs {

namespace {

// Shares within this factor of the largest one count as equal.
constexpr double EqualShareFactor = 0.9;

/// Returns the lower limit of the shares that count as the largest among the hosts that `counts` selects.
double smallestLargeShare(const std::vector<JobHost> &hosts, const std::predicate<const JobHost &> auto &counts)
{
    double largest = 0;
    for (const JobHost &host : hosts) {
        if (counts(host)) {
            largest = std::max(largest, host.processorShare);
        }
    }
    return largest * EqualShareFactor;
}

} // namespace

std::vector<JobHost> hostsIn(const serving::RegionSet &regions, std::vector<JobHost> hosts)
{
    std::erase_if(hosts, [&regions](const JobHost &host) { return !regions.allows(host.region); });
    return hosts;
}

std::string chooseJobHost(std::string_view model, std::vector<std::string> models, const std::vector<JobHost> &hosts)
{
    models.emplace_back(model);
    std::sort(models.begin(), models.end());
    models.erase(std::unique(models.begin(), models.end()), models.end());
    const double minShare = smallestLargeShare(hosts, [](const JobHost &host) { return host.acceptsJobs; });
    std::set<std::string_view> taken;
    for (const std::string &candidate : models) {
        const JobHost *best = nullptr;
        std::pair<bool, std::uint64_t> bestRank;
        for (const JobHost &host : hosts) {
            if (!host.acceptsJobs || host.processorShare < minShare) {
                continue;
            }
            const std::pair<bool, std::uint64_t> rank{!taken.contains(host.node),
                                                      rendezvousWeight(candidate, host.node)};
            if (best == nullptr || rank > bestRank) {
                best = &host;
                bestRank = rank;
            }
        }
        if (best == nullptr) {
            return {};
        }
        if (candidate == model) {
            return best->node;
        }
        taken.insert(best->node);
    }
    return {};
}

std::vector<std::string> successorsOf(std::string_view lostNode, const std::vector<JobHost> &hosts)
{
    const double minShare = smallestLargeShare(hosts, [](const JobHost &) { return true; });
    std::vector<std::tuple<bool, std::uint64_t, std::string>> ranked;
    ranked.reserve(hosts.size());
    for (const JobHost &host : hosts) {
        ranked.emplace_back(host.processorShare >= minShare, rendezvousWeight(lostNode, host.node), host.node);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> nodes;
    nodes.reserve(ranked.size());
    for (auto &[strong, weight, node] : ranked) {
        nodes.push_back(std::move(node));
    }
    return nodes;
}

} // namespace currantlug::jobs
