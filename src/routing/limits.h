// Rate and concurrency limits per key, workspace and endpoint, and a daemon's share of a site-wide limit.
#ifndef CURRANTLUG_ROUTING_LIMITS_H
#define CURRANTLUG_ROUTING_LIMITS_H

#include "core/ids.h"
#include "core/instant.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>

namespace currantlug::routing {

/// Tokens that refill at a rate up to a burst. Taking may go below zero once; then it blocks until refilled.
class TokenBucket
{
public:
    TokenBucket() = default;
    /// A rate of 0 is no limit. A new bucket is full.
    TokenBucket(double perSecond, double burst, Instant now);

    /// Takes the tokens if the bucket is not empty. A request larger than the burst passes when the bucket is full.
    bool take(double tokens, Instant now);
    /// Gives back what was not used.
    void giveBack(double tokens);
    /// Time until take(tokens) can succeed.
    absl::Duration wait(double tokens, Instant now) const;
    /// Changes rate and burst; the level is kept.
    void configure(double perSecond, double burst, Instant now);

private:
    double levelAt(Instant now) const;

    double perSecond_ = 0;
    double burst_ = 0;
    double level_ = 0;
    Instant at_;
};

/// A limit for the whole site; 0 is no limit.
struct LimitSettings
{
    double tokensPerSecond = 0;
    double burstSeconds = 10; ///< The bucket holds this many seconds of the rate.
    std::uint32_t maxInFlight = 0;
};

/// This daemon's part of a site-wide limit. Concurrency shares round up, so that each daemon can serve at least one.
LimitSettings shareOf(const LimitSettings &siteWide, std::uint32_t liveDaemons);

/// Names under which Limits keeps the limit of an object.
inline std::string limitName(const KeyId &key)
{
    return "key:" + key.str();
}
inline std::string limitName(const WorkspaceId &workspace)
{
    return "workspace:" + workspace.str();
}
inline std::string limitName(const EndpointId &endpoint)
{
    return "endpoint:" + endpoint.str();
}

/// Limits by name (see limitName). Not thread-safe.
class Limits
{
public:
    /// Sets or changes a site-wide limit; takes effect at once with this daemon's share.
    void set(const std::string &name, const LimitSettings &siteWide, Instant now);
    void erase(const std::string &name);
    void setLiveDaemons(std::uint32_t count, Instant now);

    /// Time until the rate allows `tokens`; zero if now, and for names without a limit.
    absl::Duration rateWait(const std::string &name, double tokens, Instant now) const;
    void takeRate(const std::string &name, double tokens, Instant now);
    void giveBackRate(const std::string &name, double tokens);

    bool hasSlot(const std::string &name) const;
    void takeSlot(const std::string &name);
    void freeSlot(const std::string &name);
    std::uint32_t inFlight(const std::string &name) const;

private:
    struct Entry
    {
        LimitSettings siteWide;
        LimitSettings share;
        TokenBucket bucket;
        std::uint32_t inFlight = 0; ///< Counted also without a limit, so that a limit set later starts correct.
        bool limited = false;
    };

    std::uint32_t liveDaemons_ = 1;
    absl::flat_hash_map<std::string, Entry> entries_;
};

} // namespace currantlug::routing

#endif
