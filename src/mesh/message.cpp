// CBOR encoding and the checks that untrusted messages pass before anything else sees them.
#include "mesh/message.h"

#include <fmt/format.h>

#include <algorithm>

namespace currantlug::mesh {

namespace {

// The CBOR reader of nlohmann json recurses once per level; a message of nested arrays could exhaust the stack.
constexpr std::size_t MaxDepth = 64;

// Accepts everything up to MaxDepth levels and keeps nothing.
class DepthCheck final : public nlohmann::json_sax<Json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool start_object(std::size_t) override { return ++depth_ <= MaxDepth; }
    bool key(string_t &) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return ++depth_ <= MaxDepth; }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override { return false; }

private:
    bool leave()
    {
        --depth_;
        return true;
    }

    std::size_t depth_ = 0;
};

bool isShallow(const std::string &bytes)
{
    if (bytes.size() <= MaxDepth) {
        return true; // Each level takes at least one byte.
    }
    DepthCheck check;
    return Json::sax_parse(bytes, &check, Json::input_format_t::cbor);
}

std::optional<Json> parseCbor(const std::string &bytes)
{
    try {
        Json json = Json::from_cbor(bytes, true, false);
        if (json.is_discarded()) {
            return std::nullopt;
        }
        return json;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt; // A container that announces more elements than any could hold throws in any case.
    }
}

std::string encode(const Json &message)
{
    std::string bytes;
    Json::to_cbor(message, bytes);
    return bytes;
}

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
    return encode({{"t", HelloType},
                   {"b",
                    {{"protocol_min", settings.protocolMin},
                     {"protocol_max", settings.protocolMax},
                     {"daemon", settings.self.str()},
                     {"incarnation", settings.incarnation},
                     {"zone", settings.zone.str()}}}});
}

std::string encodePing(std::uint64_t id)
{
    return encode({{"t", PingType}, {"id", id}});
}

std::string encodePong(std::uint64_t replyTo)
{
    return encode({{"t", PongType}, {"re", replyTo}});
}

std::string encodeRequest(std::string_view type, std::uint64_t id, Json body)
{
    Json message = {{"t", type}, {"id", id}};
    message["b"] = std::move(body);
    return encode(message);
}

std::string encodeReply(std::uint64_t replyTo, Json body)
{
    Json message = {{"re", replyTo}};
    message["b"] = std::move(body);
    return encode(message);
}

std::string encodeErrorReply(std::uint64_t replyTo, const absl::Status &error)
{
    return encode({{"re", replyTo},
                   {"err",
                    {{"code", static_cast<int>(error.code())},
                     {"message", std::string(error.message())},
                     {"outcome", nameOf(errorContext(error).outcome)}}}});
}

std::optional<Message> decodeMessage(const std::string &bytes)
{
    if (!isShallow(bytes)) {
        return std::nullopt;
    }
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
