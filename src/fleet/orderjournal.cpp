// Encoding of order records.
#include "fleet/orderjournal.h"

#include <algorithm>

namespace currantlug::fleet {

namespace {

Json totalsJson(const OrderTotals &totals)
{
    return {{"lasting", totals.lasting}, {"cheap", totals.cheap}};
}

OrderTotals totalsFrom(const Json &json)
{
    return {fieldOr<std::uint32_t>(json, "lasting", 0), fieldOr<std::uint32_t>(json, "cheap", 0)};
}

} // namespace

OrderTotals OrderRecord::atMost() const
{
    if (done) {
        return totals;
    }
    return {std::max(totals.lasting, previous.lasting), std::max(totals.cheap, previous.cheap)};
}

std::string OrderRecord::encode() const
{
    return Json{{"order_id", orderId},
                {"term", term},
                {"totals", totalsJson(totals)},
                {"previous", totalsJson(previous)},
                {"done", done}}
        .dump();
}

std::optional<OrderRecord> OrderRecord::decode(std::string_view text)
{
    const std::optional<Json> json = parseJson(text);
    if (!json || !json->is_object() || !json->contains("totals")) {
        return std::nullopt;
    }
    OrderRecord record;
    record.orderId = fieldOr<std::string>(*json, "order_id", "");
    record.term = fieldOr<std::uint64_t>(*json, "term", 0);
    record.totals = totalsFrom((*json)["totals"]);
    record.previous = totalsFrom(json->value("previous", Json::object()));
    record.done = fieldOr<bool>(*json, "done", false);
    return record;
}

std::string orderKey(const OrderPlace &place)
{
    return "orders/" + place.first.str() + "/" + place.second.str();
}

} // namespace currantlug::fleet
