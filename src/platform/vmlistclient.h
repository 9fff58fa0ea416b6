// The platform's lagging list of live and leaving VMs.
#ifndef CURRANTLUG_PLATFORM_VMLISTCLIENT_H
#define CURRANTLUG_PLATFORM_VMLISTCLIENT_H

#include "core/enumnames.h"
#include "core/ids.h"
#include "platform/httpclient.h"

#include <array>
#include <cstdint>

namespace currantlug::platform {

enum class VmState {
    Live,
    Leaving,
};

} // namespace currantlug::platform

template<>
struct currantlug::EnumNames<currantlug::platform::VmState>
{
    using VmState = currantlug::platform::VmState;
    static constexpr std::array<std::pair<VmState, std::string_view>, 2> Table{{
        {VmState::Live, "live"},
        {VmState::Leaving, "leaving"},
    }};
};

namespace currantlug::platform {

struct Vm
{
    std::string name;
    std::string address;
    ZoneId zone;
    VmState state = VmState::Live;
    bool cheap = false;
};

struct VmList
{
    std::int64_t asOfMs = 0; ///< Wall time of the platform, for display only.
    std::vector<Vm> vms;
};

/// Thread-safe.
class VmListClient
{
public:
    explicit VmListClient(HttpClientSettings settings);

    /// An entry with an unknown state counts as leaving, so that it gets no new work.
    absl::StatusOr<VmList> list();

private:
    HttpClient http_;
};

} // namespace currantlug::platform

#endif
