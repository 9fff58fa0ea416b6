// Signals whose default action ends a process, as the launcher holds them back and the node handles or ignores them.
#ifndef CURRANTLUG_LAUNCHER_HELDSIGNALS_H
#define CURRANTLUG_LAUNCHER_HELDSIGNALS_H

#include <csignal>

namespace currantlug::launcher {

/// Signals that the program handles: a change of the settings and requests to stop.
inline constexpr int HandledSignals[] = {SIGHUP, SIGTERM, SIGINT};
/// Signals that the program has no use for.
inline constexpr int UnusedSignals[] = {SIGUSR1, SIGUSR2, SIGPIPE, SIGALRM, SIGVTALRM, SIGPROF,
                                        SIGPOLL, SIGPWR,  SIGXFSZ, SIGXCPU, SIGSTKFLT};

/// The signals of both lists as the mask of a system call: the bit of a signal is its number less one.
constexpr unsigned long heldSignalMask()
{
    unsigned long mask = 0;
    for (const int signal : HandledSignals) {
        mask |= 1UL << static_cast<unsigned>(signal - 1);
    }
    for (const int signal : UnusedSignals) {
        mask |= 1UL << static_cast<unsigned>(signal - 1);
    }
    return mask;
}

} // namespace currantlug::launcher

#endif
