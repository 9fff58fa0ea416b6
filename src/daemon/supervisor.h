// The supervisor tree: starts the daemon's parts in order, restarts a part that fails, stops them in reverse order.
#ifndef CURRANTLUG_DAEMON_SUPERVISOR_H
#define CURRANTLUG_DAEMON_SUPERVISOR_H

#include "core/instant.h"

#include <absl/status/status.h>

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace currantlug::daemon {

/// One part of the daemon. A part whose check fails is stopped and started again.
struct ChildSpec
{
    std::string name;
    std::function<absl::Status()> start;
    std::function<void()> stop;
    std::function<absl::Status()> check; ///< Optional; called once a second.
};

struct SupervisorSettings
{
    int maxRestarts = 5; ///< More restarts than this within the window end the process.
    absl::Duration restartWindow = absl::Seconds(60);
    absl::Duration firstBackoff = absl::Milliseconds(200);
    absl::Duration maxBackoff = absl::Seconds(5);
};

/// Not thread-safe: one thread starts, ticks and stops.
class Supervisor
{
public:
    explicit Supervisor(SupervisorSettings settings = {});

    /// Adds a child; it may use the children added before it.
    void add(ChildSpec child);

    /// Starts all children in order. After a failure the ones already started are stopped again.
    absl::Status start();

    /// Checks the children and restarts failed ones. An error means that the process has to end.
    absl::Status tick(Instant now);

    /// Stops all running children in reverse order.
    void stop();

private:
    struct Child
    {
        ChildSpec spec;
        bool running = false;
        Instant retryAt; ///< Earliest next start while not running.
        absl::Duration backoff;
        std::deque<Instant> restarts; ///< Restarts inside the window, oldest first.
    };

    absl::Status restart(Child &child, Instant now);

    SupervisorSettings settings_;
    std::vector<Child> children_;
};

} // namespace currantlug::daemon

#endif
