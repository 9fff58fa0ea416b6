// Hashes whose values are the same on every daemon and in every build, for rendezvous choice and stored digests.
#ifndef CURRANTLUG_CORE_HASH_H
#define CURRANTLUG_CORE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace currantlug {

/// 64-bit FNV-1a with a final mix. Not for secrets.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// Weight of `node` for `key` in rendezvous hashing: the highest weight wins.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

/// Random bytes from the operating system as 2 * bytes hexadecimal digits, for nonces and incarnations.
std::string randomHex(std::size_t bytes);

} // namespace currantlug

#endif
