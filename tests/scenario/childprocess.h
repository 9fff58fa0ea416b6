// A program of the build tree that a scenario runs, signals and ends.
#ifndef CURRANTLUG_TESTS_SCENARIO_CHILDPROCESS_H
#define CURRANTLUG_TESTS_SCENARIO_CHILDPROCESS_H

#include <sys/types.h>

#include <string>
#include <vector>

namespace currantlug::scenario {

/// Ends the program with SIGKILL when it is destroyed.
class ChildProcess
{
public:
    /// Starts the program; its standard error goes to the log file.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const { return pid_; }

    /// The next line of standard output, without its newline; empty at the end of output or after 20 s.
    std::string readLine();

    void signal(int number) const;

    /// Waits for the end, at most this long. Returns the exit code, 128 + signal, or -1 while it still runs.
    int waitForExit(int milliseconds);

private:
    pid_t pid_ = -1;
    int output_ = -1;
    std::string buffered_;
    int exitCode_ = -1; ///< Set once the process was waited for.
};

} // namespace currantlug::scenario

#endif
