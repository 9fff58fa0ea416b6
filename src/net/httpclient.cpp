// The pool of kept connections.
#include "net/httpclient.h"

#include "net/clientconnection.h"

#include <algorithm>
#include <utility>

namespace currantlug::net {

namespace {

// Polling interval for bodies that wait for memory.
constexpr absl::Duration ResumePeriod = absl::Milliseconds(10);

} // namespace

HttpClient::~HttpClient()
{
    for (const auto &[id, connection] : active_) {
        connection->detach();
    }
    for (const auto &[peer, connections] : idle_) {
        for (const ConnectionPtr &connection : connections) {
            connection->detach();
        }
    }
}

CallId HttpClient::call(const std::string &peer, HttpRequest request, const ClientLimits &limits,
                        ClientHandlers handlers)
{
    const CallId id = ++lastId_;
    ConnectionPtr connection = takeIdle(peer);
    if (connection == nullptr) {
        connection = std::make_shared<detail::ClientConnection>(*this, peer);
    }
    active_[id] = connection;
    connection->start(id, std::move(request), limits, std::move(handlers));
    return id;
}

void HttpClient::pause(CallId id)
{
    if (const auto found = active_.find(id); found != active_.end()) {
        found->second->pause();
    }
}

void HttpClient::resume(CallId id)
{
    if (const auto found = active_.find(id); found != active_.end()) {
        found->second->resume();
    }
}

void HttpClient::cancel(CallId id)
{
    const auto found = active_.find(id);
    if (found != active_.end()) {
        const ConnectionPtr connection = found->second;
        connection->drop();
    }
}

bool HttpClient::mayCollect(CallId id, std::uint64_t bytes) const
{
    if (bytes <= FreeBodyBytes) {
        return true;
    }
    const std::uint64_t unsent = unsentBytes_ ? unsentBytes_() : 0;
    if (collectedBytes_ + unsent <= collectedLimit_) {
        return true;
    }
    return unsent <= collectedLimit_ && id == *collecting_.begin();
}

void HttpClient::resumeCollecting()
{
    for (const CallId id : collecting_) {
        if (const auto found = active_.find(id); found != active_.end()) {
            found->second->resumeCollecting();
        }
    }
}

void HttpClient::scheduleResume()
{
    if (std::exchange(resumeScheduled_, true)) {
        return;
    }
    runAfter(loop_, ResumePeriod, [this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            resumeScheduled_ = false;
            resumeCollecting();
        }
    });
}

HttpClient::ConnectionPtr HttpClient::takeIdle(const std::string &peer)
{
    const auto found = idle_.find(peer);
    if (found == idle_.end()) {
        return nullptr;
    }
    std::vector<ConnectionPtr> &connections = found->second;
    const Instant now = loopNow();
    ConnectionPtr taken;
    while (!connections.empty() && taken == nullptr) {
        ConnectionPtr candidate = std::move(connections.back());
        connections.pop_back();
        if (candidate->usable(now)) {
            taken = std::move(candidate);
        } else {
            candidate->drop();
        }
    }
    if (connections.empty()) {
        idle_.erase(found);
    }
    return taken;
}

void HttpClient::giveBack(const ConnectionPtr &connection)
{
    std::vector<ConnectionPtr> &connections = idle_[connection->peer()];
    const Instant now = loopNow();
    connections.erase(std::remove_if(connections.begin(), connections.end(),
                                     [now](const ConnectionPtr &candidate) {
                                         if (candidate->usable(now)) {
                                             return false;
                                         }
                                         candidate->drop();
                                         return true;
                                     }),
                      connections.end());
    connections.push_back(connection);
    connection->watchIdle();
}

} // namespace currantlug::net
