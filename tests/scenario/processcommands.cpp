// Scenario commands that start, stop and disturb processes.
#include "scenario/scenario.h"

#include <csignal>

namespace currantlug::scenario {

namespace {

int signalNumber(const std::string &name)
{
    static const std::map<std::string, int> table{
        {"kill", SIGKILL}, {"stop", SIGSTOP}, {"continue", SIGCONT}, {"term", SIGTERM}};
    const auto found = table.find(name);
    if (found == table.end()) {
        throw ScenarioError("unknown signal " + name);
    }
    return found->second;
}

} // namespace

/// site daemons=N engines=N services=N token_ms=N flags='--a=b --c=d' — starts everything and files the base ticket.
void ScenarioRunner::startSite(const Command &command)
{
    SiteSettings settings;
    settings.daemons = command.number("daemons", settings.daemons);
    settings.engines = command.number("engines", settings.engines);
    settings.services = command.number("services", settings.services);
    settings.tokenMs = command.number("token_ms", settings.tokenMs);
    settings.orderedReplicas = command.number("replicas", 0);
    settings.checkFencing = command.text("fencing", "on") == "on";
    std::istringstream flags(command.text("flags"));
    for (std::string flag; flags >> flag;) {
        settings.daemonFlags.push_back(flag);
    }
    site_ = std::make_unique<Site>(settings);

    Command members{
        command.line, "expect-members", {{"count", std::to_string(settings.daemons)}, {"within_ms", "30000"}}};
    expectMembers(members);
    const HttpReply reply = site_->admin(1, "POST", "/admin/tickets", site_->baseTicket());
    if (reply.status != 200) {
        throw ScenarioError("the base ticket was not accepted: " + reply.body);
    }
    Command inForce{command.line, "expect-ticket", {{"number", "1"}, {"within_ms", "14000"}}};
    expectTicket(inForce);
}

/// signal daemon=N|engine=N|platform=1|holder=LEASE|last_holder=1 name=kill|stop|continue|term
void ScenarioRunner::signalDaemon(const Command &command)
{
    const int number = signalNumber(command.text("name"));
    if (command.has("holder")) {
        const int holder = leaseHolder(command.text("holder"));
        variables_["last-holder"] = std::to_string(holder);
        site_->daemon(holder).process->signal(number);
    } else if (command.has("last_holder")) {
        site_->daemon(std::stoi(variables_.at("last-holder"))).process->signal(number);
    } else if (command.has("engine")) {
        site_->engine(command.number("engine")).process->signal(number);
    } else if (command.has("platform")) {
        site_->platform().process->signal(number);
    } else {
        site_->daemon(command.number("daemon")).process->signal(number);
    }
}

/// restart daemon=N — ends it with SIGKILL and starts it again with the same settings.
void ScenarioRunner::restartDaemon(const Command &command)
{
    site_->killDaemon(command.number("daemon"));
    site_->startDaemon(command.number("daemon"));
}

/// drain daemon=N
void ScenarioRunner::drainDaemon(const Command &command)
{
    const HttpReply reply = site_->admin(command.number("daemon"), "POST", "/admin/drain", Json::object());
    if (reply.status != 200) {
        throw ScenarioError("drain answered " + std::to_string(reply.status));
    }
}

/// expect-exit daemon=N code=N within_ms=N
void ScenarioRunner::expectExit(const Command &command)
{
    const int code = site_->daemon(command.number("daemon")).process->waitForExit(command.number("within_ms", 30'000));
    if (code != command.number("code")) {
        throw ScenarioError("exit code " + std::to_string(code));
    }
}

/// platform state=down|up — no daemon reaches the platform, or all do again.
void ScenarioRunner::platformOutage(const Command &command)
{
    for (int i = 1; i <= site_->daemonCount(); ++i) {
        site_->cutStore(i, command.text("state") == "down");
    }
}

/// cut daemon=N from=store|mesh|all state=on|off, or cut region=R from=... — a region keeps its links inside itself.
void ScenarioRunner::cut(const Command &command)
{
    const bool on = command.text("state", "on") == "on";
    const std::string from = command.text("from", "all");
    const auto isInside = [&](int number) {
        return command.has("region") ? site_->daemon(number).region == command.text("region")
                                     : number == command.number("daemon");
    };
    for (int a = 1; a <= site_->daemonCount(); ++a) {
        if (!isInside(a)) {
            continue;
        }
        if (from != "mesh") {
            site_->cutStore(a, on);
        }
        for (int b = 1; b <= site_->daemonCount() && from != "store"; ++b) {
            if (b != a && !isInside(b)) {
                site_->cutMesh(a, b, on);
            }
        }
    }
}

/// silence daemon=N — its open mesh and store connections stay open and carry nothing; new ones work.
void ScenarioRunner::silence(const Command &command)
{
    DaemonProcess &daemon = site_->daemon(command.number("daemon"));
    daemon.meshProxy->silence();
    daemon.storeProxy->silence();
}

StandinProcess &ScenarioRunner::standin(const std::string &name)
{
    if (name == "platform") {
        return site_->platform();
    }
    const std::size_t dash = name.rfind('-');
    const int number = dash == std::string::npos ? 0 : std::stoi(name.substr(dash + 1));
    return name.starts_with("engine") ? site_->engine(number) : site_->service(number);
}

/// fault at=platform|engine-N|service-N kind=fail|hang|lose_answer|lag|... path=PREFIX count=N ms=N
void ScenarioRunner::fault(const Command &command)
{
    const Json body{{"kind", command.text("kind")},
                    {"path_prefix", command.text("path", "/")},
                    {"count", command.number("count", 1)},
                    {"ms", command.number("ms")}};
    const HttpReply reply = Site::request(standin(command.text("at")).port, "POST", "/faults", {}, body.dump());
    if (reply.status != 200) {
        throw ScenarioError("the stand-in answered " + std::to_string(reply.status) + " " + reply.body);
    }
}

/// weights engine=N version=N — orders the engine to load this version.
void ScenarioRunner::engineWeights(const Command &command)
{
    const Json body{{"kind", "load_weights"}, {"version", command.number("version")}, {"fencing_token", 1}};
    const HttpReply reply =
        Site::request(site_->engine(command.number("engine")).port, "POST", "/v1/orders", {}, body.dump());
    if (reply.status != 200) {
        throw ScenarioError("the engine answered " + std::to_string(reply.status) + " " + reply.body);
    }
}

/// vm-leaving engine=N — the engine's load report says that it leaves.
void ScenarioRunner::vmLeaving(const Command &command)
{
    const HttpReply reply = Site::request(site_->engine(command.number("engine")).port, "POST", "/settings", {},
                                          Json{{"leaving", true}}.dump());
    if (reply.status != 200) {
        throw ScenarioError("the engine answered " + std::to_string(reply.status));
    }
}

/// wait ms=N — only to let a stated time bound pass, never to wait for a result.
void ScenarioRunner::pauseRun(const Command &command)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(command.number("ms")));
}

} // namespace currantlug::scenario
