// Time as the decision code sees it. Decision methods take an Instant argument, so tests move time without waiting.
#ifndef CURRANTLUG_CORE_INSTANT_H
#define CURRANTLUG_CORE_INSTANT_H

#include <absl/time/time.h>

#include <compare>
#include <ctime>

namespace currantlug {

/// A point on the process's monotonic clock. Only the difference of two instants of one process has a meaning.
class Instant
{
public:
    constexpr Instant() = default;
    constexpr explicit Instant(absl::Duration sinceOrigin)
        : sinceOrigin_(sinceOrigin)
    {
    }

    /// Time since the arbitrary origin of this process's monotonic clock.
    constexpr absl::Duration sinceOrigin() const { return sinceOrigin_; }

    friend Instant operator+(Instant at, absl::Duration by) { return Instant(at.sinceOrigin_ + by); }
    friend Instant operator-(Instant at, absl::Duration by) { return Instant(at.sinceOrigin_ - by); }
    friend absl::Duration operator-(Instant a, Instant b) { return a.sinceOrigin_ - b.sinceOrigin_; }
    friend bool operator==(Instant a, Instant b) { return a.sinceOrigin_ == b.sinceOrigin_; }
    friend bool operator<(Instant a, Instant b) { return a.sinceOrigin_ < b.sinceOrigin_; }
    friend bool operator>(Instant a, Instant b) { return b < a; }
    friend bool operator<=(Instant a, Instant b) { return !(b < a); }
    friend bool operator>=(Instant a, Instant b) { return !(a < b); }

private:
    absl::Duration sinceOrigin_;
};

/// Reads CLOCK_MONOTONIC, which goes on counting while the process is stopped by a signal.
inline Instant monotonicNow()
{
    timespec now{};
    clock_gettime(CLOCK_MONOTONIC, &now);
    return Instant(absl::DurationFromTimespec(now));
}

} // namespace currantlug

#endif
