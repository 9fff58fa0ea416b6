// Whether a key may use a route, by one state of the configuration.
#ifndef CURRANTLUG_REQUESTS_AUTHORIZATION_H
#define CURRANTLUG_REQUESTS_AUTHORIZATION_H

#include "config/configstate.h"

#include <absl/status/statusor.h>

#include <string>

namespace currantlug::requests {

/// Who a request runs for.
struct Authorization
{
    WorkspaceId workspace; ///< The key's workspace; OpenWorkspace on an open route without a key.
    KeyId key; ///< Empty on an open route without a key.
    config::Route route;
};

/// Workspace that usage and limits of keyless requests on open routes count for. No configured name has parentheses.
inline constexpr const char *OpenWorkspace = "(open)";

/// Checks the digest of the key that came on this request. Errors, all of them NotRun: kNotFound for an unknown route,
/// kUnauthenticated for a missing or unknown key, kPermissionDenied for the key of another workspace.
absl::StatusOr<Authorization> authorize(const config::ConfigState &state, const std::string &keyDigest,
                                        const RouteId &routeId);

/// The workspace of the key that came on a request that names no route; OpenWorkspace without a key. Errors, NotRun:
/// kUnauthenticated for an unknown or withdrawn key.
absl::StatusOr<WorkspaceId> workspaceOfKey(const config::ConfigState &state, const std::string &keyDigest);

/// Whether an authorization given earlier still stands. Used for running streams when a ticket comes in force.
bool stillAuthorized(const config::ConfigState &state, const Authorization &given, const RouteId &routeId);

} // namespace currantlug::requests

#endif
