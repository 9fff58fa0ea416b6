// Handlers for operators.
#include "server/adminapi.h"

#include "config/objectjson.h"
#include "core/error.h"
#include "core/hash.h"

#include <absl/strings/numbers.h>

#include <map>
#include <utility>

namespace currantlug::server {

namespace {

constexpr int Accepted = 202;
constexpr int BadRequest = 400;
constexpr int Conflict = 409;
constexpr int Unavailable = 503;
constexpr std::size_t ListedTickets = 50;

absl::Status invalid(std::string_view message)
{
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadRequest, "", Outcome::NotRun, message);
}

/// Compares digests, so that the time taken tells nothing about the token.
bool sameSecret(const std::string &given, const std::string &expected)
{
    return sha256Hex(given) == sha256Hex(expected);
}

/// Reads an operator's ticket. Without a number the operator decided on what this daemon holds now.
absl::StatusOr<config::Ticket> readTicket(const std::string &body, std::uint64_t head)
{
    std::optional<Json> json = parseJson(body);
    if (!json) {
        return invalid("the ticket is not JSON");
    }
    if (json->is_object() && !json->contains("number")) {
        (*json)["number"] = head + 1;
    }
    return config::parseTicket(*json);
}

int httpStatus(config::FilingOutcome outcome)
{
    switch (outcome) {
    case config::FilingOutcome::Accepted:
        return 200;
    case config::FilingOutcome::Stored:
        return Accepted;
    case config::FilingOutcome::Conflict:
        return Conflict;
    case config::FilingOutcome::Invalid:
        return BadRequest;
    case config::FilingOutcome::Unavailable:
        break;
    }
    return Unavailable;
}

Json filingJson(const config::FilingResult &result)
{
    Json body{{"outcome", std::string(nameOf(result.outcome))},
              {"number", result.ticket.number},
              {"nonce", result.ticket.nonce},
              {"acknowledged", result.acknowledged},
              {"members", result.members}};
    if (result.winner) {
        body["winner"] = {{"number", result.winner->number}, {"author", result.winner->author}};
        body["touched_by_both"] = result.touchedByBoth;
        body["error"] = {
            {"message",
             "ticket " + std::to_string(result.winner->number) + " was filed by " + result.winner->author + " first"}};
    }
    if (!result.error.ok()) {
        body["error"] = {{"message", std::string(result.error.message())},
                         {"step", std::string(nameOf(errorContext(result.error).step))},
                         {"peer", errorContext(result.error).peer},
                         {"outcome", std::string(nameOf(errorContext(result.error).outcome))}};
    }
    return body;
}

Json stateJson(const config::ConfigState &state)
{
    return {{"number", state.number()}, {"digest", state.digest()}, {"objects", config::toJson(state.objects())}};
}

} // namespace

void AdminApi::install(httplib::Server &server)
{
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;
    const auto guarded = [this](Handler handler) {
        return [this, handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
            if (admit(request, response)) {
                handler(request, response);
            }
        };
    };
    server.Post("/admin/tickets", guarded([this](const auto &req, auto &res) { fileTicket(req, res); }));
    server.Post("/admin/tickets/validate", guarded([this](const auto &req, auto &res) { validateTicket(req, res); }));
    server.Get("/admin/tickets", guarded([this](const auto &, auto &res) { listTickets(res); }));
    server.Get(R"(/admin/tickets/(\d+))", guarded([this](const auto &req, auto &res) { showTicket(req, res); }));
    server.Get("/admin/in-force", guarded([this](const auto &req, auto &res) { showInForce(req, res); }));
    server.Get("/admin/daemons", guarded([this](const auto &, auto &res) { listDaemons(res); }));
    server.Get("/admin/endpoints", guarded([this](const auto &, auto &res) { listEndpoints(res); }));
    server.Get("/admin/workspaces",
               guarded([this](const auto &, auto &res) { sendJson(res, services_.workspaces()); }));
    server.Get("/admin/leases", guarded([this](const auto &, auto &res) { sendJson(res, services_.leases()); }));
    server.Get("/admin/burn", guarded([this](const auto &, auto &res) { sendJson(res, services_.burn()); }));
    server.Post("/admin/drain", guarded([this](const auto &, auto &res) {
                    services_.drain();
                    sendJson(res, {{"draining", services_.members.self().id.str()}});
                }));
    server.Post("/admin/members/remove", guarded([this](const auto &req, auto &res) { removeMember(req, res); }));
    server.Get("/metrics", [this](const auto &, auto &res) {
        res.set_content(services_.metrics.exposition(), "text/plain; version=0.0.4");
    });
    server.Get("/healthz", [this](const auto &, auto &res) { health(res); });
}

bool AdminApi::admit(const httplib::Request &request, httplib::Response &response) const
{
    if (sameSecret(request.get_header_value("Authorization"), "Bearer " + services_.token)) {
        return true;
    }
    sendError(response,
              makeError(absl::StatusCode::kUnauthenticated, Step::CheckKey, "", Outcome::NotRun,
                        "the admin token is missing or wrong"));
    return false;
}

void AdminApi::fileTicket(const httplib::Request &request, httplib::Response &response)
{
    const absl::StatusOr<config::Ticket> ticket = readTicket(request.body, services_.config.current()->number());
    if (!ticket.ok()) {
        return sendError(response, ticket.status());
    }
    const config::FilingResult result = services_.config.file(*ticket);
    sendJson(response, filingJson(result), httpStatus(result.outcome));
}

void AdminApi::validateTicket(const httplib::Request &request, httplib::Response &response)
{
    const absl::StatusOr<config::Ticket> ticket = readTicket(request.body, services_.config.current()->number());
    if (!ticket.ok()) {
        return sendError(response, ticket.status());
    }
    if (const absl::Status problems = config::problemsToStatus(services_.config.validate(*ticket)); !problems.ok()) {
        return sendError(response, problems);
    }
    sendJson(response, {{"valid", true}, {"number", ticket->number}});
}

void AdminApi::listTickets(httplib::Response &response)
{
    const std::vector<config::InForceRecord> records = services_.config.inForceRecords();
    Json list = Json::array();
    for (auto record = records.rbegin(); record != records.rend() && list.size() < ListedTickets; ++record) {
        Json row{{"number", record->number}, {"in_force_at_ms", record->wallMs}};
        if (const auto ticket = services_.config.ticket(record->number); ticket.ok()) {
            row["author"] = ticket->author;
            row["note"] = ticket->note;
            row["filed_at_ms"] = ticket->filedMs;
        }
        list.push_back(std::move(row));
    }
    sendJson(response, {{"tickets", std::move(list)}});
}

void AdminApi::showTicket(const httplib::Request &request, httplib::Response &response)
{
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(request.matches[1].str(), &number)) {
        return sendError(response, invalid("ticket: expected a number"));
    }
    const absl::StatusOr<config::Ticket> ticket = services_.config.ticket(number);
    if (!ticket.ok()) {
        return sendError(response, ticket.status());
    }
    sendJson(response, config::toJson(*ticket));
}

void AdminApi::showInForce(const httplib::Request &request, httplib::Response &response)
{
    std::uint64_t number = services_.config.current()->number();
    if (request.has_param("ticket") && !absl::SimpleAtoi(request.get_param_value("ticket"), &number)) {
        return sendError(response, invalid("ticket: expected a number"));
    }
    if (request.has_param("at_ms")) {
        std::int64_t atMs = 0;
        if (!absl::SimpleAtoi(request.get_param_value("at_ms"), &atMs)) {
            return sendError(response, invalid("at_ms: expected a time in Unix ms"));
        }
        const absl::StatusOr<std::uint64_t> at = services_.config.numberAt(atMs);
        if (!at.ok()) {
            return sendError(response, at.status());
        }
        number = *at;
    }
    const auto state = services_.config.stateAt(number);
    if (!state.ok()) {
        return sendError(response, state.status());
    }
    sendJson(response, stateJson(**state));
}

void AdminApi::listDaemons(httplib::Response &response)
{
    const services::MemberSnapshot members = services_.members.snapshot();
    Json list = Json::array();
    for (const membership::Member &member : members.list.members()) {
        const auto relays = membership::relaysOf(members.list, members.suspects, member.zone);
        list.push_back({{"name", member.id.str()},
                        {"availability_zone", member.zone.str()},
                        {"region", member.region.str()},
                        {"state", std::string(nameOf(member.state))},
                        {"address", member.callerAddress},
                        {"suspected", members.suspects.contains(member.id)},
                        {"relay", std::find(relays.begin(), relays.end(), member.id) != relays.end()}});
    }
    sendJson(response,
             {{"daemons", std::move(list)}, {"version", members.list.version()}, {"confirmed", members.confirmed}});
}

void AdminApi::listEndpoints(httplib::Response &response)
{
    std::map<EndpointId, std::uint32_t> inFlight;
    services_.dispatch.inspect([&](const routing::Dispatcher &dispatcher) {
        for (const services::EndpointRow &row : services_.endpoints.rows()) {
            if (const auto index = dispatcher.endpoints().find(row.entry.config.id)) {
                inFlight[row.entry.config.id] = dispatcher.endpoints().at(*index).ownRequests;
            }
        }
    });
    Json list = Json::array();
    for (const services::EndpointRow &row : services_.endpoints.rows()) {
        const membership::EndpointEntry &entry = row.entry;
        Json json{{"name", entry.config.id.str()},
                  {"pool", entry.config.pool.str()},
                  {"availability_zone", entry.config.zone.str()},
                  {"cheap", entry.config.cheap},
                  {"leaving", entry.state == membership::EndpointState::Leaving},
                  {"leaving_source", std::string(nameOf(entry.source))},
                  {"in_flight", inFlight[entry.config.id]}};
        if (row.load) {
            json["weight_version"] = row.load->weightVersion;
            json["running"] = row.load->running;
            json["waiting"] = row.load->waiting;
        }
        list.push_back(std::move(json));
    }
    sendJson(response, {{"endpoints", std::move(list)}});
}

void AdminApi::removeMember(const httplib::Request &request, httplib::Response &response)
{
    const Json body = parseJson(request.body).value_or(Json::object());
    const DaemonId daemon(fieldOr<std::string>(body, "daemon", ""));
    const bool force = fieldOr<bool>(body, "force", false);
    const auto change = force ? services_.members.forceRemove(daemon) : services_.members.removeDead(daemon);
    if (!change.ok()) {
        return sendError(response, change.status());
    }
    sendJson(response,
             {{"removed", daemon.str()}, {"version", change->list.version()}, {"confirmed", change->confirmed}});
}

void AdminApi::health(httplib::Response &response)
{
    const config::Serving serving = services_.config.serving();
    const absl::Duration age = services_.config.age();
    Json body{{"serving", std::string(nameOf(serving))},
              {"ticket", services_.config.current()->number()},
              {"draining", services_.members.isDraining()}};
    if (age < absl::InfiniteDuration()) {
        body["configuration_age_ms"] = absl::ToInt64Milliseconds(age);
    }
    sendJson(response, body, serving == config::Serving::Isolated ? Unavailable : 200);
}

} // namespace currantlug::server
