// Cuts a socket at a deadline even if its thread was stopped between checking the deadline and sending.
#ifndef CURRANTLUG_LEASE_DEADLINEGUARD_H
#define CURRANTLUG_LEASE_DEADLINEGUARD_H

#include "core/instant.h"

#include <atomic>
#include <csignal>
#include <ctime>

namespace currantlug::lease {

/// Some receivers ignore fencing tokens, so a lease holder must not send after its lease has lapsed. A check before the
/// send does not suffice: the process may be stopped in between. The guard arms a POSIX timer that signals its own
/// thread; the kernel delivers the signal of an expired timer before a continued thread runs its next instruction, and
/// the handler shuts the socket down, so that the send fails.
///
/// Lives on the stack of the thread that sends; guards of one thread may nest. Detach the socket, or end the guard,
/// before the descriptor is closed: its number may be given to another file.
///
/// Limits: a send that is already inside the kernel is not stopped, and nothing notices a pause during which the
/// virtual machine's clock stands still.
class DeadlineGuard
{
public:
    /// Arms the timer at the deadline on CLOCK_MONOTONIC. If the timer cannot be created, the guard has expired.
    explicit DeadlineGuard(Instant deadline);
    ~DeadlineGuard();
    DeadlineGuard(const DeadlineGuard &) = delete;
    DeadlineGuard &operator=(const DeadlineGuard &) = delete;

    /// Shuts the socket down at the deadline, or now if it has passed. One socket at a time. Call from the guard's
    /// thread, before the check and the send.
    void attachSocket(int descriptor);
    void detachSocket();

    /// True once the deadline has passed.
    bool expired() const { return expired_.load(std::memory_order_relaxed); }

    /// The real-time signal in use.
    static int signalNumber();

private:
    static void handleSignal(int signal, siginfo_t *info, void *context);
    void arm(Instant deadline);
    void expire();

    std::atomic<int> descriptor_{-1};
    std::atomic<bool> expired_{false};
    timer_t timer_{};
    bool armed_ = false;
    bool wasBlocked_ = false; ///< The thread blocked the signal before; the guard unblocks it for its lifetime.
    DeadlineGuard *outer_ = nullptr; ///< Guard of the same thread that was made before this one.
};

} // namespace currantlug::lease

#endif
