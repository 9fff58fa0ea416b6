// Budget for the memory that data of clients and peers may take in this process: bodies, heads, bytes that arrive
// before their turn, and answers that wait for their clients. A process that used more than its machine grants would be
// killed with everything in it.
#ifndef CURRANTLUG_NET_MEMORYBUDGET_H
#define CURRANTLUG_NET_MEMORYBUDGET_H

#include "core/enumnames.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <utility>

namespace currantlug::net {

/// What a share of the budget is for. Bodies include everything that is large; the other kinds may also use the
/// reserve of the budget.
enum class MemoryKind { Body, SmallBody, Head, Pipelined, Unsent };

} // namespace currantlug::net

template<>
struct currantlug::EnumNames<currantlug::net::MemoryKind>
{
    using Kind = currantlug::net::MemoryKind;
    static constexpr std::array<std::pair<Kind, std::string_view>, 5> Table{{
        {Kind::Body, "body"},
        {Kind::SmallBody, "small_body"},
        {Kind::Head, "head"},
        {Kind::Pipelined, "pipelined"},
        {Kind::Unsent, "unsent"},
    }};
};

namespace currantlug::net {

class MemoryBudget;

/// A part of a budget, given back when it is destroyed. The budget must outlive it.
class MemoryShare
{
public:
    MemoryShare() = default;
    explicit MemoryShare(MemoryBudget &budget, MemoryKind kind = MemoryKind::Body)
        : budget_(&budget)
        , kind_(kind)
    {
    }
    MemoryShare(MemoryShare &&other) noexcept
        : budget_(std::exchange(other.budget_, nullptr))
        , kind_(other.kind_)
        , bytes_(std::exchange(other.bytes_, 0))
    {
    }
    MemoryShare &operator=(MemoryShare &&other) noexcept
    {
        if (this != &other) {
            release();
            budget_ = std::exchange(other.budget_, nullptr);
            kind_ = other.kind_;
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
    MemoryKind kind_ = MemoryKind::Body;
    std::uint64_t bytes_ = 0;
};

class MemoryBudget
{
public:
    /// Something that holds memory for requests that haven't arrived whole, and can give one of them up.
    struct Holder
    {
        std::function<std::uint64_t()> largest; ///< Bytes of its largest unfinished request; 0 if there is none.
        std::function<void()> giveUpLargest;
    };

    explicit MemoryBudget(std::uint64_t limit = std::numeric_limits<std::uint64_t>::max())
        : limit_(limit)
    {
    }
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    std::uint64_t limit() const { return limit_; }
    /// Bytes beyond the limit that small data may take, so that ordinary requests get in beside large bodies.
    std::uint64_t reserve() const { return limit_ / 4; }
    /// Sum of the shares for bodies.
    std::uint64_t used() const { return usedOf(MemoryKind::Body); }
    std::uint64_t usedOf(MemoryKind kind) const { return used_[static_cast<std::size_t>(kind)]; }
    std::uint64_t refusals() const { return refusals_; }
    std::uint64_t givenUp() const { return givenUp_; }

    /// The key identifies the holder for removeHolder().
    void addHolder(const void *key, Holder holder) { holders_[key] = std::move(holder); }
    void removeHolder(const void *key) { holders_.erase(key); }
    /// Gives up the largest unfinished request of all holders if it holds more than `bytes`. Returns false if none
    /// does.
    bool giveUpLargerThan(std::uint64_t bytes);

private:
    friend class MemoryShare;
    std::uint64_t small() const;
    bool allows(MemoryKind kind, std::uint64_t more) const;

    std::uint64_t limit_; ///< In bytes.
    std::array<std::uint64_t, 5> used_{}; ///< By kind.
    std::uint64_t refusals_ = 0; ///< Since the start.
    std::uint64_t givenUp_ = 0; ///< Since the start.
    std::map<const void *, Holder> holders_;
};

} // namespace currantlug::net

#endif
