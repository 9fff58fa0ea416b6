// Construction, start order and planned stop of a daemon.
#include "daemon/daemon.h"

#include "core/error.h"
#include "core/hash.h"
#include "mesh/wstransport.h"
#include "telemetry/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace currantlug::daemon {

namespace {

constexpr std::size_t IncarnationBytes = 8;

// Forwarded pulls hold a worker for up to 100 ms each; configuration pulls and attestations must not wait for them.
constexpr int MeshWorkers = 16;

// Time for the member list with this daemon's drain to reach the daemons that answer callers: one relay poll and one
// pull, each about a second, and one retry.
constexpr absl::Duration DrainSpread = absl::Seconds(3);

platform::HttpClientSettings clientSettings(const std::string &address)
{
    platform::HttpClientSettings settings;
    platform::parsePeer(address, settings);
    return settings;
}

std::unique_ptr<mesh::Transport> makeTransport(const settings::DaemonSettings &settings)
{
    mesh::WsTransportSettings transport;
    transport.listenAddress = settings.meshAddress;
    transport.listenPort = settings.meshPort;
    return std::make_unique<mesh::WsTransport>(transport);
}

mesh::MeshSettings meshSettings(const settings::DaemonSettings &settings, const std::string &incarnation)
{
    mesh::MeshSettings result;
    result.self = settings.daemon;
    result.incarnation = incarnation;
    result.zone = settings.zone;
    result.heartbeat = settings.tunables.heartbeat;
    result.heartbeatLimit = settings.tunables.heartbeatLimit;
    result.workers = MeshWorkers;
    return result;
}

membership::Member selfMember(const settings::DaemonSettings &settings, const std::string &incarnation)
{
    membership::Member member;
    member.id = settings.daemon;
    member.incarnation = incarnation;
    member.zone = settings.zone;
    member.region = settings.region;
    return member;
}

services::MemberServiceSettings memberSettings(const settings::Tunables &tunables)
{
    services::MemberServiceSettings result;
    result.liveness.suspectAfter = tunables.heartbeatLimit;
    result.liveness.removeAfter = tunables.removeAfter;
    result.addresses.keep = tunables.addressKeep;
    result.addresses.maxAddresses = static_cast<std::size_t>(tunables.addressCount);
    return result;
}

services::ConfigServiceSettings configSettings(const settings::Tunables &tunables)
{
    services::ConfigServiceSettings result;
    result.freshness.freshnessBound = tunables.freshnessBound;
    result.freshness.attestationAge = tunables.attestKeep;
    result.pullInterval = tunables.configPullInterval;
    result.attestInterval = tunables.attestInterval;
    result.filer.pushWindow = tunables.confirmWait;
    return result;
}

routing::DispatcherSettings dispatcherSettings(const settings::DaemonSettings &settings, const std::string &incarnation)
{
    routing::DispatcherSettings result;
    result.chooser.ownZone = settings.zone;
    result.chooser.ownRegion = settings.region;
    // Daemons with equal seeds would back off and retry at the same moments.
    result.seed = stableHash(incarnation);
    return result;
}

services::EndpointServiceSettings endpointSettings(const settings::Tunables &tunables)
{
    services::EndpointServiceSettings result;
    result.pollInterval = tunables.loadPollInterval;
    return result;
}

lease::LeaseSettings leaseSettings(const settings::Tunables &tunables)
{
    lease::LeaseSettings result;
    result.duration = tunables.leaseDuration;
    result.renewEvery = tunables.leaseDuration / 3;
    result.margin = tunables.leaseMargin;
    result.sendBound = tunables.sendBound;
    return result;
}

services::UsageServiceSettings usageSettings(const settings::Tunables &tunables, services::MemberService &members)
{
    services::UsageServiceSettings result;
    result.window = tunables.usageWindow;
    result.grace = tunables.usageGrace;
    // At least two flushes per window and one within the grace period, so that a window has its figures when frozen.
    result.flushEvery = std::min(result.flushEvery, std::min(tunables.usageWindow, tunables.usageGrace) / 2);
    result.lease = leaseSettings(tunables);
    result.candidate = [&members] { return members.isLeaseCandidate("usage"); };
    return result;
}

services::FleetServiceSettings fleetSettings(const settings::Tunables &tunables)
{
    services::FleetServiceSettings result;
    result.lease = leaseSettings(tunables);
    return result;
}

server::HttpListenerSettings listenerSettings(const std::string &address, int port)
{
    server::HttpListenerSettings result;
    result.address = address;
    result.port = port;
    return result;
}

} // namespace

Daemon::Daemon(settings::DaemonSettings settings)
    : settings_(std::move(settings))
    , incarnation_(randomHex(IncarnationBytes))
    , store_(clientSettings(settings_.storeAddresses.front()))
    , vms_(clientSettings(settings_.vmListAddress))
    , mesh_(meshSettings(settings_, incarnation_), makeTransport(settings_))
    , members_(selfMember(settings_, incarnation_), mesh_, store_, memberSettings(settings_.tunables))
    , config_(settings_.daemon, mesh_, members_, store_, configSettings(settings_.tunables))
    , gate_(dispatcherSettings(settings_, incarnation_))
    , engines_(connections_)
    , plainServices_(connections_)
    , endpoints_(
          gate_, connections_, vms_,
          [this](const ZoneId &zone) {
              const services::MemberSnapshot members = members_.snapshot();
              for (const membership::Member &member : members.list.members()) {
                  if (member.zone == zone) {
                      return member.region;
                  }
              }
              return RegionId();
          },
          endpointSettings(settings_.tunables))
    , statistics_(metrics_)
    , usage_(settings_.daemon, incarnation_, store_, clientSettings(settings_.usageAddress),
             usageSettings(settings_.tunables, members_))
    , completions_(gate_, active_, engines_, [this](const auto &record) { recordCall(record); })
    , fleet_(settings_.daemon, store_, clientSettings(settings_.ordersAddress), fleetInputs(),
             fleetSettings(settings_.tunables))
    , claims_({settings_.daemon, incarnation_}, mesh_, members_, store_, {settings_.tunables.claimBatch})
    , plainCalls_(gate_, active_, claims_, plainServices_, [this](const auto &record) { recordCall(record); })
    , generator_(completions_, [this] { return config_.current(); })
    , requestGate_(config_, members_)
    , callerListener_(listenerSettings(settings_.callerAddress, settings_.callerPort))
    , adminListener_(listenerSettings(settings_.adminAddress, settings_.adminPort))
    , callerApi_({requestGate_, config_, members_, completions_, plainCalls_, claims_})
    , trainerApi_({requestGate_, config_, members_, steps_, mesh_})
    , adminApi_({settings_.adminToken, config_, members_, endpoints_, gate_, metrics_,
                 [this] { return statistics_.workspaces(*config_.current()); },
                 [] {
                     return Json{{"leases", Json::array()}};
                 },
                 [this] { return statistics_.burn(); }, [this] { drain(); }})
{
    connectParts();
    superviseParts();
}

Daemon::~Daemon()
{
    stop();
}

void Daemon::connectParts()
{
    members_.registerHandlers();
    config_.registerHandlers();
    claims_.registerHandlers();
    trainerApi_.registerHandlers();
    callerApi_.install(callerListener_.routes());
    trainerApi_.install(callerListener_.routes());
    adminApi_.install(adminListener_.routes());
    server::installErrorHandlers(callerListener_.routes());
    server::installErrorHandlers(adminListener_.routes());

    members_.setHeadAccess({[this] { return config_.current()->number(); }, [this] { return config_.readHead(); },
                            [this](const DaemonId &from, std::uint64_t head) { return config_.catchUp(from, head); }});
    members_.setOnList([this](const services::MemberSnapshot &members) {
        config_.applyMembers(members);
        const auto live = static_cast<std::uint32_t>(members.list.members().size() - members.suspects.size());
        gate_.update([live](routing::Dispatcher &dispatcher, Instant now) { dispatcher.setLiveDaemons(live, now); });
    });
    config_.setOnState([this](const std::shared_ptr<const config::ConfigState> &state) {
        endpoints_.applyState(*state);
        active_.recheck(*state);
    });
    config_.setOnServing([this](config::Serving serving) {
        if (serving != config::Serving::Isolated) {
            members_.setReady();
            return;
        }
        active_.endAll(makeError(absl::StatusCode::kUnavailable, Step::CheckKey, settings_.daemon.str(),
                                 Outcome::MayHaveRun, "this daemon lost its fresh configuration during the call"));
    });
}

void Daemon::superviseParts()
{
    const auto always = [](auto &part) {
        return [&part] {
            part.start();
            return absl::OkStatus();
        };
    };
    supervisor_.add({"mesh", [this] { return mesh_.start(); }, [this] { mesh_.stop(); }, nullptr});
    supervisor_.add(
        {"caller-listener", [this] { return callerListener_.start(); }, [this] { callerListener_.stop(); }, nullptr});
    supervisor_.add(
        {"admin-listener", [this] { return adminListener_.start(); }, [this] { adminListener_.stop(); }, nullptr});
    supervisor_.add({"members", [this] { return startMembers(); }, [this] { members_.stop(); }, nullptr});
    supervisor_.add({"config", always(config_), [this] { config_.stop(); }, nullptr});
    supervisor_.add({"dispatch", always(gate_), [this] { gate_.stop(); }, nullptr});
    supervisor_.add({"endpoints", always(endpoints_), [this] { endpoints_.stop(); }, nullptr});
    supervisor_.add({"fleet", always(fleet_), [this] { fleet_.stop(); }, nullptr});
    supervisor_.add({"usage", always(usage_), [this] { usage_.stop(); }, nullptr});
    supervisor_.add({"claims", [] { return absl::OkStatus(); }, [this] { claims_.stop(); }, nullptr});
    supervisor_.add({"rollout",
                     [this] {
                         runner_ = std::make_unique<rollout::SampleRunner<services::CompletionSampleGenerator>>(
                             steps_, generator_);
                         runner_->start();
                         return absl::OkStatus();
                     },
                     [this] {
                         steps_.wakeAll();
                         runner_->stop();
                     },
                     nullptr});
}

void Daemon::recordCall(const services::CompletionRecord &record)
{
    statistics_.record(record);
    usage_.count(record.workspace, {1, record.tokens});
}

Json Daemon::leases()
{
    Json list = Json::array();
    const auto add = [&](const char *name, bool heldHere) {
        Json row{{"name", name}, {"held_here", heldHere}};
        if (const auto stored = store_.get(lease::leaseKey(name)); stored.ok()) {
            if (const auto record = lease::parseLeaseRecord(stored->value); record.ok()) {
                row["holder"] = record->holder.str();
                row["term"] = record->term;
            }
        }
        list.push_back(std::move(row));
    };
    add("orders", fleet_.holdsLease());
    add("usage", usage_.holdsLease());
    return {{"leases", std::move(list)}};
}

services::FleetInputs Daemon::fleetInputs()
{
    services::FleetInputs inputs;
    inputs.state = [this] { return config_.current(); };
    inputs.endpoints = [this] { return endpoints_.rows(); };
    inputs.load = [this](const PoolId &pool) { return poolLoad(pool); };
    inputs.candidate = [this] { return members_.isLeaseCandidate("orders"); };
    inputs.zones = [this] {
        std::set<ZoneId> zones;
        const services::MemberSnapshot members = members_.snapshot();
        for (const membership::Member &member : members.list.members()) {
            zones.insert(member.zone);
        }
        return std::vector<ZoneId>(zones.begin(), zones.end());
    };
    return inputs;
}

services::PoolLoad Daemon::poolLoad(const PoolId &pool) const
{
    // Load reports show the requests of all daemons; their length is taken from those queued here.
    constexpr double UsualTokens = 200;
    services::PoolLoad load;
    std::uint64_t requests = 0;
    for (const services::EndpointRow &row : endpoints_.rows()) {
        if (row.entry.config.pool == pool && row.load) {
            requests += row.load->running + row.load->waiting;
        }
    }
    gate_.inspect([&](const routing::Dispatcher &dispatcher) {
        load.outstandingTokens = dispatcher.queuedTokens(pool) + static_cast<double>(requests) * UsualTokens;
    });
    return load;
}

absl::Status Daemon::startMembers()
{
    const std::string caller = settings_.callerAdvertised.empty()
        ? fmt::format("{}:{}", settings_.callerAddress, callerListener_.port())
        : settings_.callerAdvertised;
    const std::string mesh = settings_.meshAdvertised.empty()
        ? fmt::format("{}:{}", settings_.meshAddress, mesh_.port())
        : settings_.meshAdvertised;
    members_.start(caller, mesh);
    return absl::OkStatus();
}

absl::Status Daemon::start()
{
    return supervisor_.start();
}

absl::Status Daemon::tick(Instant now)
{
    steps_.removeIdle(now);
    advanceDrain(now);
    return supervisor_.tick(now);
}

void Daemon::drain()
{
    drainWanted_.store(true);
}

void Daemon::advanceDrain(Instant now)
{
    switch (drainPhase_) {
    case DrainPhase::None:
        if (drainWanted_.load()) {
            telemetry::log(telemetry::Level::Info, "daemon", "drain_started");
            members_.drain();
            drainAnnouncedAt_ = now;
            drainPhase_ = DrainPhase::Announced;
        }
        break;
    case DrainPhase::Announced:
        // A caller may use an address that it was given just before the last daemon heard of the drain.
        if (now - drainAnnouncedAt_ >= settings_.tunables.addressKeep + DrainSpread) {
            requestGate_.close();
            drainPhase_ = DrainPhase::Closed;
        }
        break;
    case DrainPhase::Closed:
        if (requestGate_.running() == 0) {
            members_.leave();
            telemetry::log(telemetry::Level::Info, "daemon", "drain_finished");
            drainPhase_ = DrainPhase::Done;
        }
        break;
    case DrainPhase::Done:
        break;
    }
}

void Daemon::stop()
{
    active_.endAll(makeError(absl::StatusCode::kUnavailable, Step::ReadAnswer, settings_.daemon.str(),
                             Outcome::MayHaveRun, "the daemon stopped"));
    supervisor_.stop();
}

} // namespace currantlug::daemon
