// Registry of running calls.
#include "services/activecalls.h"

#include "core/error.h"

#include <utility>

namespace currantlug::services {

ActiveCallId ActiveCalls::add(const requests::Authorization &authorization, const RouteId &route,
                              std::shared_ptr<endpoints::CancelFlag> cancel)
{
    const std::lock_guard lock(mutex_);
    return calls_.insert({authorization, route, std::move(cancel), absl::OkStatus()});
}

absl::Status ActiveCalls::remove(ActiveCallId id)
{
    const std::lock_guard lock(mutex_);
    const ActiveCall *call = calls_.find(id);
    absl::Status ended = call == nullptr ? absl::OkStatus() : call->ended;
    calls_.erase(id);
    return ended;
}

void ActiveCalls::recheck(const config::ConfigState &state)
{
    const std::lock_guard lock(mutex_);
    calls_.forEach([&](ActiveCallId, ActiveCall &call) {
        if (call.ended.ok() && !requests::stillAuthorized(state, call.authorization, call.route)) {
            call.ended = makeError(absl::StatusCode::kPermissionDenied, Step::CheckKey, "", Outcome::MayHaveRun,
                                   "the key or its right to the route was withdrawn during the call");
            call.cancel->cancel();
        }
    });
}

void ActiveCalls::endAll(const absl::Status &reason)
{
    const std::lock_guard lock(mutex_);
    calls_.forEach([&](ActiveCallId, ActiveCall &call) {
        if (call.ended.ok()) {
            call.ended = reason;
            call.cancel->cancel();
        }
    });
}

std::size_t ActiveCalls::size() const
{
    const std::lock_guard lock(mutex_);
    return calls_.size();
}

} // namespace currantlug::services
