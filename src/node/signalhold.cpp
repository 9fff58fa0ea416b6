// Blocks the signals ahead of all constructors.
#include "node/signalhold.h"

#include <csignal>
#include <initializer_list>
#include <sys/syscall.h>
#include <unistd.h>

namespace currantlug::node {

namespace {

constexpr unsigned long bitOf(int signal)
{
    return 1UL << static_cast<unsigned>(signal - 1);
}

// Runs before the constructors of the shared libraries, and before a sanitizer is set up: hence the bare system call.
__attribute__((no_sanitize("address", "thread", "undefined"))) void holdSignals()
{
    unsigned long held = bitOf(SIGHUP) | bitOf(SIGTERM) | bitOf(SIGINT);
    syscall(SYS_rt_sigprocmask, SIG_BLOCK, &held, nullptr, sizeof held);
}

__attribute__((section(".preinit_array"), used)) void (*const holdSignalsAtStart)() = holdSignals;

} // namespace

void releaseSignals()
{
    sigset_t held;
    sigemptyset(&held);
    for (const int signal : {SIGHUP, SIGTERM, SIGINT}) {
        sigaddset(&held, signal);
    }
    sigprocmask(SIG_UNBLOCK, &held, nullptr);
}

} // namespace currantlug::node
