// Additive increase and multiplicative decrease of a concurrency limit.
#include "serving/concurrencylimit.h"

#include <algorithm>
#include <cassert>

namespace currantlug::serving {

bool ConcurrencyLimit::tryAcquire()
{
    if (inUse_ + 1 > limit_) {
        return false;
    }
    ++inUse_;
    return true;
}

void ConcurrencyLimit::release()
{
    assert(inUse_ > 0);
    --inUse_;
}

void ConcurrencyLimit::recordSuccess()
{
    limit_ = std::min(settings_.maximum, limit_ + (everLowered_ ? settings_.increaseStep / limit_ : 1));
}

void ConcurrencyLimit::recordCongestion(Instant now)
{
    if (now - loweredAt_ < settings_.decreasePeriod) {
        return;
    }
    loweredAt_ = now;
    everLowered_ = true;
    limit_ = std::max(settings_.minimum, limit_ * settings_.decreaseFactor);
}

} // namespace currantlug::serving
