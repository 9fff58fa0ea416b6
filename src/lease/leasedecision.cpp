// Lease arithmetic (design 4.4).
#include "lease/leasedecision.h"

#include <algorithm>
#include <cassert>

namespace currantlug::lease {

void LeaseDecision::observe(std::uint64_t version, const std::optional<LeaseRecord> &record, Instant now)
{
    const Attempt *attempt = record ? findAttempt(record->nonce) : nullptr;
    if (attempt != nullptr) {
        confirmAttempt(*attempt, version, now);
        return;
    }
    const bool changed = !seenSince_ || version != version_;
    if (!changed) {
        return;
    }
    // Somebody else wrote: a held lease is lost, and writes of unknown effect can no longer succeed.
    held_.reset();
    attempts_.clear();
    version_ = version;
    record_ = record;
    seenSince_ = now;
}

bool LeaseDecision::mayAcquire(Instant now) const
{
    if (held_ || !seenSince_) {
        return false;
    }
    if (record_ && (record_->holder.empty() || isOwnFormer(*record_))) {
        return true;
    }
    return now - *seenSince_ >= holderDuration() + settings_.margin;
}

bool LeaseDecision::mayAct(Instant now) const
{
    return held_ && now >= held_->actFrom && now < *deadline();
}

bool LeaseDecision::renewalDue(Instant now) const
{
    return held_ && now - held_->renewedAt >= settings_.renewEvery;
}

LeaseWrite LeaseDecision::beginWrite(std::string nonce, Instant now)
{
    assert(held_ || mayAcquire(now));
    const std::uint64_t previousTerm = record_ ? record_->term : 0;
    const std::uint64_t term = held_ ? held_->term : previousTerm + 1;
    const Instant actFrom = held_ ? held_->actFrom : firstActAfterAcquiring(now);
    LeaseRecord record{self_, std::move(nonce), term, settings_.duration};
    attempts_.push_back({record, now, actFrom});
    return {version_, std::move(record)};
}

void LeaseDecision::written(const std::string &nonce, std::uint64_t version, Instant now)
{
    if (const Attempt *attempt = findAttempt(nonce); attempt != nullptr) {
        confirmAttempt(*attempt, version, now);
    }
}

LeaseWrite LeaseDecision::beginRelease(std::string nonce)
{
    assert(held_);
    LeaseRecord record{DaemonId(), std::move(nonce), held_->term, settings_.duration};
    held_.reset();
    // A renewal of unknown effect must not bring the lease back once the holder has stopped acting.
    attempts_.clear();
    return {version_, std::move(record)};
}

std::optional<Instant> LeaseDecision::deadline() const
{
    return held_ ? std::optional(held_->renewedAt + settings_.duration) : std::nullopt;
}

std::optional<Instant> LeaseDecision::actFrom() const
{
    return held_ ? std::optional(held_->actFrom) : std::nullopt;
}

const LeaseDecision::Attempt *LeaseDecision::findAttempt(const std::string &nonce) const
{
    const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                    [&](const Attempt &attempt) { return attempt.record.nonce == nonce; });
    return found == attempts_.end() ? nullptr : &*found;
}

void LeaseDecision::confirmAttempt(const Attempt &attempt, std::uint64_t version, Instant now)
{
    held_ = Held{attempt.record.term, attempt.sentAt, attempt.actFrom};
    record_ = attempt.record;
    version_ = version;
    seenSince_ = now;
    // The other attempts expected an older version, so none of them can take effect any more.
    attempts_.clear();
}

// The predecessor sends nothing after its lease has lapsed, which is at the latest its duration after its record was
// first seen here. Its last send ends within the send bound, and the kernel gives up its bytes within the TCP timeout.
Instant LeaseDecision::firstActAfterAcquiring(Instant now) const
{
    const absl::Duration afterLapse = settings_.sendBound + settings_.tcpUserTimeout;
    if (record_ && isOwnFormer(*record_)) {
        return now;
    }
    if (record_ && record_->holder.empty()) {
        return now + afterLapse;
    }
    return *seenSince_ + holderDuration() + settings_.margin + afterLapse;
}

// A write of this process whose answer was lost is among the attempts, and so not a former process's.
bool LeaseDecision::isOwnFormer(const LeaseRecord &record) const
{
    return settings_.idNamesMachine && !held_ && record.holder == self_ && findAttempt(record.nonce) == nullptr;
}

// Without an object there may still be a holder: somebody may have deleted the object by hand.
absl::Duration LeaseDecision::holderDuration() const
{
    return record_ ? record_->duration : settings_.duration;
}

} // namespace currantlug::lease
