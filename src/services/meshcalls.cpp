// Parallel calls with one thread per daemon; used for lists of a few dozen daemons at most.
#include "services/meshcalls.h"

#include <thread>

namespace currantlug::services {

std::vector<MeshAnswer> callAll(mesh::Mesh &mesh, const std::vector<DaemonId> &to, std::string_view type,
                                const Json &body, absl::Duration timeout)
{
    std::vector<MeshAnswer> answers;
    answers.reserve(to.size());
    for (const DaemonId &id : to) {
        answers.push_back({id, absl::UnknownError("not called")});
    }
    std::vector<std::thread> threads;
    threads.reserve(to.size());
    for (MeshAnswer &answer : answers) {
        threads.emplace_back([&] { answer.body = mesh.call(answer.from, type, body, timeout); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return answers;
}

} // namespace currantlug::services
