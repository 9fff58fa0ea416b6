// Scenario commands on tickets, members and addresses.
#include "scenario/scenario.h"

namespace currantlug::scenario {

/// ticket at=N expect=accepted|stored|conflict|invalid|unavailable body='JSON'
void ScenarioRunner::fileTicket(const Command &command)
{
    const Json body = parseJson(command.text("body")).value_or(Json());
    const HttpReply reply = site_->admin(command.number("at", 1), "POST", "/admin/tickets", body);
    const std::string outcome = fieldOr<std::string>(reply.json, "outcome", "http " + std::to_string(reply.status));
    if (outcome != command.text("expect", "accepted")) {
        throw ScenarioError("outcome " + outcome + ": " + reply.body);
    }
}

/// expect-serving daemon=N state=fresh|outage_mode|isolated within_ms=N, or without daemon= for all daemons
void ScenarioRunner::expectServing(const Command &command)
{
    const int first = command.number("daemon", 1);
    const int last = command.number("daemon", site_->daemonCount());
    eventually(command, [&](std::string &seen) {
        for (int i = first; i <= last; ++i) {
            seen = site_->daemon(i).name + ": " + site_->admin(i, "GET", "/healthz").body;
            const HttpReply reply = site_->admin(i, "GET", "/healthz");
            if (fieldOr<std::string>(reply.json, "serving", "") != command.text("state")) {
                return false;
            }
        }
        return true;
    });
}

/// expect-ticket number=N daemon=N within_ms=N, or without daemon= for all daemons
void ScenarioRunner::expectTicket(const Command &command)
{
    const int first = command.number("daemon", 1);
    const int last = command.number("daemon", site_->daemonCount());
    eventually(command, [&](std::string &seen) {
        for (int i = first; i <= last; ++i) {
            const HttpReply reply = site_->admin(i, "GET", "/healthz");
            seen = site_->daemon(i).name + ": " + reply.body;
            if (fieldOr<int>(reply.json, "ticket", 0) < command.number("number")) {
                return false;
            }
        }
        return true;
    });
}

/// expect-members count=N within_ms=N — every daemon lists this many serving members, in a confirmed list.
void ScenarioRunner::expectMembers(const Command &command)
{
    const int at = command.number("at", 0);
    eventually(command, [&](std::string &seen) {
        for (int i = at > 0 ? at : 1; i <= (at > 0 ? at : site_->daemonCount()); ++i) {
            const HttpReply reply = site_->admin(i, "GET", "/admin/daemons");
            seen = reply.body;
            int serving = 0;
            for (const Json &row :
                 reply.json.is_object() ? reply.json.value("daemons", Json::array()) : Json::array()) {
                serving += fieldOr<std::string>(row, "state", "") == "serving" ? 1 : 0;
            }
            if (serving != command.number("count") || !fieldOr<bool>(reply.json, "confirmed", false)) {
                return false;
            }
        }
        return true;
    });
}

/// expect-addresses at=N without=N within_ms=N — the address answer of daemon `at` leaves out daemon `without`.
void ScenarioRunner::expectAddresses(const Command &command)
{
    const std::string address = "127.0.0.1:" + std::to_string(site_->daemon(command.number("without")).callerPort);
    eventually(command, [&](std::string &seen) {
        const HttpReply reply =
            Site::request(site_->daemon(command.number("at")).callerPort, "GET", "/v1/addresses", {}, "");
        seen = reply.body;
        return reply.status == 200 && reply.body.find("\"" + address + "\"") == std::string::npos;
    });
}

/// Number of the daemon that the store names as the lease's holder, 0 if none.
int ScenarioRunner::leaseHolder(const std::string &lease)
{
    const HttpReply reply = Site::request(site_->platform().port, "GET", "/v1/objects/leases/" + lease, {}, "");
    const Json record =
        reply.json.is_object() ? parseJson(fieldOr<std::string>(reply.json, "value", "")).value_or(Json()) : Json();
    const std::string holder = fieldOr<std::string>(record, "holder", "");
    return holder.empty() ? 0 : std::stoi(holder.substr(holder.rfind('-') + 1));
}

/// expect-new-holder lease=L within_ms=N — held, and not by the daemon that `signal holder=` named last.
void ScenarioRunner::expectNewHolder(const Command &command)
{
    const auto last = variables_.find("last-holder");
    eventually(command, [&](std::string &seen) {
        const int holder = leaseHolder(command.text("lease"));
        seen = std::to_string(holder);
        return holder != 0 && (last == variables_.end() || seen != last->second);
    });
}

/// resize-pool at=N number=N min=N — files the ticket that sets the least replicas of the engine pool.
void ScenarioRunner::resizePool(const Command &command)
{
    Json ticket = site_->baseTicket();
    Json pool = ticket["set"]["pools"]["engines"];
    pool.update(Json{{"min", command.number("min")}, {"max", command.number("min") + 4}, {"spend_per_hour", 100}});
    const Json change{{"number", command.number("number")},
                      {"author", "scenario"},
                      {"note", "resize"},
                      {"set", {{"pools", {{"engines", pool}}}}}};
    int at = command.number("at", 1);
    if (variables_.contains("last-holder") && std::to_string(at) == variables_["last-holder"]) {
        at = at % site_->daemonCount() + 1;
    }
    const HttpReply reply = site_->admin(at, "POST", "/admin/tickets", change);
    if (reply.status != 200) {
        throw ScenarioError("status " + std::to_string(reply.status) + ": " + reply.body);
    }
}

} // namespace currantlug::scenario
