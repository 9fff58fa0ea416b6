// CBOR encoding and the checks that untrusted messages pass before anything else sees them.
#include "mesh/message.h"

#include "core/cbor.h"

#include <fmt/format.h>

#include <algorithm>

namespace currantlug::mesh {

namespace {

std::optional<std::uint64_t> numberField(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

Json takeField(Json &object, const char *name)
{
    const auto found = object.find(name);
    return found == object.end() ? Json() : std::move(*found);
}

} // namespace

std::string encodeHello(const MeshSettings &settings)
{
    return encodeCbor({{"t", HelloType},
                       {"b",
                        {{"protocol_min", settings.protocolMin},
                         {"protocol_max", settings.protocolMax},
                         {"daemon", settings.self.str()},
                         {"incarnation", settings.incarnation},
                         {"zone", settings.zone.str()}}}});
}

std::string encodePing(std::uint64_t id)
{
    return encodeCbor({{"t", PingType}, {"id", id}});
}

std::string encodePong(std::uint64_t replyTo)
{
    return encodeCbor({{"t", PongType}, {"re", replyTo}});
}

std::string encodeRequest(std::string_view type, std::uint64_t id, Json body)
{
    Json message = {{"t", type}, {"id", id}};
    message["b"] = std::move(body);
    return encodeCbor(message);
}

std::string encodeReply(std::uint64_t replyTo, Json body)
{
    Json message = {{"re", replyTo}};
    message["b"] = std::move(body);
    return encodeCbor(message);
}

std::string encodeErrorReply(std::uint64_t replyTo, const absl::Status &error)
{
    return encodeCbor({{"re", replyTo},
                       {"err",
                        {{"code", static_cast<int>(error.code())},
                         {"message", std::string(error.message())},
                         {"outcome", nameOf(errorContext(error).outcome)}}}});
}

std::optional<Message> decodeMessage(const std::string &bytes)
{
    std::optional<Json> json = parseCbor(bytes);
    if (!json || !json->is_object()) {
        return std::nullopt;
    }
    Message message;
    message.type = fieldOr<std::string>(*json, "t", "");
    message.id = numberField(*json, "id");
    message.replyTo = numberField(*json, "re");
    if (message.type.empty() && !message.replyTo) {
        return std::nullopt;
    }
    message.body = takeField(*json, "b");
    message.error = takeField(*json, "err");
    return message;
}

absl::Status decodeError(const Json &error, const DaemonId &peer)
{
    const int code = fieldOr<int>(error, "code", 0);
    const bool known =
        code > static_cast<int>(absl::StatusCode::kOk) && code <= static_cast<int>(absl::StatusCode::kUnauthenticated);
    const auto outcome = parseEnum<Outcome>(fieldOr<std::string>(error, "outcome", ""));
    return makeError(known ? static_cast<absl::StatusCode>(code) : absl::StatusCode::kUnknown, Step::Mesh, peer.str(),
                     outcome.value_or(Outcome::MayHaveRun), fieldOr<std::string>(error, "message", "error reply"));
}

absl::StatusOr<PeerInfo> acceptHello(const Message &message, const MeshSettings &settings)
{
    const Json &body = message.body;
    const PeerInfo peer{DaemonId(fieldOr<std::string>(body, "daemon", "")),
                        fieldOr<std::string>(body, "incarnation", ""), ZoneId(fieldOr<std::string>(body, "zone", ""))};
    const int min = fieldOr<int>(body, "protocol_min", 0);
    const int max = fieldOr<int>(body, "protocol_max", 0);
    if (message.type != HelloType || peer.id.empty() || peer.incarnation.empty() || min < 1 || max < min) {
        return makeError(absl::StatusCode::kInvalidArgument, Step::Mesh, peer.id.str(), Outcome::NotRun,
                         "the first message is not a complete hello");
    }
    if (std::max(min, settings.protocolMin) > std::min(max, settings.protocolMax)) {
        return makeError(absl::StatusCode::kFailedPrecondition, Step::Mesh, peer.id.str(), Outcome::NotRun,
                         fmt::format("no common protocol version: {} speaks {} to {}, {} speaks {} to {}",
                                     settings.self.str(), settings.protocolMin, settings.protocolMax, peer.id.str(),
                                     min, max));
    }
    return peer;
}

} // namespace currantlug::mesh
