// Endpoints by pool, merged from the configuration, the platform's VM list, load reports and eviction notices.
#ifndef CURRANTLUG_MEMBERSHIP_ENDPOINTLIST_H
#define CURRANTLUG_MEMBERSHIP_ENDPOINTLIST_H

#include "core/enumnames.h"
#include "core/ids.h"
#include "core/instant.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace currantlug::membership {

/// An endpoint as the configuration lists it.
struct EndpointInput
{
    EndpointId id;
    PoolId pool;
    std::string address; ///< host:port
    ZoneId zone;
    bool cheap = false;
    bool checksFencing = false;
    bool draining = false; ///< A ticket drains it. Lifting the drain does not return the incarnation that was drained.
};

/// A VM as the platform lists it; it concerns every endpoint whose address has the VM's host.
struct VmInput
{
    std::string name; ///< Serves as the incarnation: the VM that replaces another at an address has another name.
    std::string address; ///< Host, or host:port.
    bool leaving = false;
};

/// What an endpoint's load report says about its life.
struct LoadInput
{
    EndpointId endpoint;
    std::string incarnation; ///< Empty if the endpoint does not state one.
    bool leaving = false;
};

enum class EndpointState { Live, Leaving };
enum class LeavingSource { None, Ticket, VmList, LoadReport, Eviction };

struct EndpointEntry
{
    EndpointInput config;
    EndpointState state = EndpointState::Live;
    LeavingSource source = LeavingSource::None; ///< The first source that said so.
    Instant leavingSince; ///< Meaningful only if leaving.
};

struct EndpointCounts
{
    int live = 0;
    int leaving = 0;
    int liveCheap = 0; ///< Part of `live`.
    std::map<ZoneId, int> liveByZone;
};

/// An endpoint is leaving as soon as any source says so. Sources lag, so a later statement that it is live counts only
/// if it names an incarnation that no source has called leaving before. Not thread-safe.
class EndpointList
{
public:
    /// Replaces the configured endpoints. An endpoint that is no longer listed, or is listed with another address, is
    /// forgotten with its incarnations.
    void applyConfig(const std::vector<EndpointInput> &endpoints, Instant now);
    /// A VM that is missing from the list says nothing: the list lags behind new VMs, too.
    void applyVms(const std::vector<VmInput> &vms, Instant now);
    void applyLoad(const LoadInput &load, Instant now);
    /// The endpoint's VM will be evicted.
    void applyEviction(const EndpointId &endpoint, Instant now);

    const EndpointEntry *find(const EndpointId &id) const;
    /// All endpoints of the pool, by id.
    std::vector<EndpointEntry> pool(const PoolId &pool) const;
    EndpointCounts counts(const PoolId &pool) const;

private:
    /// What the sources said about one endpoint. A VM and the engine process on it each have an incarnation: a
    /// restarted process does not bring back a leaving VM, while a replaced VM comes with a new process.
    struct Tracked
    {
        EndpointEntry entry;
        std::string vm; ///< Newest VM name; empty until the VM list states one.
        std::string process; ///< Newest incarnation in load reports; empty until one is stated.
        std::set<std::string> departedVms; ///< Names that left or were replaced. Statements about them are ignored.
        std::set<std::string> departedProcesses;
        LeavingSource vmLeft = LeavingSource::None; ///< VmList or Eviction while the newest VM is leaving.
        bool processLeft = false; ///< The newest process says that it is leaving.
        bool ticketLeft = false; ///< A ticket drained it, and no newer incarnation has come with the drain lifted.
        bool renewedSinceDrain = false; ///< A newer incarnation has come since the drain began.
    };

    static void vmLeaves(Tracked &tracked, const std::string &name, LeavingSource source);
    static void vmLives(Tracked &tracked, const std::string &name);
    static void processLives(Tracked &tracked, const std::string &incarnation);
    static void refresh(Tracked &tracked, Instant now);
    void applyVm(const VmInput &vm, Instant now);

    std::map<EndpointId, Tracked> endpoints_;
};

} // namespace currantlug::membership

template<>
struct currantlug::EnumNames<currantlug::membership::LeavingSource>
{
    using Source = currantlug::membership::LeavingSource;
    static constexpr std::array<std::pair<Source, std::string_view>, 5> Table{{
        {Source::None, "none"},
        {Source::Ticket, "ticket"},
        {Source::VmList, "vm_list"},
        {Source::LoadReport, "load_report"},
        {Source::Eviction, "eviction"},
    }};
};

#endif
