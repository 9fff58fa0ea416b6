// Lookups in the current configuration.
#include "serving/gatewayconfig.h"

#include "core/hash.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace currantlug::serving {

namespace {

std::string withoutPort(std::string_view host)
{
    return std::string(host.substr(0, host.find(':')));
}

} // namespace

const Route *GatewayConfig::findRoute(std::string_view host, std::string_view path) const
{
    const std::string hostName = withoutPort(host);
    const Route *best = nullptr;
    for (const Route &route : routes) {
        const bool matches = path.substr(0, route.pathPrefix.size()) == route.pathPrefix;
        if (matches && absl::EqualsIgnoreCase(route.host, hostName)
            && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best == nullptr || best->services.empty() ? nullptr : best;
}

bool GatewayConfig::isRolloutPath(std::string_view host, std::string_view path) const
{
    const Route *route = findRoute(host, path);
    return route != nullptr && route->kind == RouteKind::Rollout;
}

const Workspace *GatewayConfig::findWorkspaceByKey(std::string_view key) const
{
    const auto found = workspaceByKey.find(std::string(key));
    return found == workspaceByKey.end() ? nullptr : &workspaces[found->second];
}

RegionSet GatewayConfig::allowedRegions(const Route &route, std::string_view workspace) const
{
    const auto found = std::find_if(workspaces.begin(), workspaces.end(),
                                    [workspace](const Workspace &entry) { return entry.name == workspace; });
    return found == workspaces.end() ? route.homes : route.homes.intersect(found->homes);
}

RegionSet GatewayConfig::homesOfHost(std::string_view host) const
{
    const std::string hostName = withoutPort(host);
    std::optional<RegionSet> homes;
    for (const Route &route : routes) {
        if (absl::EqualsIgnoreCase(route.host, hostName)) {
            homes = homes ? homes->unite(route.homes) : route.homes;
        }
    }
    return homes.value_or(RegionSet());
}

const std::string &GatewayConfig::pickService(const Route &route, std::string_view seed)
{
    std::uint64_t totalWeight = 0;
    for (const WeightedService &choice : route.services) {
        totalWeight += choice.weight;
    }
    std::uint64_t offset = totalWeight == 0 ? 0 : stableHash(seed) % totalWeight;
    for (const WeightedService &choice : route.services) {
        if (offset < choice.weight) {
            return choice.service;
        }
        offset -= choice.weight;
    }
    return route.services.front().service;
}

} // namespace currantlug::serving
