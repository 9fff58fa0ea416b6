// Clients that the system doesn't control, against the real program as a process. Each test checks only that the
// process lives, stays within its memory and descriptors, and answers an ordinary request afterwards on each listener.
#include "clients/hostileclient.h"
#include "process/nodeprogram.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <functional>
#include <list>
#include <string>
#include <vector>

using namespace currantlug;
using namespace currantlug::tests;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int Runs = -1; ///< Exit code of a process that hasn't ended.
constexpr std::uint64_t Megabyte = 1 << 20;
constexpr std::uint64_t MemoryMegabytes = 32; ///< `memory_mb` of the process under test; idle it holds 11.5 MB.
constexpr std::size_t MaxDescriptors = 96; ///< `max_fds` of the process under test.
constexpr std::chrono::seconds AttackTime(3); ///< Longer than it takes to send all of the finite bodies.
constexpr std::chrono::seconds AnswerTime(20); ///< For the ordinary request: bounds a hang, not the performance.
constexpr std::uint64_t BodyBytes = 6 * Megabyte; ///< One such body takes three quarters of the budget for bodies.

/// A listener and how many hostile clients it gets.
struct Target
{
    const char *listener;
    const char *path;
    int clients;
};

const std::vector<Target> Targets = {{"front", "/x", 24},
                                     {"directory", "/api/resolve?name=h&region=r&zone=a", 6},
                                     {"ready", "/api/ready", 6},
                                     {"control", "/x", 6},
                                     {"metrics", "/metrics", 6}};

std::string postHead(const std::string &path, std::uint64_t length)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length: " + std::to_string(length)
        + "\r\n\r\n";
}

std::string chunkedHead(const std::string &path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string repeat(const std::string &text, std::size_t bytes)
{
    std::string all;
    while (all.size() + text.size() <= bytes) {
        all += text;
    }
    return all;
}

/// A legal request whose fields take about 15.6 KB.
std::string requestOfLines(const std::string &path, const std::string &lines)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n" + lines + "\r\n";
}

std::size_t openDescriptors(pid_t process)
{
    std::error_code error;
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(process) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

/// True once an ordinary request has any answer.
bool isAnswered(int port, const std::string &path)
{
    const auto until = Clock::now() + AnswerTime;
    while (Clock::now() < until) {
        if (OpenRequest(port, "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").status() != 0) {
            return true;
        }
    }
    return false;
}

using ScriptOf = std::function<ClientScript(const std::string &path)>;

/// Starts a process, lets hostile clients at all of its listeners at once, and checks the process.
void attack(const ScriptOf &scriptOf, int factor = 1)
{
    Json settings = nodeSettings();
    settings["listen"]["metrics"] = "127.0.0.1:" + std::to_string(freePort());
    settings["limits"]["memory_mb"] = MemoryMegabytes;
    settings["limits"]["max_fds"] = MaxDescriptors;
    const NodeProgram machine(settings);
    const auto process = machine.start();
    REQUIRE(waitForStatus(portOf(settings, "front"), "/x", 503));
    std::size_t descriptors = 0;
    {
        boost::asio::io_context loop;
        std::list<ClientScript> scripts;
        std::list<HostileClient> clients;
        for (const Target &target : Targets) {
            const ClientScript &script = scripts.emplace_back(scriptOf(target.path));
            for (int i = 0; i < target.clients * factor; ++i) {
                clients.emplace_back(loop, portOf(settings, target.listener), script);
            }
        }
        for (const auto until = Clock::now() + AttackTime; Clock::now() < until;) {
            loop.run_for(std::chrono::milliseconds(50));
            descriptors = std::max(descriptors, openDescriptors(process->pid()));
        }
    }
    for (const Target &target : Targets) {
        INFO(target.listener);
        CHECK(isAnswered(portOf(settings, target.listener), target.path));
    }
    CHECK(process->waitForExit(0) == Runs);
    CHECK(descriptors <= MaxDescriptors);
    const double peakMegabytes = static_cast<double>(peakResidentBytes(process->pid())) / Megabyte;
    CAPTURE(descriptors, peakMegabytes);
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__) // They keep memory of their own.
    CHECK(peakMegabytes < MemoryMegabytes);
#endif
    WARN("peak " << peakMegabytes << " MB, " << descriptors << " descriptors");
}

} // namespace

// Guards against a process that is killed for its memory because many clients send bodies that all but use up the
// budget.
TEST_CASE("large bodies sent whole")
{
    attack([](const std::string &path) {
        return ClientScript{postHead(path, BodyBytes), std::string(Megabyte, 'x'), BodyBytes};
    });
}

// Guards against bodies that are counted by what has arrived in one read instead of what is held.
TEST_CASE("large bodies sent piece by piece")
{
    attack([](const std::string &path) {
        return ClientScript{postHead(path, BodyBytes), std::string(64 << 10, 'x'), BodyBytes, false, 5};
    });
}

// Guards against bodies that hold their memory as long as their clients please.
TEST_CASE("large bodies that stop just short of their end")
{
    attack([](const std::string &path) {
        return ClientScript{postHead(path, BodyBytes), std::string(Megabyte, 'x'), BodyBytes - 1};
    });
}

// Guards against bodies under the size that is counted against the budget: each is small, all together are not.
TEST_CASE("small bodies that stop just short of their end")
{
    attack([](const std::string &path) {
        return ClientScript{postHead(path, 64 << 10), std::string((64 << 10) - 1, 'x'), (64 << 10) - 1};
    });
}

// Guards against parsed fields that take many times the memory and time of their text.
TEST_CASE("very many short header lines, without reading the answers")
{
    attack([](const std::string &path) { return ClientScript{"", requestOfLines(path, repeat("a:b\r\n", 15'500))}; });
}

// Guards against odd but legal lines that cost more than usual ones.
TEST_CASE("odd header lines")
{
    attack([](const std::string &path) {
        std::string all = requestOfLines(path, repeat("a:\r\n", 15'500));
        all += requestOfLines(path, repeat("a: b\r\n c\r\n", 15'000));
        all += requestOfLines(path, std::string(15'000, 'n') + ": v\r\n");
        all += requestOfLines(path, repeat("Connection: a,b,c,d\r\nHost: h\r\n", 15'000));
        return ClientScript{"", all};
    });
}

// Guards against fields that `Connection` names, which are looked up for each other field.
TEST_CASE("a Connection field with very many names beside many fields")
{
    attack([](const std::string &path) {
        return ClientScript{
            "", requestOfLines(path, "Connection: " + repeat("a,", 7'500) + "z\r\n" + repeat("b:c\r\n", 7'500))};
    });
}

// Guards against heads that are kept although they are over the limit.
TEST_CASE("heads over the limit")
{
    attack([](const std::string &path) {
        return ClientScript{"", requestOfLines(path, repeat("a:b\r\n", 200'000)), 200'000};
    });
}

// Guards against heads that never end and hold their memory and connection.
TEST_CASE("heads without end")
{
    attack([](const std::string &path) {
        return ClientScript{"GET " + path + " HTTP/1.1\r\nHost: h\r\n" + repeat("a:b\r\n", 15'000), "a:b\r\n",
                            1'000'000, false, 20};
    });
}

// Guards against bytes before a request that no limit of a head covers.
TEST_CASE("empty lines without end before a request")
{
    attack([](const std::string &) { return ClientScript{"\r\n", repeat("\r\n", 64 << 10)}; });
}

// Guards against bodies that cost far more processor time than their bytes are worth.
TEST_CASE("chunks of one byte")
{
    attack([](const std::string &path) { return ClientScript{chunkedHead(path), repeat("1\r\nx\r\n", 64 << 10)}; });
}

// Guards against extensions of chunks, which no limit of a body covers.
TEST_CASE("chunk extensions without end")
{
    attack([](const std::string &path) {
        return ClientScript{chunkedHead(path) + "1;a=", std::string(64 << 10, 'e')};
    });
}

// Guards against trailers, which no limit of a body covers.
TEST_CASE("trailers without end")
{
    attack([](const std::string &path) {
        return ClientScript{chunkedHead(path) + "1\r\nx\r\n0\r\n", repeat("a:b\r\n", 64 << 10)};
    });
}

// Guards against answers that are kept for clients that never read them.
TEST_CASE("answers that their client doesn't read")
{
    attack([](const std::string &path) {
        return ClientScript{"", repeat("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n", 64 << 10)};
    });
}

// Guards against values decoded from a body that take many times its length.
TEST_CASE("jobs of many small values")
{
    attack([](const std::string &) {
        const std::string body = "{\"items\":[" + repeat("{\"id\":1},", 4 * Megabyte) + "{}]}";
        return ClientScript{"", postHead("/rollout/a", body.size()) + body};
    });
}

// Guards against a process that runs out of descriptors, so that it can neither accept nor reach others.
TEST_CASE("more connections than the process may have")
{
    attack([](const std::string &path) { return ClientScript{"GET " + path + " HTTP/1.1\r\n"}; }, 4);
}

// Guards against values decoded from a call between nodes that take many times the length of its body.
TEST_CASE("control calls of many small values")
{
    attack([](const std::string &) {
        const std::string body = std::string("\x9a\x00\x40\x00\x00", 5) + std::string(4 * Megabyte, '\0');
        return ClientScript{"", postHead("/x", body.size()) + body};
    });
}
