#include "routing/limits.h"

#include <algorithm>
#include <cassert>

namespace currantlug::routing {

TokenBucket::TokenBucket(double perSecond, double burst, Instant now)
    : perSecond_(perSecond)
    , burst_(burst)
    , level_(burst)
    , at_(now)
{
}

double TokenBucket::levelAt(Instant now) const
{
    return std::min(burst_, level_ + perSecond_ * std::max(0.0, absl::ToDoubleSeconds(now - at_)));
}

bool TokenBucket::take(double tokens, Instant now)
{
    if (perSecond_ <= 0) {
        return true;
    }
    level_ = levelAt(now);
    at_ = std::max(at_, now);
    if (level_ < std::min(tokens, burst_)) {
        return false;
    }
    level_ -= tokens;
    return true;
}

void TokenBucket::giveBack(double tokens)
{
    level_ = std::min(burst_, level_ + tokens);
}

absl::Duration TokenBucket::wait(double tokens, Instant now) const
{
    const double missing = std::min(tokens, burst_) - levelAt(now);
    if (perSecond_ <= 0 || missing <= 0) {
        return absl::ZeroDuration();
    }
    return absl::Seconds(missing / perSecond_) + absl::Milliseconds(1);
}

void TokenBucket::configure(double perSecond, double burst, Instant now)
{
    level_ = perSecond_ <= 0 ? burst : std::min(levelAt(now), burst);
    perSecond_ = perSecond;
    burst_ = burst;
    at_ = now;
}

LimitSettings shareOf(const LimitSettings &siteWide, std::uint32_t liveDaemons)
{
    const std::uint32_t daemons = std::max(liveDaemons, 1U);
    LimitSettings share = siteWide;
    share.tokensPerSecond = siteWide.tokensPerSecond / daemons;
    share.maxInFlight = (siteWide.maxInFlight + daemons - 1) / daemons;
    return share;
}

void Limits::set(const std::string &name, const LimitSettings &siteWide, Instant now)
{
    Entry &entry = entries_[name];
    entry.siteWide = siteWide;
    entry.share = shareOf(siteWide, liveDaemons_);
    entry.limited = true;
    entry.bucket.configure(entry.share.tokensPerSecond, entry.share.tokensPerSecond * entry.share.burstSeconds, now);
}

void Limits::erase(const std::string &name)
{
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        return;
    }
    if (found->second.inFlight == 0) {
        entries_.erase(found);
        return;
    }
    found->second = Entry{.inFlight = found->second.inFlight};
}

void Limits::setLiveDaemons(std::uint32_t count, Instant now)
{
    liveDaemons_ = std::max(count, 1U);
    for (auto &[name, entry] : entries_) {
        if (entry.limited) {
            entry.share = shareOf(entry.siteWide, liveDaemons_);
            const double rate = entry.share.tokensPerSecond;
            entry.bucket.configure(rate, rate * entry.share.burstSeconds, now);
        }
    }
}

absl::Duration Limits::rateWait(const std::string &name, double tokens, Instant now) const
{
    const auto found = entries_.find(name);
    return found == entries_.end() ? absl::ZeroDuration() : found->second.bucket.wait(tokens, now);
}

void Limits::takeRate(const std::string &name, double tokens, Instant now)
{
    const auto found = entries_.find(name);
    if (found != entries_.end()) {
        const bool taken = found->second.bucket.take(tokens, now);
        assert(taken);
        (void)taken;
    }
}

void Limits::giveBackRate(const std::string &name, double tokens)
{
    const auto found = entries_.find(name);
    if (found != entries_.end() && found->second.limited) {
        found->second.bucket.giveBack(tokens);
    }
}

bool Limits::hasSlot(const std::string &name) const
{
    const auto found = entries_.find(name);
    return found == entries_.end() || found->second.share.maxInFlight == 0
        || found->second.inFlight < found->second.share.maxInFlight;
}

void Limits::takeSlot(const std::string &name)
{
    ++entries_[name].inFlight;
}

void Limits::freeSlot(const std::string &name)
{
    const auto found = entries_.find(name);
    assert(found != entries_.end() && found->second.inFlight > 0);
    --found->second.inFlight;
    if (found->second.inFlight == 0 && !found->second.limited) {
        entries_.erase(found);
    }
}

std::uint32_t Limits::inFlight(const std::string &name) const
{
    const auto found = entries_.find(name);
    return found == entries_.end() ? 0 : found->second.inFlight;
}

} // namespace currantlug::routing
