// Key names and the JSON form of the head object.
#include "config/confighead.h"

#include <fmt/format.h>

namespace currantlug::config {

std::string ticketKey(std::uint64_t number)
{
    return fmt::format("{}{:010}", TicketPrefix, number);
}

std::string ticketDecadePrefix(std::uint64_t number)
{
    return fmt::format("{}{:09}", TicketPrefix, number / 10);
}

std::string snapshotKey(std::uint64_t number)
{
    return fmt::format("config/snapshots/{:010}", number);
}

std::string headText(const ConfigHead &head)
{
    return Json{{"number", head.number}, {"digest", head.digest}, {"snapshot", head.snapshot}}.dump();
}

absl::StatusOr<ConfigHead> parseHead(std::string_view text)
{
    const std::optional<Json> json = parseJson(text);
    if (!json || !json->is_object() || !json->contains("number")) {
        return makeError(absl::StatusCode::kDataLoss, Step::Store, HeadKey, Outcome::Ran, "the head is unreadable");
    }
    return ConfigHead{fieldOr<std::uint64_t>(*json, "number", 0), fieldOr<std::string>(*json, "digest", {}),
                      fieldOr<std::uint64_t>(*json, "snapshot", 0)};
}

} // namespace currantlug::config
