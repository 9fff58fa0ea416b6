// Stand-in for the platform: objects, watches, VM list, endpoint orders and usage reports (design section 5.1).
#ifndef CURRANTLUG_STANDINS_PLATFORMSTANDIN_H
#define CURRANTLUG_STANDINS_PLATFORMSTANDIN_H

#include "standins/faults.h"

#include <absl/status/status.h>

#include <memory>

namespace currantlug::standins {

struct PlatformSettings
{
    int port = 0; ///< 0 takes a free one.
    absl::Duration vmLag = absl::ZeroDuration(); ///< The VM list shows a change this much later.
    bool checkFencing = true; ///< Endpoint orders with a token below the zone's highest answer 409.
    std::size_t maxValueBytes = 1 << 20;
    std::size_t watchHistory = 100'000; ///< Changes kept for watches; an older `after` answers 410.
};

/// Beside section 5.1: `POST /vms` {"vms":[...]} sets the VM list, `POST /settings` {"check_fencing","vm_lag_ms"},
/// `POST /faults`, `GET /audit`. Thread-safe.
class PlatformStandin
{
public:
    explicit PlatformStandin(PlatformSettings settings = {});
    ~PlatformStandin();
    PlatformStandin(const PlatformStandin &) = delete;
    PlatformStandin &operator=(const PlatformStandin &) = delete;

    /// Listens on 127.0.0.1.
    absl::Status start();
    /// Closes all connections and joins all threads. Objects stay, and start() serves them again.
    void stop();
    int port() const;

    void addFault(const Fault &fault);
    void clearFaults();
    void setCheckFencing(bool on);
    /// Each entry: {"name","address","availability_zone","state":"live|leaving","cheap"}.
    void setVms(const Json &vms);

    /// {"calls":{"<METHOD> <path kind>":n},"revision","orders":[{"order_id","fencing_token","availability_zone",
    /// "pool","lasting","cheap","sender","at_ms","accepted"}],"reports":[{"workspace","window","body","sender",
    /// "at_ms"}],"objects":{"<key>":version}}. `at_ms` is the stand-in's monotonic clock.
    Json audit() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace currantlug::standins

#endif
