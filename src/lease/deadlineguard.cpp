// The timer, its signal handler and the list of a thread's guards.
#include "lease/deadlineguard.h"

#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <mutex>

// glibc 2.36 names the field only inside its union.
#ifndef sigev_notify_thread_id
#define sigev_notify_thread_id _sigev_un._tid
#endif

namespace currantlug::lease {

namespace {

// Guards of this thread, the innermost first. The handler acts only on guards in this list: the signal of a deleted
// timer may arrive after its guard is gone.
constinit thread_local DeadlineGuard *innermostGuard = nullptr;

} // namespace

int DeadlineGuard::signalNumber()
{
    constexpr int AboveMin = 3; // SIGRTMIN itself is a common choice of libraries and tools.
    return SIGRTMIN + AboveMin;
}

DeadlineGuard::DeadlineGuard(Instant deadline)
{
    static std::once_flag installed;
    std::call_once(installed, [] {
        struct sigaction action
        {
        };
        action.sa_sigaction = handleSignal;
        action.sa_flags = SA_SIGINFO | SA_RESTART;
        sigemptyset(&action.sa_mask);
        if (sigaction(signalNumber(), &action, nullptr) != 0) {
            std::abort(); // Without the handler the signal would end the process at the first deadline.
        }
    });
    outer_ = innermostGuard;
    innermostGuard = this;
    // The compiler must not move the link after the timer is armed, as the handler runs in this thread.
    std::atomic_signal_fence(std::memory_order_seq_cst);
    sigset_t own;
    sigemptyset(&own);
    sigaddset(&own, signalNumber());
    sigset_t before;
    pthread_sigmask(SIG_UNBLOCK, &own, &before);
    wasBlocked_ = sigismember(&before, signalNumber()) == 1;
    arm(deadline);
}

void DeadlineGuard::arm(Instant deadline)
{
    if (monotonicNow() >= deadline) {
        expire();
        return;
    }
    sigevent event{};
    event.sigev_notify = SIGEV_THREAD_ID;
    event.sigev_signo = signalNumber();
    event.sigev_value.sival_ptr = this;
    event.sigev_notify_thread_id = static_cast<pid_t>(syscall(SYS_gettid));
    itimerspec at{};
    at.it_value = absl::ToTimespec(deadline.sinceOrigin());
    armed_ = timer_create(CLOCK_MONOTONIC, &event, &timer_) == 0;
    if (!armed_ || timer_settime(timer_, TIMER_ABSTIME, &at, nullptr) != 0) {
        expire();
    }
}

DeadlineGuard::~DeadlineGuard()
{
    innermostGuard = outer_;
    std::atomic_signal_fence(std::memory_order_seq_cst);
    if (armed_) {
        timer_delete(timer_);
    }
    if (wasBlocked_) {
        sigset_t own;
        sigemptyset(&own);
        sigaddset(&own, signalNumber());
        pthread_sigmask(SIG_BLOCK, &own, nullptr);
    }
}

void DeadlineGuard::attachSocket(int descriptor)
{
    descriptor_.store(descriptor, std::memory_order_relaxed);
    // Order matters against the handler: it sets expired_ first and then reads the descriptor.
    std::atomic_signal_fence(std::memory_order_seq_cst);
    if (expired()) {
        shutdown(descriptor, SHUT_RDWR);
    }
}

void DeadlineGuard::detachSocket()
{
    descriptor_.store(-1, std::memory_order_relaxed);
    std::atomic_signal_fence(std::memory_order_seq_cst);
}

void DeadlineGuard::handleSignal(int, siginfo_t *info, void *)
{
    const int savedErrno = errno;
    for (DeadlineGuard *guard = innermostGuard; guard != nullptr; guard = guard->outer_) {
        if (guard == info->si_value.sival_ptr) {
            guard->expire();
        }
    }
    errno = savedErrno;
}

// Runs in the signal handler: only lock-free atomics and shutdown(), which is async-signal-safe.
void DeadlineGuard::expire()
{
    static_assert(std::atomic<int>::is_always_lock_free && std::atomic<bool>::is_always_lock_free);
    expired_.store(true, std::memory_order_relaxed);
    std::atomic_signal_fence(std::memory_order_seq_cst);
    const int descriptor = descriptor_.load(std::memory_order_relaxed);
    if (descriptor >= 0) {
        shutdown(descriptor, SHUT_RDWR);
    }
}

} // namespace currantlug::lease
