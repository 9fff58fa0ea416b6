// standin-trainer: runs steps against daemons, prints the summary as its last line and exits non-zero when a sample was
// lost, duplicated, mislabelled or stale, or an audit could not be read.
#include "standins/programmain.h"
#include "standins/trainerstandin.h"

using namespace currantlug::standins;

namespace {

void addFlags(cxxopts::Options &options)
{
    const auto number = [](const char *initial) { return cxxopts::value<std::uint64_t>()->default_value(initial); };
    const auto text = [](const char *initial) { return cxxopts::value<std::string>()->default_value(initial); };
    const auto list = [] { return cxxopts::value<std::vector<std::string>>()->default_value(""); };
    auto add = options.add_options();
    add("daemons", "Daemons as host:port,host:port", list());
    add("engines", "Engines whose audits are compared; none skips the comparison", list());
    add("trainer", "Name", text("trainer-1"));
    add("key", "Key, sent as Bearer header", text(""));
    add("route", "Route of the steps", text("route"));
    add("zone", "Availability zone to ask addresses for", text(""));
    add("first-step", "Number of the first step", number("1"));
    add("steps", "Number of steps", number("1"));
    add("groups", "Groups per step", number("4"));
    add("samples", "Samples per group", number("4"));
    add("max-tokens", "Per sample", number("16"));
    add("staleness-bound", "In weight versions", number("1"));
    add("trainer-version", "In the first step", number("1"));
    add("version-per-step", "Added after each step", number("0"));
    add("version-every-ms", "Adds 1 between pulls each time this has passed; 0 never", number("0"));
    add("max-samples", "Per pull", number("64"));
    add("wait-ms", "Longest wait of a pull", number("1000"));
    add("call-timeout-ms", "Of a call, beyond its wait", number("5000"));
    add("step-timeout-ms", "Slots not received by then are lost", number("180000"));
    add("retry-pause-ms", "Before the next address after a failure", number("50"));
}

TrainerSettings readSettings(const cxxopts::ParseResult &flags)
{
    const auto number = [&](const char *name) { return flags[name].as<std::uint64_t>(); };
    const auto time = [&](const char *name) { return absl::Milliseconds(static_cast<std::int64_t>(number(name))); };
    const auto text = [&](const char *name) { return flags[name].as<std::string>(); };
    const auto list = [&](const char *name) {
        auto values = flags[name].as<std::vector<std::string>>();
        std::erase(values, "");
        return values;
    };
    return {.trainer = text("trainer"),
            .key = text("key"),
            .route = text("route"),
            .zone = text("zone"),
            .daemons = list("daemons"),
            .engines = list("engines"),
            .firstStep = number("first-step"),
            .steps = number("steps"),
            .groups = number("groups"),
            .samplesPerGroup = number("samples"),
            .maxTokens = number("max-tokens"),
            .stalenessBound = number("staleness-bound"),
            .trainerVersion = number("trainer-version"),
            .versionPerStep = number("version-per-step"),
            .versionEvery = time("version-every-ms"),
            .maxSamples = number("max-samples"),
            .wait = time("wait-ms"),
            .callTimeout = time("call-timeout-ms"),
            .stepTimeout = time("step-timeout-ms"),
            .retryPause = time("retry-pause-ms")};
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-trainer", "Stand-in for a trainer");
    addFlags(options);
    int exitCode = EXIT_SUCCESS;
    const auto flags = parseFlags(options, argc, argv, exitCode);
    if (!flags) {
        return exitCode;
    }
    TrainerStandin trainer(readSettings(*flags));
    const absl::Status status = trainer.run();
    if (!status.ok()) {
        fmt::print(stderr, "audits incomplete: {}\n", currantlug::describeError(status));
    }
    fmt::print("{}\n", trainer.summary().line());
    return status.ok() && trainer.summary().clean() ? EXIT_SUCCESS : EXIT_FAILURE;
}
