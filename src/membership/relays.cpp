// Rendezvous choice: every daemon with the same list and suspects makes the same one.
#include "membership/relays.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace currantlug::membership {

namespace {

constexpr std::string_view RelayKey = "relay";

// Calls accept(member) for each live serving member and ranks the accepted ones by weight, then id.
template<class Accept>
std::vector<const Member *> ranked(const MemberList &list, const Suspects &suspects, std::string_view key,
                                   Accept accept)
{
    std::vector<std::pair<std::uint64_t, const Member *>> weighted;
    for (const Member &member : list.members()) {
        if (member.state == MemberState::Serving && !suspects.contains(member.id) && accept(member)) {
            weighted.emplace_back(rendezvousWeight(key, member.id.str()), &member);
        }
    }
    std::sort(weighted.begin(), weighted.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second->id < b.second->id;
    });
    std::vector<const Member *> result;
    result.reserve(weighted.size());
    for (const auto &entry : weighted) {
        result.push_back(entry.second);
    }
    return result;
}

struct ZoneRelays
{
    int distance = 0; ///< 0 own zone, 1 own region, 2 elsewhere.
    std::vector<DaemonId> relays;
};

} // namespace

std::vector<const Member *> rankedServing(const MemberList &list, const Suspects &suspects, std::string_view key)
{
    return ranked(list, suspects, key, [](const Member &) { return true; });
}

std::vector<DaemonId> relaysOf(const MemberList &list, const Suspects &suspects, const ZoneId &zone)
{
    std::vector<DaemonId> result;
    for (const Member *member :
         ranked(list, suspects, RelayKey, [&zone](const Member &candidate) { return candidate.zone == zone; })) {
        if (result.size() == RelaysPerZone) {
            break;
        }
        result.push_back(member->id);
    }
    return result;
}

std::vector<DaemonId> pullOrder(const MemberList &list, const Suspects &suspects, const Member &self)
{
    std::map<ZoneId, ZoneRelays> zones;
    for (const Member *member : ranked(list, suspects, RelayKey, [](const Member &) { return true; })) {
        ZoneRelays &zone = zones[member->zone];
        if (zone.relays.size() == RelaysPerZone) {
            continue;
        }
        zone.distance = member->zone == self.zone ? 0 : (member->region == self.region ? 1 : 2);
        zone.relays.push_back(member->id);
    }
    std::vector<DaemonId> result;
    for (const int distance : {0, 1, 2}) {
        for (auto &[id, zone] : zones) {
            if (zone.distance == distance) {
                std::sort(zone.relays.begin(), zone.relays.end(), [&self](const DaemonId &a, const DaemonId &b) {
                    return rendezvousWeight(self.id.str(), a.str()) > rendezvousWeight(self.id.str(), b.str());
                });
                result.insert(result.end(), zone.relays.begin(), zone.relays.end());
            }
        }
    }
    result.erase(std::remove(result.begin(), result.end(), self.id), result.end());
    return result;
}

std::optional<DaemonId> ownerOf(const MemberList &list, const Suspects &suspects, std::string_view key)
{
    const std::vector<const Member *> candidates = rankedServing(list, suspects, key);
    return candidates.empty() ? std::nullopt : std::optional(candidates.front()->id);
}

} // namespace currantlug::membership
