// Durable claims of non-idempotent requests. The append by create-if-absent is the claim, so several daemons that
// believe they own a slot still cannot both grant an id.
#ifndef CURRANTLUG_REQUESTS_CLAIMLOG_H
#define CURRANTLUG_REQUESTS_CLAIMLOG_H

#include "core/error.h"
#include "core/hash.h"
#include "platform/objectstore.h"
#include "requests/claimbatch.h"
#include "requests/claimentry.h"

#include <absl/container/flat_hash_set.h>
#include <absl/status/status.h>

#include <map>
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
    static constexpr std::size_t NonceBytes = 16;

    enum class Append { Done, Conflict, Unknown };
    struct Known
    {
        std::uint64_t version = 0;
        std::int64_t wallMs = 0;
        std::vector<ClaimDigest> ids;
    };

    bool known(const std::string &id) const { return known_.contains(claimDigest(id)); }
    void merge(std::uint64_t sequence, std::uint64_t version, const ClaimEntry &entry);
    Append appendOnce(const ClaimEntry &entry);
    std::optional<Append> readBack(const ClaimEntry &entry);
    std::vector<std::string> unclaimed(const std::vector<std::string> &ids) const;
    std::vector<ClaimResult> results(const std::vector<std::string> &ids,
                                     const std::vector<std::string> &granted) const;
    absl::Status damaged(std::string_view key) const;

    Store &store_;
    std::uint32_t slot_;
    ClaimLogSettings settings_;
    absl::flat_hash_set<ClaimDigest> known_;
    std::map<std::uint64_t, Known> entries_; ///< By sequence, without gaps; for removeOld().
    std::uint64_t next_ = 0; ///< Invariant: every entry below next_ is merged into known_ or was past its retention.
    std::optional<Instant> lastAnswer_; ///< Of the store; nullopt before the first load.
};

template<platform::ObjectStoreLike Store>
std::vector<ClaimResult> ClaimLog<Store>::append(const std::vector<std::string> &ids, Instant now, std::int64_t wallMs)
{
    // A daemon that was paused for very long could otherwise append at a number whose successors are already removed.
    if ((!lastAnswer_ || now - *lastAnswer_ > settings_.reloadAfter) && !load(now).ok()) {
        return results(ids, {});
    }
    for (int conflicts = 0; conflicts <= settings_.maxConflicts; ++conflicts) {
        const ClaimEntry entry{randomHex(NonceBytes), unclaimed(ids), wallMs};
        if (entry.ids.empty()) {
            break;
        }
        const Append append = appendOnce(entry);
        if (append == Append::Unknown) {
            break;
        }
        lastAnswer_ = now;
        if (append == Append::Done) {
            return results(ids, entry.ids);
        }
        if (conflicts == settings_.maxConflicts) {
            lastAnswer_.reset(); // far behind: the next call reads the whole log at once
        }
    }
    return results(ids, {});
}

// An id in `granted` is granted where it occurs first; a known id was claimed before; the others could not be claimed.
template<platform::ObjectStoreLike Store>
std::vector<ClaimResult> ClaimLog<Store>::results(const std::vector<std::string> &ids,
                                                  const std::vector<std::string> &granted) const
{
    absl::flat_hash_set<std::string> open(granted.begin(), granted.end());
    std::vector<ClaimResult> results;
    for (const std::string &id : ids) {
        const ClaimResult refused = known(id) ? ClaimResult::Taken : ClaimResult::Unavailable;
        results.push_back(open.erase(id) > 0 ? ClaimResult::Granted : refused);
    }
    return results;
}

template<platform::ObjectStoreLike Store>
std::vector<std::string> ClaimLog<Store>::unclaimed(const std::vector<std::string> &ids) const
{
    std::vector<std::string> open;
    absl::flat_hash_set<ClaimDigest> seen;
    for (const std::string &id : ids) {
        if (!known(id) && seen.insert(claimDigest(id)).second) {
            open.push_back(id);
        }
    }
    return open;
}

template<platform::ObjectStoreLike Store>
void ClaimLog<Store>::merge(std::uint64_t sequence, std::uint64_t version, const ClaimEntry &entry)
{
    Known &known = entries_[sequence];
    known = {version, entry.wallMs, {}};
    for (const std::string &id : entry.ids) {
        known.ids.push_back(claimDigest(id));
        known_.insert(known.ids.back());
    }
    next_ = std::max(next_, sequence + 1);
}

// Every attempt writes the same bytes at the same number, so an earlier attempt that takes effect late is the same
// append.
template<platform::ObjectStoreLike Store>
typename ClaimLog<Store>::Append ClaimLog<Store>::appendOnce(const ClaimEntry &entry)
{
    const std::string value = entry.encode();
    for (int attempt = 0; attempt < settings_.maxUnknown; ++attempt) {
        const auto version = store_.putIf(claimKey(slot_, next_), platform::CreateOnly, value);
        if (version.ok()) {
            merge(next_, *version, entry);
            return Append::Done;
        }
        if (const auto found = readBack(entry); found) {
            return *found;
        }
    }
    return Append::Unknown;
}

// Looks at the entry that stands at the next number: the own one after a lost answer, or another daemon's.
template<platform::ObjectStoreLike Store>
std::optional<typename ClaimLog<Store>::Append> ClaimLog<Store>::readBack(const ClaimEntry &entry)
{
    const auto object = store_.get(claimKey(slot_, next_));
    if (!object.ok()) {
        return std::nullopt;
    }
    const auto standing = ClaimEntry::decode(object->value);
    if (!standing) {
        return Append::Unknown;
    }
    merge(next_, object->version, *standing);
    return standing->nonce == entry.nonce ? Append::Done : Append::Conflict;
}

template<platform::ObjectStoreLike Store>
absl::Status ClaimLog<Store>::damaged(std::string_view key) const
{
    return makeError(absl::StatusCode::kDataLoss, Step::Claim, key, Outcome::NotRun, "claim log is damaged");
}

template<platform::ObjectStoreLike Store>
absl::Status ClaimLog<Store>::load(Instant now)
{
    const auto list = store_.list(claimPrefix(slot_));
    if (!list.ok()) {
        return list.status();
    }
    std::map<std::uint64_t, std::pair<std::uint64_t, ClaimEntry>> loaded;
    for (const platform::StoredObject &object : list->objects) {
        const auto sequence = claimSequence(object.key);
        auto entry = ClaimEntry::decode(object.value);
        if (!sequence || !entry) {
            return damaged(object.key);
        }
        loaded.emplace(*sequence, std::make_pair(object.version, *std::move(entry)));
    }
    // A gap could hide claims; without a gap all ids between the oldest kept entry and the newest are known.
    if (!loaded.empty() && loaded.rbegin()->first - loaded.begin()->first + 1 != loaded.size()) {
        return damaged(claimPrefix(slot_));
    }
    for (const auto &[sequence, object] : loaded) {
        merge(sequence, object.first, object.second);
    }
    lastAnswer_ = now;
    return absl::OkStatus();
}

template<platform::ObjectStoreLike Store>
absl::StatusOr<std::size_t> ClaimLog<Store>::removeOld(std::int64_t wallMs, std::size_t limit)
{
    std::size_t removed = 0;
    while (removed < limit && entries_.size() > 1) {
        const auto oldest = entries_.begin();
        if (absl::Milliseconds(wallMs - oldest->second.wallMs) <= settings_.retention) {
            break;
        }
        const absl::Status status = store_.removeIf(claimKey(slot_, oldest->first), oldest->second.version);
        // A mismatch means that an earlier owner has removed it.
        if (!status.ok() && !absl::IsAborted(status) && !absl::IsNotFound(status)) {
            return status;
        }
        for (const ClaimDigest &id : oldest->second.ids) {
            known_.erase(id);
        }
        entries_.erase(oldest);
        ++removed;
    }
    return removed;
}

} // namespace currantlug::requests

#endif
