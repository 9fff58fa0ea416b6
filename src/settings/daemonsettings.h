// The settings of the daemon: who it is, where it listens, where the platform is, and the tunables of the design.
#ifndef CURRANTLUG_SETTINGS_DAEMONSETTINGS_H
#define CURRANTLUG_SETTINGS_DAEMONSETTINGS_H

#include "core/ids.h"
#include "settings/settings.h"
#include "telemetry/log.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace currantlug::settings {

/// Times and limits of the design. Defaults are the design's figures.
struct Tunables
{
    // Configuration and freshness (4.1, 4.2)
    absl::Duration freshnessBound; ///< Oldest configuration under which the daemon serves without attestations.
    absl::Duration attestKeep; ///< How long an attestation counts; also how long the store must be unreachable.
    absl::Duration attestInterval;
    absl::Duration configPullInterval;
    absl::Duration storeWatchWait; ///< Longest wait of a relay's watch on the head.
    absl::Duration confirmWait; ///< After this a ticket is answered as stored but not confirmed.

    // Mesh and membership (4.3, 5.5)
    absl::Duration heartbeat;
    absl::Duration heartbeatLimit; ///< A link or member without a sign of life for this long is closed or suspected.
    absl::Duration removeAfter; ///< A suspected member is removed from the list after this.
    absl::Duration addressKeep;
    std::int64_t addressCount = 0; ///< Most addresses in one address response.

    // Leases (4.4)
    absl::Duration leaseDuration;
    absl::Duration leaseMargin;
    absl::Duration sendBound;

    // Usage, requests and endpoints (4.4, 4.6, 4.3)
    absl::Duration usageWindow;
    absl::Duration usageGrace;
    absl::Duration claimBatch;
    absl::Duration loadPollInterval;
};

struct DaemonSettings
{
    DaemonId daemon;
    RegionId region;
    ZoneId zone;

    std::string callerAddress; ///< Host to listen on for callers and trainers.
    std::uint16_t callerPort = 0; ///< 0 chooses a free port.
    std::string adminAddress;
    std::uint16_t adminPort = 0;
    std::string adminToken;
    std::string meshAddress;
    std::uint16_t meshPort = 0;

    std::string callerAdvertised; ///< host:port given to callers; empty means the address and port listened on.
    std::string meshAdvertised; ///< host:port given to other daemons; empty likewise.

    std::vector<std::string> storeAddresses; ///< host:port, tried in order.
    std::string ordersAddress;
    std::string usageAddress;
    std::string vmListAddress;

    std::optional<std::string> dataFolder; ///< Absent on VMs without a disk for bulk data.
    telemetry::Level logLevel = telemetry::Level::Info;
    Tunables tunables;
};

struct DaemonSettingsResult
{
    DaemonSettings settings; ///< Valid only if there are no problems.
    std::vector<Problem> problems;
    bool helpWanted = false;
};

/// The daemon's option table.
const std::vector<Option> &daemonOptions();

/// Parses and checks each value, then the relations between values (for example, that the heartbeat limit leaves room
/// for a lost heartbeat). All problems are reported together.
DaemonSettingsResult parseDaemonSettings(const std::vector<std::string> &arguments, const Environment &environment);

} // namespace currantlug::settings

#endif
