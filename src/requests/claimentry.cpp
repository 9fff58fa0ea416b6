// Encoding of the objects of the claim log.
#include "requests/claimentry.h"
#include "core/json.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace currantlug::requests {

namespace {

constexpr std::size_t SequenceDigits = 12;
constexpr std::size_t HalfDigest = 16; ///< Hexadecimal digits of 64 bits.

} // namespace

std::string ClaimEntry::encode() const
{
    return Json{{"nonce", nonce}, {"ids", ids}, {"wall_ms", wallMs}}.dump();
}

std::optional<ClaimEntry> ClaimEntry::decode(std::string_view text)
{
    const auto json = parseJson(text);
    if (!json || !json->is_object() || !json->contains("ids") || !(*json)["ids"].is_array()) {
        return std::nullopt;
    }
    ClaimEntry entry;
    entry.nonce = fieldOr<std::string>(*json, "nonce", "");
    entry.wallMs = fieldOr<std::int64_t>(*json, "wall_ms", 0);
    for (const Json &id : (*json)["ids"]) {
        if (!id.is_string()) {
            return std::nullopt;
        }
        entry.ids.push_back(id.get<std::string>());
    }
    return entry;
}

std::string claimPrefix(std::uint32_t slot)
{
    return fmt::format("claims/{}/", slot);
}

std::string claimKey(std::uint32_t slot, std::uint64_t sequence)
{
    return fmt::format("{}{:0{}}", claimPrefix(slot), sequence, SequenceDigits);
}

std::optional<std::uint64_t> claimSequence(std::string_view key)
{
    const std::size_t slash = key.rfind('/');
    std::uint64_t sequence = 0;
    const std::string_view digits = slash == std::string_view::npos ? std::string_view() : key.substr(slash + 1);
    if (digits.size() != SequenceDigits
        || !absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()), &sequence)) {
        return std::nullopt;
    }
    return sequence;
}

ClaimDigest claimDigest(std::string_view id)
{
    ClaimDigest digest{};
    std::from_chars(id.data(), id.data() + std::min(HalfDigest, id.size()), digest[0], 16);
    if (id.size() >= 2 * HalfDigest) {
        std::from_chars(id.data() + HalfDigest, id.data() + 2 * HalfDigest, digest[1], 16);
    }
    return digest;
}

} // namespace currantlug::requests
