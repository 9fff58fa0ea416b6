// A daemon refuses to start with any doubtful setting and names all of them at once.
#include "settings/daemonsettings.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace currantlug;
using namespace currantlug::settings;

namespace {

const Environment Complete{{"CURRANTLUG_DAEMON", "d1"},
                           {"CURRANTLUG_REGION", "atlas"},
                           {"CURRANTLUG_AVAILABILITY_ZONE", "ifrane"},
                           {"CURRANTLUG_ADMIN_TOKEN", "s3cret"},
                           {"CURRANTLUG_STORE_ADDRESSES", "127.0.0.1:1,127.0.0.1:2"},
                           {"CURRANTLUG_ORDERS_ADDRESS", "127.0.0.1:3"},
                           {"CURRANTLUG_USAGE_ADDRESS", "127.0.0.1:4"},
                           {"CURRANTLUG_VM_LIST_ADDRESS", "127.0.0.1:5"},
                           {"PATH", "/bin"}};

bool mentions(const std::vector<Problem> &problems, const std::string &text)
{
    return std::any_of(problems.begin(), problems.end(),
                       [&](const Problem &problem) { return problem.describe().find(text) != std::string::npos; });
}

} // namespace

TEST_CASE("flags win over environment variables, which win over defaults", "[settings]")
{
    Environment environment = Complete;
    environment["CURRANTLUG_HEARTBEAT"] = "500";
    environment["CURRANTLUG_CALLER_PORT"] = "8080";
    const auto result = parseDaemonSettings({"--caller-port=9090", "--log-level", "debug"}, environment);
    REQUIRE(result.problems.empty());
    CHECK(result.settings.callerPort == 9090);
    CHECK(result.settings.tunables.heartbeat == absl::Milliseconds(500));
    CHECK(result.settings.tunables.freshnessBound == absl::Seconds(6));
    CHECK(result.settings.storeAddresses == std::vector<std::string>{"127.0.0.1:1", "127.0.0.1:2"});
    CHECK(result.settings.logLevel == telemetry::Level::Debug);
    CHECK_FALSE(result.settings.dataFolder.has_value());
}

TEST_CASE("every problem is reported at once with value, range and source", "[settings]")
{
    Environment environment = Complete;
    environment.erase("CURRANTLUG_REGION");
    environment["CURRANTLUG_HEARTBAET"] = "1";
    environment["CURRANTLUG_MESH_PORT"] = "65536";
    environment["CURRANTLUG_ORDERS_ADDRESS"] = "127.0.0.1";
    const auto result = parseDaemonSettings(
        {"--address-keep=10s", "--no-such=1", "stray", "--log-level=loud", "--daemon=a", "--daemon=b"}, environment);
    CHECK(mentions(result.problems, "region: required (value \"\" from not set; allowed: text that is not empty)"));
    CHECK(mentions(result.problems, "CURRANTLUG_HEARTBAET: unknown variable"));
    CHECK(mentions(result.problems,
                   "mesh-port: value not allowed (value \"65536\" from environment variable "
                   "CURRANTLUG_MESH_PORT; allowed: integer from 0 to 65535)"));
    CHECK(mentions(result.problems, "orders-address: value not allowed (value \"127.0.0.1\""));
    CHECK(mentions(result.problems,
                   "address-keep: value not allowed (value \"10s\" from flag --address-keep; "
                   "allowed: integer from 500 to 300000 ms)"));
    CHECK(mentions(result.problems, "--no-such: unknown argument"));
    CHECK(mentions(result.problems, "stray: unknown argument"));
    CHECK(mentions(result.problems, "log-level: value not allowed"));
    CHECK(mentions(result.problems, "daemon: flag given more than once"));
    CHECK(result.problems.size() == 9);
}

TEST_CASE("values that contradict each other are refused", "[settings]")
{
    const auto result = parseDaemonSettings({"--heartbeat=2000", "--freshness-bound=10000"}, Complete);
    CHECK(mentions(result.problems, "heartbeat-limit: one lost heartbeat"));
    CHECK(mentions(result.problems, "freshness-bound: tickets could miss"));
    CHECK(result.problems.size() == 2);
}

TEST_CASE("the admin token never appears in a problem", "[settings]")
{
    Environment environment = Complete;
    environment["CURRANTLUG_ADMIN_TOKEN"] = "";
    const auto twice = parseDaemonSettings({"--admin-token=s3cret", "--admin-token=s3cret"}, environment);
    CHECK(mentions(twice.problems, "admin-token"));
    const auto cut = parseDaemonSettings({"--admin-token=s3cret", "--log-level"}, environment);
    const auto mistyped = parseDaemonSettings({"--admin-tokn=s3cret", "--admin-tkn", "s3cret"}, environment);
    CHECK(mentions(mistyped.problems, "--admin-tokn: unknown argument"));
    CHECK_FALSE(mentions(mistyped.problems, "s3cret"));
    CHECK_FALSE(cut.problems.empty());
    CHECK_FALSE(mentions(twice.problems, "s3cret"));
    CHECK_FALSE(mentions(cut.problems, "s3cret"));
}

TEST_CASE("all defaults of the table are themselves allowed, and help shows every option", "[settings]")
{
    CHECK(parseDaemonSettings({}, Complete).problems.empty());
    CHECK(parseDaemonSettings({"--help", "--no-such"}, {}).helpWanted);
    const std::string help = helpText("currantlugd", daemonOptions());
    for (const Option &option : daemonOptions()) {
        CHECK(help.find("--" + option.name + "  (" + environmentVariable(option.name)) != std::string::npos);
    }
}
