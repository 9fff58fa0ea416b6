// Starts the real currantlug-node with settings on free loopback ports.
#ifndef CURRANTLUG_TESTS_PROCESS_NODEPROGRAM_H
#define CURRANTLUG_TESTS_PROCESS_NODEPROGRAM_H

#include "core/json.h"
#include "scenario/childprocess.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace currantlug::tests {

/// A port of 127.0.0.1 that was free a moment ago.
int freePort();

/// Settings as the platform writes them, for a process with clients and without a reachable store.
Json nodeSettings();

/// The port of a listener of such settings.
int portOf(const Json &settings, const char *listener);

/// One machine: its settings file and the processes that run there.
class NodeProgram
{
public:
    explicit NodeProgram(const Json &settings);
    ~NodeProgram();
    NodeProgram(const NodeProgram &) = delete;
    NodeProgram &operator=(const NodeProgram &) = delete;

    /// Replaces the settings file at once.
    void writeSettings(const std::string &text) const;
    void removeSettings() const;
    /// Starts a process that gets no settings yet, and calls `meanwhile` while it waits for them, before any handler or
    /// listener of it exists.
    std::unique_ptr<scenario::ChildProcess>
    startWhileReading(const std::string &settings,
                      const std::function<void(scenario::ChildProcess &)> &meanwhile) const;
    std::unique_ptr<scenario::ChildProcess> start(const std::vector<std::string> &arguments = {}) const;
    /// What the processes have written to standard error.
    std::string errors() const;

private:
    std::string folder_;
};

/// What the kernel tells of a process that was started, as one look.
struct SignalState
{
    bool executed = false; ///< The process has left the image of the test.
    bool ended = false;
    bool loadsLibraries = false; ///< Shared libraries of the product are mapped.
    std::uint64_t caught = 0; ///< Signals with a handler; the bit of a signal is its number less one.
    std::uint64_t held = 0; ///< Blocked signals.
    std::uint64_t ignored = 0;

    bool catches(int signal) const { return (caught >> (signal - 1) & 1) != 0; }
    /// True if the signal would end the process, given that its default action does.
    bool isFatal(int signal) const { return ((caught | held | ignored) >> (signal - 1) & 1) == 0; }
};

/// The mapped libraries are looked at before the signals.
SignalState signalStateOf(pid_t process);

/// Largest resident memory of the process so far, in bytes.
std::uint64_t peakResidentBytes(pid_t process);

/// Sends bytes on a connection of its own to 127.0.0.1, which stays open.
class OpenRequest
{
public:
    OpenRequest(int port, const std::string &bytes);
    /// Status of the answer, or 0 if there is none within a second.
    int status();

private:
    boost::asio::io_context loop_;
    boost::asio::ip::tcp::socket socket_;
};

/// Sends a GET to 127.0.0.1. Returns the status, or 0 without an answer.
int statusOf(int port, const std::string &path);
/// Sends bytes to 127.0.0.1 and returns the status of the answer, or 0 without one.
int statusOfBytes(int port, const std::string &request);
/// Asks until the answer has this status, at most for ten seconds.
bool waitForStatus(int port, const std::string &path, int status);

} // namespace currantlug::tests

#endif
