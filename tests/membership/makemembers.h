// Member lists for tests.
#ifndef CURRANTLUG_TESTS_MEMBERSHIP_MAKEMEMBERS_H
#define CURRANTLUG_TESTS_MEMBERSHIP_MAKEMEMBERS_H

#include "membership/memberlist.h"

#include <catch2/catch.hpp>

namespace currantlug::membership {

inline Member makeMember(const std::string &name, const std::string &zone = "north-a",
                         const std::string &region = "mu-north")
{
    return {DaemonId(name), name + "-1", ZoneId(zone), RegionId(region), name + ":8080", name + ":8090"};
}

/// `count` serving members named d000..., spread evenly over the zones.
inline MemberList makeList(int count, const std::vector<std::pair<std::string, std::string>> &zones)
{
    MemberList list;
    for (int i = 0; i < count; ++i) {
        const auto &[zone, region] = zones[static_cast<std::size_t>(i) % zones.size()];
        const std::string digits = std::to_string(1000 + i).substr(1);
        const Member member = makeMember("d" + digits, zone, region);
        list = list.withJoined(member).value();
        list = list.withState(member.id, member.incarnation, MemberState::Serving).value();
    }
    return list;
}

inline const std::vector<std::pair<std::string, std::string>> ThreeZones{{"north-a", "mu-north"},
                                                                         {"north-b", "mu-north"},
                                                                         {"south-a", "mu-south"}};

} // namespace currantlug::membership

#endif
