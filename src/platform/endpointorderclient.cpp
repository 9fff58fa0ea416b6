#include "platform/endpointorderclient.h"

#include "platform/guardedcall.h"

namespace currantlug::platform {

EndpointOrderClient::EndpointOrderClient(HttpClientSettings settings, std::string sender)
    : http_(guardedSettings(std::move(settings)))
    , sender_(std::move(sender))
{
}

absl::Status EndpointOrderClient::send(const EndpointOrder &order, const SocketHook &hook)
{
    const Json body{{"order_id", order.orderId},
                    {"fencing_token", order.fencingToken},
                    {"availability_zone", order.zone.str()},
                    {"pool", order.pool.str()},
                    {"lasting", order.lasting},
                    {"cheap", order.cheap}};
    return postGuarded(http_, "/v1/endpoint-orders", body, sender_, Step::Order, hook);
}

} // namespace currantlug::platform
