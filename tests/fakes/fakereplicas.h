// Fake of ReplicaPort: generates streams of events with timers of the event loop.
#ifndef CURRANTLUG_TESTS_FAKES_FAKEREPLICAS_H
#define CURRANTLUG_TESTS_FAKES_FAKEREPLICAS_H

#include "net/eventloop.h"
#include "serving/replicaport.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace currantlug::tests {

class FakeReplicas
{
public:
    struct ReceivedRequest
    {
        std::string replica;
        std::string item;
        std::optional<std::uint64_t> resumeAfter;
    };

    explicit FakeReplicas(net::Loop &loop)
        : loop_(loop)
    {
    }

    int eventsPerItem = 3;
    absl::Duration eventGap = absl::Milliseconds(2);
    std::map<std::string, std::uint64_t> versions; ///< Weight version by replica; 1 if not set.
    std::map<std::string, int> statusOfItem; ///< Response status by item; 200 if not set.
    std::set<std::string> silent; ///< Replicas that never respond.
    /// Number of events after which the first attempt of an item is reset, by item.
    std::map<std::string, int> resetAfter;
    std::vector<ReceivedRequest> receivedRequests;
    int running = 0;

    serving::ReplicaPort port()
    {
        serving::ReplicaPort port;
        port.generate = [this](const serving::Replica &replica, const serving::OutboundRequest &request,
                               const net::ClientLimits &, serving::EventHandlers handlers) {
            const net::CallId id = ++lastId_;
            receivedRequests.push_back({replica.entry.id, request.id, request.resumeAfter});
            auto attempt = std::make_shared<Attempt>(Attempt{request, std::move(handlers), {}, 0});
            attempt->head.status = statusOfItem.contains(request.id) ? statusOfItem[request.id] : 200;
            attempt->head.weightVersion =
                versions.contains(replica.entry.id) ? versions[replica.entry.id] : std::uint64_t{1};
            attempt->next = request.resumeAfter.value_or(0) + 1;
            attempts_[id] = attempt;
            ++running;
            if (!silent.contains(replica.entry.id)) {
                net::runAfter(loop_, eventGap, [this, id] { sendHead(id); });
            }
            return id;
        };
        port.cancel = [this](net::CallId id) { running -= static_cast<int>(attempts_.erase(id)); };
        return port;
    }

    static std::string textOf(const std::string &item, int events)
    {
        std::string text;
        for (int i = 1; i <= events; ++i) {
            text += (i > 1 ? "\n" : "") + item + "/" + std::to_string(i);
        }
        return text;
    }

private:
    struct Attempt
    {
        serving::OutboundRequest request;
        serving::EventHandlers handlers;
        serving::ReplicaHead head;
        std::uint64_t next = 1;
    };

    void sendHead(net::CallId id)
    {
        const auto found = attempts_.find(id);
        if (found == attempts_.end()) {
            return;
        }
        const auto attempt = found->second;
        attempt->handlers.onHead(attempt->head);
        sendNextEvent(id);
    }

    void sendNextEvent(net::CallId id)
    {
        const auto found = attempts_.find(id);
        if (found == attempts_.end()) {
            return;
        }
        const auto attempt = found->second;
        const std::string &item = attempt->request.id;
        if (const auto limit = resetAfter.find(item);
            limit != resetAfter.end() && static_cast<int>(attempt->next) > limit->second) {
            resetAfter.erase(limit);
            finish(id, absl::UnavailableError("reset"));
            return;
        }
        if (attempt->head.status != 200 || static_cast<int>(attempt->next) > eventsPerItem) {
            finish(id, absl::OkStatus());
            return;
        }
        attempt->handlers.onEvent({attempt->next, item + "/" + std::to_string(attempt->next), std::nullopt});
        ++attempt->next;
        net::runAfter(loop_, eventGap, [this, id] { sendNextEvent(id); });
    }

    void finish(net::CallId id, const absl::Status &status)
    {
        const auto attempt = attempts_[id];
        attempts_.erase(id);
        --running;
        attempt->handlers.onDone(attempt->head, status);
    }

    net::Loop &loop_;
    net::CallId lastId_ = 0;
    std::map<net::CallId, std::shared_ptr<Attempt>> attempts_;
};

} // namespace currantlug::tests

#endif
