// A TCP proxy before one listener that can cut or silence connections by their source.
#ifndef CURRANTLUG_TESTS_SCENARIO_LINKPROXY_H
#define CURRANTLUG_TESTS_SCENARIO_LINKPROXY_H

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace currantlug::scenario {

/// The process of this list that has the loopback connection with these ports, or 0. Reads /proc. The local port alone
/// does not do: connections to different listeners may share it.
pid_t ownerOfConnection(int localPort, int remotePort, const std::vector<pid_t> &candidates);

class LinkProxy
{
public:
    /// Maps the ports of a new connection to a name, for cut().
    using NameSource = std::function<std::string(int sourcePort, int proxyPort)>;

    explicit LinkProxy(NameSource nameSource);
    ~LinkProxy();
    LinkProxy(const LinkProxy &) = delete;
    LinkProxy &operator=(const LinkProxy &) = delete;

    int port() const { return port_; }
    void setTarget(int port);

    /// Drops the connections from this source and refuses new ones; "*" is every source.
    void cut(const std::string &source);
    void heal(const std::string &source);

    /// Existing connections stay open and carry nothing any more; new ones work.
    void silence();

private:
    struct Pair;

    void accept();
    void pump(const std::shared_ptr<Pair> &pair, int from, int to);
    void closeWhere(const std::function<bool(const Pair &)> &matches);

    NameSource nameSource_;
    int listener_ = -1;
    int port_ = 0;
    std::mutex mutex_;
    int target_ = 0;
    std::set<std::string> cut_;
    std::vector<std::shared_ptr<Pair>> pairs_;
    std::vector<std::thread> threads_;
    bool stopping_ = false;
};

} // namespace currantlug::scenario

#endif
