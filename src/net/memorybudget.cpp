// Accounting of shares.
#include "net/memorybudget.h"

namespace currantlug::net {

bool MemoryShare::growTo(std::uint64_t bytes)
{
    if (budget_ == nullptr || bytes <= bytes_) {
        return true;
    }
    const std::uint64_t others = budget_->used_ - bytes_;
    if (others > budget_->limit_ || bytes > budget_->limit_ - others) {
        ++budget_->refusals_;
        return false;
    }
    budget_->used_ = others + bytes;
    bytes_ = bytes;
    return true;
}

void MemoryShare::setTo(std::uint64_t bytes)
{
    if (budget_ != nullptr) {
        budget_->used_ = budget_->used_ - bytes_ + bytes;
        bytes_ = bytes;
    }
}

void MemoryShare::release()
{
    setTo(0);
}

} // namespace currantlug::net
