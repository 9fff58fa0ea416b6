// One currantlug daemon: its parts, how they are connected, and its planned stop.
#ifndef CURRANTLUG_DAEMON_DAEMON_H
#define CURRANTLUG_DAEMON_DAEMON_H

#include "daemon/supervisor.h"
#include "server/adminapi.h"
#include "server/callerapi.h"
#include "server/httplistener.h"
#include "server/trainerapi.h"
#include "services/callstatistics.h"
#include "services/fleetservice.h"
#include "services/rolloutservice.h"
#include "services/usageservice.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace currantlug::daemon {

/// Objects are declared in the order in which later ones use earlier ones. One thread calls start(), tick() and stop().
class Daemon
{
public:
    explicit Daemon(settings::DaemonSettings settings);
    ~Daemon();

    absl::Status start();

    /// Drives the supervisor and a drain; call it several times a second. An error ends the process.
    absl::Status tick(Instant now);

    /// Begins a planned stop. Safe from any thread.
    void drain();
    /// True when a planned stop has ended and the process may exit.
    bool drained() const { return drainPhase_ == DrainPhase::Done; }

    void stop();

    int callerPort() const { return callerListener_.port(); }
    int adminPort() const { return adminListener_.port(); }
    int meshPort() const { return mesh_.port(); }

private:
    enum class DrainPhase {
        None,
        Announced, ///< Left out of address answers; requests are still taken.
        Closed, ///< New requests are refused; running ones finish.
        Done,
    };

    void connectParts();
    void superviseParts();
    absl::Status startMembers();
    void advanceDrain(Instant now);
    void recordCall(const services::CompletionRecord &record);
    Json leases();
    services::FleetInputs fleetInputs();
    services::PoolLoad poolLoad(const PoolId &pool) const;

    settings::DaemonSettings settings_;
    std::string incarnation_;
    telemetry::MetricsRegistry metrics_;

    platform::HttpObjectStore store_;
    platform::VmListClient vms_;
    mesh::Mesh mesh_;
    services::MemberService members_;
    services::ConfigService config_;
    services::DispatchGate gate_;
    services::ActiveCalls active_;
    endpoints::ConnectionPool connections_;
    endpoints::EngineClient engines_;
    endpoints::ServiceClient plainServices_;
    services::EndpointService endpoints_;
    services::CallStatistics statistics_;
    services::UsageService usage_;
    services::CompletionService completions_;
    services::FleetService fleet_;
    services::ClaimService claims_;
    services::PlainCallService plainCalls_;
    services::CompletionSampleGenerator generator_;
    rollout::StepBook steps_;
    std::unique_ptr<rollout::SampleRunner<services::CompletionSampleGenerator>> runner_;

    server::RequestGate requestGate_;
    server::HttpListener callerListener_;
    server::HttpListener adminListener_;
    server::CallerApi callerApi_;
    server::TrainerApi trainerApi_;
    server::AdminApi adminApi_;

    Supervisor supervisor_;
    std::atomic<bool> drainWanted_{false};
    DrainPhase drainPhase_ = DrainPhase::None;
    Instant drainAnnouncedAt_;
};

} // namespace currantlug::daemon

#endif
