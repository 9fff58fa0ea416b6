// Parsing and execution of the tool's commands.
#include "cli/commands.h"

#include "cli/adminclient.h"
#include "cli/explaincommand.h"
#include "cli/table.h"
#include "core/error.h"
#include "core/hash.h"

#include <absl/strings/str_split.h>
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <optional>

namespace currantlug::cli {

namespace {

constexpr const char *Examples = R"(
Commands:
  ticket file FILE         file the ticket in FILE ("-" reads standard input) and wait until it is in force
  ticket validate FILE     check a ticket against the state in force without filing it
  ticket show [N]          list the newest tickets, or show ticket N whole
  ticket in-force          state in force now, or with --ticket N or --at UNIX_MS
  daemons | endpoints | workspaces | leases
  burn                     service-level-burn report
  drain                    drain the daemon at the first admin address
  members remove NAME      remove a daemon from the member list (--force: without a majority)
  explain ID [FILE...]     what logs (files, or standard input) say about a request, item, job or replica
  key digest               read a key from standard input and print its digest for a ticket

Examples:
  currantlug --admin 10.0.0.1:7080,10.0.0.2:7080 ticket file samples/first-ticket.json
  currantlug ticket in-force --at 1700000000000 --json
  printf %s "$KEY" | currantlug key digest
  cat *.log | currantlug explain 118a32af62bc145b

Exit codes: 0 done, 1 refused or nothing found, 2 wrong usage, 3 no daemon answered, 4 effect unknown or not yet confirmed,
5 another ticket took the number.
)";

struct CommandContext
{
    AdminClient client;
    bool json = false;
    bool force = false;
    std::optional<std::string> ticket;
    std::optional<std::string> at;
    std::vector<std::string> words;
};

ExitCode usageError(const std::string &message)
{
    fmt::print(stderr, "currantlug: {}\nTry 'currantlug --help'.\n", message);
    return ExitCode::Usage;
}

ExitCode exitCodeFor(int httpStatus)
{
    constexpr int Accepted = 202;
    constexpr int Conflict = 409;
    constexpr int FirstClientError = 400;
    constexpr int FirstServerError = 500;
    if (httpStatus == Accepted) {
        return ExitCode::Unknown;
    }
    if (httpStatus < FirstClientError) {
        return ExitCode::Ok;
    }
    if (httpStatus == Conflict) {
        return ExitCode::Conflict;
    }
    return httpStatus < FirstServerError ? ExitCode::Refused : ExitCode::Unavailable;
}

/// Prints the reply, as a table where it is a list that has one, and maps it to an exit code.
ExitCode printReply(const CommandContext &context, const absl::StatusOr<AdminReply> &reply,
                    const std::string &listField = "", const std::vector<Column> &columns = {})
{
    if (!reply.ok()) {
        fmt::print(stderr, "currantlug: {}\n", describeError(reply.status()));
        return errorContext(reply.status()).outcome == Outcome::NotRun ? ExitCode::Unavailable : ExitCode::Unknown;
    }
    const ExitCode code = exitCodeFor(reply->status);
    const Json &body = reply->body;
    if (code != ExitCode::Ok && body.contains("error")) {
        fmt::print(stderr, "currantlug: {}\n", fieldOr<std::string>(body["error"], "message", body.dump()));
    }
    if (context.json) {
        fmt::print("{}\n", body.dump(2));
    } else if (code == ExitCode::Ok && body.contains("text")) {
        fmt::print("{}", fieldOr<std::string>(body, "text", ""));
    } else if (code == ExitCode::Ok && !listField.empty() && body.contains(listField)) {
        fmt::print("{}", renderTable(body[listField], columns));
    } else if (!body.contains("error")) {
        fmt::print("{}\n", body.is_string() ? body.get<std::string>() : body.dump(2));
    }
    return code;
}

std::optional<Json> readTicketFile(const std::string &path, std::string &problem)
{
    std::string text;
    if (path == "-") {
        text.assign(std::istreambuf_iterator<char>(std::cin), {});
    } else {
        std::ifstream file(path);
        if (!file) {
            problem = fmt::format("cannot read {}", path);
            return std::nullopt;
        }
        text.assign(std::istreambuf_iterator<char>(file), {});
    }
    std::optional<Json> ticket = parseJson(text);
    if (!ticket) {
        problem = fmt::format("{} is not JSON", path);
    }
    return ticket;
}

ExitCode sendTicket(CommandContext &context, const std::string &path, const std::string &file)
{
    std::string problem;
    const std::optional<Json> ticket = readTicketFile(file, problem);
    if (!ticket) {
        return usageError(problem);
    }
    return printReply(context, context.client.post(path, *ticket));
}

ExitCode showTickets(CommandContext &context)
{
    if (context.words.size() == 3) {
        return printReply(context, context.client.get("/admin/tickets/" + context.words[2]));
    }
    const std::vector<Column> columns{{"TICKET", "number"},
                                      {"AUTHOR", "author"},
                                      {"FILED (UNIX MS)", "filed_at_ms"},
                                      {"IN FORCE (UNIX MS)", "in_force_at_ms"},
                                      {"NOTE", "note"}};
    return printReply(context, context.client.get("/admin/tickets"), "tickets", columns);
}

ExitCode showInForce(CommandContext &context)
{
    std::string path = "/admin/in-force";
    if (context.ticket) {
        path += "?ticket=" + *context.ticket;
    } else if (context.at) {
        path += "?at_ms=" + *context.at;
    }
    return printReply(context, context.client.get(path));
}

ExitCode runTicketCommand(CommandContext &context)
{
    const std::string action = context.words.size() > 1 ? context.words[1] : "";
    if ((action == "file" || action == "validate") && context.words.size() == 3) {
        const std::string path = action == "file" ? "/admin/tickets" : "/admin/tickets/validate";
        return sendTicket(context, path, context.words[2]);
    }
    if (action == "show" && context.words.size() <= 3) {
        return showTickets(context);
    }
    if (action == "in-force" && context.words.size() == 2) {
        return showInForce(context);
    }
    return usageError("expected: ticket file FILE | validate FILE | show [N] | in-force");
}

ExitCode runMembersCommand(CommandContext &context)
{
    if (context.words.size() != 3 || context.words[1] != "remove") {
        return usageError("expected: members remove NAME [--force]");
    }
    if (context.force) {
        fmt::print(stderr,
                   "The removed daemon must be off: with --force a daemon that is only cut off could go on "
                   "serving an older configuration.\n");
    }
    return printReply(
        context,
        context.client.post("/admin/members/remove", {{"daemon", context.words[2]}, {"force", context.force}}));
}

ExitCode printKeyDigest()
{
    const std::string key{std::istreambuf_iterator<char>(std::cin), {}};
    const std::size_t end = key.find_last_not_of("\r\n");
    if (end == std::string::npos) {
        return usageError("no key on standard input");
    }
    fmt::print("{}\n", sha256Hex(std::string_view(key).substr(0, end + 1)));
    return ExitCode::Ok;
}

struct ListCommand
{
    const char *name;
    std::vector<Column> columns;
};

const std::vector<ListCommand> &listCommands()
{
    static const std::vector<ListCommand> commands{
        {"daemons",
         {{"DAEMON", "name"},
          {"ZONE", "availability_zone"},
          {"REGION", "region"},
          {"STATE", "state"},
          {"ADDRESS", "address"},
          {"SUSPECTED", "suspected"},
          {"RELAY", "relay"}}},
        {"endpoints",
         {{"ENDPOINT", "name"},
          {"POOL", "pool"},
          {"ZONE", "availability_zone"},
          {"CHEAP", "cheap"},
          {"LEAVING", "leaving"},
          {"WEIGHTS", "weight_version"},
          {"RUNNING", "running"},
          {"WAITING", "waiting"},
          {"OWN IN FLIGHT", "in_flight"}}},
        {"workspaces",
         {{"WORKSPACE", "name"},
          {"WEIGHT", "weight"},
          {"KEYS", "keys"},
          {"ROUTES", "routes"},
          {"REQUESTS", "requests"},
          {"TOKENS", "tokens"}}},
        {"leases", {{"LEASE", "name"}, {"HOLDER", "holder"}, {"TERM", "term"}, {"HELD HERE", "held_here"}}},
    };
    return commands;
}

ExitCode dispatchCommand(CommandContext &context)
{
    const std::string &command = context.words[0];
    for (const ListCommand &list : listCommands()) {
        if (command == list.name) {
            return printReply(context, context.client.get("/admin/" + command), command, list.columns);
        }
    }
    if (command == "ticket") {
        return runTicketCommand(context);
    }
    if (command == "members") {
        return runMembersCommand(context);
    }
    if (command == "burn") {
        return printReply(context, context.client.get("/admin/burn"));
    }
    if (command == "drain") {
        return printReply(context, context.client.post("/admin/drain", Json::object()));
    }
    if (command == "explain") {
        if (context.words.size() < 2) {
            return usageError("expected: explain ID [FILE...]");
        }
        return explain(context.words[1], {context.words.begin() + 2, context.words.end()}, context.json);
    }
    if (command == "key" && context.words.size() == 2 && context.words[1] == "digest") {
        return printKeyDigest();
    }
    return usageError(fmt::format("unknown command '{}'", command));
}

std::string environmentOr(const char *name, const char *fallback)
{
    const char *value = std::getenv(name);
    return value != nullptr ? value : fallback;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("currantlug", "Operates a currantlug site: files tickets and shows what is in force.");
    options.positional_help("COMMAND...");
    options.add_options()("help", "show this help")("json", "print JSON")("force", "see 'members remove'")(
        "admin", "admin addresses HOST:PORT,... (environment: CURRANTLUG_ADMIN)",
        cxxopts::value<std::string>()->default_value(environmentOr("CURRANTLUG_ADMIN", "127.0.0.1:7080")))(
        "token", "admin token (environment: CURRANTLUG_ADMIN_TOKEN)",
        cxxopts::value<std::string>()->default_value(environmentOr("CURRANTLUG_ADMIN_TOKEN", "")))(
        "ticket", "ticket number", cxxopts::value<std::string>())(
        "at", "time in Unix ms", cxxopts::value<std::string>())("words", "",
                                                                cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

} // namespace

ExitCode runCommand(const std::vector<std::string> &arguments)
{
    std::vector<const char *> argv{"currantlug"};
    for (const std::string &argument : arguments) {
        argv.push_back(argument.c_str());
    }
    cxxopts::Options options = makeOptions();
    try {
        const cxxopts::ParseResult parsed = options.parse(static_cast<int>(argv.size()), argv.data());
        if (parsed.count("help") > 0) {
            fmt::print("{}{}", options.help(), Examples);
            return ExitCode::Ok;
        }
        if (parsed.count("words") == 0) {
            return usageError("no command given");
        }
        const auto optional = [&](const char *name) -> std::optional<std::string> {
            return parsed.count(name) > 0 ? std::optional(parsed[name].as<std::string>()) : std::nullopt;
        };
        CommandContext context{AdminClient(absl::StrSplit(parsed["admin"].as<std::string>(), ',', absl::SkipEmpty()),
                                           parsed["token"].as<std::string>()),
                               parsed.count("json") > 0,
                               parsed.count("force") > 0,
                               optional("ticket"),
                               optional("at"),
                               parsed["words"].as<std::vector<std::string>>()};
        return dispatchCommand(context);
    } catch (const cxxopts::exceptions::exception &error) {
        return usageError(error.what());
    }
}

} // namespace currantlug::cli
