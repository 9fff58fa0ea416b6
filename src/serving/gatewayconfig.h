// The current configuration for serving requests: routes, services, workspaces and limits.
#ifndef CURRANTLUG_SERVING_GATEWAYCONFIG_H
#define CURRANTLUG_SERVING_GATEWAYCONFIG_H

#include "core/enumnames.h"
#include "net/httpserver.h"
#include "serving/regionset.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::serving {

/// Type of a route's requests, which decides whether they may be retried.
enum class RouteKind {
    Safe, ///< Idempotent: may run any number of times.
    Unsafe, ///< Not idempotent: may run at most once.
    Stream, ///< The response is a stream of events. Not idempotent unless the route is resumable.
    Rollout, ///< Batch jobs.
};

struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Starts and ends with a slash.
    RouteKind kind = RouteKind::Unsafe;
    absl::Duration timeout = absl::InfiniteDuration(); ///< Upper limit on the time until the final response.
    absl::Duration targetLatency = absl::InfiniteDuration();
    int priority = 0; ///< 0 is the most urgent.
    std::vector<WeightedService> services;
    int maxAttempts = 1; ///< Maximum number of replicas that one request is sent to.
    bool authExempt = false; ///< Requests need no API key.
    bool resumable = false;
    absl::Duration queueTtl = absl::InfiniteDuration(); ///< Jobs: items may be abandoned this long after submission.
    absl::Duration resultDue = absl::InfiniteDuration(); ///< Jobs: results are due this long after submission.
    RegionSet homes; ///< Where the requests of the route may be served and stored.
    bool singleVersion = false; ///< Jobs: the whole text of an item must come from one weight version.

    bool repeatable() const { return kind == RouteKind::Safe || (kind == RouteKind::Stream && resumable); }
};

/// Limits on the desired replica count of a service, per availability zone.
struct ScalingLimits
{
    int minimum = 0;
    int maximum = 0;
    absl::Duration bootTime;
    std::map<std::string, double> priceByZone; ///< Relative price of a replica by availability zone; absent: 1.
};

struct Service
{
    std::string name;
    std::vector<std::string> models; ///< Empty for plain services.
    std::optional<ScalingLimits> scaling;
    absl::Duration coldTime; ///< For which a replica is cold after its start; zero if it never is.
    double coldRequestsPerSecond = 0; ///< That a cold replica takes from all nodes together.
};

struct Workspace
{
    std::string name;
    std::optional<int> priority;
    RegionSet homes; ///< Where the requests of the workspace may be served and stored.
};

class GatewayConfig
{
public:
    std::uint64_t version = 0;
    std::uint64_t revision = 0; ///< Revision of the store object; decides which of two configurations is newer.
    std::vector<Route> routes;
    std::map<std::string, Service> services;
    std::vector<Workspace> workspaces;
    absl::flat_hash_map<std::string, std::size_t> workspaceByKey; ///< Index into workspaces.
    net::ServerLimits limits;

    /// Returns the route of the host with the longest matching path prefix, or null if none matches or that route has
    /// no service. A port in `host` is ignored.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// True if items of jobs may be sent to this path of the host.
    bool isRolloutPath(std::string_view host, std::string_view path) const;
    const Workspace *findWorkspaceByKey(std::string_view key) const;
    /// Regions in which the requests of a route and a workspace may be served and stored: those that both allow. A
    /// workspace that isn't configured, such as the empty name, allows all regions.
    RegionSet allowedRegions(const Route &route, std::string_view workspace) const;
    /// Regions that any route of the host allows. All regions if a route of the host has no homes, or the host no
    /// route.
    RegionSet homesOfHost(std::string_view host) const;
    /// Picks a service of the route, which must have one, by weight and a hash of `seed`; the same `seed` always yields
    /// the same service.
    static const std::string &pickService(const Route &route, std::string_view seed);
};

} // namespace currantlug::serving

template<>
struct currantlug::EnumNames<currantlug::serving::RouteKind>
{
    using RouteKind = currantlug::serving::RouteKind;
    static constexpr std::array<std::pair<RouteKind, std::string_view>, 4> Table{{
        {RouteKind::Safe, "safe"},
        {RouteKind::Unsafe, "unsafe"},
        {RouteKind::Stream, "stream"},
        {RouteKind::Rollout, "rollout"},
    }};
};

#endif
