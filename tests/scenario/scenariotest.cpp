// Runs the scenario files of tests/scenarios, one test case for each.
#include "scenario/scenario.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace currantlug::scenario;

namespace {

std::vector<std::filesystem::path> scenarioFiles()
{
    std::vector<std::filesystem::path> files;
    // Another folder of scenarios, for measurements and for trying out a new one.
    const char *folder = std::getenv("SCENARIO_FOLDER");
    for (const auto &entry :
         std::filesystem::directory_iterator(folder != nullptr ? folder : CURRANTLUG_SCENARIO_DIR)) {
        if (entry.path().extension() == ".scenario") {
            files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

TEST_CASE("scenarios", "[scenario]")
{
    for (const std::filesystem::path &path : scenarioFiles()) {
        DYNAMIC_SECTION(path.stem().string())
        {
            std::ifstream file(path);
            const std::string text{std::istreambuf_iterator<char>(file), {}};
            ScenarioRunner runner;
            REQUIRE_NOTHROW(runner.run(parseScenario(text)));
        }
    }
}

TEST_CASE("a scenario line that cannot be read names its number", "[scenario]")
{
    // Guards against a misspelt line that is passed over and leaves an expectation unchecked.
    CHECK_THROWS_WITH(parseScenario("wait ms=1\nwait oops"), Catch::Contains("line 2"));
    ScenarioRunner runner;
    CHECK_THROWS_WITH(runner.run(parseScenario("exspect-call name=a")), Catch::Contains("unknown command"));
}
