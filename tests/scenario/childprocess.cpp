// fork, exec and wait.
#include "scenario/childprocess.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <stdexcept>
#include <thread>

namespace currantlug::scenario {

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           const std::string &logFile)
{
    int pipeEnds[2];
    if (pipe2(pipeEnds, O_CLOEXEC) != 0) {
        throw std::runtime_error("pipe2 failed");
    }
    std::vector<char *> argv{const_cast<char *>(program.c_str())};
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = fork();
    if (pid_ == 0) {
        // The program must not outlive a test that is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        // A parent that was started by nohup ignores SIGHUP, and the program would inherit that.
        ::signal(SIGHUP, SIG_DFL);
        dup2(pipeEnds[1], STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(program.c_str(), argv.data());
        _exit(127);
    }
    close(pipeEnds[1]);
    close(log);
    output_ = pipeEnds[0];
}

ChildProcess::~ChildProcess()
{
    if (exitCode_ < 0) {
        kill(pid_, SIGKILL);
        kill(pid_, SIGCONT);
        waitForExit(10'000);
    }
    close(output_);
}

std::string ChildProcess::readLine()
{
    constexpr int ReadTimeoutMs = 20'000;
    for (;;) {
        const std::size_t end = buffered_.find('\n');
        if (end != std::string::npos) {
            std::string line = buffered_.substr(0, end);
            buffered_.erase(0, end + 1);
            return line;
        }
        pollfd readable{output_, POLLIN, 0};
        char bytes[4096];
        const ssize_t count = poll(&readable, 1, ReadTimeoutMs) > 0 ? read(output_, bytes, sizeof(bytes)) : 0;
        if (count <= 0) {
            return {};
        }
        buffered_.append(bytes, static_cast<std::size_t>(count));
    }
}

void ChildProcess::signal(int number) const
{
    if (exitCode_ < 0) {
        kill(pid_, number);
    }
}

int ChildProcess::waitForExit(int milliseconds)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
    while (exitCode_ < 0) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        } else if (std::chrono::steady_clock::now() >= deadline) {
            return -1;
        } else {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }
    return exitCode_;
}

} // namespace currantlug::scenario
