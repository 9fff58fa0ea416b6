// Fake of ReplicaPort: generates streams of events and answers plain requests with timers of the event loop.
#ifndef CURRANTLUG_TESTS_FAKES_FAKEREPLICAS_H
#define CURRANTLUG_TESTS_FAKES_FAKEREPLICAS_H

#include "net/eventloop.h"
#include "serving/replicaport.h"

#include <algorithm>
#include <deque>
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

    struct ReceivedCall
    {
        std::string replica;
        serving::OutboundRequest request;
        int eventsOfItem = 0; ///< Events made so far for the item of that name in itemOfCall.
    };

    /// How a replica answers a plain request.
    enum class Answer {
        Success,
        ServerError, ///< Status 500: the request ran.
        Full, ///< Status 503 and "not run".
        Reset, ///< The connection ends without an answer.
        WrongRequest, ///< An answer that belongs to another request.
        Silence,
    };

    explicit FakeReplicas(net::Loop &loop)
        : loop_(loop)
    {
    }

    int eventsPerItem = 3;
    std::size_t eventBytes = 0; ///< Shorter event data is padded to this length.
    absl::Duration eventGap = absl::Milliseconds(2);
    std::map<std::string, std::uint64_t> versions; ///< Weight version by replica; 1 if not set.
    std::map<std::string, int> statusOfItem; ///< Response status by item; 200 if not set.
    std::set<std::string> silent; ///< Replicas that never respond.
    /// Number of events after which the first attempt of an item is reset, by item.
    std::map<std::string, int> resetAfter;
    std::vector<ReceivedRequest> receivedRequests;
    int running = 0;

    absl::Duration callDuration = absl::Milliseconds(2); ///< Of a plain request.
    std::map<std::string, std::deque<Answer>> answersToCall; ///< By request id, in order; then Success.
    std::map<std::string, Answer> answerOfReplica; ///< For all plain requests to a replica; Success if not set.
    std::map<std::string, std::string> itemOfCall; ///< By request id.
    std::vector<ReceivedCall> receivedCalls;
    int runningCalls = 0;
    int mostRunningCalls = 0;

    static std::string signatureOf(const std::string &requestId) { return "stamp of " + requestId; }

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
        port.send = [this](const serving::Replica &replica, const serving::OutboundRequest &request,
                           const net::ClientLimits &, serving::ReplicaHandlers handlers) {
            return receiveCall(replica.entry.id, request, std::move(handlers));
        };
        port.cancel = [this](net::CallId id) {
            running -= static_cast<int>(attempts_.erase(id));
            runningCalls -= static_cast<int>(calls_.erase(id));
        };
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

    struct PendingCall
    {
        std::string requestId;
        Answer answer = Answer::Success;
        serving::ReplicaHandlers handlers;
    };

    net::CallId receiveCall(const std::string &replica, const serving::OutboundRequest &request,
                            serving::ReplicaHandlers handlers)
    {
        const net::CallId id = ++lastId_;
        const std::string item = itemOfCall.contains(request.id) ? itemOfCall[request.id] : std::string();
        receivedCalls.push_back({replica, request, eventsMade_[item]});
        PendingCall call{request.id, Answer::Success, std::move(handlers)};
        if (auto &answers = answersToCall[request.id]; !answers.empty()) {
            call.answer = answers.front();
            answers.pop_front();
        } else if (answerOfReplica.contains(replica)) {
            call.answer = answerOfReplica[replica];
        }
        const bool silentCall = call.answer == Answer::Silence;
        calls_[id] = std::move(call);
        mostRunningCalls = std::max(mostRunningCalls, ++runningCalls);
        if (!silentCall) {
            net::runAfter(loop_, callDuration, [this, id] { answerCall(id); });
        }
        return id;
    }

    void answerCall(net::CallId id)
    {
        const auto found = calls_.find(id);
        if (found == calls_.end()) {
            return;
        }
        const PendingCall call = std::move(found->second);
        calls_.erase(found);
        --runningCalls;
        serving::ReplicaHead head;
        net::HttpResponse response;
        head.signature = signatureOf(call.requestId);
        switch (call.answer) {
        case Answer::Success:
            head.status = 200;
            break;
        case Answer::ServerError:
            head.status = 500;
            break;
        case Answer::Full:
            head.status = 503;
            head.notRun = true;
            break;
        case Answer::WrongRequest:
            head.status = 200;
            head.requestMismatch = true;
            call.handlers.onDone(head, absl::DataLossError("the answer belongs to another request"));
            return;
        case Answer::Reset:
        case Answer::Silence:
            call.handlers.onDone({}, absl::UnavailableError("reset"));
            return;
        }
        response.status = head.status;
        call.handlers.onDone(head, response);
    }

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
        eventsMade_[item] = static_cast<int>(attempt->next);
        std::string data = item + "/" + std::to_string(attempt->next);
        data.resize(std::max(data.size(), eventBytes), 'x');
        attempt->handlers.onEvent({attempt->next, std::move(data), std::nullopt});
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
    std::map<net::CallId, PendingCall> calls_;
    std::map<std::string, int> eventsMade_; ///< By item.
};

} // namespace currantlug::tests

#endif
