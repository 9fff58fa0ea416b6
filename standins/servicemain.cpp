// standin-service: a plain service on 127.0.0.1 until SIGTERM.
#include "standins/programmain.h"
#include "standins/servicestandin.h"

using namespace currantlug::standins;

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-service", "Stand-in for a plain service");
    auto add = options.add_options();
    add("port", "Port; 0 takes a free one", cxxopts::value<int>()->default_value("0"));
    add("delay-ms", "Time before each execution", cxxopts::value<int>()->default_value("0"));
    int exitCode = EXIT_SUCCESS;
    const auto flags = parseFlags(options, argc, argv, exitCode);
    if (!flags) {
        return exitCode;
    }
    ServiceStandin service(
        {.port = (*flags)["port"].as<int>(), .delay = absl::Milliseconds((*flags)["delay-ms"].as<int>())});
    return serveUntilTerminated(service);
}
