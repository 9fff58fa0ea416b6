// Merges what the sources say about endpoints.
#include "membership/endpointlist.h"

#include <algorithm>
#include <utility>

namespace currantlug::membership {

namespace {

// An incarnation that was replaced never counts as newer again, even if a lagging source repeats it.
void replace(std::string &current, std::set<std::string> &departed, const std::string &next)
{
    if (!current.empty()) {
        departed.insert(current);
    }
    current = next;
}

std::string_view hostOf(std::string_view address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace

void EndpointList::applyConfig(const std::vector<EndpointInput> &endpoints, Instant now)
{
    std::map<EndpointId, Tracked> next;
    for (const EndpointInput &input : endpoints) {
        const auto known = endpoints_.find(input.id);
        Tracked &tracked = next[input.id];
        if (known != endpoints_.end() && known->second.entry.config.address == input.address) {
            tracked = known->second;
        }
        if (input.draining && !tracked.entry.config.draining) {
            tracked.ticketLeft = true;
            tracked.renewedSinceDrain = false;
        }
        tracked.entry.config = input;
        refresh(tracked, now);
    }
    endpoints_ = std::move(next);
}

void EndpointList::applyVms(const std::vector<VmInput> &vms, Instant now)
{
    // While a VM is being replaced, the list may hold both at one address; the leaving one is the earlier.
    for (const bool leaving : {true, false}) {
        for (const VmInput &vm : vms) {
            if (vm.leaving == leaving) {
                applyVm(vm, now);
            }
        }
    }
}

void EndpointList::applyVm(const VmInput &vm, Instant now)
{
    for (auto &[id, tracked] : endpoints_) {
        if (hostOf(tracked.entry.config.address) != hostOf(vm.address)) {
            continue;
        }
        if (vm.leaving) {
            vmLeaves(tracked, vm.name, LeavingSource::VmList);
        } else {
            vmLives(tracked, vm.name);
        }
        refresh(tracked, now);
    }
}

void EndpointList::applyLoad(const LoadInput &load, Instant now)
{
    const auto found = endpoints_.find(load.endpoint);
    if (found == endpoints_.end()) {
        return;
    }
    Tracked &tracked = found->second;
    if (tracked.departedProcesses.count(load.incarnation) != 0) {
        return;
    }
    if (load.leaving) {
        if (!load.incarnation.empty()) {
            replace(tracked.process, tracked.departedProcesses, load.incarnation);
        }
        if (!tracked.process.empty()) {
            tracked.departedProcesses.insert(tracked.process);
        }
        tracked.processLeft = true;
    } else if (!load.incarnation.empty()) {
        processLives(tracked, load.incarnation);
    }
    refresh(tracked, now);
}

void EndpointList::applyEviction(const EndpointId &endpoint, Instant now)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end()) {
        vmLeaves(found->second, found->second.vm, LeavingSource::Eviction);
        refresh(found->second, now);
    }
}

void EndpointList::vmLeaves(Tracked &tracked, const std::string &name, LeavingSource source)
{
    if (tracked.departedVms.count(name) != 0) {
        return;
    }
    if (!name.empty()) {
        replace(tracked.vm, tracked.departedVms, name);
        tracked.departedVms.insert(name);
    }
    tracked.vmLeft = source;
}

void EndpointList::vmLives(Tracked &tracked, const std::string &name)
{
    if (tracked.departedVms.count(name) != 0 || tracked.vm == name) {
        return;
    }
    const bool first = tracked.vm.empty();
    replace(tracked.vm, tracked.departedVms, name);
    if (first) {
        // Not newer than the leaving that was reported before any name was known.
        if (tracked.vmLeft != LeavingSource::None) {
            tracked.departedVms.insert(name);
        }
        return;
    }
    replace(tracked.process, tracked.departedProcesses, "");
    tracked.vmLeft = LeavingSource::None;
    tracked.processLeft = false;
    tracked.renewedSinceDrain = true;
}

void EndpointList::processLives(Tracked &tracked, const std::string &incarnation)
{
    if (tracked.process == incarnation) {
        return;
    }
    const bool first = tracked.process.empty();
    replace(tracked.process, tracked.departedProcesses, incarnation);
    if (first) {
        if (tracked.processLeft) {
            tracked.departedProcesses.insert(incarnation);
        }
        return;
    }
    tracked.processLeft = false;
    tracked.renewedSinceDrain = true;
}

void EndpointList::refresh(Tracked &tracked, Instant now)
{
    if (tracked.ticketLeft && !tracked.entry.config.draining && tracked.renewedSinceDrain) {
        tracked.ticketLeft = false;
    }
    const LeavingSource process = tracked.processLeft ? LeavingSource::LoadReport : LeavingSource::None;
    const LeavingSource ticket = tracked.ticketLeft ? LeavingSource::Ticket : LeavingSource::None;
    const auto sources = {tracked.vmLeft, process, ticket};
    EndpointEntry &entry = tracked.entry;
    if (std::find(sources.begin(), sources.end(), entry.source) == sources.end()
        || entry.source == LeavingSource::None) {
        const auto *remaining =
            std::find_if(sources.begin(), sources.end(), [](LeavingSource s) { return s != LeavingSource::None; });
        entry.source = remaining == sources.end() ? LeavingSource::None : *remaining;
    }
    const EndpointState state = entry.source == LeavingSource::None ? EndpointState::Live : EndpointState::Leaving;
    if (state == EndpointState::Leaving && entry.state == EndpointState::Live) {
        entry.leavingSince = now;
    }
    entry.state = state;
}

const EndpointEntry *EndpointList::find(const EndpointId &id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second.entry;
}

std::vector<EndpointEntry> EndpointList::pool(const PoolId &pool) const
{
    std::vector<EndpointEntry> result;
    for (const auto &[id, tracked] : endpoints_) {
        if (tracked.entry.config.pool == pool) {
            result.push_back(tracked.entry);
        }
    }
    return result;
}

EndpointCounts EndpointList::counts(const PoolId &pool) const
{
    EndpointCounts result;
    for (const auto &[id, tracked] : endpoints_) {
        const EndpointEntry &entry = tracked.entry;
        if (entry.config.pool != pool) {
            continue;
        }
        if (entry.state == EndpointState::Leaving) {
            ++result.leaving;
            continue;
        }
        ++result.live;
        ++result.liveByZone[entry.config.zone];
        result.liveCheap += entry.config.cheap ? 1 : 0;
    }
    return result;
}

} // namespace currantlug::membership
