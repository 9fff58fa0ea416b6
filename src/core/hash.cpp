// Stable hashes and OpenSSL digests.
#include "core/hash.h"

#include <fmt/format.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <cstdlib>
#include <vector>

namespace currantlug {

namespace {

std::string toHex(const unsigned char *bytes, std::size_t count)
{
    std::string hex;
    hex.reserve(count * 2);
    for (std::size_t i = 0; i < count; ++i) {
        fmt::format_to(std::back_inserter(hex), "{:02x}", bytes[i]);
    }
    return hex;
}

// The finalizer of SplitMix64; FNV-1a alone leaves the high bits of short keys correlated.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    constexpr std::uint64_t FnvOffset = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;
    std::uint64_t hash = FnvOffset ^ mix(seed);
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * FnvPrime;
    }
    return mix(hash);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return stableHash(node, stableHash(key));
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return toHex(digest.data(), digest.size());
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) {
        // Without randomness nonces could repeat, and a repeated nonce would break lost-answer detection.
        std::abort();
    }
    return toHex(buffer.data(), bytes);
}

} // namespace currantlug
