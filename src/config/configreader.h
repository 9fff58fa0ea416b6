// Reads the configuration from the object store: at start, and in a poll loop in relays.
#ifndef CURRANTLUG_CONFIG_CONFIGREADER_H
#define CURRANTLUG_CONFIG_CONFIGREADER_H

#include "config/confighead.h"
#include "core/instant.h"

#include <functional>
#include <optional>

namespace currantlug::config {

/// What a read found. The caller adopts `state` if it is set, applies `tickets`, and then passes `head` and `asOf` to
/// FreshnessTracker::confirm.
struct ConfigUpdate
{
    std::optional<ConfigState> state; ///< A snapshot newer than the held state.
    std::vector<Ticket> tickets; ///< Consecutive, following `state` or else the held state.
    std::uint64_t head = 0; ///< No ticket above it existed at `asOf`.
    Instant asOf; ///< Before the call that confirmed the head was sent.
};

struct ConfigReaderSettings
{
    absl::Duration pollWait = absl::Seconds(1); ///< The confirmation counts from sending, so a longer wait ages it.
    absl::Duration headGrace = absl::Seconds(1); ///< Time for the filer to update the head itself.
    std::uint64_t missingSnapshots = 8; ///< Snapshots that may be missing in a row before a read gives up.
};

/// Used by one thread. Errors are those of the store; kDataLoss if a stored object is unreadable or missing.
template<platform::ObjectStoreLike Store>
class ConfigReader
{
public:
    explicit ConfigReader(Store &store, ConfigReaderSettings settings = {},
                          std::function<Instant()> clock = monotonicNow)
        : store_(store)
        , settings_(settings)
        , clock_(std::move(clock))
    {
    }

    /// Reads everything newer than `held`: head, the newest snapshot if that saves reading tickets, and the tickets
    /// after it, ten per call. For the start, a reader that polls rarely, and after an error.
    absl::StatusOr<ConfigUpdate> load(const ConfigState &held);

    /// Waits for changes with one call of at most pollWait. Falls back to load() on its first use and where the store
    /// no longer knows the changes since the last call.
    absl::StatusOr<ConfigUpdate> poll(const ConfigState &held);

    /// Completes a head update that the filer left out, and writes a snapshot that is due. Makes no call if there is
    /// nothing to do. `newestSnapshot` is TicketHistory::newestSnapshot().
    absl::Status maintain(const ConfigState &held, const ConfigState *newestSnapshot);

    /// The state after ticket `number`, for numbers that the history no longer keeps.
    absl::StatusOr<ConfigState> stateAt(std::uint64_t number);

private:
    absl::StatusOr<ConfigState> loadSnapshot(std::uint64_t atMost);
    absl::Status readTickets(std::uint64_t first, std::optional<std::uint64_t> last, ConfigUpdate &update);
    absl::Status takeEvents(const platform::WatchBatch &batch, std::uint64_t heldNumber, std::vector<Ticket> &tickets);

    Store &store_;
    ConfigReaderSettings settings_;
    std::function<Instant()> clock_;
    std::optional<std::uint64_t> revision_; ///< All changes up to it have been seen; unset until load() succeeds.
    std::uint64_t highestTicket_ = 0; ///< Highest ticket seen in the store.
    ConfigHead head_; ///< Last head seen.
    std::optional<Instant> headBehindSince_;
};

template<platform::ObjectStoreLike Store>
absl::StatusOr<ConfigUpdate> ConfigReader<Store>::load(const ConfigState &held)
{
    revision_.reset();
    const auto listed = store_.list(HeadKey);
    if (!listed.ok()) {
        return listed.status();
    }
    for (const platform::StoredObject &object : listed->objects) {
        absl::StatusOr<ConfigHead> head = parseHead(object.value);
        if (!head.ok()) {
            return head.status();
        }
        head_ = *std::move(head);
    }
    ConfigUpdate update{.head = held.number()};
    if (head_.snapshot > held.number()) {
        absl::StatusOr<ConfigState> snapshot = loadSnapshot(head_.snapshot);
        if (!snapshot.ok()) {
            return snapshot.status();
        }
        if (snapshot->number() > held.number()) {
            update.head = snapshot->number();
            update.state = *std::move(snapshot);
        }
    }
    if (absl::Status status = readTickets(update.head + 1, std::nullopt, update); !status.ok()) {
        return status;
    }
    if (update.head < std::max(head_.number, highestTicket_)) {
        return makeError(absl::StatusCode::kDataLoss, Step::Store, HeadKey, Outcome::Ran,
                         "tickets below the head are missing");
    }
    highestTicket_ = update.head;
    revision_ = listed->revision;
    return update;
}

template<platform::ObjectStoreLike Store>
absl::StatusOr<ConfigUpdate> ConfigReader<Store>::poll(const ConfigState &held)
{
    if (!revision_) {
        return load(held);
    }
    ConfigUpdate update{.asOf = clock_()};
    const auto batch = store_.watch(ConfigPrefix, *revision_, settings_.pollWait);
    if (batch.status().code() == absl::StatusCode::kOutOfRange) {
        return load(held);
    }
    if (!batch.ok()) {
        return batch.status();
    }
    if (absl::Status status = takeEvents(*batch, held.number(), update.tickets); !status.ok()) {
        return status;
    }
    // A caller that did not apply what an earlier poll returned has a gap that no event of this batch closes.
    update.head = std::max(highestTicket_, held.number());
    const std::uint64_t following = update.head - held.number();
    if (update.tickets.size() != following) {
        update.tickets.clear();
        const Instant asOf = update.asOf;
        const std::uint64_t head = update.head;
        if (absl::Status status = readTickets(held.number() + 1, head, update); !status.ok()) {
            return status;
        }
        update.asOf = asOf;
    }
    revision_ = batch->revision;
    return update;
}

template<platform::ObjectStoreLike Store>
absl::Status ConfigReader<Store>::maintain(const ConfigState &held, const ConfigState *newestSnapshot)
{
    const Instant now = clock_();
    const bool headBehind = held.number() > head_.number;
    if (!headBehind) {
        headBehindSince_.reset();
    } else if (!headBehindSince_) {
        headBehindSince_ = now;
    }
    const bool completeHead = headBehind && now - *headBehindSince_ >= settings_.headGrace;
    const bool writeSnapshot = newestSnapshot != nullptr && newestSnapshot->number() > head_.snapshot;
    if (writeSnapshot) {
        const auto written =
            store_.putIf(snapshotKey(newestSnapshot->number()), platform::CreateOnly, newestSnapshot->toJson().dump());
        // A mismatch means that another relay wrote the same state.
        if (!written.ok() && written.status().code() != absl::StatusCode::kAborted) {
            return written.status();
        }
    }
    if (!completeHead && !writeSnapshot) {
        return absl::OkStatus();
    }
    const auto head = advanceHead(store_, held, writeSnapshot ? newestSnapshot->number() : 0);
    if (!head.ok()) {
        return head.status();
    }
    head_ = *head;
    return absl::OkStatus();
}

template<platform::ObjectStoreLike Store>
absl::StatusOr<ConfigState> ConfigReader<Store>::stateAt(std::uint64_t number)
{
    absl::StatusOr<ConfigState> state = loadSnapshot(number);
    if (!state.ok()) {
        return state;
    }
    ConfigUpdate update;
    if (absl::Status status = readTickets(state->number() + 1, number, update); !status.ok()) {
        return status;
    }
    for (const Ticket &ticket : update.tickets) {
        state->apply(ticket);
    }
    return state;
}

/// The newest snapshot at or below `atMost`, or the empty state where there is none.
template<platform::ObjectStoreLike Store>
absl::StatusOr<ConfigState> ConfigReader<Store>::loadSnapshot(std::uint64_t atMost)
{
    std::uint64_t number = atMost / TicketsPerSnapshot * TicketsPerSnapshot;
    for (std::uint64_t missing = 0; number > 0 && missing <= settings_.missingSnapshots; ++missing) {
        const auto stored = store_.get(snapshotKey(number));
        if (stored.ok()) {
            return ConfigState::fromText(stored->value);
        }
        if (stored.status().code() != absl::StatusCode::kNotFound) {
            return stored.status();
        }
        number -= TicketsPerSnapshot;
    }
    if (number > 0) {
        return makeError(absl::StatusCode::kDataLoss, Step::Store, snapshotKey(number), Outcome::Ran,
                         "snapshots are missing");
    }
    return ConfigState();
}

/// Appends the consecutive tickets from `first` to `last`, or to the newest one, and sets head and asOf.
template<platform::ObjectStoreLike Store>
absl::Status ConfigReader<Store>::readTickets(std::uint64_t first, std::optional<std::uint64_t> last,
                                              ConfigUpdate &update)
{
    std::uint64_t next = first;
    for (bool more = !last || next <= *last; more;) {
        const std::uint64_t decade = next / 10;
        update.asOf = clock_();
        const auto listed = store_.list(ticketDecadePrefix(next));
        if (!listed.ok()) {
            return listed.status();
        }
        // The keys have a fixed number of digits, so sorting by key sorts by number.
        std::vector<const platform::StoredObject *> objects;
        for (const platform::StoredObject &object : listed->objects) {
            objects.push_back(&object);
        }
        std::sort(objects.begin(), objects.end(), [](const auto *a, const auto *b) { return a->key < b->key; });
        for (const platform::StoredObject *object : objects) {
            if (object->key != ticketKey(next) || (last && next > *last)) {
                continue;
            }
            absl::StatusOr<Ticket> ticket = parseTicketText(object->value);
            if (!ticket.ok()) {
                return ticket.status();
            }
            update.tickets.push_back(*std::move(ticket));
            ++next;
        }
        more = next / 10 > decade && (!last || next <= *last);
    }
    update.head = next - 1;
    if (last && update.head < *last) {
        return makeError(absl::StatusCode::kDataLoss, Step::Store, ticketKey(next), Outcome::Ran, "ticket is missing");
    }
    return absl::OkStatus();
}

template<platform::ObjectStoreLike Store>
absl::Status ConfigReader<Store>::takeEvents(const platform::WatchBatch &batch, std::uint64_t heldNumber,
                                             std::vector<Ticket> &tickets)
{
    for (const platform::ObjectEvent &event : batch.events) {
        if (event.deleted) {
            continue;
        }
        if (event.object.key == HeadKey) {
            absl::StatusOr<ConfigHead> head = parseHead(event.object.value);
            if (!head.ok()) {
                return head.status();
            }
            head_ = *std::move(head);
        } else if (event.object.key.starts_with(TicketPrefix)) {
            absl::StatusOr<Ticket> ticket = parseTicketText(event.object.value);
            if (!ticket.ok()) {
                return ticket.status();
            }
            highestTicket_ = std::max(highestTicket_, ticket->number);
            if (ticket->number > heldNumber) {
                tickets.push_back(*std::move(ticket));
            }
        }
    }
    std::sort(tickets.begin(), tickets.end(), [](const Ticket &a, const Ticket &b) { return a.number < b.number; });
    return absl::OkStatus();
}

} // namespace currantlug::config

#endif
