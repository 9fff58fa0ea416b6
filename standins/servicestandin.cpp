#include "standins/servicestandin.h"

#include "standins/standinserver.h"

#include <map>

namespace currantlug::standins {

struct ServiceStandin::State
{
    explicit State(const ServiceSettings &given)
        : settings(given)
        , server([this](const httplib::Request &request, httplib::Response &response) { handle(request, response); })
    {
    }

    void handle(const httplib::Request &request, httplib::Response &response);
    Json audit() const;

    mutable std::mutex mutex;
    ServiceSettings settings;
    std::map<std::string, std::uint64_t> executions; ///< By Idempotency-Key.
    Json requests = Json::array();
    StandinServer server; ///< Last, so that its threads end before the state they use.
};

void ServiceStandin::State::handle(const httplib::Request &request, httplib::Response &response)
{
    if (request.method == "GET" && request.path == "/audit") {
        answerJson(response, audit());
        return;
    }
    std::size_t index = 0;
    {
        const std::lock_guard lock(mutex);
        index = requests.size();
        requests.push_back({{"method", request.method},
                            {"target", request.target},
                            {"headers", headersJson(request)},
                            {"body", request.body},
                            {"executed", false}});
    }
    // A service does not notice that its caller is gone, so a repeated call executes twice here as it would there.
    if (!server.pauseUnattended(settings.delay)) {
        return;
    }
    const std::lock_guard lock(mutex);
    const std::uint64_t count = ++executions[request.get_header_value("Idempotency-Key")];
    requests[index]["executed"] = true;
    const std::string requestId = request.get_header_value("X-Request-Id");
    if (!requestId.empty()) {
        response.set_header("X-Request-Id", requestId);
    }
    answerJson(response,
               {{"executions", count},
                {"method", request.method},
                {"path", request.path},
                {"request_id", requestId},
                {"body", request.body}});
}

Json ServiceStandin::State::audit() const
{
    const std::lock_guard lock(mutex);
    return {{"executions", executions}, {"requests", requests}};
}

ServiceStandin::ServiceStandin(ServiceSettings settings)
    : state_(std::make_unique<State>(settings))
{
}

ServiceStandin::~ServiceStandin()
{
    stop();
}

absl::Status ServiceStandin::start()
{
    return state_->server.start(state_->settings.port);
}

void ServiceStandin::stop()
{
    state_->server.stop();
}

int ServiceStandin::port() const
{
    return state_->server.port();
}

void ServiceStandin::addFault(const Fault &fault)
{
    state_->server.faults().add(fault);
}

void ServiceStandin::clearFaults()
{
    state_->server.faults().clear();
}

std::uint64_t ServiceStandin::executions(std::string_view idempotencyKey) const
{
    const std::lock_guard lock(state_->mutex);
    const auto found = state_->executions.find(std::string(idempotencyKey));
    return found == state_->executions.end() ? 0 : found->second;
}

Json ServiceStandin::audit() const
{
    return state_->audit();
}

} // namespace currantlug::standins
