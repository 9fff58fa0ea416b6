// standin-platform: serves the platform's interfaces on 127.0.0.1 until SIGTERM.
#include "standins/platformstandin.h"
#include "standins/programmain.h"

using namespace currantlug::standins;

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-platform", "Stand-in for the platform");
    options.add_options()("port", "Port; 0 takes a free one", cxxopts::value<int>()->default_value("0"))(
        "vm-lag-ms", "Lag of the VM list", cxxopts::value<int>()->default_value("0"))(
        "check-fencing", "Reject endpoint orders with a stale token", cxxopts::value<bool>()->default_value("true"))(
        "watch-history", "Changes kept for watches", cxxopts::value<std::size_t>()->default_value("100000"));
    int exitCode = EXIT_SUCCESS;
    const auto flags = parseFlags(options, argc, argv, exitCode);
    if (!flags) {
        return exitCode;
    }
    PlatformStandin platform({.port = (*flags)["port"].as<int>(),
                              .vmLag = absl::Milliseconds((*flags)["vm-lag-ms"].as<int>()),
                              .checkFencing = (*flags)["check-fencing"].as<bool>(),
                              .watchHistory = (*flags)["watch-history"].as<std::size_t>()});
    return serveUntilTerminated(platform);
}
