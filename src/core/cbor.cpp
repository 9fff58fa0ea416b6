// Checked reading of CBOR.
#include "core/cbor.h"

#include "core/jsonsax.h"

namespace currantlug {

namespace {

// Accepts everything up to MaxJsonDepth levels. The CBOR reader of nlohmann json recurses once per level.
class DepthCheck final : public detail::ValueSkipper
{
public:
    bool start_object(std::size_t) override { return ++depth_ <= MaxJsonDepth; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return ++depth_ <= MaxJsonDepth; }
    bool end_array() override { return leave(); }

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
    if (bytes.size() <= MaxJsonDepth) {
        return true; // Each level takes at least one byte.
    }
    DepthCheck check;
    return Json::sax_parse(bytes, &check, Json::input_format_t::cbor);
}

} // namespace

std::string encodeCbor(const Json &value)
{
    std::string bytes;
    Json::to_cbor(value, bytes);
    return bytes;
}

std::optional<Json> parseCbor(const std::string &bytes)
{
    if (!isShallow(bytes)) {
        return std::nullopt;
    }
    try {
        Json value = Json::from_cbor(bytes, true, false);
        return value.is_discarded() ? std::nullopt : std::optional(std::move(value));
    } catch (const nlohmann::json::exception &) {
        return std::nullopt; // A container that announces more elements than any could hold throws in any case.
    }
}

} // namespace currantlug
