// The daemon's option table, and the checks that involve more than one option.
#include "settings/daemonsettings.h"

#include "telemetry/log.h"

#include <absl/time/time.h>
#include <fmt/format.h>

namespace currantlug::settings {

namespace {

// Ticket acceptance to the last daemon that serves by an older one: the target of G14.
constexpr absl::Duration InForceTarget = absl::Seconds(14);

Option text(std::string name, bool required, std::string help, std::string defaultValue = "")
{
    return {.name = std::move(name),
            .kind = OptionKind::Text,
            .defaultValue = std::move(defaultValue),
            .required = required,
            .help = std::move(help)};
}

Option port(std::string name, std::string help)
{
    constexpr std::int64_t MaxPort = 65535;
    return {.name = std::move(name),
            .kind = OptionKind::Number,
            .defaultValue = "0",
            .max = MaxPort,
            .help = std::move(help)};
}

Option address(std::string name, OptionKind kind, bool required, std::string help)
{
    return {.name = std::move(name), .kind = kind, .required = required, .help = std::move(help)};
}

Option milliseconds(std::string name, std::int64_t defaultValue, std::int64_t min, std::int64_t max, std::string help)
{
    return {.name = std::move(name),
            .kind = OptionKind::Milliseconds,
            .defaultValue = std::to_string(defaultValue),
            .unit = "ms",
            .min = min,
            .max = max,
            .help = std::move(help)};
}

std::vector<Option> identityOptions()
{
    return {
        text("daemon", true, "Name of this daemon, unique in the site."),
        text("region", true, "Region of this VM."),
        text("availability-zone", true, "Availability zone of this VM."),
        text("caller-address", false, "IP address to listen on for callers and trainers.", "127.0.0.1"),
        port("caller-port", "Port for callers and trainers; 0 chooses a free one."),
        text("admin-address", false, "IP address to listen on for operators.", "127.0.0.1"),
        port("admin-port", "Port for operators; 0 chooses a free one."),
        {.name = "admin-token",
         .kind = OptionKind::Text,
         .required = true,
         .secret = true,
         .help = "Bearer token of operators. Prefer the environment variable: flags show in process lists."},
        text("mesh-address", false, "IP address to listen on for other daemons.", "127.0.0.1"),
        port("mesh-port", "Port for other daemons; 0 chooses a free one."),
        address("caller-advertised", OptionKind::Address, false,
                "Address given to callers, if it differs from the one listened on."),
        address("mesh-advertised", OptionKind::Address, false,
                "Address given to other daemons, if it differs from the one listened on."),
        address("store-addresses", OptionKind::AddressList, true, "Object API of the platform, tried in order."),
        address("orders-address", OptionKind::Address, true, "Interface that takes endpoint orders."),
        address("usage-address", OptionKind::Address, true, "Interface that takes usage reports."),
        address("vm-list-address", OptionKind::Address, true, "Interface that lists VMs."),
        text("data-folder", false, "Folder for bulk data; empty on VMs without a disk."),
        {.name = "log-level",
         .kind = OptionKind::Choice,
         .defaultValue = "info",
         .choices = {"debug", "info", "warning", "error"},
         .help = "Least severe level that is logged."},
    };
}

std::vector<Option> tunableOptions()
{
    return {
        milliseconds("freshness-bound", 6000, 500, 10000, "Oldest configuration to serve by without attestations."),
        milliseconds("attest-keep", 2000, 200, 5000, "How long an attestation of a store outage counts."),
        milliseconds("attest-interval", 1000, 50, 5000, "Time between rounds of attestations."),
        milliseconds("config-pull-interval", 1000, 50, 5000, "Time between configuration pulls."),
        milliseconds("store-watch-wait", 1000, 50, 5000, "Longest wait of a relay's watch."),
        milliseconds("confirm-wait", 5000, 100, 30000, "Longest wait for a ticket's confirmation by a majority."),
        milliseconds("heartbeat", 1000, 50, 5000, "Time between heartbeats on a quiet link."),
        milliseconds("heartbeat-limit", 3000, 150, 15000, "Silence after which a link is closed, a member suspected."),
        milliseconds("remove-after", 30000, 500, 600000, "Silence after which a member is removed from the list."),
        milliseconds("address-keep", 10000, 500, 300000, "How long callers may keep an address response."),
        {.name = "address-count",
         .kind = OptionKind::Number,
         .defaultValue = "16",
         .unit = "addresses",
         .min = 1,
         .max = 400,
         .help = "Most addresses in one address response."},
        milliseconds("lease-duration", 9000, 500, 60000, "Duration of a lease."),
        milliseconds("lease-margin", 1000, 50, 10000, "Wait of a successor beyond the duration."),
        milliseconds("send-bound", 2000, 100, 10000, "Longest time from a lease check to the end of a send."),
        milliseconds("usage-window", 300000, 1000, 3600000, "Length of a usage window."),
        milliseconds("usage-grace", 30000, 100, 600000, "Wait for partial figures before a window is frozen."),
        milliseconds("claim-batch", 100, 1, 1000, "Time over which claims are collected into one append."),
        milliseconds("load-poll-interval", 1000, 50, 10000, "Time between load polls of an endpoint."),
    };
}

Tunables readTunables(const Settings &values)
{
    return {.freshnessBound = values.duration("freshness-bound"),
            .attestKeep = values.duration("attest-keep"),
            .attestInterval = values.duration("attest-interval"),
            .configPullInterval = values.duration("config-pull-interval"),
            .storeWatchWait = values.duration("store-watch-wait"),
            .confirmWait = values.duration("confirm-wait"),
            .heartbeat = values.duration("heartbeat"),
            .heartbeatLimit = values.duration("heartbeat-limit"),
            .removeAfter = values.duration("remove-after"),
            .addressKeep = values.duration("address-keep"),
            .addressCount = values.number("address-count"),
            .leaseDuration = values.duration("lease-duration"),
            .leaseMargin = values.duration("lease-margin"),
            .sendBound = values.duration("send-bound"),
            .usageWindow = values.duration("usage-window"),
            .usageGrace = values.duration("usage-grace"),
            .claimBatch = values.duration("claim-batch"),
            .loadPollInterval = values.duration("load-poll-interval")};
}

DaemonSettings readSettings(const Settings &values)
{
    DaemonSettings result;
    result.daemon = DaemonId(values.text("daemon"));
    result.region = RegionId(values.text("region"));
    result.zone = ZoneId(values.text("availability-zone"));
    result.callerAddress = values.text("caller-address");
    result.callerPort = static_cast<std::uint16_t>(values.number("caller-port"));
    result.adminAddress = values.text("admin-address");
    result.adminPort = static_cast<std::uint16_t>(values.number("admin-port"));
    result.adminToken = values.text("admin-token");
    result.meshAddress = values.text("mesh-address");
    result.meshPort = static_cast<std::uint16_t>(values.number("mesh-port"));
    result.callerAdvertised = values.text("caller-advertised");
    result.meshAdvertised = values.text("mesh-advertised");
    result.storeAddresses = values.list("store-addresses");
    result.ordersAddress = values.text("orders-address");
    result.usageAddress = values.text("usage-address");
    result.vmListAddress = values.text("vm-list-address");
    if (const std::string &folder = values.text("data-folder"); !folder.empty()) {
        result.dataFolder = folder;
    }
    result.logLevel = parseEnum<telemetry::Level>(values.text("log-level")).value_or(telemetry::Level::Info);
    result.tunables = readTunables(values);
    return result;
}

// Reports a relation between options under the first option's name and source.
class RelationCheck
{
public:
    RelationCheck(const Settings &values, std::vector<Problem> &problems)
        : values_(values)
        , problems_(problems)
    {
    }

    void require(bool holds, const std::string &name, const std::string &allowed, const std::string &message)
    {
        if (!holds) {
            problems_.push_back({name, values_.text(name), allowed, values_.source(name), message});
        }
    }

private:
    const Settings &values_;
    std::vector<Problem> &problems_;
};

void checkRelations(const Settings &values, const Tunables &tunables, std::vector<Problem> &problems)
{
    RelationCheck check(values, problems);
    check.require(tunables.heartbeatLimit >= 3 * tunables.heartbeat, "heartbeat-limit",
                  "at least 3 times heartbeat (" + values.text("heartbeat") + " ms)",
                  "one lost heartbeat would close a working link");
    check.require(tunables.removeAfter > tunables.heartbeatLimit, "remove-after",
                  "more than heartbeat-limit (" + values.text("heartbeat-limit") + " ms)",
                  "members would be removed before they are suspected");
    check.require(tunables.freshnessBound >= 2 * (tunables.configPullInterval + tunables.storeWatchWait),
                  "freshness-bound", "at least 2 times config-pull-interval + store-watch-wait",
                  "one lost pull would make a daemon stale");
    check.require(tunables.freshnessBound + 2 * tunables.attestKeep < InForceTarget, "freshness-bound",
                  fmt::format("less than {} ms - 2 * attest-keep ({} ms)", absl::ToInt64Milliseconds(InForceTarget),
                              values.text("attest-keep")),
                  "tickets could miss the time within which they must be in force");
    check.require(tunables.attestKeep >= 2 * tunables.attestInterval, "attest-keep",
                  "at least 2 times attest-interval (" + values.text("attest-interval") + " ms)",
                  "one lost attestation would end outage mode");
    check.require(tunables.usageGrace < tunables.usageWindow, "usage-grace",
                  "less than usage-window (" + values.text("usage-window") + " ms)",
                  "windows would be frozen after the next one ends");
    check.require(tunables.leaseMargin < tunables.leaseDuration, "lease-margin",
                  "less than lease-duration (" + values.text("lease-duration") + " ms)",
                  "the margin covers clock drift within one duration");
}

} // namespace

const std::vector<Option> &daemonOptions()
{
    static const std::vector<Option> table = [] {
        std::vector<Option> options = identityOptions();
        for (Option &option : tunableOptions()) {
            options.push_back(std::move(option));
        }
        return options;
    }();
    return table;
}

DaemonSettingsResult parseDaemonSettings(const std::vector<std::string> &arguments, const Environment &environment)
{
    ParseResult parsed = parseSettings(daemonOptions(), arguments, environment);
    if (parsed.helpWanted) {
        return {{}, {}, true};
    }
    DaemonSettingsResult result{readSettings(parsed.settings), std::move(parsed.problems), false};
    // Relations of values that are themselves refused would only repeat the first problem.
    if (result.problems.empty()) {
        checkRelations(parsed.settings, result.settings.tunables, result.problems);
    }
    return result;
}

} // namespace currantlug::settings
