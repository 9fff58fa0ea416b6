// Messages between daemons: CBOR maps {"t": type, "id": n, "b": body} for requests and {"re": n, "b": body} or
// {"re": n, "err": {...}} for replies, and the hello that opens a link.
#ifndef CURRANTLUG_MESH_MESSAGE_H
#define CURRANTLUG_MESH_MESSAGE_H

#include "core/json.h"
#include "mesh/mesh.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace currantlug::mesh {

inline constexpr std::string_view HelloType = "hello";
inline constexpr std::string_view PingType = "ping";
inline constexpr std::string_view PongType = "pong";

/// A decoded message. Fields that it does not name are ignored.
struct Message
{
    std::string type; ///< Empty for replies to calls.
    std::optional<std::uint64_t> id; ///< Set for requests and pings.
    std::optional<std::uint64_t> replyTo; ///< Set for replies and pongs.
    Json body;
    Json error; ///< Object if the reply is an error, else null.
};

std::string encodeHello(const MeshSettings &settings);
std::string encodePing(std::uint64_t id);
std::string encodePong(std::uint64_t replyTo);
std::string encodeRequest(std::string_view type, std::uint64_t id, Json body);
std::string encodeReply(std::uint64_t replyTo, Json body);
std::string encodeErrorReply(std::uint64_t replyTo, const absl::Status &error);

/// nullopt for bytes that are not one CBOR map with a type or a reply number, or that nest deeper than 64 levels.
std::optional<Message> decodeMessage(const std::string &bytes);

/// The error that an error reply carries, with `peer` as the other side. An error of unknown shape claims nothing about
/// the outcome.
absl::Status decodeError(const Json &error, const DaemonId &peer);

/// The peer of a hello. kFailedPrecondition, with both version ranges, if the versions do not overlap;
/// kInvalidArgument if fields are missing.
absl::StatusOr<PeerInfo> acceptHello(const Message &message, const MeshSettings &settings);

} // namespace currantlug::mesh

#endif
