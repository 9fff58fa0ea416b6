// The answer to a caller that asks for addresses of daemons.
#ifndef CURRANTLUG_MEMBERSHIP_ADDRESSANSWER_H
#define CURRANTLUG_MEMBERSHIP_ADDRESSANSWER_H

#include "core/ids.h"
#include "core/json.h"
#include "membership/liveness.h"
#include "membership/memberlist.h"

#include <absl/time/time.h>

#include <string>
#include <string_view>
#include <vector>

namespace currantlug::membership {

struct AddressSettings
{
    absl::Duration keep = absl::Seconds(10); ///< How long the caller may use the answer.
    std::size_t maxAddresses = 16; ///< Enough to outlive a zone's failure; the full list of a large site is 390.
};

struct CallerAddress
{
    std::string address;
    ZoneId zone;
    RegionId region;
};

struct AddressAnswer
{
    std::vector<CallerAddress> addresses; ///< First choice first.
    absl::Duration keep;

    /// {"addresses":[{"address","availability_zone","region"}],"keep_ms"}
    Json toJson() const;
};

/// Lists serving, unsuspected daemons: the caller's zone first, then its region, then the others, each group ordered by
/// a hash of the caller. `zone` is the caller's; an unknown zone counts as the zone of `self`, the answering daemon.
/// An answer cut to maxAddresses still names a daemon of another zone if there is one.
AddressAnswer addressAnswer(const MemberList &list, const Suspects &suspects, const Member &self,
                            std::string_view caller, const ZoneId &zone, const AddressSettings &settings);

} // namespace currantlug::membership

#endif
