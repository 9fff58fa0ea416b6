// The configuration in force as requests are served by it: routes, services, workspaces and limits.
#ifndef CURRANTLUG_SERVING_GATEWAYCONFIG_H
#define CURRANTLUG_SERVING_GATEWAYCONFIG_H

#include "core/enumnames.h"
#include "net/httpserver.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::serving {

/// What may be repeated of a route's requests.
enum class RouteKind {
    Safe, ///< May run any number of times.
    Unsafe, ///< May run once.
    Stream, ///< Answers with events; like Unsafe unless the route is resumable.
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
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::Unsafe;
    absl::Duration timeout = absl::InfiniteDuration(); ///< Longest time that a request is kept waiting.
    absl::Duration targetLatency = absl::InfiniteDuration();
    int priority = 0; ///< 0 is the most urgent.
    std::vector<WeightedService> services;
    int maxAttempts = 1; ///< Replicas that one request may be sent to.
    bool authExempt = false; ///< Needs no key.
    bool resumable = false;
    absl::Duration queueTtl = absl::InfiniteDuration(); ///< Jobs: items may be given up this long after submission.
    absl::Duration resultDue = absl::InfiniteDuration(); ///< Jobs: results are due this long after submission.
    bool singleVersion = false; ///< Jobs: an item's text must come from one weight version.

    bool repeatable() const { return kind == RouteKind::Safe || (kind == RouteKind::Stream && resumable); }
};

/// How many replicas of a service may be ordered, per availability zone.
struct ScalingLimits
{
    int minimum = 0;
    int maximum = 0;
    absl::Duration bootTime;
};

struct Service
{
    std::string name;
    std::vector<std::string> models; ///< Empty for plain services.
    std::optional<ScalingLimits> scaling;
};

struct Workspace
{
    std::string name;
    std::optional<int> priority;
};

class GatewayConfig
{
public:
    std::uint64_t version = 0;
    std::uint64_t revision = 0; ///< Of the store object; configurations compare by it.
    std::vector<Route> routes;
    std::map<std::string, Service> services;
    std::vector<Workspace> workspaces;
    absl::flat_hash_map<std::string, std::size_t> workspaceByKey; ///< Index into workspaces.
    net::ServerLimits limits;

    /// The route with the longest prefix of the path among those of the host.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const Workspace *findWorkspaceByKey(std::string_view key) const;
    /// Picks a service by weight; the same `seed` always gets the same one.
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
