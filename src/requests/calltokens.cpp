// Issue and use of call tokens.
#include "requests/calltokens.h"

#include "core/error.h"
#include "core/hash.h"

#include <fmt/format.h>

namespace currantlug::requests {

namespace {

constexpr std::string_view Prefix = "ct1:";
constexpr std::size_t NonceBytes = 16;

struct ParsedToken
{
    CallTokenOrigin origin;
    std::string nonce;
};

// "ct1:<daemon>:<incarnation>:<nonce>"; a daemon's name may hold colons.
std::optional<ParsedToken> parseToken(std::string_view token)
{
    if (!token.starts_with(Prefix)) {
        return std::nullopt;
    }
    token.remove_prefix(Prefix.size());
    const std::size_t nonceColon = token.rfind(':');
    const std::size_t incarnationColon =
        nonceColon == std::string_view::npos || nonceColon == 0 ? nonceColon : token.rfind(':', nonceColon - 1);
    if (incarnationColon == std::string_view::npos || incarnationColon == nonceColon || incarnationColon == 0) {
        return std::nullopt;
    }
    return ParsedToken{{DaemonId(std::string(token.substr(0, incarnationColon))),
                        std::string(token.substr(incarnationColon + 1, nonceColon - incarnationColon - 1))},
                       std::string(token.substr(nonceColon + 1))};
}

absl::Status refuse(absl::StatusCode code, std::string_view peer, Outcome outcome, std::string_view message)
{
    return makeError(code, Step::Claim, peer, outcome, message);
}

} // namespace

std::optional<CallTokenOrigin> callTokenOrigin(std::string_view token)
{
    auto parsed = parseToken(token);
    if (!parsed) {
        return std::nullopt;
    }
    return std::move(parsed->origin);
}

absl::StatusOr<std::string> CallTokens::issue(const WorkspaceId &workspace, const RouteId &route, Instant now)
{
    expire(now);
    if (tokens_.size() >= settings_.maxTokens) {
        return refuse(absl::StatusCode::kResourceExhausted, "", Outcome::NotRun, "too many call tokens are open");
    }
    std::string nonce = randomHex(NonceBytes);
    tokens_.emplace(nonce, Token{workspace, route, false});
    byExpiry_.emplace_back(now + settings_.lifetime, nonce);
    return fmt::format("{}{}:{}:{}", Prefix, origin_.daemon.str(), origin_.incarnation, nonce);
}

absl::Status CallTokens::use(std::string_view text, const WorkspaceId &workspace, const RouteId &route, Instant now)
{
    expire(now);
    const auto parsed = parseToken(text);
    if (!parsed) {
        return refuse(absl::StatusCode::kInvalidArgument, "", Outcome::NotRun, "not a call token");
    }
    if (parsed->origin.daemon != origin_.daemon || parsed->origin.incarnation != origin_.incarnation) {
        return refuse(absl::StatusCode::kFailedPrecondition, parsed->origin.daemon.str(), Outcome::MayHaveRun,
                      "call token is bound to another daemon or to an earlier run of this one");
    }
    const auto found = tokens_.find(parsed->nonce);
    if (found == tokens_.end()) {
        return refuse(absl::StatusCode::kNotFound, "", Outcome::MayHaveRun, "call token has expired");
    }
    Token &token = found->second;
    if (token.workspace != workspace || token.route != route) {
        return refuse(absl::StatusCode::kPermissionDenied, "", token.used ? Outcome::MayHaveRun : Outcome::NotRun,
                      "call token was issued for another workspace or route");
    }
    if (token.used) {
        return refuse(absl::StatusCode::kAlreadyExists, "", Outcome::MayHaveRun, "call token was used before");
    }
    token.used = true;
    return absl::OkStatus();
}

void CallTokens::expire(Instant now)
{
    while (!byExpiry_.empty() && byExpiry_.front().first <= now) {
        tokens_.erase(byExpiry_.front().second);
        byExpiry_.pop_front();
    }
}

} // namespace currantlug::requests
