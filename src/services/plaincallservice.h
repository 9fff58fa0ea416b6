// Runs calls to plain services: queueing, the claim of calls that may not be repeated, and attempts.
#ifndef CURRANTLUG_SERVICES_PLAINCALLSERVICE_H
#define CURRANTLUG_SERVICES_PLAINCALLSERVICE_H

#include "endpoints/serviceclient.h"
#include "services/activecalls.h"
#include "services/claimservice.h"
#include "services/completionservice.h"
#include "services/dispatchgate.h"

#include <string>

namespace currantlug::services {

/// One call, with the caller's key already taken out of `request`.
struct PlainCall
{
    requests::Authorization authorization;
    RouteId route;
    endpoints::ServiceRequest request; ///< Address and request id are set for each attempt.
    std::string idempotencyKey; ///< Needed where the route's calls may not be repeated.
};

/// Thread-safe; calls block their thread.
class PlainCallService
{
public:
    using OnRecord = CompletionService::OnRecord;

    /// All must outlive the service.
    PlainCallService(DispatchGate &gate, ActiveCalls &active, ClaimService &claims, endpoints::ServiceClient &client,
                     OnRecord onRecord);

    absl::StatusOr<endpoints::ServiceAnswer> run(PlainCall call);

private:
    absl::StatusOr<Attempt> admit(const PlainCall &call, const std::shared_ptr<endpoints::CancelFlag> &cancel);
    absl::StatusOr<endpoints::ServiceAnswer> runAttempts(PlainCall &call, Attempt attempt,
                                                         const endpoints::CancelFlag &cancel);

    DispatchGate &gate_;
    ActiveCalls &active_;
    ClaimService &claims_;
    endpoints::ServiceClient &client_;
    OnRecord onRecord_;
};

} // namespace currantlug::services

#endif
