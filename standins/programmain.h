// What the mains of the stand-ins that serve have in common.
#ifndef CURRANTLUG_STANDINS_PROGRAMMAIN_H
#define CURRANTLUG_STANDINS_PROGRAMMAIN_H

#include <absl/status/status.h>
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <optional>

namespace currantlug::standins {

/// Parses flags; nullopt after it printed help or an error and set the exit code.
inline std::optional<cxxopts::ParseResult> parseFlags(cxxopts::Options &options, int argc, char **argv, int &exitCode)
{
    options.add_options()("help", "Print this help");
    try {
        cxxopts::ParseResult flags = options.parse(argc, argv);
        if (flags.count("help") == 0) {
            return flags;
        }
        fmt::print("{}", options.help());
        exitCode = EXIT_SUCCESS;
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "{}\n", error.what());
        exitCode = EXIT_FAILURE;
    }
    return std::nullopt;
}

/// Starts the stand-in, prints "listening 127.0.0.1:PORT" and runs until SIGTERM or SIGINT.
template<class Standin>
int serveUntilTerminated(Standin &standin)
{
    // Blocked before any thread starts, so that sigwait below is the only receiver.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    if (const absl::Status status = standin.start(); !status.ok()) {
        fmt::print(stderr, "{}\n", std::string(status.message()));
        return EXIT_FAILURE;
    }
    fmt::print("listening 127.0.0.1:{}\n", standin.port());
    std::fflush(stdout);
    int received = 0;
    sigwait(&signals, &received);
    standin.stop();
    return EXIT_SUCCESS;
}

} // namespace currantlug::standins

#endif
