// Sequence and timing of a graceful stop.
#include "node/gracefulstop.h"

#include "telemetry/log.h"

#include <algorithm>

namespace currantlug::node {

using telemetry::Level;

namespace {

// Clients may use the answer to an address query for up to three times its TTL. New connections are accepted during
// that time.
constexpr int AddressTtlFactor = 3;
// Upper bound for that time as a fraction of the time until the exit. The rest is left for the requests that arrived
// last.
constexpr double MaxAcceptFraction = 0.6;
// Time left between the exit and the kill at the end of the grace period.
constexpr absl::Duration ExitMargin = absl::Milliseconds(700);
constexpr absl::Duration DrainPollInterval = absl::Milliseconds(50);

} // namespace

GracefulStop::GracefulStop(net::Loop &loop, Node &node, net::HttpServer &front, absl::Duration grace)
    : loop_(loop)
    , node_(node)
    , front_(front)
    , grace_(grace)
{
}

void GracefulStop::begin(std::function<void()> done)
{
    done_ = std::move(done);
    node_.stop();
    front_.startClosing();
    const absl::Duration timeToExit = grace_ - ExitMargin;
    const absl::Duration acceptDuration =
        std::min(node_.addressTtl() * AddressTtlFactor, timeToExit * MaxAcceptFraction);
    exitDeadline_ = net::loopNow() + timeToExit;
    net::runAfter(loop_, acceptDuration, [this] {
        front_.stopAccepting();
        awaitDrained();
    });
}

void GracefulStop::awaitDrained()
{
    // An answer that is complete here may still wait for a client that reads slowly. The kernel delivers only what it
    // has taken before the exit.
    const bool busy = front_.openCalls() > 0 || front_.unsentBytes() > 0;
    if (busy && net::loopNow() < exitDeadline_) {
        net::runAfter(loop_, DrainPollInterval, [this] { awaitDrained(); });
        return;
    }
    telemetry::log(Level::Info, "node", "stopped",
                   {{"open_calls", front_.openCalls()}, {"unsent_bytes", front_.unsentBytes()}});
    node_.handOverCounts([this] {
        // Leaves time for answers that are written but not yet sent to the clients.
        net::runAfter(loop_, DrainPollInterval, done_);
    });
}

} // namespace currantlug::node
