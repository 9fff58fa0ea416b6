// Order and times of a stop.
#include "node/gracefulstop.h"

#include "telemetry/log.h"

#include <algorithm>

namespace currantlug::node {

using telemetry::Level;

namespace {

// Clients keep an address answer for up to three times its time; new connections are accepted for so long.
constexpr int AnswerTimesKept = 3;
// Where that takes too long, a part of the grace time is left for the requests that came last.
constexpr double AcceptShare = 0.6;
// Left between the last answer and the kill.
constexpr absl::Duration ExitMargin = absl::Milliseconds(700);
constexpr absl::Duration DrainPoll = absl::Milliseconds(50);

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
    const absl::Duration latest = grace_ - ExitMargin;
    const absl::Duration accept = std::min(node_.answerTtl() * AnswerTimesKept, latest * AcceptShare);
    exitBy_ = net::loopNow() + latest;
    net::runAfter(loop_, accept, [this] {
        front_.stopAccepting();
        awaitDrained();
    });
}

void GracefulStop::awaitDrained()
{
    if (front_.openCalls() > 0 && net::loopNow() < exitBy_) {
        net::runAfter(loop_, DrainPoll, [this] { awaitDrained(); });
        return;
    }
    telemetry::log(Level::Info, "node", "stopped", {{"open_calls", front_.openCalls()}});
    node_.handOver([this] {
        // What was written is still on its way to the clients.
        net::runAfter(loop_, DrainPoll, done_);
    });
}

} // namespace currantlug::node
