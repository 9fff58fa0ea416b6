// Start and connection of a scenario's processes.
#include "scenario/site.h"

#include "core/hash.h"

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <stdexcept>

namespace currantlug::scenario {

namespace {

struct ZonePlace
{
    const char *zone;
    const char *region;
};

// Daemons are placed in this order, so that the store's region has the majority.
constexpr ZonePlace Places[] = {{"ifrane", "atlas"}, {"azrou", "atlas"},    {"taroudant", "souss"},
                                {"ifrane", "atlas"}, {"azrou", "atlas"},    {"taroudant", "souss"},
                                {"ifrane", "atlas"}, {"taroudant", "souss"}};

const ZonePlace &placeOf(int number)
{
    return Places[static_cast<std::size_t>(number - 1) % std::size(Places)];
}

int portIn(const std::string &line)
{
    const std::size_t colon = line.rfind(':');
    return colon == std::string::npos ? 0 : std::atoi(line.c_str() + colon + 1);
}

} // namespace

std::string Site::program(const std::string &name)
{
    return std::string(CURRANTLUG_BINARY_DIR) + "/" + name;
}

Site::Site(SiteSettings settings)
    : settings_(std::move(settings))
{
    char pattern[] = "/tmp/currantlug-scenario-XXXXXX";
    logFolder_ = mkdtemp(pattern);
    const std::string fencing = settings_.checkFencing ? "true" : "false";
    platform_ = startStandin("standin-platform", {"--check-fencing=" + fencing}, "platform");
    for (int i = 1; i <= settings_.engines; ++i) {
        engines_.push_back(startStandin(
            "standin-engine",
            {"--ms-per-token", std::to_string(settings_.tokenMs), "--model", "count", "--check-fencing=" + fencing},
            "engine-" + std::to_string(i)));
    }
    for (int i = 1; i <= settings_.services; ++i) {
        services_.push_back(startStandin("standin-service", {}, "service-" + std::to_string(i)));
    }
    daemons_.resize(static_cast<std::size_t>(settings_.daemons));
    for (int i = 1; i <= settings_.daemons; ++i) {
        DaemonProcess &entry = daemon(i);
        entry.name = "daemon-" + std::to_string(i);
        entry.zone = placeOf(i).zone;
        entry.region = placeOf(i).region;
        entry.meshProxy =
            std::make_unique<LinkProxy>([this](int source, int proxy) { return daemonOfConnection(source, proxy); });
        entry.storeProxy = std::make_unique<LinkProxy>([](int, int) { return "self"; });
        entry.storeProxy->setTarget(platform_.port);
        startDaemon(i);
    }
}

Site::~Site()
{
    // Proxies end after the processes, so that no daemon sees them vanish and logs it.
    for (DaemonProcess &entry : daemons_) {
        entry.process.reset();
    }
}

StandinProcess Site::startStandin(const std::string &name, std::vector<std::string> arguments, const std::string &log)
{
    StandinProcess standin;
    standin.process = std::make_unique<ChildProcess>(program(name), arguments, logFolder_ + "/" + log + ".log");
    standin.port = portIn(standin.process->readLine());
    if (standin.port == 0) {
        throw std::runtime_error(name + " did not start, see " + logFolder_);
    }
    return standin;
}

void Site::startDaemon(int number)
{
    DaemonProcess &entry = daemon(number);
    const std::string platform = "127.0.0.1:" + std::to_string(entry.storeProxy->port());
    std::vector<std::string> arguments{"--daemon=" + entry.name,
                                       "--region=" + entry.region,
                                       "--availability-zone=" + entry.zone,
                                       "--store-addresses=" + platform,
                                       "--orders-address=" + platform,
                                       "--usage-address=" + platform,
                                       "--vm-list-address=" + platform,
                                       std::string("--admin-token=") + AdminToken,
                                       "--mesh-advertised=127.0.0.1:" + std::to_string(entry.meshProxy->port())};
    arguments.insert(arguments.end(), settings_.daemonFlags.begin(), settings_.daemonFlags.end());
    entry.process =
        std::make_unique<ChildProcess>(program("currantlugd"), arguments, logFolder_ + "/" + entry.name + ".log");
    {
        const std::lock_guard lock(namesMutex_);
        names_[entry.process->pid()] = entry.name;
    }
    entry.callerPort = portIn(entry.process->readLine());
    entry.adminPort = portIn(entry.process->readLine());
    const int meshPort = portIn(entry.process->readLine());
    if (meshPort == 0) {
        throw std::runtime_error(entry.name + " did not start, see " + logFolder_);
    }
    entry.meshProxy->setTarget(meshPort);
}

void Site::killDaemon(int number)
{
    daemon(number).process->signal(SIGKILL);
    daemon(number).process->waitForExit(10'000);
}

std::string Site::daemonOfConnection(int localPort, int remotePort)
{
    const std::lock_guard lock(namesMutex_);
    std::vector<pid_t> pids;
    for (const auto &[pid, name] : names_) {
        pids.push_back(pid);
    }
    const auto owner = names_.find(ownerOfConnection(localPort, remotePort, pids));
    return owner == names_.end() ? "" : owner->second;
}

void Site::cutMesh(int a, int b, bool cut)
{
    const auto change = [&](int to, int from) {
        LinkProxy &proxy = *daemon(to).meshProxy;
        cut ? proxy.cut(daemon(from).name) : proxy.heal(daemon(from).name);
    };
    change(a, b);
    change(b, a);
}

void Site::cutStore(int number, bool cut)
{
    LinkProxy &proxy = *daemon(number).storeProxy;
    cut ? proxy.cut("*") : proxy.heal("*");
}

Json Site::baseTicket()
{
    const auto endpoint = [](const std::string &name, int port, int number) {
        return Json{{"name", name},
                    {"address", "127.0.0.1:" + std::to_string(port)},
                    {"availability_zone", placeOf(number).zone},
                    {"cheap", false},
                    {"checks_fencing", true}};
    };
    Json engines = Json::array();
    for (int i = 1; i <= engineCount(); ++i) {
        engines.push_back(endpoint("engine-" + std::to_string(i), engine(i).port, i));
    }
    Json services = Json::array();
    for (int i = 1; i <= serviceCount(); ++i) {
        services.push_back(endpoint("service-" + std::to_string(i), service(i).port, i));
    }
    Json set;
    set["workspaces"] = {{"herders", {{"weight", 1}}}, {"clinic", {{"weight", 1}}}};
    set["keys"] = {{"herders-1", {{"workspace", "herders"}, {"digest", sha256Hex(HerdersKey)}}},
                   {"clinic-1", {{"workspace", "clinic"}, {"digest", sha256Hex(ClinicKey)}}}};
    set["pools"] = {{"engines", {{"kind", "engine"}, {"model", "count"}, {"endpoints", engines}}}};
    if (settings_.orderedReplicas > 0) {
        set["pools"]["engines"].update(
            Json{{"min", settings_.orderedReplicas}, {"max", settings_.orderedReplicas + 4}, {"spend_per_hour", 100}});
    }
    set["routes"] = {
        {"count", {{"workspace", "herders"}, {"pool", "engines"}, {"kind", "engine"}, {"repeatable", true}}}};
    if (serviceCount() > 0) {
        set["pools"]["desk"] = {{"kind", "service"}, {"endpoints", services}};
        set["routes"]["desk"] = {
            {"workspace", "herders"}, {"pool", "desk"}, {"kind", "service"}, {"repeatable", false}};
        set["routes"]["lookup"] = {{"open", true}, {"pool", "desk"}, {"kind", "service"}, {"repeatable", true}};
    }
    return {{"number", 1}, {"author", "scenario"}, {"note", "base"}, {"set", set}};
}

HttpReply Site::admin(int number, const std::string &method, const std::string &path, const Json &body)
{
    const httplib::Headers headers{{"Authorization", std::string("Bearer ") + AdminToken}};
    return request(daemon(number).adminPort, method, path, headers, body.is_null() ? "" : body.dump());
}

HttpReply Site::request(int port, const std::string &method, const std::string &path, const httplib::Headers &headers,
                        const std::string &body, int timeoutMs)
{
    httplib::Client client("127.0.0.1", port);
    client.set_connection_timeout(2);
    client.set_read_timeout(std::chrono::milliseconds(timeoutMs));
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.headers = headers;
    request.body = body;
    if (!body.empty()) {
        request.set_header("Content-Type", "application/json");
    }
    const httplib::Result result = client.send(request);
    if (!result) {
        return {};
    }
    return {result->status, result->body, parseJson(result->body).value_or(Json())};
}

} // namespace currantlug::scenario
