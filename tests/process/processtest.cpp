// The real program as a process: what it must survive while it starts and runs.
#include "process/nodeprogram.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <list>
#include <thread>

using namespace currantlug;
using namespace currantlug::tests;

namespace {

constexpr int Runs = -1; ///< Exit code of a process that hasn't ended.

} // namespace

// Guards against a process that ends because a signal arrives before it can be handled: SIGHUP follows every change of
// the settings file, also while the process starts.
TEST_CASE("a process that is still starting survives SIGHUP")
{
    const Json settings = nodeSettings();
    const NodeProgram machine(settings);
    const auto process =
        machine.startWhileReading(settings.dump(), [](scenario::ChildProcess &starting) { starting.signal(SIGHUP); });
    REQUIRE(process != nullptr);
    CHECK(waitForStatus(portOf(settings, "front"), "/x", 503));
    CHECK(process->waitForExit(100) == Runs);
}

// Guards against a process that SIGHUP ends in the milliseconds in which its shared libraries are mapped and relocated.
TEST_CASE("signals are held back before the product's libraries are loaded")
{
    const NodeProgram machine(nodeSettings());
    for (int start = 0; start < 20; ++start) {
        const auto process = machine.start();
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        SignalState state;
        bool fatalWhileLoading = false;
        while (!state.ended && !state.catches(SIGHUP) && std::chrono::steady_clock::now() < until) {
            state = signalStateOf(process->pid());
            fatalWhileLoading = fatalWhileLoading || (state.loadsLibraries && !state.ended && state.isFatal(SIGHUP));
        }
        CAPTURE(start);
        CHECK(state.catches(SIGHUP));
        CHECK_FALSE(fatalWhileLoading);
    }
}

// Guards against a process that SIGHUP ends in its last milliseconds, when its handlers are gone already.
TEST_CASE("SIGHUP in the course of a stop doesn't change its outcome")
{
    const Json settings = nodeSettings();
    const NodeProgram machine(settings);
    for (int run = 0; run < 5; ++run) {
        const auto process = machine.start();
        REQUIRE(waitForStatus(portOf(settings, "front"), "/x", 503));
        process->signal(SIGTERM);
        int code = Runs;
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (code == Runs && std::chrono::steady_clock::now() < until) {
            process->signal(SIGHUP);
            std::this_thread::sleep_for(std::chrono::microseconds(100));
            code = process->waitForExit(0);
        }
        CAPTURE(run);
        CHECK(code == 0);
    }
}

// Guards against a process that ends by a signal that it has no use for.
TEST_CASE("signals without a meaning for the program don't end it")
{
    const Json settings = nodeSettings();
    const NodeProgram machine(settings);
    const auto process = machine.start();
    REQUIRE(waitForStatus(portOf(settings, "front"), "/x", 503));
    for (const int signal :
         {SIGUSR1, SIGUSR2, SIGPIPE, SIGALRM, SIGVTALRM, SIGPROF, SIGPOLL, SIGPWR, SIGXFSZ, SIGXCPU, SIGSTKFLT}) {
        CAPTURE(signal);
        process->signal(signal);
        CHECK(process->waitForExit(50) == Runs);
    }
    CHECK(waitForStatus(portOf(settings, "front"), "/x", 503));
}

// Guards against a stop that is forgotten, or ends the process without a word, because it came too early.
TEST_CASE("a stop that is asked for while the process starts is carried out in order")
{
    const Json settings = nodeSettings();
    const NodeProgram machine(settings);
    const auto process =
        machine.startWhileReading(settings.dump(), [](scenario::ChildProcess &starting) { starting.signal(SIGTERM); });
    REQUIRE(process != nullptr);
    CHECK(process->waitForExit(10'000) == 0);
}

// Guards against a process that ends because its predecessor at the same addresses still drains.
TEST_CASE("a process waits for the addresses of its predecessor and serves once they are free")
{
    const Json settings = nodeSettings();
    const NodeProgram machine(settings);
    const auto predecessor = machine.start();
    // Without a configuration the node isn't ready, but it answers.
    REQUIRE(waitForStatus(portOf(settings, "ready"), "/api/ready", 503));
    const auto process = machine.start();
    CHECK(process->waitForExit(500) == Runs);
    predecessor->signal(SIGTERM);
    CHECK(predecessor->waitForExit(10'000) == 0);
    CHECK(waitForStatus(portOf(settings, "front"), "/x", 503));
    CHECK(process->waitForExit(100) == Runs);
    process->signal(SIGTERM);
    CHECK(process->waitForExit(10'000) == 0);
}

// Guards against a process that can't be stopped while it waits for an address.
TEST_CASE("a process that waits for an address ends at SIGTERM")
{
    const Json settings = nodeSettings();
    const NodeProgram machine(settings);
    const auto predecessor = machine.start();
    REQUIRE(waitForStatus(portOf(settings, "ready"), "/api/ready", 503));
    const auto process = machine.start();
    CHECK(process->waitForExit(300) == Runs);
    process->signal(SIGTERM);
    CHECK(process->waitForExit(5000) == 0);
    CHECK(predecessor->waitForExit(0) == Runs);
}

// Guards against a second process of a machine that ends because the first one serves the metrics.
TEST_CASE("a process whose metrics port is taken serves clients all the same")
{
    const Json first = nodeSettings();
    const Json second = nodeSettings();
    const NodeProgram one(first);
    const NodeProgram other(second);
    const std::string port = std::to_string(freePort());
    const auto process = one.start({"--metrics-port", port});
    REQUIRE(waitForStatus(std::stoi(port), "/metrics", 200));
    const auto neighbour = other.start({"--metrics-port", port});
    CHECK(waitForStatus(portOf(second, "front"), "/x", 503));
    CHECK(neighbour->waitForExit(100) == Runs);
    // The metrics follow once the port is free.
    process->signal(SIGKILL);
    CHECK(process->waitForExit(5000) != Runs);
    CHECK(waitForStatus(std::stoi(port), "/metrics", 200));
}

// Guards against a process that ends because its settings are just being written.
TEST_CASE("a process waits for settings that are still being written")
{
    const Json settings = nodeSettings();
    const NodeProgram machine(settings);
    if (GENERATE(true, false)) {
        machine.writeSettings(settings.dump().substr(0, 40));
    } else {
        machine.removeSettings();
    }
    const auto process = machine.start();
    CHECK(process->waitForExit(2000) == Runs);
    machine.writeSettings(settings.dump());
    CHECK(waitForStatus(portOf(settings, "front"), "/x", 503));
    CHECK(process->waitForExit(100) == Runs);
}

// Guards against a process that ends, again and again, because the platform leaves out what its role doesn't need.
TEST_CASE("settings without what the role doesn't need are enough")
{
    Json settings = nodeSettings();
    const std::string variant =
        GENERATE("no listeners: no table", "no listeners: null", "no listeners: nothing but a name",
                 "duties: an empty table", "duties: an empty address");
    CAPTURE(variant);
    if (variant == "duties: an empty table") {
        settings["cloud_api"] = Json::object();
    } else if (variant == "duties: an empty address") {
        settings["cloud_api"]["address"] = "";
    } else {
        settings["serves"] = {"store"};
        settings.erase("listen");
    }
    if (variant == "no listeners: null") {
        settings["listen"] = nullptr;
    } else if (variant == "no listeners: nothing but a name") {
        for (const char *name : {"platform", "cloud_api", "bounds", "zones", "limits"}) {
            settings.erase(name);
        }
    }
    const NodeProgram machine(settings);
    const auto process = machine.start();
    CHECK(process->waitForExit(1500) == Runs);
}

// Guards against a process that starts half configured.
TEST_CASE("wrong settings end the process with the reasons")
{
    Json settings = nodeSettings();
    settings["listen"]["front"] = "nowhere";
    settings.erase("platform");
    const NodeProgram machine(settings);
    const auto process = machine.start();
    CHECK(process->waitForExit(10'000) == 2);
    CHECK(machine.errors().find("listen.front must be IP:PORT") != std::string::npos);
    CHECK(machine.errors().find("platform must be a table") != std::string::npos);
}

// Guards against a process that ends by an exhausted stack: the items of a job were nested 200,000 deep.
TEST_CASE("a body that is nested deeply is refused and the process goes on")
{
    const Json settings = nodeSettings();
    const NodeProgram machine(settings);
    const auto process = machine.start();
    const int port = portOf(settings, "front");
    REQUIRE(waitForStatus(port, "/x", 503));
    const std::string body = "{\"items\":" + std::string(200'000, '[') + std::string(200'000, ']') + "}";
    const std::string fields =
        " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    for (const char *listener : {"front", "ready", "control", "directory"}) {
        statusOfBytes(portOf(settings, listener), "POST /rollout/a" + fields + body);
    }
    CHECK(waitForStatus(port, "/x", 503));
    CHECK(process->waitForExit(100) == Runs);
}

// Guards against a process that is killed for its memory because several clients send large bodies at once.
TEST_CASE("large bodies at once don't take the process over its memory")
{
    constexpr std::uint64_t Megabyte = 1 << 20;
    Json settings = nodeSettings();
    settings["limits"]["memory_mb"] = 110;
    const NodeProgram machine(settings);
    const auto process = machine.start();
    const int port = portOf(settings, "front");
    REQUIRE(waitForStatus(port, "/x", 503));
    const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length: "
        + std::to_string(20 * Megabyte) + "\r\n\r\n";
    const std::string bytes = head + std::string(19 * Megabyte, 'x');
    std::list<OpenRequest> requests;
    int refused = 0;
    for (int i = 0; i < 8; ++i) {
        refused += requests.emplace_back(port, bytes).status() == 503 ? 1 : 0;
    }
    CHECK(refused == 7);
    CHECK(process->waitForExit(0) == Runs);
    CHECK(waitForStatus(port, "/x", 503));
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__) // They keep memory of their own.
    CHECK(peakResidentBytes(process->pid()) < 110 * Megabyte);
#endif
}
