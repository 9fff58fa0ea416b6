// Applies tickets in order and keeps the recent past.
#include "config/tickethistory.h"

#include <fmt/format.h>

#include <cassert>

namespace currantlug::config {

TicketHistory::TicketHistory(TicketHistorySettings settings)
    : settings_(settings)
    , current_(std::make_shared<ConfigState>())
{
    snapshots_.push_back(current_);
}

absl::StatusOr<bool> TicketHistory::apply(const Ticket &ticket, std::int64_t wallMs)
{
    if (ticket.number <= head()) {
        const Ticket *kept = find(ticket.number);
        if (kept != nullptr && *kept != ticket) {
            return absl::DataLossError(
                fmt::format("two tickets with number {}: nonces {} and {}", ticket.number, kept->nonce, ticket.nonce));
        }
        return false;
    }
    if (ticket.number != head() + 1) {
        return absl::FailedPreconditionError(
            fmt::format("ticket {} does not follow ticket {} in force", ticket.number, head()));
    }
    auto next = std::make_shared<ConfigState>(*current_);
    next->apply(ticket);
    current_ = std::move(next);
    const std::size_t bytes = toJson(ticket).dump().size();
    tickets_.push_back({ticket, bytes});
    ticketBytes_ += bytes;
    recordTime(wallMs);
    if (head() % settings_.snapshotEvery == 0) {
        snapshots_.push_back(current_);
    }
    prune();
    return true;
}

bool TicketHistory::adopt(ConfigState state, std::int64_t wallMs)
{
    if (state.number() <= head()) {
        return false;
    }
    // The tickets in between are unknown here, so the kept past starts anew.
    current_ = std::make_shared<ConfigState>(std::move(state));
    snapshots_.assign(1, current_);
    tickets_.clear();
    ticketBytes_ = 0;
    recordTime(wallMs);
    return true;
}

std::optional<std::vector<Ticket>> TicketHistory::ticketsAfter(std::uint64_t head) const
{
    if (head < snapshots_.front()->number()) {
        return std::nullopt;
    }
    std::vector<Ticket> result;
    for (std::uint64_t number = head + 1; number <= this->head(); ++number) {
        result.push_back(*find(number));
    }
    return result;
}

const Ticket *TicketHistory::find(std::uint64_t number) const
{
    const std::uint64_t first = snapshots_.front()->number() + 1;
    if (number < first || number > head()) {
        return nullptr;
    }
    return &tickets_[number - first].ticket;
}

absl::StatusOr<std::shared_ptr<const ConfigState>> TicketHistory::stateAt(std::uint64_t number) const
{
    if (number > head()) {
        return absl::NotFoundError(fmt::format("ticket {} is not in force; the newest is {}", number, head()));
    }
    if (number < snapshots_.front()->number()) {
        return absl::OutOfRangeError(fmt::format("states before ticket {} are not kept", snapshots_.front()->number()));
    }
    if (number == head()) {
        return current_;
    }
    auto base = snapshots_.rbegin();
    while ((*base)->number() > number) {
        ++base;
    }
    if ((*base)->number() == number) {
        return *base;
    }
    auto state = std::make_shared<ConfigState>(**base);
    while (state->number() < number) {
        state->apply(*find(state->number() + 1));
    }
    return std::shared_ptr<const ConfigState>(std::move(state));
}

std::shared_ptr<const ConfigState> TicketHistory::newestSnapshot() const
{
    for (auto state = snapshots_.rbegin(); state != snapshots_.rend(); ++state) {
        if ((*state)->number() > 0 && (*state)->number() % settings_.snapshotEvery == 0) {
            return *state;
        }
    }
    return nullptr;
}

absl::StatusOr<std::uint64_t> TicketHistory::numberAt(std::int64_t wallMs) const
{
    // Wall time may step back, so the records need not be sorted by it: the last one at or before the time counts.
    for (auto record = times_.rbegin(); record != times_.rend(); ++record) {
        if (record->wallMs <= wallMs) {
            return record->number;
        }
    }
    return absl::OutOfRangeError("before the first ticket that came in force in this process");
}

void TicketHistory::recordTime(std::int64_t wallMs)
{
    times_.push_back({head(), wallMs});
    if (times_.size() > settings_.keptTimes) {
        times_.pop_front();
    }
}

// Drops the oldest snapshot, and the tickets up to the next one, while a bound is exceeded.
void TicketHistory::prune()
{
    while (snapshots_.size() > 1
           && (snapshots_.size() > settings_.keptSnapshots || ticketBytes_ > settings_.keptTicketBytes)) {
        snapshots_.pop_front();
        while (!tickets_.empty() && tickets_.front().ticket.number <= snapshots_.front()->number()) {
            ticketBytes_ -= tickets_.front().bytes;
            tickets_.pop_front();
        }
    }
    // Large tickets may exceed the bound before the next snapshot is due; the current state then becomes the base.
    if (ticketBytes_ > settings_.keptTicketBytes) {
        snapshots_.assign(1, current_);
        tickets_.clear();
        ticketBytes_ = 0;
    }
    assert(snapshots_.front()->number() + tickets_.size() == head());
}

} // namespace currantlug::config
