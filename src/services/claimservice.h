// Permission to run a non-idempotent call: through the claim log of its slot's owner, or by a call token.
#ifndef CURRANTLUG_SERVICES_CLAIMSERVICE_H
#define CURRANTLUG_SERVICES_CLAIMSERVICE_H

#include "mesh/mesh.h"
#include "platform/httpobjectstore.h"
#include "requests/calltokens.h"
#include "requests/claimdriver.h"
#include "services/memberservice.h"

#include <map>
#include <memory>
#include <mutex>

namespace currantlug::services {

/// Thread-safe.
class ClaimService
{
public:
    /// All must outlive the service. Call registerHandlers() before the mesh starts.
    ClaimService(requests::CallTokenOrigin origin, mesh::Mesh &mesh, MemberService &members,
                 platform::HttpObjectStore &store, requests::ClaimBatchSettings batch);

    void registerHandlers();
    void stop();

    /// Claims the call. Errors: kAlreadyExists (it may have run), kUnavailable (it must not run, NotRun), and those of
    /// CallTokens::use.
    absl::Status claim(const WorkspaceId &workspace, const RouteId &route, const std::string &idempotencyKey);

    absl::StatusOr<std::string> issueToken(const WorkspaceId &workspace, const RouteId &route);

private:
    using Driver = requests::ClaimDriver<platform::HttpObjectStore>;

    requests::ClaimResult claimAtOwner(std::uint32_t slot, const std::string &id);
    Driver &driver(std::uint32_t slot);

    requests::CallTokenOrigin origin_;
    mesh::Mesh &mesh_;
    MemberService &members_;
    platform::HttpObjectStore &store_;
    requests::ClaimLogSettings logSettings_;
    requests::ClaimBatchSettings batchSettings_;
    std::mutex mutex_; ///< Guards tokens_ and drivers_.
    requests::CallTokens tokens_;
    std::map<std::uint32_t, std::unique_ptr<Driver>> drivers_;
};

} // namespace currantlug::services

#endif
