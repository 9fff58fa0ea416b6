// The calls that are running in this daemon, so that a withdrawn key or the loss of a fresh configuration ends them.
#ifndef CURRANTLUG_SERVICES_ACTIVECALLS_H
#define CURRANTLUG_SERVICES_ACTIVECALLS_H

#include "core/slotmap.h"
#include "endpoints/cancelflag.h"
#include "requests/authorization.h"

#include <absl/status/status.h>

#include <memory>
#include <mutex>
#include <optional>

namespace currantlug::services {

/// A running call. Its flag ends the call; `ended` says why if it was this registry that set it.
struct ActiveCall
{
    requests::Authorization authorization;
    RouteId route;
    std::shared_ptr<endpoints::CancelFlag> cancel;
    absl::Status ended;
};

using ActiveCallId = SlotId<ActiveCall>;

/// Thread-safe.
class ActiveCalls
{
public:
    ActiveCallId add(const requests::Authorization &authorization, const RouteId &route,
                     std::shared_ptr<endpoints::CancelFlag> cancel);

    /// Removes the call and returns the reason if the registry ended it, OK otherwise.
    absl::Status remove(ActiveCallId id);

    /// Ends the calls that this state no longer allows.
    void recheck(const config::ConfigState &state);

    /// Ends all calls.
    void endAll(const absl::Status &reason);

    std::size_t size() const;

private:
    mutable std::mutex mutex_;
    SlotMap<ActiveCall> calls_;
};

} // namespace currantlug::services

#endif
