#include "platform/vmlistclient.h"

#include "core/json.h"

namespace currantlug::platform {

namespace {

Vm readVm(const Json &json)
{
    return {.name = fieldOr<std::string>(json, "name", ""),
            .address = fieldOr<std::string>(json, "address", ""),
            .zone = ZoneId(fieldOr<std::string>(json, "availability_zone", "")),
            .state = parseEnum<VmState>(fieldOr<std::string>(json, "state", "")).value_or(VmState::Leaving),
            .cheap = fieldOr<bool>(json, "cheap", false)};
}

bool isVmList(const HttpAnswer &answer)
{
    const std::optional<Json> json = parseJson(answer.body);
    return json && json->is_object() && json->contains("vms") && (*json)["vms"].is_array();
}

} // namespace

VmListClient::VmListClient(HttpClientSettings settings)
    : http_(std::move(settings))
{
}

absl::StatusOr<VmList> VmListClient::list()
{
    const auto check = [](const HttpAnswer &answer) { return answer.status != 200 || isVmList(answer); };
    const absl::StatusOr<HttpAnswer> answer =
        http_.call({.method = "GET", .target = "/v1/vms"}, Step::ReadAnswer, check);
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status != 200) {
        return makeError(absl::StatusCode::kUnavailable, Step::ReadAnswer, http_.peer(), Outcome::MayHaveRun,
                         "VM list: status " + std::to_string(answer->status));
    }
    const Json json = *parseJson(answer->body);
    VmList result{fieldOr<std::int64_t>(json, "as_of_ms", 0), {}};
    for (const Json &entry : json["vms"]) {
        result.vms.push_back(readVm(entry));
    }
    return result;
}

} // namespace currantlug::platform
