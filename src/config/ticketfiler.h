// Files a ticket: validates, stores, updates the head, pushes to the members, and says what is certain (design 4.1).
#ifndef CURRANTLUG_CONFIG_TICKETFILER_H
#define CURRANTLUG_CONFIG_TICKETFILER_H

#include "config/confighead.h"
#include "core/hash.h"
#include "core/instant.h"

#include <functional>
#include <optional>

namespace currantlug::config {

enum class FilingOutcome {
    Accepted, ///< Stored, and more than half of the members hold it.
    Stored, ///< Stored, not yet confirmed in force; confirm() asks again.
    Conflict, ///< Another ticket has the number.
    Invalid,
    Unavailable, ///< The error's outcome says whether the ticket may have been stored.
};

struct FilingResult
{
    FilingOutcome outcome = FilingOutcome::Unavailable;
    Ticket ticket; ///< As stored, with nonce and filing time.
    std::optional<Ticket> winner; ///< Conflict: the ticket that has the number.
    std::vector<std::string> touchedByBoth; ///< Conflict: objects that both tickets touch.
    Problems problems; ///< Invalid.
    absl::Status error; ///< Unavailable: why. Stored: what is missing.
    int acknowledged = 0; ///< Members that hold the ticket.
    int members = 0;
};

/// How the filer reaches the members. pushTicket applies the ticket in this daemon and pushes it to the other members,
/// and returns how many members (this daemon included, if it is one) said within the duration that they hold it. Each
/// member counts once, under the incarnation that is in the list. While a member list is not yet in effect, the result
/// must be the one that is smaller against its own list, and memberCount() that list's size.
template<class T>
concept TicketMembers = requires(T members, const Ticket &ticket, absl::Duration within)
{
    {
        members.pushTicket(ticket, within)
        } -> std::same_as<int>;
    {
        members.memberCount()
        } -> std::same_as<int>;
};

struct TicketFilerSettings
{
    absl::Duration pushWindow = absl::Seconds(5);
    /// An acknowledgement older than this does not count any more. It must stay below FreshnessSettings::restartWait:
    /// a member that restarts forgets what it acknowledged, and waits that long before it attests again.
    absl::Duration acknowledgementAge = absl::Milliseconds(5500);
    int storeAttempts = 3; ///< Each attempt waits for the client's own timeout.
    std::uint64_t maxCatchUp = 64; ///< Tickets read from the store where this daemon is behind the operator.
};

template<platform::ObjectStoreLike Store, TicketMembers Members>
class TicketFiler
{
public:
    TicketFiler(Store &store, Members &members, TicketFilerSettings settings = {},
                std::function<Instant()> clock = monotonicNow)
        : store_(store)
        , members_(members)
        , settings_(settings)
        , clock_(std::move(clock))
    {
    }

    /// Files the ticket on the state that this daemon holds. The number must be the one after the state on which the
    /// operator decided. Filing the same ticket with the same nonce again, on any daemon, continues where the first
    /// attempt stopped, so an operator's tool may repeat a call whose answer it lost.
    FilingResult file(Ticket ticket, const ConfigState &held, std::int64_t wallMs);

    /// Pushes a stored ticket again, for an operator's tool that waits after Stored. `held` has applied the ticket.
    FilingResult confirm(const Ticket &ticket, const ConfigState &held);

private:
    FilingResult fileStamped(Ticket ticket, const ConfigState &held);
    /// The state at `number`, from the held state and tickets read from the store.
    absl::StatusOr<ConfigState> catchUp(const ConfigState &held, std::uint64_t number);
    /// The ticket object as it is stored, kNotFound if there is none.
    absl::StatusOr<Ticket> read(std::uint64_t number);
    /// Creates the ticket object and returns the ticket that has the number now.
    absl::StatusOr<Ticket> create(const Ticket &ticket);
    FilingResult conflict(Ticket ticket, Ticket winner) const;
    FilingResult unavailable(Ticket ticket, absl::Status error) const;
    FilingResult invalid(Ticket ticket, Problems problems) const;
    FilingResult refile(Ticket ticket, const ConfigState &held);

    Store &store_;
    Members &members_;
    TicketFilerSettings settings_;
    std::function<Instant()> clock_;
};

template<platform::ObjectStoreLike Store, TicketMembers Members>
FilingResult TicketFiler<Store, Members>::file(Ticket ticket, const ConfigState &held, std::int64_t wallMs)
{
    const bool mayBeRepeated = !ticket.nonce.empty();
    if (!mayBeRepeated) {
        ticket.nonce = randomHex(16);
    }
    ticket.filedMs = wallMs;
    FilingResult result = fileStamped(std::move(ticket), held);
    // This call wrote nothing, but an earlier one with the same nonce may have stored the ticket.
    if (mayBeRepeated && result.outcome == FilingOutcome::Unavailable) {
        const ErrorContext context = errorContext(result.error);
        result.error = makeError(result.error.code(), context.step, context.peer, Outcome::MayHaveRun,
                                 std::string(result.error.message()));
    }
    return result;
}

template<platform::ObjectStoreLike Store, TicketMembers Members>
FilingResult TicketFiler<Store, Members>::fileStamped(Ticket ticket, const ConfigState &held)
{
    if (ticket.number == 0) {
        return invalid(std::move(ticket), {{"number", "the number after the state it changes", "0"}});
    }
    if (ticket.number <= held.number()) {
        return refile(std::move(ticket), held);
    }
    absl::StatusOr<ConfigState> state = catchUp(held, ticket.number - 1);
    if (state.status().code() == absl::StatusCode::kNotFound) {
        const std::string found = std::to_string(ticket.number);
        return invalid(std::move(ticket), {{"number", "the number after the newest ticket", found}});
    }
    if (!state.ok()) {
        return unavailable(std::move(ticket), state.status());
    }
    if (Problems problems = state->validate(ticket); !problems.empty()) {
        return invalid(std::move(ticket), std::move(problems));
    }
    absl::StatusOr<Ticket> stored = create(ticket);
    if (!stored.ok()) {
        return unavailable(std::move(ticket), stored.status());
    }
    if (!sameChange(*stored, ticket)) {
        return conflict(std::move(ticket), *std::move(stored));
    }
    state->apply(*stored);
    return confirm(*stored, *state);
}

template<platform::ObjectStoreLike Store, TicketMembers Members>
FilingResult TicketFiler<Store, Members>::confirm(const Ticket &ticket, const ConfigState &held)
{
    FilingResult result{.outcome = FilingOutcome::Stored, .ticket = ticket};
    // A reader may take an old head for the newest one, so nothing is accepted before the head is stored.
    if (const auto head = advanceHead(store_, held, 0); !head.ok()) {
        result.error = head.status();
    }
    const int membersBefore = members_.memberCount();
    const Instant pushedAt = clock_();
    result.acknowledged = members_.pushTicket(ticket, settings_.pushWindow);
    result.members = std::max(membersBefore, members_.memberCount());
    const bool recent = clock_() - pushedAt <= settings_.acknowledgementAge;
    if (result.error.ok() && recent && 2 * result.acknowledged > result.members) {
        result.outcome = FilingOutcome::Accepted;
    } else if (result.error.ok()) {
        result.error = makeError(absl::StatusCode::kDeadlineExceeded, Step::Ticket, "members", Outcome::Ran,
                                 "stored, not yet confirmed in force");
    }
    return result;
}

template<platform::ObjectStoreLike Store, TicketMembers Members>
FilingResult TicketFiler<Store, Members>::refile(Ticket ticket, const ConfigState &held)
{
    absl::StatusOr<Ticket> stored = read(ticket.number);
    if (!stored.ok()) {
        return unavailable(std::move(ticket), stored.status());
    }
    if (!sameChange(*stored, ticket)) {
        return conflict(std::move(ticket), *std::move(stored));
    }
    return confirm(*stored, held);
}

template<platform::ObjectStoreLike Store, TicketMembers Members>
absl::StatusOr<ConfigState> TicketFiler<Store, Members>::catchUp(const ConfigState &held, std::uint64_t number)
{
    if (number - held.number() > settings_.maxCatchUp) {
        return absl::NotFoundError("number too high");
    }
    ConfigState state = held;
    while (state.number() < number) {
        const absl::StatusOr<Ticket> next = read(state.number() + 1);
        if (!next.ok()) {
            return next.status();
        }
        state.apply(*next);
    }
    return state;
}

template<platform::ObjectStoreLike Store, TicketMembers Members>
absl::StatusOr<Ticket> TicketFiler<Store, Members>::read(std::uint64_t number)
{
    const auto stored = store_.get(ticketKey(number));
    if (!stored.ok()) {
        return stored.status();
    }
    return parseTicketText(stored->value);
}

template<platform::ObjectStoreLike Store, TicketMembers Members>
absl::StatusOr<Ticket> TicketFiler<Store, Members>::create(const Ticket &ticket)
{
    const std::string key = ticketKey(ticket.number);
    const std::string text = toJson(ticket).dump();
    // Set once a write may have taken effect; it may still do so after a read that does not find it.
    bool mayBeStored = false;
    absl::Status last;
    for (int attempt = 0; attempt < settings_.storeAttempts; ++attempt) {
        const auto written = store_.putIf(key, platform::CreateOnly, text);
        if (written.ok()) {
            return ticket;
        }
        last = written.status();
        const bool mismatch = last.code() == absl::StatusCode::kAborted;
        if (!mismatch && errorContext(last).outcome == Outcome::NotRun && !mayBeStored) {
            break;
        }
        mayBeStored = mayBeStored || !mismatch;
        absl::StatusOr<Ticket> stored = read(ticket.number);
        if (stored.ok() || stored.status().code() == absl::StatusCode::kDataLoss) {
            return stored;
        }
    }
    return makeError(absl::StatusCode::kUnavailable, Step::Store, key,
                     mayBeStored ? Outcome::MayHaveRun : Outcome::NotRun, std::string(last.message()));
}

template<platform::ObjectStoreLike Store, TicketMembers Members>
FilingResult TicketFiler<Store, Members>::conflict(Ticket ticket, Ticket winner) const
{
    FilingResult result{.outcome = FilingOutcome::Conflict};
    result.touchedByBoth = touchedByBoth(ticket, winner);
    result.ticket = std::move(ticket);
    result.winner = std::move(winner);
    return result;
}

template<platform::ObjectStoreLike Store, TicketMembers Members>
FilingResult TicketFiler<Store, Members>::unavailable(Ticket ticket, absl::Status error) const
{
    FilingResult result{.outcome = FilingOutcome::Unavailable, .ticket = std::move(ticket)};
    result.error = std::move(error);
    return result;
}

template<platform::ObjectStoreLike Store, TicketMembers Members>
FilingResult TicketFiler<Store, Members>::invalid(Ticket ticket, Problems problems) const
{
    FilingResult result{.outcome = FilingOutcome::Invalid, .ticket = std::move(ticket)};
    result.error = problemsToStatus(problems);
    result.problems = std::move(problems);
    return result;
}

} // namespace currantlug::config

template<>
struct currantlug::EnumNames<currantlug::config::FilingOutcome>
{
    using FilingOutcome = currantlug::config::FilingOutcome;
    static constexpr std::array<std::pair<FilingOutcome, std::string_view>, 5> Table{{
        {FilingOutcome::Accepted, "accepted"},
        {FilingOutcome::Stored, "stored"},
        {FilingOutcome::Conflict, "conflict"},
        {FilingOutcome::Invalid, "invalid"},
        {FilingOutcome::Unavailable, "unavailable"},
    }};
};

#endif
