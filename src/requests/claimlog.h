// Durable claims of non-idempotent requests. The append by create-if-absent is the claim, so several daemons that
// believe they own a slot still cannot both grant an id.
#ifndef CURRANTLUG_REQUESTS_CLAIMLOG_H
#define CURRANTLUG_REQUESTS_CLAIMLOG_H

#include "platform/objectstore.h"
#include "requests/claimbatch.h"

#include <absl/container/flat_hash_set.h>
#include <absl/status/status.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace currantlug::requests {

struct ClaimLogSettings
{
    std::uint32_t slotCount = 8;
    int maxConflicts = 16; ///< Appends tried in one call while other daemons take the sequence numbers.
    int maxUnknown = 3; ///< Attempts to find out what became of one append.
    absl::Duration reloadAfter = absl::Hours(1); ///< A log without a store answer for longer is read again in full.
    absl::Duration retention = absl::Hours(25); ///< Entries younger than this are never removed.
};

/// One object of the log.
struct ClaimEntry
{
    std::string nonce; ///< Tells the own append from that of another daemon after a lost answer.
    std::vector<std::string> ids;
    std::int64_t wallMs = 0; ///< Wall time of the append, for retention only.

    std::string encode() const;
    static std::optional<ClaimEntry> decode(std::string_view text);
};

/// "claims/<slot>/<sequence, 12 digits>".
std::string claimKey(std::uint32_t slot, std::uint64_t sequence);
std::optional<std::uint64_t> claimSequence(std::string_view key);

/// The log of one slot. Not thread-safe; ClaimDriver serialises the calls.
template<platform::ObjectStoreLike Store>
class ClaimLog
{
public:
    ClaimLog(Store &store, std::uint32_t slot, ClaimLogSettings settings = {})
        : store_(store)
        , slot_(slot)
        , settings_(settings)
    {
    }

    /// Claims the ids; one result per id, in order. An id that occurs twice is granted at most once. Reads the log
    /// first where it has not been read or is too old.
    std::vector<ClaimResult> append(const std::vector<std::string> &ids, Instant now, std::int64_t wallMs);

    /// Reads the whole log, at takeover.
    absl::Status load(Instant now);

    /// Removes at most `limit` entries that are older than the retention, never the newest entry: its number keeps a
    /// daemon with an old view from appending behind it. Returns their number.
    absl::StatusOr<std::size_t> removeOld(std::int64_t wallMs, std::size_t limit);

    std::size_t knownIds() const { return known_.size(); }
    std::uint64_t nextSequence() const { return next_; }

private:
    enum class Append { Done, Conflict, Unknown };
    using IdDigest = std::array<std::uint64_t, 2>; ///< First 16 bytes of the id; a collision only refuses a request.

    static IdDigest shorten(std::string_view id);
    bool known(const std::string &id) const { return known_.contains(shorten(id)); }
    void merge(std::uint64_t sequence, const ClaimEntry &entry);
    Append appendOnce(const ClaimEntry &entry);
    Append readBack(const ClaimEntry &entry, bool &absent);
    std::vector<std::string> unclaimed(const std::vector<std::string> &ids) const;

    Store &store_;
    std::uint32_t slot_;
    ClaimLogSettings settings_;
    absl::flat_hash_set<IdDigest> known_;
    std::map<std::uint64_t, std::int64_t> entries_; ///< Wall time by sequence, for removeOld().
    std::uint64_t next_ = 0; ///< Invariant: every entry below next_ is merged into known_ or was past its retention.
    std::optional<Instant> lastAnswer_; ///< Of the store; nullopt before the first load.
};

} // namespace currantlug::requests

#endif
