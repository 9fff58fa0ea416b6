// Restart decisions of the supervisor tree.
#include "daemon/supervisor.h"

#include "core/error.h"

#include <algorithm>
#include <utility>

namespace currantlug::daemon {

Supervisor::Supervisor(SupervisorSettings settings)
    : settings_(settings)
{
}

void Supervisor::add(ChildSpec child)
{
    Child entry;
    entry.spec = std::move(child);
    entry.backoff = settings_.firstBackoff;
    children_.push_back(std::move(entry));
}

absl::Status Supervisor::start()
{
    for (Child &child : children_) {
        if (absl::Status status = child.spec.start(); !status.ok()) {
            stop();
            return status;
        }
        child.running = true;
    }
    return absl::OkStatus();
}

absl::Status Supervisor::tick(Instant now)
{
    for (Child &child : children_) {
        if (child.running && child.spec.check && !child.spec.check().ok()) {
            child.spec.stop();
            child.running = false;
            child.retryAt = now + child.backoff;
        }
        if (!child.running && now >= child.retryAt) {
            if (absl::Status status = restart(child, now); !status.ok()) {
                return status;
            }
        }
    }
    return absl::OkStatus();
}

absl::Status Supervisor::restart(Child &child, Instant now)
{
    while (!child.restarts.empty() && now - child.restarts.front() > settings_.restartWindow) {
        child.restarts.pop_front();
    }
    if (child.restarts.empty()) {
        child.backoff = settings_.firstBackoff;
    }
    if (static_cast<int>(child.restarts.size()) >= settings_.maxRestarts) {
        return makeError(absl::StatusCode::kInternal, Step::Settings, child.spec.name, Outcome::NotRun,
                         "the part failed too often");
    }
    child.restarts.push_back(now);
    child.running = child.spec.start().ok();
    if (!child.running) {
        child.retryAt = now + child.backoff;
    }
    child.backoff = std::min(child.backoff * 2, settings_.maxBackoff);
    return absl::OkStatus();
}

void Supervisor::stop()
{
    for (auto child = children_.rbegin(); child != children_.rend(); ++child) {
        if (child->running) {
            child->spec.stop();
            child->running = false;
        }
    }
}

} // namespace currantlug::daemon
