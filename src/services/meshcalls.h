// One request to many daemons at once.
#ifndef CURRANTLUG_SERVICES_MESHCALLS_H
#define CURRANTLUG_SERVICES_MESHCALLS_H

#include "mesh/mesh.h"

#include <utility>
#include <vector>

namespace currantlug::services {

struct MeshAnswer
{
    DaemonId from;
    absl::StatusOr<Json> body;
};

/// Calls all daemons in parallel and returns when each has answered or the timeout has passed.
std::vector<MeshAnswer> callAll(mesh::Mesh &mesh, const std::vector<DaemonId> &to, std::string_view type,
                                const Json &body, absl::Duration timeout);

} // namespace currantlug::services

#endif
