// Entry point of the daemon.
#include "daemon/daemon.h"
#include "telemetry/log.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>

namespace {

constexpr int SettingsExitCode = 2;
constexpr int FailureExitCode = 1;
constexpr timespec TickInterval{0, 200'000'000};

volatile std::sig_atomic_t stopSignals = 0;

void countStopSignal(int)
{
    stopSignals = stopSignals + 1;
}

void installSignals()
{
    struct sigaction action
    {
    };
    action.sa_handler = countStopSignal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    // A peer that closes its connection is reported by the write that fails.
    std::signal(SIGPIPE, SIG_IGN);
}

/// The first signal begins a planned stop, the second one ends the process at once.
int runUntilStopped(currantlug::daemon::Daemon &daemon)
{
    while (!daemon.drained() && stopSignals < 2) {
        if (stopSignals > 0) {
            daemon.drain();
        }
        if (const absl::Status status = daemon.tick(currantlug::monotonicNow()); !status.ok()) {
            currantlug::telemetry::log(currantlug::telemetry::Level::Error, "daemon", "failed",
                                       currantlug::telemetry::errorFields(status));
            return FailureExitCode;
        }
        nanosleep(&TickInterval, nullptr);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace currantlug;
    const settings::DaemonSettingsResult parsed =
        settings::parseDaemonSettings({argv + 1, argv + argc}, settings::processEnvironment());
    if (parsed.helpWanted) {
        fmt::print("{}", settings::helpText("currantlugd", settings::daemonOptions()));
        return 0;
    }
    for (const settings::Problem &problem : parsed.problems) {
        fmt::print(stderr, "currantlugd: {}\n", problem.describe());
    }
    if (!parsed.problems.empty()) {
        return SettingsExitCode;
    }

    telemetry::setLevel(parsed.settings.logLevel);
    installSignals();
    daemon::Daemon daemon(parsed.settings);
    if (const absl::Status status = daemon.start(); !status.ok()) {
        telemetry::log(telemetry::Level::Error, "daemon", "start_failed", telemetry::errorFields(status));
        return FailureExitCode;
    }
    // Scripts that let the system choose the ports read them from here.
    fmt::print("caller 127.0.0.1:{}\nadmin 127.0.0.1:{}\nmesh 127.0.0.1:{}\n", daemon.callerPort(), daemon.adminPort(),
               daemon.meshPort());
    std::fflush(stdout);
    const int exitCode = runUntilStopped(daemon);
    daemon.stop();
    return exitCode;
}
