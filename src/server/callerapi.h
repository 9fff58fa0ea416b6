// HTTP interface for callers: addresses, completions, calls to plain services, call tokens.
#ifndef CURRANTLUG_SERVER_CALLERAPI_H
#define CURRANTLUG_SERVER_CALLERAPI_H

#include "server/requestcontext.h"
#include "services/claimservice.h"
#include "services/completionservice.h"
#include "services/plaincallservice.h"

#include <httplib.h>

namespace currantlug::server {

/// All must outlive the listener.
struct CallerServices
{
    RequestGate &gate;
    services::ConfigService &config;
    services::MemberService &members;
    services::CompletionService &completions;
    services::PlainCallService &plainCalls;
    services::ClaimService &claims;
};

class CallerApi
{
public:
    explicit CallerApi(CallerServices services)
        : services_(services)
    {
    }

    void install(httplib::Server &server);

private:
    void addresses(const httplib::Request &request, httplib::Response &response);
    void completions(const httplib::Request &request, httplib::Response &response);
    void streamCompletion(services::CompletionCall call, std::shared_ptr<RequestGate::Pass> pass,
                          requests::KeyRedactor redactor, httplib::Response &response);
    void serviceCall(const httplib::Request &request, httplib::Response &response);
    void callToken(const httplib::Request &request, httplib::Response &response);
    absl::Status claimIfNeeded(const AuthorizedRequest &authorized, const RouteId &route,
                               const httplib::Request &request);

    CallerServices services_;
};

} // namespace currantlug::server

#endif
