// HTTP interface for trainers: define a step, pull its samples, remove it. Requests reach the step's owner over the
// mesh where another daemon owns it.
#ifndef CURRANTLUG_SERVER_TRAINERAPI_H
#define CURRANTLUG_SERVER_TRAINERAPI_H

#include "mesh/mesh.h"
#include "rollout/stepbook.h"
#include "server/requestcontext.h"

#include <httplib.h>

namespace currantlug::server {

/// All must outlive the listener.
struct TrainerServices
{
    RequestGate &gate;
    services::ConfigService &config;
    services::MemberService &members;
    rollout::StepBook &steps;
    mesh::Mesh &mesh;
};

class TrainerApi
{
public:
    explicit TrainerApi(TrainerServices services)
        : services_(services)
    {
    }

    void install(httplib::Server &server);

    /// Answers requests that other daemons forward. Before the mesh starts.
    void registerHandlers();

private:
    /// One request on a step, with the key already checked and removed.
    struct StepRequest
    {
        std::string action; ///< "put", "pull" or "delete".
        TrainerId trainer;
        std::string step;
        Json body;
    };
    struct StepAnswer
    {
        int status = 200;
        Json body;
    };

    /// The workspace whose key came with a request.
    struct KeyedTrainer
    {
        WorkspaceId workspace;
        requests::KeyRedactor redactor;
    };

    absl::StatusOr<KeyedTrainer> checkTrainer(const StepRequest &stepRequest, const httplib::Request &request);
    void handle(const std::string &action, const httplib::Request &request, httplib::Response &response);
    absl::StatusOr<StepAnswer> serve(const StepRequest &request);
    absl::StatusOr<StepAnswer> serveLocally(const StepRequest &request, absl::Duration wait);
    absl::StatusOr<StepAnswer> forward(const DaemonId &owner, StepRequest request);
    absl::StatusOr<StepAnswer> forwardOnce(const DaemonId &owner, const StepRequest &request);
    absl::StatusOr<StepAnswer> pull(const StepRequest &request, absl::Duration wait);

    TrainerServices services_;
};

} // namespace currantlug::server

#endif
