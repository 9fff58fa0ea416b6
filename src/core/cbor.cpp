// Checked reading of CBOR.
#include "core/cbor.h"

namespace currantlug {

namespace {

// Accepts everything up to MaxJsonDepth levels and keeps nothing. The CBOR reader of nlohmann json recurses as well.
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
    bool start_object(std::size_t) override { return ++depth_ <= MaxJsonDepth; }
    bool key(string_t &) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return ++depth_ <= MaxJsonDepth; }
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
