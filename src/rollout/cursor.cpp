// Encoding of cursors: version, digest, slot count, bitmap and checksum as web-safe base64.
#include "rollout/cursor.h"

#include "core/error.h"
#include "core/hash.h"

#include <absl/strings/escaping.h>

#include <bit>
#include <cassert>

namespace currantlug::rollout {

namespace {

constexpr char FormatVersion = 1;
constexpr std::size_t DigestBytes = 32;
constexpr std::size_t CountBytes = 4;
constexpr std::size_t ChecksumBytes = 8;
constexpr std::size_t HeadBytes = 1 + DigestBytes + CountBytes;
constexpr unsigned BitsPerByte = 8;

void appendNumber(std::string &bytes, std::uint64_t value, std::size_t size)
{
    for (std::size_t i = 0; i < size; ++i) {
        bytes += static_cast<char>(value >> (BitsPerByte * i));
    }
}

std::uint64_t readNumber(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = bytes.size(); i > 0; --i) {
        value = value << BitsPerByte | static_cast<unsigned char>(bytes[i - 1]);
    }
    return value;
}

std::size_t bitmapBytes(std::uint32_t slotCount)
{
    return (static_cast<std::size_t>(slotCount) + BitsPerByte - 1) / BitsPerByte;
}

absl::Status refuse(absl::StatusCode code, std::string_view message)
{
    return makeError(code, currantlug::Step::Deliver, "", Outcome::NotRun, message);
}

absl::Status broken()
{
    return refuse(absl::StatusCode::kInvalidArgument, "cursor is broken");
}

} // namespace

bool SlotSet::contains(SlotNumber slot) const
{
    return slot < slotCount_ && (bits_[slot / BitsPerByte] >> (slot % BitsPerByte) & 1U) != 0;
}

void SlotSet::add(SlotNumber slot)
{
    assert(slot < slotCount_);
    bits_[slot / BitsPerByte] |= static_cast<std::uint8_t>(1U << (slot % BitsPerByte));
}

std::uint32_t SlotSet::count() const
{
    std::uint32_t total = 0;
    for (const std::uint8_t byte : bits_) {
        total += static_cast<std::uint32_t>(std::popcount(byte));
    }
    return total;
}

std::string Cursor::encode() const
{
    const std::string digest = absl::HexStringToBytes(definitionDigest);
    assert(digest.size() == DigestBytes);
    std::string bytes(1, FormatVersion);
    bytes += digest;
    appendNumber(bytes, slots.slotCount_, CountBytes);
    bytes.append(slots.bits_.begin(), slots.bits_.end());
    appendNumber(bytes, stableHash(bytes), ChecksumBytes);
    return absl::WebSafeBase64Escape(bytes);
}

absl::StatusOr<Cursor> Cursor::decode(std::string_view text, std::string_view definitionDigest, std::uint32_t slotCount)
{
    Cursor cursor{std::string(definitionDigest), SlotSet(slotCount)};
    if (text.empty()) {
        return cursor;
    }
    // No cursor is longer than one of a step at the limits, so longer texts are not decoded.
    constexpr std::size_t MaxTextBytes = 1 << 20;
    std::string bytes;
    if (text.size() > MaxTextBytes || !absl::WebSafeBase64Unescape(absl::string_view(text.data(), text.size()), &bytes)
        || bytes.size() < HeadBytes + ChecksumBytes || bytes[0] != FormatVersion) {
        return broken();
    }
    const std::string_view content = std::string_view(bytes).substr(0, bytes.size() - ChecksumBytes);
    if (readNumber(std::string_view(bytes).substr(content.size())) != stableHash(content)) {
        return broken();
    }
    if (content.substr(1, DigestBytes)
        != absl::HexStringToBytes(absl::string_view(definitionDigest.data(), definitionDigest.size()))) {
        return refuse(absl::StatusCode::kFailedPrecondition, "cursor is of another step or another definition of it");
    }
    const std::string_view bitmap = content.substr(HeadBytes);
    if (readNumber(content.substr(1 + DigestBytes, CountBytes)) != slotCount
        || bitmap.size() != bitmapBytes(slotCount)) {
        return broken();
    }
    cursor.slots.bits_.assign(bitmap.begin(), bitmap.end());
    const unsigned used = slotCount % BitsPerByte;
    if (used != 0 && (cursor.slots.bits_.back() >> used) != 0) {
        return broken();
    }
    return cursor;
}

} // namespace currantlug::rollout
