// An object port that counts its calls and measures how long they take.
#ifndef CURRANTLUG_OBJECTS_METEREDPORT_H
#define CURRANTLUG_OBJECTS_METEREDPORT_H

#include "objects/objectport.h"
#include "telemetry/metrics.h"

namespace currantlug::objects {

/// Passes all calls on to `port`. Counts them in `currantlug_store_calls_total` by operation and outcome, and measures
/// all but watches, which wait for news, in `currantlug_store_call_seconds`. The registry must outlive the port.
ObjectPort meteredPort(ObjectPort port, telemetry::MetricsRegistry &metrics);

} // namespace currantlug::objects

#endif
