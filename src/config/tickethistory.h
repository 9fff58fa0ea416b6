// The tickets that came in force in this process, in order, with the time each did.
#ifndef CURRANTLUG_CONFIG_TICKETHISTORY_H
#define CURRANTLUG_CONFIG_TICKETHISTORY_H

#include "config/configstate.h"

#include <deque>
#include <memory>

namespace currantlug::config {

struct TicketHistorySettings
{
    std::uint64_t snapshotEvery = 64; ///< Tickets between kept states.
    std::size_t keptSnapshots = 4; ///< Older states are answered from the store (ConfigReader::stateAt).
    std::size_t keptTicketBytes = 8'000'000; ///< Bound on kept tickets, as a single one may have 1 MB.
    std::size_t keptTimes = 8192; ///< In-force records, about twelve days at 670 tickets per day.
};

/// When a ticket came in force here.
struct InForceRecord
{
    std::uint64_t number = 0;
    std::int64_t wallMs = 0; ///< For display only; wall time may step.
};

/// Not thread-safe; the state it hands out is immutable and may be read by any thread.
class TicketHistory
{
public:
    explicit TicketHistory(TicketHistorySettings settings = {});

    std::uint64_t head() const { return current_->number(); }
    std::shared_ptr<const ConfigState> current() const { return current_; }

    /// Applies the ticket with number head() + 1. True if it came in force; false if that number is in force already.
    /// kFailedPrecondition for a gap; kDataLoss for a second ticket with a number whose ticket is kept here.
    absl::StatusOr<bool> apply(const Ticket &ticket, std::int64_t wallMs);

    /// Replaces the state by a newer one loaded as a snapshot. False if the state is not newer.
    bool adopt(ConfigState state, std::int64_t wallMs);

    /// The tickets after number `head` in order; nullopt if some of them are no longer kept (send the state instead).
    std::optional<std::vector<Ticket>> ticketsAfter(std::uint64_t head) const;

    /// The kept ticket, or nullptr.
    const Ticket *find(std::uint64_t number) const;

    /// The state after ticket `number`. kOutOfRange if it is no longer kept, kNotFound if it is not in force yet.
    absl::StatusOr<std::shared_ptr<const ConfigState>> stateAt(std::uint64_t number) const;

    /// The newest kept state whose number is a multiple of snapshotEvery, or nullptr; relays write it to the store.
    std::shared_ptr<const ConfigState> newestSnapshot() const;

    /// Number of the last ticket that was in force here at this wall time. kOutOfRange before the first kept record.
    absl::StatusOr<std::uint64_t> numberAt(std::int64_t wallMs) const;

    const std::deque<InForceRecord> &times() const { return times_; }

private:
    struct KeptTicket
    {
        Ticket ticket;
        std::size_t bytes = 0;
    };

    void recordTime(std::int64_t wallMs);
    void prune();

    TicketHistorySettings settings_;
    std::shared_ptr<const ConfigState> current_;
    std::deque<std::shared_ptr<const ConfigState>> snapshots_; ///< Ascending; the first is the oldest state kept.
    std::deque<KeptTicket> tickets_; ///< Consecutive numbers, starting after snapshots_.front(), ending at head().
    std::deque<InForceRecord> times_; ///< Ascending numbers.
    std::size_t ticketBytes_ = 0; ///< Sum over tickets_.
};

} // namespace currantlug::config

#endif
