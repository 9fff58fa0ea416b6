// Orders for endpoints by availability zone.
#ifndef CURRANTLUG_PLATFORM_ENDPOINTORDERCLIENT_H
#define CURRANTLUG_PLATFORM_ENDPOINTORDERCLIENT_H

#include "core/ids.h"
#include "platform/httpclient.h"

#include <cstdint>

namespace currantlug::platform {

/// The desired totals of one pool in one zone. Repeating an order is idempotent.
struct EndpointOrder
{
    std::string orderId;
    std::uint64_t fencingToken = 0; ///< Term of the lease under which the order is sent.
    ZoneId zone;
    PoolId pool;
    std::uint64_t lasting = 0; ///< Number of endpoints that stay.
    std::uint64_t cheap = 0; ///< Number of endpoints that can be evicted on seconds' notice.
};

/// Every order travels on a connection of its own. Not thread-safe: one object per lease holder's thread.
class EndpointOrderClient
{
public:
    /// `sender` goes out as the X-Sender header, which the platform records. A zero TCP_USER_TIMEOUT becomes the 2 s
    /// that a lease successor's wait allows for bytes already in the kernel.
    EndpointOrderClient(HttpClientSettings settings, std::string sender);

    /// Errors: kFailedPrecondition for a stale fencing token, kInvalidArgument for a rejected order, kUnavailable with
    /// NotRun or MayHaveRun.
    absl::Status send(const EndpointOrder &order, const SocketHook &hook = {});

private:
    HttpClient http_;
    std::string sender_;
};

} // namespace currantlug::platform

#endif
