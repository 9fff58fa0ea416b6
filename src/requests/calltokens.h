// Call tokens: permission to run one non-idempotent call on this daemon, without the store.
#ifndef CURRANTLUG_REQUESTS_CALLTOKENS_H
#define CURRANTLUG_REQUESTS_CALLTOKENS_H

#include "core/ids.h"
#include "core/instant.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace currantlug::requests {

struct CallTokenSettings
{
    std::size_t maxTokens = 100000; ///< Issued and not yet expired, used ones included.
    absl::Duration lifetime = absl::Hours(1);
};

/// The daemon that a token is bound to.
struct CallTokenOrigin
{
    DaemonId daemon;
    std::string incarnation;
};

/// The origin written in a token, so that another daemon can send the caller there; nullopt where it is no token.
std::optional<CallTokenOrigin> callTokenOrigin(std::string_view token);

/// Tokens of this daemon's incarnation, kept in memory only. Not thread-safe. A token moves from issued to used once,
/// before the call runs, and is never issued again. "Not run" is claimed only for a token that is known to be unused,
/// because an earlier use of the same token may have run.
class CallTokens
{
public:
    CallTokens(CallTokenOrigin origin, CallTokenSettings settings = {})
        : origin_(std::move(origin))
        , settings_(settings)
    {
    }

    /// A new token for one call of the workspace on the route. Errors: kResourceExhausted.
    absl::StatusOr<std::string> issue(const WorkspaceId &workspace, const RouteId &route, Instant now);

    /// Uses the token; OK exactly once. Errors: kInvalidArgument (no token), kPermissionDenied (workspace or route
    /// differ), kFailedPrecondition (bound to another daemon or an earlier incarnation), kAlreadyExists (used before),
    /// kNotFound (expired, or never issued here).
    absl::Status use(std::string_view token, const WorkspaceId &workspace, const RouteId &route, Instant now);

    std::size_t size() const { return tokens_.size(); }

private:
    struct Token
    {
        WorkspaceId workspace;
        RouteId route;
        bool used = false;
    };

    void expire(Instant now);

    CallTokenOrigin origin_;
    CallTokenSettings settings_;
    absl::flat_hash_map<std::string, Token> tokens_; ///< By the random part of the token.
    std::deque<std::pair<Instant, std::string>> byExpiry_; ///< In order of issue.
};

} // namespace currantlug::requests

#endif
