// Rendezvous choice among daemons: relays of an availability zone, and the owner of a key.
#ifndef CURRANTLUG_MEMBERSHIP_RELAYS_H
#define CURRANTLUG_MEMBERSHIP_RELAYS_H

#include "core/ids.h"
#include "membership/liveness.h"
#include "membership/memberlist.h"

#include <optional>
#include <string_view>
#include <vector>

namespace currantlug::membership {

/// Relays per availability zone: one can fail without its zone pulling across zones.
inline constexpr std::size_t RelaysPerZone = 2;

/// Serving, unsuspected daemons by descending rendezvous weight for the key.
std::vector<const Member *> rankedServing(const MemberList &list, const Suspects &suspects, std::string_view key);

/// The zone's relays, first choice first; fewer than RelaysPerZone if the zone has fewer live serving daemons.
std::vector<DaemonId> relaysOf(const MemberList &list, const Suspects &suspects, const ZoneId &zone);

/// Daemons to pull the configuration from, in order of preference: own zone's relays, own region's, all others. Without
/// `self`. Which relay of a zone comes first depends on `self`, so that a zone's daemons share both relays.
std::vector<DaemonId> pullOrder(const MemberList &list, const Suspects &suspects, const Member &self);

/// The live serving daemon that owns a key (a step, a claim slot); nullopt if none serves.
std::optional<DaemonId> ownerOf(const MemberList &list, const Suspects &suspects, std::string_view key);

} // namespace currantlug::membership

#endif
