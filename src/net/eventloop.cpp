// Timers and socket options of the event loop.
#include "net/eventloop.h"

#include <absl/strings/numbers.h>
#include <boost/asio/ip/address.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>

namespace currantlug::net {

namespace {

// Probes start after a second without traffic and repeat each second; two lost ones end the connection. The bound
// follows from the platform's contact time of four seconds, within which a silent connection must be replaced.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr int UnacknowledgedLimitMs = 3000;

void setOption(int descriptor, int level, int name, int value)
{
    // A kernel without the option leaves the call's own time limit as the only bound.
    static_cast<void>(::setsockopt(descriptor, level, name, &value, sizeof value));
}

} // namespace

Instant loopNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(absl::DurationFromTimespec(now));
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    unsigned port = 0;
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    if (error || !absl::SimpleAtoi(std::string(text.substr(colon + 1)), &port) || port == 0 || port > 65535) {
        return std::nullopt;
    }
    return Endpoint(address, static_cast<unsigned short>(port));
}

void runAfter(Loop &loop, absl::Duration delay, std::function<void()> work)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(loop, absl::ToChronoNanoseconds(delay));
    timer->async_wait([timer, work = std::move(work)](boost::system::error_code error) {
        if (!error) {
            work();
        }
    });
}

void runEvery(Loop &loop, absl::Duration period, std::function<void()> work)
{
    runAfter(loop, period, [&loop, period, work = std::move(work)]() mutable {
        try {
            work();
        } catch (...) {
            runEvery(loop, period, std::move(work));
            throw;
        }
        runEvery(loop, period, std::move(work));
    });
}

void runLoop(Loop &loop, const std::function<void(const std::exception &)> &onException)
{
    for (;;) {
        try {
            loop.run();
            return;
        } catch (const std::exception &error) {
            onException(error);
        }
    }
}

void limitSilence(boost::asio::ip::tcp::socket &socket)
{
    const int descriptor = socket.native_handle();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedLimitMs);
}

} // namespace currantlug::net
