// Batching of claims and the identity of a request.
#include "requests/claimbatch.h"

#include "core/hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace currantlug::requests {

std::string claimId(std::string_view workspace, std::string_view idempotencyKey)
{
    return sha256Hex(fmt::format("{}:{}{}", workspace.size(), workspace, idempotencyKey));
}

std::uint32_t claimSlot(std::string_view claimId, std::uint32_t slotCount)
{
    return static_cast<std::uint32_t>(stableHash(claimId) % slotCount);
}

std::optional<ClaimBatch::Ticket> ClaimBatch::add(std::string id)
{
    if (waiting_.size() >= settings_.maxWaiting) {
        return std::nullopt;
    }
    waiting_.push_back({nextTicket_, std::move(id)});
    return nextTicket_++;
}

std::optional<Instant> ClaimBatch::due() const
{
    if (waiting_.empty() || running_) {
        return std::nullopt;
    }
    return lastStart_ ? *lastStart_ + settings_.interval : Instant();
}

std::vector<ClaimBatch::Waiting> ClaimBatch::take(Instant now)
{
    const auto at = due();
    if (!at || now < *at) {
        return {};
    }
    running_ = true;
    lastStart_ = now;
    const auto count = static_cast<std::ptrdiff_t>(std::min(waiting_.size(), settings_.maxIds));
    std::vector<Waiting> taken(std::make_move_iterator(waiting_.begin()),
                               std::make_move_iterator(waiting_.begin() + count));
    waiting_.erase(waiting_.begin(), waiting_.begin() + count);
    return taken;
}

} // namespace currantlug::requests
