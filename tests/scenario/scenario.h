// The small language of scenario files and its interpreter.
//
// One command a line, "#" starts a comment. A command is a word, then arguments "name=value" in any order; a value with
// spaces or JSON stands in single quotes. docs/scenarios.md lists the commands.
#ifndef CURRANTLUG_TESTS_SCENARIO_SCENARIO_H
#define CURRANTLUG_TESTS_SCENARIO_SCENARIO_H

#include "scenario/site.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace currantlug::scenario {

/// An expectation that did not hold, or a line that cannot be read.
class ScenarioError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct Command
{
    int line = 0;
    std::string word;
    std::map<std::string, std::string> arguments;

    std::string text(const std::string &name, const std::string &fallback = {}) const;
    int number(const std::string &name, int fallback = 0) const;
    bool has(const std::string &name) const { return arguments.contains(name); }
};

std::vector<Command> parseScenario(const std::string &text);

/// A call that runs in the background.
struct BackgroundCall
{
    std::thread thread;
    std::mutex mutex;
    HttpReply reply;
    std::string streamed; ///< Body received so far.
    bool done = false;
};

/// Runs one scenario. Throws ScenarioError at the first expectation that does not hold.
class ScenarioRunner
{
public:
    ScenarioRunner();
    ~ScenarioRunner();

    void run(const std::vector<Command> &commands);

private:
    using Handler = void (ScenarioRunner::*)(const Command &);
    static const std::map<std::string, Handler> &handlers();

    // Processes
    void startSite(const Command &command);
    void signalDaemon(const Command &command);
    void restartDaemon(const Command &command);
    void drainDaemon(const Command &command);
    void expectExit(const Command &command);
    void platformOutage(const Command &command);
    void cut(const Command &command);
    void silence(const Command &command);
    void fault(const Command &command);
    void engineWeights(const Command &command);
    void vmLeaving(const Command &command);

    // Tickets and state
    void fileTicket(const Command &command);
    void expectServing(const Command &command);
    void expectTicket(const Command &command);
    void expectMembers(const Command &command);
    void expectNewHolder(const Command &command);
    void resizePool(const Command &command);
    int leaseHolder(const std::string &lease);
    void expectAddresses(const Command &command);

    // Calls
    void call(const Command &command);
    void expectCall(const Command &command);
    void expectStreamed(const Command &command);
    void callToken(const Command &command);
    void trainer(const Command &command);
    void expectTrainer(const Command &command);

    // Audits
    void expectNoKeyAtEndpoints(const Command &command);
    void expectExecutions(const Command &command);
    void expectNoNewWork(const Command &command);
    void expectOrders(const Command &command);
    void expectUsage(const Command &command);
    void pauseRun(const Command &command);

    int calledDaemon(const Command &command);
    HttpReply sendCall(const Command &command, BackgroundCall *background);
    void eventually(const Command &command, const std::function<bool(std::string &)> &holds);
    StandinProcess &standin(const std::string &name);
    std::uint64_t acceptedByEngine(int number);

    std::unique_ptr<Site> site_;
    std::map<std::string, std::unique_ptr<BackgroundCall>> calls_;
    std::map<std::string, std::unique_ptr<ChildProcess>> trainers_;
    std::map<std::string, std::string> variables_;
};

} // namespace currantlug::scenario

#endif
