// Changes of the member list, one daemon per version, and its JSON form.
#include "membership/memberlist.h"

#include "core/error.h"

#include <fmt/format.h>

#include <algorithm>

namespace currantlug::membership {

namespace {

absl::Status refuse(absl::StatusCode code, const DaemonId &id, std::string_view message)
{
    return makeError(code, Step::Mesh, id.str(), Outcome::NotRun, message);
}

bool idBefore(const Member &member, const DaemonId &id)
{
    return member.id < id;
}

std::vector<Member>::iterator lowerBound(std::vector<Member> &members, const DaemonId &id)
{
    return std::lower_bound(members.begin(), members.end(), id, idBefore);
}

// Field names are short: the object holds hundreds of members and is read and pushed whole.
Json memberToJson(const Member &member)
{
    return {{"id", member.id.str()},         {"inc", member.incarnation},  {"zone", member.zone.str()},
            {"region", member.region.str()}, {"at", member.callerAddress}, {"mesh", member.meshAddress},
            {"state", nameOf(member.state)}};
}

std::optional<Member> memberFromJson(const Json &json)
{
    const auto state = parseEnum<MemberState>(fieldOr<std::string>(json, "state", ""));
    Member member{DaemonId(fieldOr<std::string>(json, "id", "")),
                  fieldOr<std::string>(json, "inc", ""),
                  ZoneId(fieldOr<std::string>(json, "zone", "")),
                  RegionId(fieldOr<std::string>(json, "region", "")),
                  fieldOr<std::string>(json, "at", ""),
                  fieldOr<std::string>(json, "mesh", ""),
                  state.value_or(MemberState::Joining)};
    if (!state || member.id.empty() || member.incarnation.empty()) {
        return std::nullopt;
    }
    return member;
}

} // namespace

const Member *MemberList::find(const DaemonId &id) const
{
    const auto found = std::lower_bound(members_.begin(), members_.end(), id, idBefore);
    return found != members_.end() && found->id == id ? &*found : nullptr;
}

std::vector<DaemonId> MemberList::voters() const
{
    std::vector<DaemonId> result;
    for (const Member &member : members_) {
        if (member.id != added_) {
            result.push_back(member.id);
        }
    }
    if (!removed_.empty()) {
        result.push_back(removed_);
    }
    return result;
}

bool MemberList::isConfirmedBy(int acknowledged) const
{
    const int count = static_cast<int>(voters().size());
    return count == 0 || acknowledged > count / 2;
}

absl::StatusOr<MemberList> MemberList::withJoined(Member member) const
{
    if (member.id.empty() || member.incarnation.empty()) {
        return refuse(absl::StatusCode::kInvalidArgument, member.id, "a member needs an id and an incarnation");
    }
    MemberList next = *this;
    ++next.version_;
    const auto place = lowerBound(next.members_, member.id);
    if (place != next.members_.end() && place->id == member.id) {
        if (place->incarnation == member.incarnation) {
            return refuse(absl::StatusCode::kAlreadyExists, member.id, "this incarnation is listed");
        }
        *place = std::move(member); // The set stays the same.
        return next;
    }
    next.added_ = member.id;
    next.removed_ = DaemonId();
    next.members_.insert(place, std::move(member));
    return next;
}

absl::StatusOr<MemberList> MemberList::withState(const DaemonId &id, const std::string &incarnation,
                                                 MemberState state) const
{
    MemberList next = *this;
    ++next.version_;
    const auto place = lowerBound(next.members_, id);
    if (place == next.members_.end() || place->id != id || place->incarnation != incarnation) {
        return refuse(absl::StatusCode::kNotFound, id, "this incarnation is not listed");
    }
    if (state <= place->state) {
        return refuse(absl::StatusCode::kFailedPrecondition, id,
                      fmt::format("a {} member cannot become {}", nameOf(place->state), nameOf(state)));
    }
    place->state = state;
    return next;
}

absl::StatusOr<MemberList> MemberList::without(const DaemonId &id, const std::string &incarnation) const
{
    const Member *member = find(id);
    if (member == nullptr || member->incarnation != incarnation) {
        return refuse(absl::StatusCode::kNotFound, id, "this incarnation is not listed");
    }
    MemberList next = *this;
    ++next.version_;
    next.members_.erase(lowerBound(next.members_, id));
    next.added_ = DaemonId();
    next.removed_ = id;
    return next;
}

bool MemberList::isFollowedBy(const MemberList &next) const
{
    if (next.version_ != version_ + 1) {
        return false;
    }
    int changes = 0;
    for (const Member &member : next.members_) {
        const Member *before = find(member.id);
        changes += before == nullptr || *before != member ? 1 : 0;
    }
    for (const Member &member : members_) {
        changes += next.find(member.id) == nullptr ? 1 : 0;
    }
    return changes == 1;
}

Json MemberList::toJson() const
{
    Json members = Json::array();
    for (const Member &member : members_) {
        members.push_back(memberToJson(member));
    }
    return {
        {"version", version_}, {"added", added_.str()}, {"removed", removed_.str()}, {"members", std::move(members)}};
}

absl::StatusOr<MemberList> MemberList::fromJson(const Json &json)
{
    const auto invalid = [](std::string_view message) {
        return refuse(absl::StatusCode::kInvalidArgument, {}, message);
    };
    MemberList list;
    list.version_ = fieldOr<std::uint64_t>(json, "version", 0);
    list.added_ = DaemonId(fieldOr<std::string>(json, "added", ""));
    list.removed_ = DaemonId(fieldOr<std::string>(json, "removed", ""));
    const auto members = json.is_object() ? json.find("members") : json.end();
    if (!json.is_object() || members == json.end() || !members->is_array() || list.version_ == 0) {
        return invalid("a member list needs a version and members");
    }
    for (const Json &entry : *members) {
        std::optional<Member> member = memberFromJson(entry);
        if (!member) {
            return invalid("a member needs an id, an incarnation and a known state");
        }
        if (!list.members_.empty() && list.members_.back().id >= member->id) {
            return invalid("members are not in the order of their ids");
        }
        list.members_.push_back(*std::move(member));
    }
    const bool oneChange = list.added_.empty() || list.removed_.empty();
    if (!oneChange || (!list.added_.empty() && list.find(list.added_) == nullptr)
        || (!list.removed_.empty() && list.find(list.removed_) != nullptr)) {
        return invalid("the last change of the set contradicts the members");
    }
    return list;
}

} // namespace currantlug::membership
