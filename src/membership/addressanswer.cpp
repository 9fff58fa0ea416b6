// Orders addresses by distance, then by a hash of the caller.
#include "membership/addressanswer.h"

#include "membership/relays.h"

#include <algorithm>
#include <array>

namespace currantlug::membership {

namespace {

// Where a caller is: its zone, and the region of that zone.
struct Place
{
    ZoneId zone;
    RegionId region;
};

Place placeOf(const MemberList &list, const Member &self, const ZoneId &zone)
{
    for (const Member &member : list.members()) {
        if (member.zone == zone) {
            return {zone, member.region};
        }
    }
    return {self.zone, self.region};
}

// 0 own zone, 1 own region, 2 elsewhere.
std::size_t distance(const Member &member, const Place &place)
{
    if (member.zone == place.zone) {
        return 0;
    }
    return member.region == place.region ? 1 : 2;
}

// Shortens to `count`; if the rest is all of one zone, the last place goes to the best daemon of another zone.
void cut(std::vector<const Member *> &ordered, std::size_t count)
{
    if (ordered.size() <= count || count == 0) {
        ordered.resize(std::min(ordered.size(), count));
        return;
    }
    const ZoneId &first = ordered.front()->zone;
    const auto otherZone = [&first](const Member *member) { return member->zone != first; };
    const auto kept = ordered.begin() + static_cast<std::ptrdiff_t>(count);
    if (count > 1 && std::none_of(ordered.begin(), kept, otherZone)) {
        const auto other = std::find_if(kept, ordered.end(), otherZone);
        if (other != ordered.end()) {
            ordered[count - 1] = *other;
        }
    }
    ordered.resize(count);
}

} // namespace

Json AddressAnswer::toJson() const
{
    Json list = Json::array();
    for (const CallerAddress &entry : addresses) {
        list.push_back(
            {{"address", entry.address}, {"availability_zone", entry.zone.str()}, {"region", entry.region.str()}});
    }
    return {{"addresses", std::move(list)}, {"keep_ms", absl::ToInt64Milliseconds(keep)}};
}

AddressAnswer addressAnswer(const MemberList &list, const Suspects &suspects, const Member &self,
                            std::string_view caller, const ZoneId &zone, const AddressSettings &settings)
{
    const Place place = placeOf(list, self, zone);
    std::vector<const Member *> ordered = rankedServing(list, suspects, caller);
    std::stable_sort(ordered.begin(), ordered.end(),
                     [&place](const Member *a, const Member *b) { return distance(*a, place) < distance(*b, place); });
    cut(ordered, settings.maxAddresses);
    AddressAnswer answer;
    answer.keep = settings.keep;
    for (const Member *member : ordered) {
        answer.addresses.push_back({member->callerAddress, member->zone, member->region});
    }
    return answer;
}

} // namespace currantlug::membership
