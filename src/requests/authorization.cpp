// Route rights of keys.
#include "requests/authorization.h"

#include "core/error.h"

namespace currantlug::requests {

namespace {

absl::Status refuse(absl::StatusCode code, Step step, std::string_view message)
{
    return makeError(code, step, "", Outcome::NotRun, message);
}

absl::Status unknownKey()
{
    return refuse(absl::StatusCode::kUnauthenticated, Step::CheckKey, "the key is unknown or withdrawn");
}

} // namespace

absl::StatusOr<Authorization> authorize(const config::ConfigState &state, const std::string &keyDigest,
                                        const RouteId &routeId)
{
    const std::optional<KeyId> keyId = state.findKeyByDigest(keyDigest);
    if (!keyDigest.empty() && !keyId) {
        return unknownKey();
    }
    const config::Route *route = state.findRoute(routeId);
    if (route == nullptr) {
        return refuse(absl::StatusCode::kNotFound, Step::CheckRoute, "no such route: " + routeId.str());
    }

    Authorization result;
    result.route = *route;
    if (!keyId) {
        if (!route->open) {
            return refuse(absl::StatusCode::kUnauthenticated, Step::CheckKey, "this route needs a key");
        }
        result.workspace = WorkspaceId(OpenWorkspace);
        return result;
    }
    const config::Key *key = state.findKey(*keyId);
    if (!route->open && key->workspace != route->workspace) {
        return refuse(absl::StatusCode::kPermissionDenied, Step::CheckKey, "the key belongs to another workspace");
    }
    result.workspace = key->workspace;
    result.key = *keyId;
    return result;
}

absl::StatusOr<WorkspaceId> workspaceOfKey(const config::ConfigState &state, const std::string &keyDigest)
{
    if (keyDigest.empty()) {
        return WorkspaceId(OpenWorkspace);
    }
    const std::optional<KeyId> keyId = state.findKeyByDigest(keyDigest);
    if (!keyId) {
        return unknownKey();
    }
    return state.findKey(*keyId)->workspace;
}

bool stillAuthorized(const config::ConfigState &state, const Authorization &given, const RouteId &routeId)
{
    const config::Route *route = state.findRoute(routeId);
    if (route == nullptr) {
        return false;
    }
    if (given.key.empty()) {
        // Without a key: a call on an open route, or a slot of a step, which runs for the workspace of its route.
        return route->open || route->workspace == given.workspace;
    }
    const config::Key *key = state.findKey(given.key);
    return key != nullptr && key->workspace == given.workspace && (route->open || key->workspace == route->workspace);
}

} // namespace currantlug::requests
