// standin-engine: a model engine on 127.0.0.1 until SIGTERM.
#include "standins/enginestandin.h"
#include "standins/programmain.h"

using namespace currantlug::standins;

namespace {

void addFlags(cxxopts::Options &options)
{
    auto add = options.add_options();
    add("port", "Port; 0 takes a free one", cxxopts::value<int>()->default_value("0"));
    add("model", "Model served; empty for any", cxxopts::value<std::string>()->default_value("model"));
    add("version", "Weight version at start", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("role", "Role at start", cxxopts::value<std::string>()->default_value("serve"));
    add("ms-per-token", "Time per token", cxxopts::value<double>()->default_value("0"));
    add("max-running", "Requests generating at the same time", cxxopts::value<std::size_t>()->default_value("64"));
    add("vary-length", "End texts at 1..max_tokens", cxxopts::value<bool>()->default_value("false"));
    add("swap-ms", "Time of a weight load", cxxopts::value<int>()->default_value("0"));
    add("load-lag-ms", "Age up to which a load report is reused", cxxopts::value<int>()->default_value("0"));
    add("check-fencing", "Reject orders with a stale token", cxxopts::value<bool>()->default_value("true"));
    add("cache-blocks", "Prompt blocks kept", cxxopts::value<std::size_t>()->default_value("1024"));
    add("cache-event-lag-ms", "Lag of cache events", cxxopts::value<int>()->default_value("0"));
    add("cache-event-gap", "Drop every n-th cache event", cxxopts::value<std::uint64_t>()->default_value("0"));
}

EngineSettings readSettings(const cxxopts::ParseResult &flags)
{
    return {.port = flags["port"].as<int>(),
            .model = flags["model"].as<std::string>(),
            .weightVersion = flags["version"].as<std::uint64_t>(),
            .role = flags["role"].as<std::string>(),
            .perToken = absl::Milliseconds(flags["ms-per-token"].as<double>()),
            .maxRunning = flags["max-running"].as<std::size_t>(),
            .varyLength = flags["vary-length"].as<bool>(),
            .swapTime = absl::Milliseconds(flags["swap-ms"].as<int>()),
            .loadLag = absl::Milliseconds(flags["load-lag-ms"].as<int>()),
            .checkFencing = flags["check-fencing"].as<bool>(),
            .cacheBlocks = flags["cache-blocks"].as<std::size_t>(),
            .cacheEventLag = absl::Milliseconds(flags["cache-event-lag-ms"].as<int>()),
            .cacheEventGap = flags["cache-event-gap"].as<std::uint64_t>()};
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-engine", "Stand-in for a model engine");
    addFlags(options);
    int exitCode = EXIT_SUCCESS;
    const auto flags = parseFlags(options, argc, argv, exitCode);
    if (!flags) {
        return exitCode;
    }
    EngineStandin engine(readSettings(*flags));
    return serveUntilTerminated(engine);
}
