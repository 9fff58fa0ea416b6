// Accounting of shares.
#include "net/memorybudget.h"

namespace currantlug::net {

bool MemoryShare::growTo(std::uint64_t bytes)
{
    if (budget_ == nullptr || bytes <= bytes_) {
        return true;
    }
    // A body without others beside it may be larger, so that the largest legal one is served on small machines when
    // calm.
    const bool alone = kind_ == MemoryKind::Body && budget_->used() == bytes_ && budget_->small() <= budget_->reserve();
    if (!budget_->allows(kind_, bytes - bytes_) && !(alone && bytes <= budget_->limit_ + budget_->reserve())) {
        ++budget_->refusals_;
        return false;
    }
    setTo(bytes);
    return true;
}

void MemoryShare::setTo(std::uint64_t bytes)
{
    if (budget_ != nullptr) {
        std::uint64_t &used = budget_->used_[static_cast<std::size_t>(kind_)];
        used = used - bytes_ + bytes;
        bytes_ = bytes;
    }
}

void MemoryShare::release()
{
    setTo(0);
}

std::uint64_t MemoryBudget::small() const
{
    std::uint64_t sum = 0;
    for (const std::uint64_t bytes : used_) {
        sum += bytes;
    }
    return sum - used();
}

bool MemoryBudget::allows(MemoryKind kind, std::uint64_t more) const
{
    const std::uint64_t smallBytes = small();
    if (kind != MemoryKind::Body && smallBytes <= reserve() && more <= reserve() - smallBytes) {
        return true;
    }
    // Small data beyond the reserve takes room from bodies.
    const std::uint64_t beyond = smallBytes > reserve() ? smallBytes - reserve() : 0;
    const std::uint64_t taken = used() + beyond;
    return taken <= limit_ && more <= limit_ - taken;
}

bool MemoryBudget::giveUpLargerThan(std::uint64_t bytes)
{
    const Holder *chosen = nullptr;
    for (const auto &[key, holder] : holders_) {
        const std::uint64_t largest = holder.largest();
        if (largest > bytes) {
            bytes = largest;
            chosen = &holder;
        }
    }
    if (chosen == nullptr) {
        return false;
    }
    ++givenUp_;
    chosen->giveUpLargest();
    return true;
}

} // namespace currantlug::net
