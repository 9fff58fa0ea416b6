// Pure decision of when waiting claims are appended to the claim log.
#ifndef CURRANTLUG_REQUESTS_CLAIMBATCH_H
#define CURRANTLUG_REQUESTS_CLAIMBATCH_H

#include "core/enumnames.h"
#include "core/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::requests {

/// The identity of a non-idempotent request: SHA-256 over workspace and Idempotency-Key.
std::string claimId(std::string_view workspace, std::string_view idempotencyKey);

/// The slot whose log holds the id.
std::uint32_t claimSlot(std::string_view claimId, std::uint32_t slotCount);

enum class ClaimResult {
    Granted, ///< The request may run, once.
    Taken, ///< The id was claimed before; the earlier request may have run.
    Unavailable, ///< No claim could be made; the request must not run.
};

struct ClaimBatchSettings
{
    absl::Duration interval = absl::Milliseconds(100); ///< Between the starts of two appends to one slot.
    std::size_t maxIds = 4096; ///< Of one append; 64 bytes each, within the store's 1 MB.
    std::size_t maxWaiting = 16384; ///< More claims are refused at once.
};

/// Collects claims of one slot. Not thread-safe.
class ClaimBatch
{
public:
    using Ticket = std::uint64_t; ///< Identifies a waiting claim.
    struct Waiting
    {
        Ticket ticket = 0;
        std::string id;
    };

    explicit ClaimBatch(ClaimBatchSettings settings = {})
        : settings_(settings)
    {
    }

    /// Adds a claim; nullopt when too many wait.
    std::optional<Ticket> add(std::string id);

    /// When the waiting claims are to be appended: at once after a pause, otherwise one interval after the last append
    /// began. nullopt where none waits or an append is running.
    std::optional<Instant> due() const;

    /// Starts an append: returns the claims to append, oldest first, or nothing before they are due.
    std::vector<Waiting> take(Instant now);

    /// Ends the append that take() started.
    void finished() { running_ = false; }

    std::size_t waiting() const { return waiting_.size(); }

private:
    ClaimBatchSettings settings_;
    std::vector<Waiting> waiting_;
    std::optional<Instant> lastStart_;
    Ticket nextTicket_ = 1;
    bool running_ = false;
};

} // namespace currantlug::requests

template<>
struct currantlug::EnumNames<currantlug::requests::ClaimResult>
{
    using ClaimResult = requests::ClaimResult;
    static constexpr std::array<std::pair<ClaimResult, std::string_view>, 3> Table{{
        {ClaimResult::Granted, "granted"},
        {ClaimResult::Taken, "taken"},
        {ClaimResult::Unavailable, "unavailable"},
    }};
};

#endif
