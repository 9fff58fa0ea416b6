// Sockets and pump threads of the proxy.
#include "scenario/linkproxy.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace currantlug::scenario {

struct LinkProxy::Pair
{
    std::string source; ///< Empty while unknown: a process that has just started may not be known by name yet.
    int sourcePort = 0;
    int client = -1;
    int server = -1;
    std::atomic<bool> silent{false};
    std::atomic<int> pumps{2};

    ~Pair()
    {
        close(client);
        close(server);
    }
};

namespace {

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

/// Inode of the socket with these ports, from /proc/net/tcp.
std::string inodeOfConnection(int localPort, int remotePort)
{
    char wantedLocal[8];
    char wantedRemote[8];
    std::snprintf(wantedLocal, sizeof(wantedLocal), ":%04X", localPort);
    std::snprintf(wantedRemote, sizeof(wantedRemote), ":%04X", remotePort);
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string field;
        std::string local;
        std::string remote;
        fields >> field >> local >> remote;
        for (int skipped = 0; skipped < 6; ++skipped) {
            fields >> field;
        }
        std::string inode;
        fields >> inode;
        // A row without an inode is a connection in TIME_WAIT that had the same port.
        if (local.ends_with(wantedLocal) && remote.ends_with(wantedRemote) && inode != "0") {
            return inode;
        }
    }
    return {};
}

} // namespace

pid_t ownerOfConnection(int localPort, int remotePort, const std::vector<pid_t> &candidates)
{
    const std::string wanted = "socket:[" + inodeOfConnection(localPort, remotePort) + "]";
    for (const pid_t pid : candidates) {
        const std::string folder = "/proc/" + std::to_string(pid) + "/fd";
        DIR *files = opendir(folder.c_str());
        if (files == nullptr) {
            continue;
        }
        bool found = false;
        while (const dirent *entry = readdir(files)) {
            char target[64] = {};
            const std::string link = folder + "/" + entry->d_name;
            if (readlink(link.c_str(), target, sizeof(target) - 1) > 0 && wanted == target) {
                found = true;
                break;
            }
        }
        closedir(files);
        if (found) {
            return pid;
        }
    }
    return 0;
}

LinkProxy::LinkProxy(NameSource nameSource)
    : nameSource_(std::move(nameSource))
{
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    if (bind(listener_, reinterpret_cast<sockaddr *>(&address), size) != 0 || listen(listener_, 64) != 0
        || getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("the proxy cannot listen");
    }
    port_ = ntohs(address.sin_port);
    threads_.emplace_back([this] { accept(); });
}

LinkProxy::~LinkProxy()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    shutdown(listener_, SHUT_RDWR);
    closeWhere([](const Pair &) { return true; });
    for (;;) {
        {
            const std::lock_guard lock(mutex_);
            threads.swap(threads_);
        }
        if (threads.empty()) {
            break;
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        threads.clear();
    }
    close(listener_);
}

void LinkProxy::setTarget(int port)
{
    const std::lock_guard lock(mutex_);
    target_ = port;
}

void LinkProxy::accept()
{
    for (;;) {
        sockaddr_in from{};
        socklen_t size = sizeof(from);
        const int client = accept4(listener_, reinterpret_cast<sockaddr *>(&from), &size, SOCK_CLOEXEC);
        if (client < 0) {
            return;
        }
        auto pair = std::make_shared<Pair>();
        pair->client = client;
        pair->sourcePort = ntohs(from.sin_port);
        pair->source = nameSource_(pair->sourcePort, port_);
        pair->server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const std::lock_guard lock(mutex_);
        const sockaddr_in to = loopback(target_);
        // A source that cannot be named may be one that is cut: the dialler tries again.
        const bool unknown = pair->source.empty() && !cut_.empty();
        const bool refused = stopping_ || unknown || cut_.contains("*") || cut_.contains(pair->source);
        if (refused || connect(pair->server, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0) {
            // A reset, as a closed port gives it, rather than an orderly end.
            const linger reset{1, 0};
            setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            continue;
        }
        const int on = 1;
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        setsockopt(pair->server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        pairs_.push_back(pair);
        threads_.emplace_back([this, pair] { pump(pair, pair->client, pair->server); });
        threads_.emplace_back([this, pair] { pump(pair, pair->server, pair->client); });
    }
}

void LinkProxy::pump(const std::shared_ptr<Pair> &pair, int from, int to)
{
    char bytes[16384];
    for (;;) {
        const ssize_t count = recv(from, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            break;
        }
        if (!pair->silent && send(to, bytes, static_cast<std::size_t>(count), MSG_NOSIGNAL) != count) {
            break;
        }
    }
    if (!pair->silent) {
        shutdown(from, SHUT_RDWR);
        shutdown(to, SHUT_RDWR);
    }
    if (--pair->pumps == 0) {
        const std::lock_guard lock(mutex_);
        std::erase(pairs_, pair);
    }
}

void LinkProxy::closeWhere(const std::function<bool(const Pair &)> &matches)
{
    const std::lock_guard lock(mutex_);
    for (const auto &pair : pairs_) {
        if (matches(*pair)) {
            shutdown(pair->client, SHUT_RDWR);
            shutdown(pair->server, SHUT_RDWR);
        }
    }
}

void LinkProxy::cut(const std::string &source)
{
    {
        const std::lock_guard lock(mutex_);
        cut_.insert(source);
        for (const auto &pair : pairs_) {
            if (pair->source.empty()) {
                pair->source = nameSource_(pair->sourcePort, port_);
            }
        }
    }
    closeWhere([&](const Pair &pair) { return source == "*" || pair.source == source; });
}

void LinkProxy::heal(const std::string &source)
{
    const std::lock_guard lock(mutex_);
    if (source == "*") {
        cut_.clear();
    } else {
        cut_.erase(source);
    }
}

void LinkProxy::silence()
{
    const std::lock_guard lock(mutex_);
    for (const auto &pair : pairs_) {
        pair->silent = true;
    }
}

} // namespace currantlug::scenario
