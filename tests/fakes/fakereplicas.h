// Replicas behind the product's replica port: they generate events on the loop's timers.
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
    struct Arrival
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
    absl::Duration gap = absl::Milliseconds(2);
    std::map<std::string, std::uint64_t> versions; ///< By replica; 1 where it isn't named.
    std::map<std::string, int> statusOfItem; ///< Answers other than 200, by item.
    std::set<std::string> silent; ///< Replicas that never answer.
    std::map<std::string, int> breakAfter; ///< Events after which the first run of an item breaks off.
    std::vector<Arrival> arrivals;
    int running = 0;

    serving::ReplicaPort port()
    {
        serving::ReplicaPort port;
        port.generate = [this](const serving::Replica &replica, const serving::OutboundRequest &request,
                               const net::ClientLimits &, serving::EventHandlers handlers) {
            const net::CallId id = ++lastId_;
            arrivals.push_back({replica.entry.id, request.id, request.resumeAfter});
            auto run = std::make_shared<Run>(Run{request, std::move(handlers), {}, 0});
            run->head.status = statusOfItem.contains(request.id) ? statusOfItem[request.id] : 200;
            run->head.weightVersion =
                versions.contains(replica.entry.id) ? versions[replica.entry.id] : std::uint64_t{1};
            run->next = request.resumeAfter.value_or(0) + 1;
            runs_[id] = run;
            ++running;
            if (!silent.contains(replica.entry.id)) {
                net::runAfter(loop_, gap, [this, id] { begin(id); });
            }
            return id;
        };
        port.cancel = [this](net::CallId id) { running -= static_cast<int>(runs_.erase(id)); };
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
    struct Run
    {
        serving::OutboundRequest request;
        serving::EventHandlers handlers;
        serving::ReplicaHead head;
        std::uint64_t next = 1;
    };

    void begin(net::CallId id)
    {
        const auto found = runs_.find(id);
        if (found == runs_.end()) {
            return;
        }
        const auto run = found->second;
        run->handlers.onHead(run->head);
        step(id);
    }

    void step(net::CallId id)
    {
        const auto found = runs_.find(id);
        if (found == runs_.end()) {
            return;
        }
        const auto run = found->second;
        const std::string &item = run->request.id;
        if (const auto limit = breakAfter.find(item);
            limit != breakAfter.end() && static_cast<int>(run->next) > limit->second) {
            breakAfter.erase(limit);
            end(id, absl::UnavailableError("reset"));
            return;
        }
        if (run->head.status != 200 || static_cast<int>(run->next) > eventsPerItem) {
            end(id, absl::OkStatus());
            return;
        }
        run->handlers.onEvent({run->next, item + "/" + std::to_string(run->next), std::nullopt});
        ++run->next;
        net::runAfter(loop_, gap, [this, id] { step(id); });
    }

    void end(net::CallId id, const absl::Status &status)
    {
        const auto run = runs_[id];
        runs_.erase(id);
        --running;
        run->handlers.onDone(run->head, status);
    }

    net::Loop &loop_;
    net::CallId lastId_ = 0;
    std::map<net::CallId, std::shared_ptr<Run>> runs_;
};

} // namespace currantlug::tests

#endif
