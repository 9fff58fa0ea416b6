// The event loop of a node: one thread, sockets and timers. Everything that holds sockets runs on it, so no locks.
#ifndef CURRANTLUG_NET_EVENTLOOP_H
#define CURRANTLUG_NET_EVENTLOOP_H

#include "core/instant.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace currantlug::net {

using Loop = boost::asio::io_context;
using Endpoint = boost::asio::ip::tcp::endpoint;

/// Reads CLOCK_BOOTTIME, which also counts the time during which the machine was suspended: a lease must not outlive a
/// suspension.
Instant loopNow();

/// "IP:PORT" as an endpoint; nullopt where it isn't one.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Runs `work` once after the delay.
void runAfter(Loop &loop, absl::Duration delay, std::function<void()> work);

/// Runs `work` every `period` until the loop ends, also after it has thrown. The period starts after the work.
void runEvery(Loop &loop, absl::Duration period, std::function<void()> work);

/// Runs the loop until it is stopped or has no more work. An exception of a handler is passed to `onException` and ends
/// neither the loop nor the periodic work that threw it.
void runLoop(Loop &loop, const std::function<void(const std::exception &)> &onException);

/// Keep-alive probes and a limit on unacknowledged bytes. A connection whose other end fell silent fails after about
/// three seconds.
void limitSilence(boost::asio::ip::tcp::socket &socket);

} // namespace currantlug::net

#endif
