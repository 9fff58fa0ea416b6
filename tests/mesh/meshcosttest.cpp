// Prints what links cost, for the capacity page. Run it with: test-mesh "[measure]"
#include "mesh/mesh.h"
#include "mesh/wstransport.h"
#include "telemetry/log.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <thread>

using namespace currantlug;
using namespace currantlug::mesh;

namespace {

constexpr int MeasuredSeconds = 10;

struct Usage
{
    double cpuSeconds = 0;
    double wireBytes = 0; ///< Sent by all TCP sockets of this process, with IPv4 and TCP headers.
    double messageBytes = 0; ///< Sent by all meshes.
    double messages = 0;

    Usage since(const Usage &start) const
    {
        return {cpuSeconds - start.cpuSeconds, wireBytes - start.wireBytes, messageBytes - start.messageBytes,
                messages - start.messages};
    }
};

double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) { return static_cast<double>(time.tv_sec) + time.tv_usec / 1e6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Both ends of every link are in this process, so the bytes sent by all sockets are the traffic in both directions.
double wireBytes()
{
    constexpr int MaxDescriptor = 1024;
    constexpr double HeaderBytes = 20 + 32; // IPv4, and TCP with its timestamp option.
    double total = 0;
    for (int descriptor = 3; descriptor < MaxDescriptor; ++descriptor) {
        tcp_info info{};
        socklen_t size = sizeof(info);
        if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0) {
            total += static_cast<double>(info.tcpi_bytes_sent) + info.tcpi_segs_out * HeaderBytes;
        }
    }
    return total;
}

// One daemon, as a relay has it, with a number of others linked to it.
class Star
{
public:
    explicit Star(int links)
    {
        hub_ = make("hub");
        for (int i = 0; i < links; ++i) {
            spokes_.push_back(make("spoke-" + std::to_string(i)));
            spokes_.back()->setPeers({{DaemonId("hub"), "127.0.0.1:" + std::to_string(hub_->port())}});
        }
    }

    void pullAll()
    {
        for (const auto &spoke : spokes_) {
            REQUIRE(spoke->call(DaemonId("hub"), "config_pull", {{"head", 12345}}, absl::Seconds(5)).ok());
        }
    }

    Usage usage() const
    {
        Usage result{cpuSeconds(), wireBytes()};
        add(result, hub_->stats());
        for (const auto &spoke : spokes_) {
            add(result, spoke->stats());
        }
        return result;
    }

private:
    static std::unique_ptr<Mesh> make(const std::string &name)
    {
        MeshSettings settings;
        settings.self = DaemonId(name);
        settings.incarnation = "0123456789abcdef";
        auto mesh = std::make_unique<Mesh>(settings, std::make_unique<WsTransport>(WsTransportSettings{}));
        mesh->setHandler("config_pull", [](const PeerInfo &, const Json &body) {
            return Json{
                {"head", body.at("head")}, {"age_ms", 512}, {"tickets", Json::array()}, {"suspects", Json::array()}};
        });
        REQUIRE(mesh->start().ok());
        return mesh;
    }

    static void add(Usage &usage, const MeshStats &stats)
    {
        usage.messageBytes += static_cast<double>(stats.bytesSent);
        usage.messages += static_cast<double>(stats.messagesSent);
    }

    std::unique_ptr<Mesh> hub_;
    std::vector<std::unique_ptr<Mesh>> spokes_;
};

void measure(int links, bool pulls)
{
    Star star(links);
    star.pullAll(); // Waits until all links are up.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const Usage start = star.usage();
    for (int second = 0; second < MeasuredSeconds; ++second) {
        const auto next = std::chrono::steady_clock::now() + std::chrono::seconds(1);
        if (pulls) {
            star.pullAll();
        }
        std::this_thread::sleep_until(next);
    }
    const Usage used = star.usage().since(start);
    const double perLink = 1.0 / (MeasuredSeconds * links);
    fmt::print("{:2} links {:5}: per link and second {:5.1f} messages, {:6.1f} message bytes, {:7.1f} wire bytes, "
               "{:7.1f} us CPU (both ends)\n",
               links, pulls ? "pulls" : "idle", used.messages * perLink, used.messageBytes * perLink,
               used.wireBytes * perLink, used.cpuSeconds * perLink * 1e6);
}

} // namespace

TEST_CASE("cost of a link", "[.][measure]")
{
    telemetry::setLevel(telemetry::Level::Warning);
    for (const bool pulls : {false, true}) {
        for (const int links : {4, 8, 16, 32}) {
            measure(links, pulls);
        }
    }
    SUCCEED();
}
