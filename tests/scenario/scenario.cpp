// Parsing of scenario files and the interpreter's loop.
#include "scenario/scenario.h"

#include <cctype>
#include <sstream>

namespace currantlug::scenario {

std::string Command::text(const std::string &name, const std::string &fallback) const
{
    const auto found = arguments.find(name);
    return found == arguments.end() ? fallback : found->second;
}

int Command::number(const std::string &name, int fallback) const
{
    return has(name) ? std::stoi(arguments.at(name)) : fallback;
}

namespace {

/// Splits a line into words; single quotes keep spaces.
std::vector<std::string> splitWords(const std::string &line)
{
    std::vector<std::string> words;
    std::string word;
    bool quoted = false;
    for (const char c : line) {
        if (c == '\'') {
            quoted = !quoted;
        } else if (!quoted && c == '#') {
            break;
        } else if (!quoted && std::isspace(static_cast<unsigned char>(c)) != 0) {
            if (!word.empty()) {
                words.push_back(std::move(word));
                word.clear();
            }
        } else {
            word += c;
        }
    }
    if (!word.empty()) {
        words.push_back(std::move(word));
    }
    return words;
}

} // namespace

std::vector<Command> parseScenario(const std::string &text)
{
    std::vector<Command> commands;
    std::istringstream lines(text);
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number) {
        const std::vector<std::string> words = splitWords(line);
        if (words.empty()) {
            continue;
        }
        Command command{number, words[0], {}};
        for (std::size_t i = 1; i < words.size(); ++i) {
            const std::size_t equals = words[i].find('=');
            if (equals == std::string::npos) {
                throw ScenarioError("line " + std::to_string(number) + ": expected name=value, found " + words[i]);
            }
            command.arguments[words[i].substr(0, equals)] = words[i].substr(equals + 1);
        }
        commands.push_back(std::move(command));
    }
    return commands;
}

ScenarioRunner::ScenarioRunner() = default;

ScenarioRunner::~ScenarioRunner()
{
    // Background calls end when the processes they talk to end.
    trainers_.clear();
    site_.reset();
    for (auto &[name, call] : calls_) {
        if (call->thread.joinable()) {
            call->thread.join();
        }
    }
}

void ScenarioRunner::run(const std::vector<Command> &commands)
{
    for (const Command &command : commands) {
        const auto handler = handlers().find(command.word);
        const std::string where = "line " + std::to_string(command.line) + " (" + command.word + "): ";
        if (handler == handlers().end()) {
            throw ScenarioError(where + "unknown command");
        }
        try {
            (this->*handler->second)(command);
        } catch (const std::exception &error) {
            throw ScenarioError(where + error.what() + (site_ ? "; logs in " + site_->logFolder() : ""));
        }
    }
}

void ScenarioRunner::eventually(const Command &command, const std::function<bool(std::string &)> &holds)
{
    constexpr int DefaultWithinMs = 10'000;
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(command.number("within_ms", DefaultWithinMs));
    std::string seen;
    while (!holds(seen)) {
        if (std::chrono::steady_clock::now() >= deadline) {
            throw ScenarioError("did not hold in time; last seen: " + seen);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
}

const std::map<std::string, ScenarioRunner::Handler> &ScenarioRunner::handlers()
{
    using R = ScenarioRunner;
    static const std::map<std::string, Handler> table{
        {"site", &R::startSite},
        {"signal", &R::signalDaemon},
        {"restart", &R::restartDaemon},
        {"drain", &R::drainDaemon},
        {"expect-exit", &R::expectExit},
        {"platform", &R::platformOutage},
        {"cut", &R::cut},
        {"silence", &R::silence},
        {"fault", &R::fault},
        {"weights", &R::engineWeights},
        {"vm-leaving", &R::vmLeaving},
        {"ticket", &R::fileTicket},
        {"expect-serving", &R::expectServing},
        {"expect-ticket", &R::expectTicket},
        {"expect-members", &R::expectMembers},
        {"expect-addresses", &R::expectAddresses},
        {"call", &R::call},
        {"expect-call", &R::expectCall},
        {"expect-streamed", &R::expectStreamed},
        {"call-token", &R::callToken},
        {"trainer", &R::trainer},
        {"expect-trainer", &R::expectTrainer},
        {"expect-no-key", &R::expectNoKeyAtEndpoints},
        {"expect-executions", &R::expectExecutions},
        {"expect-no-new-work", &R::expectNoNewWork},
        {"expect-orders", &R::expectOrders},
        {"expect-usage", &R::expectUsage},
        {"expect-new-holder", &R::expectNewHolder},
        {"resize-pool", &R::resizePool},
        {"wait", &R::pauseRun},
    };
    return table;
}

} // namespace currantlug::scenario
