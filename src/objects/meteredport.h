// Decorator of an object port that counts calls and measures their latency.
#ifndef CURRANTLUG_OBJECTS_METEREDPORT_H
#define CURRANTLUG_OBJECTS_METEREDPORT_H

#include "objects/objectport.h"
#include "telemetry/metrics.h"

namespace currantlug::objects {

/// Forwards all calls to `port`. Counts them in `currantlug_store_calls_total` by operation and outcome, and records
/// their latency in `currantlug_store_call_seconds`, except for watches, which block until something changes. The
/// registry must outlive the port.
ObjectPort meteredPort(ObjectPort port, telemetry::MetricsRegistry &metrics);

} // namespace currantlug::objects

#endif
