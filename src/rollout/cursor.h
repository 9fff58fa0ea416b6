// The trainer's record of the samples it has. The trainer stores and returns it without reading it.
#ifndef CURRANTLUG_ROLLOUT_CURSOR_H
#define CURRANTLUG_ROLLOUT_CURSOR_H

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::rollout {

/// Number of a slot within its step: groups in the order of the definition, samples in order within the group.
using SlotNumber = std::uint32_t;

/// A set of slots of one step.
class SlotSet
{
public:
    SlotSet() = default;
    explicit SlotSet(std::uint32_t slotCount)
        : slotCount_(slotCount)
        , bits_((slotCount + 7) / 8)
    {
    }

    std::uint32_t slotCount() const { return slotCount_; }
    bool contains(SlotNumber slot) const;
    void add(SlotNumber slot);
    std::uint32_t count() const;

    friend bool operator==(const SlotSet &, const SlotSet &) = default;

private:
    friend struct Cursor;
    std::uint32_t slotCount_ = 0;
    std::vector<std::uint8_t> bits_; ///< Invariant: bits past slotCount_ are zero.
};

/// The content of a cursor.
struct Cursor
{
    std::string definitionDigest; ///< Covers trainer, step and definition; 64 hexadecimal digits.
    SlotSet slots;

    /// The opaque text, safe in JSON and URLs. About 4/3 of a byte per 8 slots and 60 bytes.
    std::string encode() const;

    /// Reads a cursor of the step with this digest and slot count; empty text is the cursor of a trainer that has
    /// nothing. Errors: kInvalidArgument for a broken cursor, kFailedPrecondition for one of another step or another
    /// definition.
    static absl::StatusOr<Cursor> decode(std::string_view text, std::string_view definitionDigest,
                                         std::uint32_t slotCount);
};

} // namespace currantlug::rollout

#endif
