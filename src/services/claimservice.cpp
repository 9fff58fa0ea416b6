// Claims at the slot's owner over the mesh.
#include "services/claimservice.h"

#include "core/error.h"

#include <utility>

namespace currantlug::services {

using requests::ClaimResult;

namespace {

// A claim waits for one batch interval and for a store call with its read-backs.
constexpr absl::Duration ClaimWait = absl::Seconds(4);
constexpr absl::Duration OwnerTimeout = absl::Seconds(5);

} // namespace

ClaimService::ClaimService(requests::CallTokenOrigin origin, mesh::Mesh &mesh, MemberService &members,
                           platform::HttpObjectStore &store, requests::ClaimBatchSettings batch)
    : origin_(origin)
    , mesh_(mesh)
    , members_(members)
    , store_(store)
    , batchSettings_(batch)
    , tokens_(std::move(origin))
{
}

void ClaimService::registerHandlers()
{
    mesh_.setHandler("claim", [this](const mesh::PeerInfo &, const Json &body) {
        const auto slot = fieldOr<std::uint32_t>(body, "slot", logSettings_.slotCount);
        if (slot >= logSettings_.slotCount) {
            return Json{{"results", Json::array()}};
        }
        std::vector<std::string> ids;
        for (const Json &id : body.value("ids", Json::array())) {
            ids.push_back(id.is_string() ? id.get<std::string>() : "");
        }
        Json results = Json::array();
        for (const ClaimResult result : driver(slot).claim(ids, ClaimWait)) {
            results.push_back(std::string(nameOf(result)));
        }
        return Json{{"results", std::move(results)}};
    });
}

void ClaimService::stop()
{
    const std::lock_guard lock(mutex_);
    for (auto &[slot, driver] : drivers_) {
        driver->stop();
    }
}

ClaimService::Driver &ClaimService::driver(std::uint32_t slot)
{
    const std::lock_guard lock(mutex_);
    std::unique_ptr<Driver> &driver = drivers_[slot];
    if (!driver) {
        driver = std::make_unique<Driver>(store_, slot, logSettings_, batchSettings_);
    }
    return *driver;
}

absl::Status ClaimService::claim(const WorkspaceId &workspace, const RouteId &route, const std::string &idempotencyKey)
{
    if (const auto tokenOrigin = requests::callTokenOrigin(idempotencyKey)) {
        if (tokenOrigin->daemon != origin_.daemon) {
            return makeError(absl::StatusCode::kFailedPrecondition, Step::Claim, tokenOrigin->daemon.str(),
                             Outcome::NotRun, "this call token is bound to another daemon; send the call there");
        }
        const std::lock_guard lock(mutex_);
        return tokens_.use(idempotencyKey, workspace, route, monotonicNow());
    }
    const std::string id = requests::claimId(workspace.str(), idempotencyKey);
    const std::uint32_t slot = requests::claimSlot(id, logSettings_.slotCount);
    switch (claimAtOwner(slot, id)) {
    case ClaimResult::Granted:
        return absl::OkStatus();
    case ClaimResult::Taken:
        return makeError(absl::StatusCode::kAlreadyExists, Step::Claim, "", Outcome::MayHaveRun,
                         "a call with this Idempotency-Key was accepted before");
    case ClaimResult::Unavailable:
        break;
    }
    return makeError(absl::StatusCode::kUnavailable, Step::Claim, "store", Outcome::NotRun,
                     "the call cannot be claimed now; use a call token, or a new Idempotency-Key later");
}

ClaimResult ClaimService::claimAtOwner(std::uint32_t slot, const std::string &id)
{
    const std::optional<DaemonId> owner = members_.ownerOf("claim-slot-" + std::to_string(slot));
    if (owner && *owner != origin_.daemon) {
        const Json body{{"slot", slot}, {"ids", {id}}};
        const absl::StatusOr<Json> answer = mesh_.call(*owner, "claim", body, OwnerTimeout);
        const Json results = answer.ok() ? answer->value("results", Json::array()) : Json::array();
        if (results.size() == 1 && results[0].is_string()) {
            return parseEnum<ClaimResult>(results[0].get<std::string>()).value_or(ClaimResult::Unavailable);
        }
        if (errorContext(answer.status()).outcome != Outcome::NotRun) {
            // The owner may have appended the claim. Appending it here as well could only find it taken.
            return ClaimResult::Unavailable;
        }
    }
    // The log decides, not the owner: appending here is safe and only costs a conflict.
    return driver(slot).claim({id}, ClaimWait).front();
}

absl::StatusOr<std::string> ClaimService::issueToken(const WorkspaceId &workspace, const RouteId &route)
{
    const std::lock_guard lock(mutex_);
    return tokens_.issue(workspace, route, monotonicNow());
}

} // namespace currantlug::services
