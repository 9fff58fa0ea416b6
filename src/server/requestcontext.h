// What the HTTP interfaces share: the services behind them, admission of a request, and error answers.
#ifndef CURRANTLUG_SERVER_REQUESTCONTEXT_H
#define CURRANTLUG_SERVER_REQUESTCONTEXT_H

#include "requests/authorization.h"
#include "requests/keycheck.h"
#include "requests/requestoutcome.h"
#include "services/configservice.h"
#include "services/dispatchgate.h"
#include "services/memberservice.h"

#include <absl/status/statusor.h>
#include <httplib.h>

#include <atomic>
#include <optional>
#include <string>

namespace currantlug::server {

/// Whether callers' requests are taken, and how many are running. Thread-safe.
class RequestGate
{
public:
    RequestGate(services::ConfigService &config, services::MemberService &members);

    /// From now on new requests are refused; running ones go on.
    void close() { closed_.store(true); }
    int running() const { return running_.load(); }

    /// Counts one request while it runs. `refusal` is not OK when the request must not run.
    class Pass
    {
    public:
        explicit Pass(RequestGate &gate);
        ~Pass();
        Pass(const Pass &) = delete;
        Pass &operator=(const Pass &) = delete;
        const absl::Status &refusal() const { return refusal_; }

    private:
        RequestGate &gate_;
        absl::Status refusal_;
    };

private:
    services::ConfigService &config_;
    services::MemberService &members_;
    std::atomic<bool> closed_{false};
    std::atomic<int> running_{0};
};

/// A request whose key has been taken out and whose right to its route was checked.
struct AuthorizedRequest
{
    requests::KeyedRequest keyed;
    requests::Authorization authorization;
};

/// The caller's request in the form that the key check takes.
requests::CallerRequest callerRequest(const httplib::Request &request);

/// Takes the key out and checks it against the state for this route.
absl::StatusOr<AuthorizedRequest> authorizeRequest(const httplib::Request &request, const config::ConfigState &state,
                                                   const RouteId &route);

/// Answers with an error. `members` adds the addresses of other daemons where the request did not run here.
void sendError(httplib::Response &response, const absl::Status &status, const requests::KeyRedactor &redactor = {},
               const services::MemberService *members = nullptr);

void sendJson(httplib::Response &response, const Json &body, int status = 200);

/// Error answers for what cpp-httplib refuses by itself (oversized body, malformed request, unknown path), and for
/// exceptions.
void installErrorHandlers(httplib::Server &server);

} // namespace currantlug::server

#endif
