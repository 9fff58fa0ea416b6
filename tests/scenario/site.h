// The processes of one scenario: platform, engines, services and daemons, with proxies on their links.
#ifndef CURRANTLUG_TESTS_SCENARIO_SITE_H
#define CURRANTLUG_TESTS_SCENARIO_SITE_H

#include "core/json.h"
#include "scenario/childprocess.h"
#include "scenario/linkproxy.h"

#include <httplib.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace currantlug::scenario {

struct SiteSettings
{
    int daemons = 5;
    int engines = 3;
    int services = 1;
    int tokenMs = 2; ///< Of the engines, per token.
    bool checkFencing = true; ///< Of the platform and the engines.
    int orderedReplicas = 0; ///< Least replicas that the base ticket orders of the engine pool; 0 orders none.
    std::vector<std::string> daemonFlags; ///< Extra flags of all daemons.
};

struct HttpReply
{
    int status = 0; ///< 0 where there was no complete answer.
    std::string body;
    Json json; ///< Null where the body is not JSON.
};

struct DaemonProcess
{
    std::string name;
    std::string zone;
    std::string region;
    std::unique_ptr<LinkProxy> meshProxy; ///< Before its mesh listener.
    std::unique_ptr<LinkProxy> storeProxy; ///< Between it and the platform.
    std::unique_ptr<ChildProcess> process;
    int callerPort = 0;
    int adminPort = 0;
};

struct StandinProcess
{
    std::unique_ptr<ChildProcess> process;
    int port = 0;
};

/// Daemons, engines and services are numbered from 1. Three availability zones in two regions; the first region, which
/// holds the store, has two of them and the majority of the daemons.
class Site
{
public:
    explicit Site(SiteSettings settings);
    ~Site();

    void startDaemon(int number);
    void killDaemon(int number);
    DaemonProcess &daemon(int number) { return daemons_.at(static_cast<std::size_t>(number - 1)); }
    StandinProcess &engine(int number) { return engines_.at(static_cast<std::size_t>(number - 1)); }
    StandinProcess &service(int number) { return services_.at(static_cast<std::size_t>(number - 1)); }
    StandinProcess &platform() { return platform_; }
    int daemonCount() const { return static_cast<int>(daemons_.size()); }
    int engineCount() const { return static_cast<int>(engines_.size()); }
    int serviceCount() const { return static_cast<int>(services_.size()); }

    /// Cuts or heals the mesh links between two daemons, both ways.
    void cutMesh(int a, int b, bool cut);
    void cutStore(int number, bool cut);

    /// The ticket that every scenario begins with: workspaces "herders" and "clinic" with keys, routes "count"
    /// (engines, repeatable), "desk" (service, not repeatable), "lookup" (service, repeatable), and their pools.
    Json baseTicket();

    HttpReply admin(int daemon, const std::string &method, const std::string &path, const Json &body = Json());
    static HttpReply request(int port, const std::string &method, const std::string &path,
                             const httplib::Headers &headers, const std::string &body, int timeoutMs = 20'000);

    const std::string &logFolder() const { return logFolder_; }
    static std::string program(const std::string &name);

private:
    StandinProcess startStandin(const std::string &program, std::vector<std::string> arguments, const std::string &log);
    std::string daemonOfConnection(int localPort, int remotePort);

    SiteSettings settings_;
    std::string logFolder_;
    StandinProcess platform_;
    std::vector<StandinProcess> engines_;
    std::vector<StandinProcess> services_;
    std::mutex namesMutex_;
    std::map<pid_t, std::string> names_; ///< Daemons by process, read by the proxies' threads.
    std::vector<DaemonProcess> daemons_;
};

/// Keys of the base ticket.
inline constexpr const char *HerdersKey = "herders-key-0123456789";
inline constexpr const char *ClinicKey = "clinic-key-0123456789";
inline constexpr const char *AdminToken = "admin-token-0123456789";

} // namespace currantlug::scenario

#endif
