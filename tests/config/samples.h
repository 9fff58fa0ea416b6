// Objects and random tickets for the tests of the configuration.
#ifndef CURRANTLUG_TESTS_CONFIG_SAMPLES_H
#define CURRANTLUG_TESTS_CONFIG_SAMPLES_H

#include "config/configstate.h"
#include "core/hash.h"

#include <random>

namespace currantlug::config::samples {

inline std::uint64_t pick(std::mt19937_64 &random, std::uint64_t below)
{
    return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(random);
}

/// A ticket that follows the state and is valid on it.
inline Ticket validTicket(const ConfigState &state, std::mt19937_64 &random)
{
    Ticket ticket{.number = state.number() + 1, .author = "op" + std::to_string(pick(random, 3))};
    const auto name = [&](const char *kind) { return kind + std::to_string(pick(random, 4)); };
    const WorkspaceId workspace(name("w"));
    const KeyId key(name("k"));
    const std::string pool = name("p");
    ticket.set.workspaces.set(workspace, {.weight = 1.0 + static_cast<double>(pick(random, 9)) / 3});
    switch (pick(random, 4)) {
    case 0:
        ticket.set.keys.set(key, {workspace, sha256Hex(key.str() + std::to_string(state.number()))});
        break;
    case 1:
        if (state.findKey(key) != nullptr) {
            ticket.remove.keys.push_back(key);
        }
        break;
    case 2:
        ticket.set.pools.set(PoolId(pool),
                             {.kind = PoolKind::Engine,
                              .model = "m",
                              .endpoints = {{EndpointId(pool + "-e"), "10.0.0." + pool.substr(1) + ":80", ZoneId("z")}},
                              .max = pick(random, 9)});
        ticket.set.routes.set(RouteId(pool), {.workspace = workspace, .pool = PoolId(pool)});
        break;
    default:
        ticket.set.modelVersions.set(ModelVersionId("m"), {"m", state.number()});
    }
    return ticket;
}

} // namespace currantlug::config::samples

#endif
