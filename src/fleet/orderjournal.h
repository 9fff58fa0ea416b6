// Endpoint orders in the object store: the intent is written before an order is sent, the result after it.
#ifndef CURRANTLUG_FLEET_ORDERJOURNAL_H
#define CURRANTLUG_FLEET_ORDERJOURNAL_H

#include "core/error.h"
#include "core/hash.h"
#include "core/ids.h"
#include "core/json.h"
#include "platform/objectstore.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace currantlug::fleet {

/// Desired totals of one pool in one availability zone.
struct OrderTotals
{
    std::uint32_t lasting = 0;
    std::uint32_t cheap = 0;

    std::uint32_t sum() const { return lasting + cheap; }
    friend bool operator==(const OrderTotals &, const OrderTotals &) = default;
};

/// The last order of one pool in one zone. An order states totals, so sending it again changes nothing.
struct OrderRecord
{
    std::string orderId;
    std::uint64_t term = 0; ///< Lease term under which the intent was written.
    OrderTotals totals;
    OrderTotals previous; ///< Totals of the last order that is known to be done.
    bool done = false; ///< The platform has answered.

    /// What the platform may hold at most, whether or not the order arrived.
    OrderTotals atMost() const;

    std::string encode() const;
    static std::optional<OrderRecord> decode(std::string_view text);
};

using OrderPlace = std::pair<ZoneId, PoolId>;

std::string orderKey(const OrderPlace &place);

/// Used by the lease holder's thread. Reads all records once per term; afterwards every write is conditional on the
/// version read, so a predecessor's late write makes the holder's next write fail instead of being overwritten.
template<platform::ObjectStoreLike Store>
class OrderJournal
{
public:
    explicit OrderJournal(Store &store)
        : store_(store)
    {
    }

    /// Reads the records at the start of a term.
    absl::Status load();

    /// Orders whose result is not known, for sending again under the same ids.
    std::vector<std::pair<OrderPlace, OrderRecord>> open() const;

    const OrderRecord *find(const OrderPlace &place) const
    {
        const auto found = records_.find(place);
        return found == records_.end() ? nullptr : &found->second.record;
    }

    /// The most that the platform may hold for a pool, over all zones but one.
    std::uint32_t heldElsewhere(const PoolId &pool, const ZoneId &except) const;

    /// Writes the intent of a new order and returns it. Call it only when the place has no open order.
    absl::StatusOr<OrderRecord> begin(const OrderPlace &place, const OrderTotals &totals, std::uint64_t term);

    /// Marks the place's order as done.
    absl::Status finish(const OrderPlace &place);

private:
    struct Entry
    {
        OrderRecord record;
        std::uint64_t version = 0;
    };

    absl::Status write(const OrderPlace &place, const OrderRecord &record);

    Store &store_;
    std::map<OrderPlace, Entry> records_;
};

template<platform::ObjectStoreLike Store>
absl::Status OrderJournal<Store>::load()
{
    const auto listed = store_.list("orders/");
    if (!listed.ok()) {
        return listed.status();
    }
    records_.clear();
    for (const platform::StoredObject &object : listed->objects) {
        const std::size_t zoneEnd = object.key.find('/', 7);
        const std::optional<OrderRecord> record = OrderRecord::decode(object.value);
        if (zoneEnd == std::string::npos || !record) {
            return makeError(absl::StatusCode::kDataLoss, Step::Order, object.key, Outcome::Ran,
                             "the order record cannot be read");
        }
        const OrderPlace place{ZoneId(object.key.substr(7, zoneEnd - 7)), PoolId(object.key.substr(zoneEnd + 1))};
        records_[place] = {*record, object.version};
    }
    return absl::OkStatus();
}

template<platform::ObjectStoreLike Store>
std::vector<std::pair<OrderPlace, OrderRecord>> OrderJournal<Store>::open() const
{
    std::vector<std::pair<OrderPlace, OrderRecord>> open;
    for (const auto &[place, entry] : records_) {
        if (!entry.record.done) {
            open.emplace_back(place, entry.record);
        }
    }
    return open;
}

template<platform::ObjectStoreLike Store>
std::uint32_t OrderJournal<Store>::heldElsewhere(const PoolId &pool, const ZoneId &except) const
{
    std::uint32_t held = 0;
    for (const auto &[place, entry] : records_) {
        if (place.second == pool && place.first != except) {
            held += entry.record.atMost().sum();
        }
    }
    return held;
}

template<platform::ObjectStoreLike Store>
absl::StatusOr<OrderRecord> OrderJournal<Store>::begin(const OrderPlace &place, const OrderTotals &totals,
                                                       std::uint64_t term)
{
    constexpr std::size_t OrderIdBytes = 8;
    OrderRecord record;
    record.orderId = randomHex(OrderIdBytes);
    record.term = term;
    record.totals = totals;
    if (const OrderRecord *last = find(place)) {
        record.previous = last->totals;
    }
    if (absl::Status status = write(place, record); !status.ok()) {
        return status;
    }
    return record;
}

template<platform::ObjectStoreLike Store>
absl::Status OrderJournal<Store>::finish(const OrderPlace &place)
{
    OrderRecord record = records_.at(place).record;
    record.done = true;
    return write(place, record);
}

template<platform::ObjectStoreLike Store>
absl::Status OrderJournal<Store>::write(const OrderPlace &place, const OrderRecord &record)
{
    Entry &entry = records_[place];
    const std::string text = record.encode();
    auto written = store_.putIf(orderKey(place), entry.version, text);
    if (!written.ok() && errorContext(written.status()).outcome == Outcome::MayHaveRun) {
        // The order id is unique, so equal bytes mean that this write took effect.
        const auto stored = store_.get(orderKey(place));
        if (stored.ok() && stored->value == text) {
            written = stored->version;
        }
    }
    if (!written.ok()) {
        if (entry.version == 0) {
            records_.erase(place);
        }
        return written.status();
    }
    entry = {record, *written};
    return absl::OkStatus();
}

} // namespace currantlug::fleet

#endif
