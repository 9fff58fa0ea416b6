// Budget for the memory that data of clients and peers may take in this process, such as bodies of requests. A process
// that used more than its machine grants would be killed with everything in it.
#ifndef CURRANTLUG_NET_MEMORYBUDGET_H
#define CURRANTLUG_NET_MEMORYBUDGET_H

#include <cstdint>
#include <limits>
#include <utility>

namespace currantlug::net {

class MemoryBudget;

/// A part of a budget, given back when it is destroyed. The budget must outlive it.
class MemoryShare
{
public:
    MemoryShare() = default;
    explicit MemoryShare(MemoryBudget &budget)
        : budget_(&budget)
    {
    }
    MemoryShare(MemoryShare &&other) noexcept
        : budget_(std::exchange(other.budget_, nullptr))
        , bytes_(std::exchange(other.bytes_, 0))
    {
    }
    MemoryShare &operator=(MemoryShare &&other) noexcept
    {
        if (this != &other) {
            release();
            budget_ = std::exchange(other.budget_, nullptr);
            bytes_ = std::exchange(other.bytes_, 0);
        }
        return *this;
    }
    ~MemoryShare() { release(); }

    /// Enlarges the share to this size. Returns false, and changes nothing, if the budget doesn't allow it.
    bool growTo(std::uint64_t bytes);
    /// Sets the size whatever the budget allows: for data that is taken in any case.
    void setTo(std::uint64_t bytes);
    std::uint64_t bytes() const { return bytes_; }
    void release();

private:
    MemoryBudget *budget_ = nullptr; ///< Null for a share without a budget, which has no limit.
    std::uint64_t bytes_ = 0;
};

class MemoryBudget
{
public:
    explicit MemoryBudget(std::uint64_t limit = std::numeric_limits<std::uint64_t>::max())
        : limit_(limit)
    {
    }
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    std::uint64_t limit() const { return limit_; }
    std::uint64_t used() const { return used_; }
    std::uint64_t refusals() const { return refusals_; }

private:
    friend class MemoryShare;

    std::uint64_t limit_; ///< In bytes.
    std::uint64_t used_ = 0; ///< Sum of the shares; over the limit only by setTo().
    std::uint64_t refusals_ = 0; ///< Since the start.
};

} // namespace currantlug::net

#endif
