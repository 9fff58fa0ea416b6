// Tickets as JSON, and comparisons of tickets.
#include "config/ticket.h"

#include "config/objectjson.h"
#include "config/objectkinds.h"

#include <fmt/format.h>

#include <set>

namespace currantlug::config {

namespace {

using Need = FieldReader::Need;

constexpr std::size_t MaxNonceBytes = 128;
constexpr std::size_t MaxAuthorBytes = 256;
constexpr std::size_t MaxNoteBytes = 4096;
constexpr std::uint64_t MaxNumber = 9'999'999'999; // Ten digits, as in the keys of ticket objects.

RemovalSet parseRemovals(const Json &json, Problems &problems)
{
    RemovalSet removals;
    FieldReader reader(json, "remove", problems);
    detail::forEachKind([&](const char *kind, auto, auto removed) {
        using Id = typename std::decay_t<decltype(removals.*removed)>::value_type;
        const Json *list = reader.field(kind, Need::Optional, "a list of names");
        if (list == nullptr) {
            return;
        }
        if (!list->is_array()) {
            reader.report(kind, "a list of names", list);
            return;
        }
        std::set<std::string> seen;
        for (std::size_t i = 0; i < list->size(); ++i) {
            const Json &entry = (*list)[i];
            const std::string name = entry.is_string() ? entry.get<std::string>() : std::string();
            if (!isName(name)) {
                reader.report(fmt::format("{}/{}", kind, i), NameRule, &entry);
            } else if (!seen.insert(name).second) {
                reader.report(fmt::format("{}/{}", kind, i), "each name once", &entry);
            } else {
                (removals.*removed).push_back(Id(name));
            }
        }
    });
    reader.finish();
    return removals;
}

void checkSetAndRemoved(const Ticket &ticket, Problems &problems)
{
    detail::forEachKind([&](const char *kind, auto objects, auto removed) {
        for (const auto &id : ticket.remove.*removed) {
            if ((ticket.set.*objects).contains(id)) {
                problems.push_back(
                    {fmt::format("remove/{}", kind), "names that the ticket does not also set", id.str()});
            }
        }
    });
}

std::set<std::string> touched(const Ticket &ticket)
{
    std::set<std::string> paths;
    detail::forEachKind([&](const char *kind, auto objects, auto removed) {
        for (const auto &[id, value] : ticket.set.*objects) {
            paths.insert(fmt::format("{}/{}", kind, id.str()));
        }
        for (const auto &id : ticket.remove.*removed) {
            paths.insert(fmt::format("{}/{}", kind, id.str()));
        }
    });
    return paths;
}

} // namespace

bool ObjectSet::empty() const
{
    return workspaces.empty() && keys.empty() && routes.empty() && pools.empty() && modelVersions.empty();
}

bool RemovalSet::empty() const
{
    return workspaces.empty() && keys.empty() && routes.empty() && pools.empty() && modelVersions.empty();
}

absl::StatusOr<Ticket> parseTicket(const Json &json)
{
    Problems problems;
    Ticket ticket;
    FieldReader reader(json, "", problems);
    ticket.number = reader.count("number", Need::Required, 1, MaxNumber);
    ticket.nonce = reader.text("nonce", Need::Optional, MaxNonceBytes);
    ticket.author = reader.text("author", Need::Required, MaxAuthorBytes);
    ticket.note = reader.text("note", Need::Optional, MaxNoteBytes);
    ticket.filedMs = static_cast<std::int64_t>(reader.count("filed_ms", Need::Optional));
    if (const Json *set = reader.field("set", Need::Optional, "an object"); set != nullptr) {
        ticket.set = parseObjects(*set, "set", problems);
    }
    if (const Json *remove = reader.field("remove", Need::Optional, "an object"); remove != nullptr) {
        ticket.remove = parseRemovals(*remove, problems);
    }
    reader.finish();
    checkSetAndRemoved(ticket, problems);
    if (absl::Status status = problemsToStatus(problems); !status.ok()) {
        return status;
    }
    return ticket;
}

absl::StatusOr<Ticket> parseTicketText(std::string_view text)
{
    if (text.size() > MaxObjectBytes) {
        return problemsToStatus(
            {{"ticket", fmt::format("at most {} bytes", MaxObjectBytes), fmt::format("{} bytes", text.size())}});
    }
    const std::optional<Json> json = parseJson(text);
    if (!json) {
        return problemsToStatus({{"ticket", "JSON", "other text"}});
    }
    return parseTicket(*json);
}

Json toJson(const Ticket &ticket)
{
    Json json{{"number", ticket.number}, {"nonce", ticket.nonce},      {"author", ticket.author},
              {"note", ticket.note},     {"filed_ms", ticket.filedMs}, {"set", toJson(ticket.set)}};
    Json remove = Json::object();
    detail::forEachKind([&](const char *kind, auto, auto removed) {
        for (const auto &id : ticket.remove.*removed) {
            remove[kind].push_back(id.str());
        }
    });
    json["remove"] = std::move(remove);
    return json;
}

std::vector<std::string> touchedByBoth(const Ticket &a, const Ticket &b)
{
    const std::set<std::string> first = touched(a);
    const std::set<std::string> second = touched(b);
    std::vector<std::string> both;
    std::set_intersection(first.begin(), first.end(), second.begin(), second.end(), std::back_inserter(both));
    return both;
}

bool sameChange(const Ticket &a, const Ticket &b)
{
    Ticket copy = a;
    copy.filedMs = b.filedMs;
    return copy == b;
}

} // namespace currantlug::config
