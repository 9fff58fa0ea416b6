// Signal mask and ignored signals of the process.
#include "node/signalhold.h"

#include "launcher/heldsignals.h"

namespace currantlug::node {

namespace {

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : launcher::HandledSignals) {
        sigaddset(&signals, signal);
    }
    return signals;
}

} // namespace

void releaseSignals()
{
    sigset_t released = handledSignals();
    for (const int signal : launcher::UnusedSignals) {
        std::signal(signal, SIG_IGN);
        sigaddset(&released, signal);
    }
    sigprocmask(SIG_UNBLOCK, &released, nullptr);
}

bool isStopPending()
{
    sigset_t pending;
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

void holdSignals()
{
    const sigset_t held = handledSignals();
    sigprocmask(SIG_BLOCK, &held, nullptr);
}

} // namespace currantlug::node
