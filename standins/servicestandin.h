// Stand-in for a plain service: any method and path, executions counted per Idempotency-Key.
#ifndef CURRANTLUG_STANDINS_SERVICESTANDIN_H
#define CURRANTLUG_STANDINS_SERVICESTANDIN_H

#include "standins/faults.h"

#include <absl/status/status.h>

#include <cstdint>
#include <memory>

namespace currantlug::standins {

struct ServiceSettings
{
    int port = 0; ///< 0 takes a free one.
    absl::Duration delay = absl::ZeroDuration(); ///< Before each execution.
};

/// Answers 200 with {"executions","method","path","request_id","body"}: `executions` counts this Idempotency-Key, with
/// this call included. An X-Request-Id is echoed as a header. `POST /faults` and `GET /audit` are its own. Thread-safe.
class ServiceStandin
{
public:
    explicit ServiceStandin(ServiceSettings settings = {});
    ~ServiceStandin();
    ServiceStandin(const ServiceStandin &) = delete;
    ServiceStandin &operator=(const ServiceStandin &) = delete;

    /// Listens on 127.0.0.1.
    absl::Status start();
    void stop();
    int port() const;

    void addFault(const Fault &fault);
    void clearFaults();
    /// How often a call with this Idempotency-Key took effect; the empty key counts calls without one.
    std::uint64_t executions(std::string_view idempotencyKey) const;

    /// {"executions":{"<key>":n},"requests":[{"method","target","headers":[[name,value]...],"body","executed"}]}.
    Json audit() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace currantlug::standins

#endif
