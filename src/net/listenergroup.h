// Binds the servers of a process, and waits for addresses that can't be had yet.
//
// A process may start while its predecessor at the same addresses still drains, or before its machine has the address.
// It then tries again until each address is free; it must not end for that.
#ifndef CURRANTLUG_NET_LISTENERGROUP_H
#define CURRANTLUG_NET_LISTENERGROUP_H

#include "net/httpserver.h"

#include <functional>
#include <string>
#include <vector>

namespace currantlug::net {

struct ListenerGroupSettings
{
    absl::Duration retryDelay = absl::Milliseconds(100);
    absl::Duration reportPeriod = absl::Seconds(5); ///< Between two reports on an address that can't be had yet.
};

class ListenerGroup
{
public:
    /// Called with the failure of an address that is tried again.
    using Report = std::function<void(const absl::Status &)>;

    ListenerGroup(Loop &loop, Report report, ListenerGroupSettings settings = {})
        : loop_(loop)
        , report_(std::move(report))
        , settings_(settings)
    {
    }

    /// The servers are bound in this order, each one after those before it, so that no client finds the last one before
    /// the others are there.
    void add(HttpServer &server, const Endpoint &endpoint) { listeners_.push_back({&server, endpoint}); }
    /// Binds the servers. Calls `onBound` once all of them listen, or `onError` for a failure that no waiting mends;
    /// either may happen within the call.
    void start(std::function<void()> onBound, std::function<void(const absl::Status &)> onError);
    bool bound() const { return next_ == listeners_.size(); }

private:
    struct Listener
    {
        HttpServer *server;
        Endpoint endpoint;
    };

    void bindNext();

    Loop &loop_;
    Report report_;
    ListenerGroupSettings settings_;
    std::vector<Listener> listeners_;
    std::size_t next_ = 0; ///< Those before it listen.
    Instant reportedAt_ = Instant(-absl::InfiniteDuration());
    std::function<void()> onBound_;
    std::function<void(const absl::Status &)> onError_;
};

} // namespace currantlug::net

#endif
