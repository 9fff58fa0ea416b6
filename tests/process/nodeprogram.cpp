// Settings files, loopback ports and plain HTTP calls.
#include "process/nodeprogram.h"

#include "core/hash.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace currantlug::tests {

namespace {

using boost::asio::ip::tcp;

const std::string Program = std::string(CURRANTLUG_BINARY_DIR) + "/currantlug-node";

std::string local(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

bool poll(const std::function<bool()> &holds)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!holds()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

} // namespace

int freePort()
{
    boost::asio::io_context loop;
    const tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint().port();
}

Json nodeSettings()
{
    return {{"node_name", "front-a-1"},
            {"zone", "a"},
            {"region", "r"},
            {"zones", {{"a", "r"}}},
            {"ip", "127.0.0.1"},
            {"serves", {"front", "control", "directory"}},
            {"listen",
             {{"front", local(freePort())},
              {"ready", local(freePort())},
              {"control", local(freePort())},
              {"directory", local(freePort())}}},
            {"seeds", Json::array()},
            {"limits", {{"cpu_share", 1.0}, {"cores", 1}}},
            {"platform", {{"address", local(freePort())}}},
            {"cloud_api", {{"address", local(freePort())}, {"duties", {"usage"}}}},
            {"bounds", {{"grace_s", 2}}}};
}

int portOf(const Json &settings, const char *listener)
{
    const std::string address = settings["listen"][listener];
    return std::stoi(address.substr(address.find(':') + 1));
}

NodeProgram::NodeProgram(const Json &settings)
    : folder_(std::filesystem::temp_directory_path() / ("currantlug-process-" + randomHex(8)))
{
    std::filesystem::create_directory(folder_);
    writeSettings(settings.dump());
}

NodeProgram::~NodeProgram()
{
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void NodeProgram::writeSettings(const std::string &text) const
{
    const std::string written = folder_ + "/settings.new";
    std::ofstream(written, std::ios::binary) << text;
    std::filesystem::rename(written, folder_ + "/settings.json");
}

void NodeProgram::removeSettings() const
{
    std::filesystem::remove(folder_ + "/settings.json");
}

std::unique_ptr<scenario::ChildProcess>
NodeProgram::startWhileReading(const std::string &settings,
                               const std::function<void(scenario::ChildProcess &)> &meanwhile) const
{
    const std::string pipe = folder_ + "/settings.json";
    std::filesystem::remove(pipe);
    if (mkfifo(pipe.c_str(), 0600) != 0) {
        return nullptr;
    }
    auto process = start();
    int writer = -1;
    // Succeeds once the process has the pipe open for reading.
    if (!poll([&] { return (writer = open(pipe.c_str(), O_WRONLY | O_NONBLOCK)) >= 0; })) {
        return nullptr;
    }
    meanwhile(*process);
    writeSettings(settings); // Read from here on; the pipe is read once.
    const bool written = write(writer, settings.data(), settings.size()) == static_cast<ssize_t>(settings.size());
    close(writer);
    return written ? std::move(process) : nullptr;
}

std::unique_ptr<scenario::ChildProcess> NodeProgram::start(const std::vector<std::string> &arguments) const
{
    std::vector<std::string> all{"--settings", folder_ + "/settings.json"};
    all.insert(all.end(), arguments.begin(), arguments.end());
    return std::make_unique<scenario::ChildProcess>(Program, all, folder_ + "/errors");
}

std::string NodeProgram::errors() const
{
    std::ostringstream text;
    text << std::ifstream(folder_ + "/errors").rdbuf();
    return text.str();
}

SignalState signalStateOf(pid_t process)
{
    const std::string folder = "/proc/" + std::to_string(process);
    SignalState state;
    std::error_code error;
    state.executed = std::filesystem::read_symlink(folder + "/exe", error) == Program;
    std::ostringstream maps;
    maps << std::ifstream(folder + "/maps").rdbuf();
    state.loadsLibraries = state.executed && maps.str().find("libabsl") != std::string::npos;
    std::ifstream status(folder + "/status");
    state.ended = !status;
    for (std::string name; status >> name;) {
        std::uint64_t *mask = name == "SigBlk:" ? &state.held
            : name == "SigCgt:"                 ? &state.caught
            : name == "SigIgn:"                 ? &state.ignored
                                                : nullptr;
        if (mask != nullptr) {
            status >> std::hex >> *mask;
        } else if (name == "State:") {
            status >> name;
            state.ended = name == "Z" || name == "X";
        }
    }
    return state;
}

std::uint64_t peakResidentBytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::uint64_t kilobytes = 0;
    for (std::string name; status >> name;) {
        if (name == "VmHWM:") {
            status >> kilobytes;
        }
    }
    return kilobytes * 1024;
}

OpenRequest::OpenRequest(int port, const std::string &bytes)
    : socket_(loop_)
{
    boost::system::error_code error;
    socket_.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)), error);
    // A request that is refused may end before all bytes were taken.
    boost::asio::write(socket_, boost::asio::buffer(bytes), error);
}

int OpenRequest::status()
{
    std::string head(12, '\0'); // "HTTP/1.1 200"
    std::size_t bytes = 0;
    boost::asio::async_read(socket_, boost::asio::buffer(head),
                            [&bytes](const boost::system::error_code &, std::size_t read) { bytes = read; });
    loop_.restart();
    loop_.run_for(std::chrono::seconds(1));
    socket_.cancel();
    loop_.run();
    return bytes == head.size() ? std::atoi(head.c_str() + 9) : 0;
}

int statusOfBytes(int port, const std::string &request)
{
    boost::asio::io_context loop;
    tcp::socket socket(loop);
    boost::system::error_code error;
    socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)), error);
    if (error) {
        return 0;
    }
    boost::asio::write(socket, boost::asio::buffer(request), error);
    std::string head(12, '\0'); // "HTTP/1.1 200"
    const std::size_t bytes = boost::asio::read(socket, boost::asio::buffer(head), error);
    return bytes == head.size() ? std::atoi(head.c_str() + 9) : 0;
}

int statusOf(int port, const std::string &path)
{
    return statusOfBytes(port, "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
}

bool waitForStatus(int port, const std::string &path, int status)
{
    return poll([&] { return statusOf(port, path) == status; });
}

} // namespace currantlug::tests
