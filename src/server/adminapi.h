// HTTP interface for operators on the admin port: tickets, lists, the service-level-burn report, drain, metrics.
#ifndef CURRANTLUG_SERVER_ADMINAPI_H
#define CURRANTLUG_SERVER_ADMINAPI_H

#include "server/requestcontext.h"
#include "services/endpointservice.h"
#include "telemetry/metrics.h"

#include <httplib.h>

#include <functional>
#include <string>

namespace currantlug::server {

/// All must outlive the listener.
struct AdminServices
{
    std::string token;
    services::ConfigService &config;
    services::MemberService &members;
    services::EndpointService &endpoints;
    services::DispatchGate &dispatch;
    telemetry::MetricsRegistry &metrics;
    std::function<Json()> workspaces; ///< Requests and tokens per workspace, by name.
    std::function<Json()> leases;
    std::function<Json()> burn;
    std::function<void()> drain;
};

class AdminApi
{
public:
    explicit AdminApi(AdminServices services)
        : services_(std::move(services))
    {
    }

    void install(httplib::Server &server);

private:
    bool admit(const httplib::Request &request, httplib::Response &response) const;
    void fileTicket(const httplib::Request &request, httplib::Response &response);
    void validateTicket(const httplib::Request &request, httplib::Response &response);
    void listTickets(httplib::Response &response);
    void showTicket(const httplib::Request &request, httplib::Response &response);
    void showInForce(const httplib::Request &request, httplib::Response &response);
    void listDaemons(httplib::Response &response);
    void listEndpoints(httplib::Response &response);
    void removeMember(const httplib::Request &request, httplib::Response &response);
    void health(httplib::Response &response);

    AdminServices services_;
};

} // namespace currantlug::server

#endif
