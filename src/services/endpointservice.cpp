// Polling of endpoints and of the VM list.
#include "services/endpointservice.h"

#include "telemetry/log.h"

#include <atomic>
#include <utility>

namespace currantlug::services {

namespace {

routing::LoadReport toRouting(const endpoints::LoadReport &report)
{
    routing::LoadReport result;
    result.running = static_cast<std::uint32_t>(report.running);
    result.waiting = static_cast<std::uint32_t>(report.waiting);
    result.kvUsed = report.kvUsed;
    result.weightVersion = report.weightVersion;
    // A role names what an engine is specialised for; "serve" is the general one.
    result.role = report.role == "serve" ? "" : report.role;
    result.leaving = report.leaving;
    result.age = report.age;
    return result;
}

} // namespace

EndpointService::EndpointService(DispatchGate &gate, endpoints::ConnectionPool &pool, platform::VmListClient &vms,
                                 RegionOf regionOf, EndpointServiceSettings settings)
    : gate_(gate)
    , poller_(pool, settings.pollTimeout)
    , vms_(vms)
    , regionOf_(std::move(regionOf))
    , settings_(settings)
{
}

EndpointService::~EndpointService()
{
    stop();
}

void EndpointService::start()
{
    {
        const std::lock_guard lock(stopMutex_);
        stopping_ = false;
    }
    thread_ = std::thread([this] { run(); });
}

void EndpointService::stop()
{
    {
        const std::lock_guard lock(stopMutex_);
        stopping_ = true;
    }
    stopChanged_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void EndpointService::run()
{
    std::unique_lock lock(stopMutex_);
    while (!stopping_) {
        lock.unlock();
        const Instant startedAt = monotonicNow();
        pollLoads();
        pollVms();
        const absl::Duration left = settings_.pollInterval - (monotonicNow() - startedAt);
        lock.lock();
        stopChanged_.wait_for(lock, absl::ToChronoMilliseconds(std::max(left, absl::Milliseconds(1))),
                              [this] { return stopping_; });
    }
}

void EndpointService::applyState(const config::ConfigState &state)
{
    std::vector<membership::EndpointInput> inputs;
    std::map<EndpointId, config::Endpoint> configured;
    std::vector<std::pair<routing::EndpointInfo, EndpointAddress>> infos;
    for (const auto &[poolId, pool] : state.objects().pools) {
        for (const config::Endpoint &endpoint : pool.endpoints) {
            configured[endpoint.name] = endpoint;
            inputs.push_back({endpoint.name, poolId, endpoint.address, endpoint.zone, endpoint.cheap,
                              endpoint.checksFencing, false});
            infos.push_back({{endpoint.name, poolId, endpoint.zone, regionOf_(endpoint.zone), endpoint.cheap},
                             {endpoint.address, pool.model}});
        }
    }

    std::vector<EndpointId> removed;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[id, endpoint] : configured_) {
            if (!configured.contains(id)) {
                removed.push_back(id);
                announcedLeaving_.erase(id);
                loads_.erase(id);
            }
        }
        configured_ = std::move(configured);
        list_.applyConfig(inputs, monotonicNow());
    }

    // An endpoint that a ticket removes leaves like any other: its repeatable work goes on elsewhere.
    for (const EndpointId &id : removed) {
        gate_.endpointLeaving(id);
    }
    for (const auto &[info, address] : infos) {
        gate_.setAddress(info.id, address);
    }
    gate_.update([&](routing::Dispatcher &dispatcher, Instant now) {
        for (const EndpointId &id : removed) {
            dispatcher.removeEndpoint(id);
        }
        for (const auto &[info, address] : infos) {
            dispatcher.upsertEndpoint(info);
        }
        for (const auto &[id, workspace] : state.objects().workspaces) {
            routing::LimitSettings limit;
            limit.tokensPerSecond = workspace.tokensPerSecond;
            limit.maxInFlight = static_cast<std::uint32_t>(workspace.maxInFlight);
            dispatcher.setWorkspace(id, workspace.weight, limit, now);
        }
    });
    announceLeaving();
}

void EndpointService::pollLoads()
{
    std::vector<std::pair<EndpointId, std::string>> targets;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[id, endpoint] : configured_) {
            targets.emplace_back(id, endpoint.address);
        }
    }
    std::atomic<std::size_t> nextTarget{0};
    const auto pollSome = [&] {
        for (std::size_t i = nextTarget++; i < targets.size(); i = nextTarget++) {
            takeLoad(targets[i].first, poller_.poll(targets[i].second));
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(settings_.pollThreads, targets.size()); ++i) {
        threads.emplace_back(pollSome);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    announceLeaving();
}

void EndpointService::takeLoad(const EndpointId &id, const absl::StatusOr<endpoints::LoadReport> &report)
{
    if (!report.ok()) {
        // An endpoint without a report is chosen by own counts alone; failing requests eject it.
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        if (!configured_.contains(id)) {
            return;
        }
        loads_[id] = *report;
        list_.applyLoad({id, "", report->leaving}, monotonicNow());
    }
    gate_.update(
        [&](routing::Dispatcher &dispatcher, Instant now) { dispatcher.loadReport(id, toRouting(*report), now); });
}

void EndpointService::pollVms()
{
    const absl::StatusOr<platform::VmList> vms = vms_.list();
    if (!vms.ok()) {
        return;
    }
    std::vector<membership::VmInput> inputs;
    for (const platform::Vm &vm : vms->vms) {
        inputs.push_back({vm.name, vm.address, vm.state == platform::VmState::Leaving});
    }
    {
        const std::lock_guard lock(mutex_);
        list_.applyVms(inputs, monotonicNow());
    }
    announceLeaving();
}

void EndpointService::announceLeaving()
{
    std::vector<EndpointId> leaving;
    std::vector<std::pair<EndpointId, config::Endpoint>> returned;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[id, endpoint] : configured_) {
            const membership::EndpointEntry *entry = list_.find(id);
            const bool isLeaving = entry != nullptr && entry->state == membership::EndpointState::Leaving;
            if (isLeaving && announcedLeaving_.insert(id).second) {
                leaving.push_back(id);
            } else if (!isLeaving && announcedLeaving_.erase(id) > 0) {
                returned.emplace_back(id, endpoint);
            }
        }
    }
    for (const EndpointId &id : leaving) {
        telemetry::log(telemetry::Level::Info, "endpoints", "leaving", {{"endpoint", id.str()}});
        gate_.endpointLeaving(id);
    }
    for (const auto &entryOfReturned : returned) {
        // The dispatcher takes an endpoint back only as a new listing. Named copies, because clang 14 refuses to
        // capture structured bindings.
        const EndpointId &id = entryOfReturned.first;
        const config::Endpoint &endpoint = entryOfReturned.second;
        const membership::EndpointEntry entry = *list_.find(id);
        gate_.update([&](routing::Dispatcher &dispatcher, Instant) {
            dispatcher.removeEndpoint(id);
            dispatcher.upsertEndpoint({id, entry.config.pool, endpoint.zone, regionOf_(endpoint.zone), endpoint.cheap});
        });
    }
}

std::vector<EndpointRow> EndpointService::rows() const
{
    const std::lock_guard lock(mutex_);
    std::vector<EndpointRow> rows;
    for (const auto &[id, endpoint] : configured_) {
        const membership::EndpointEntry *entry = list_.find(id);
        if (entry != nullptr) {
            const auto load = loads_.find(id);
            rows.push_back({*entry, load == loads_.end() ? std::nullopt : std::optional(load->second)});
        }
    }
    return rows;
}

} // namespace currantlug::services
