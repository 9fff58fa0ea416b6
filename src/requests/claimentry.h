// The objects of the claim log and their names.
#ifndef CURRANTLUG_REQUESTS_CLAIMENTRY_H
#define CURRANTLUG_REQUESTS_CLAIMENTRY_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::requests {

/// One object of the log.
struct ClaimEntry
{
    std::string nonce; ///< Tells the own append from that of another daemon after a lost answer.
    std::vector<std::string> ids;
    std::int64_t wallMs = 0; ///< Wall time of the append, for retention only.

    std::string encode() const;

    /// nullopt for a text that is no entry.
    static std::optional<ClaimEntry> decode(std::string_view text);
};

/// "claims/<slot>/".
std::string claimPrefix(std::uint32_t slot);

/// "claims/<slot>/<sequence, 12 digits>".
std::string claimKey(std::uint32_t slot, std::uint64_t sequence);

/// The sequence number in a key; nullopt for other keys.
std::optional<std::uint64_t> claimSequence(std::string_view key);

/// The first 16 bytes of an id of claimId(), to save memory. A collision only refuses a request.
using ClaimDigest = std::array<std::uint64_t, 2>;
ClaimDigest claimDigest(std::string_view id);

} // namespace currantlug::requests

#endif
