// Look-ups in the configuration in force.
#include "serving/gatewayconfig.h"

#include "core/hash.h"

#include <absl/strings/match.h>

namespace currantlug::serving {

const Route *GatewayConfig::match(std::string_view host, std::string_view path) const
{
    const std::string name(host.substr(0, host.find(':')));
    const Route *best = nullptr;
    for (const Route &route : routes) {
        const bool fits = path.substr(0, route.pathPrefix.size()) == route.pathPrefix;
        if (fits && absl::EqualsIgnoreCase(route.host, name)
            && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

const Workspace *GatewayConfig::workspaceOfKey(std::string_view key) const
{
    const auto found = workspaceByKey.find(std::string(key));
    return found == workspaceByKey.end() ? nullptr : &workspaces[found->second];
}

const std::string &GatewayConfig::pickService(const Route &route, std::string_view seed)
{
    std::uint64_t sum = 0;
    for (const WeightedService &choice : route.services) {
        sum += choice.weight;
    }
    std::uint64_t at = sum == 0 ? 0 : stableHash(seed) % sum;
    for (const WeightedService &choice : route.services) {
        if (at < choice.weight) {
            return choice.service;
        }
        at -= choice.weight;
    }
    return route.services.front().service;
}

} // namespace currantlug::serving
