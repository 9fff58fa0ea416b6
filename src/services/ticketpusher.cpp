// Rounds of pushes until more than half of the members hold the ticket.
#include "services/ticketpusher.h"

#include "services/meshcalls.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace currantlug::services {

namespace {

constexpr std::chrono::milliseconds RoundPause{50};

bool isMajority(int holders, std::size_t members)
{
    return 2 * holders > static_cast<int>(members);
}

} // namespace

TicketPusher::TicketPusher(mesh::Mesh &mesh, MemberService &members, absl::Duration callTimeout, ApplyHere applyHere)
    : mesh_(mesh)
    , members_(members)
    , callTimeout_(callTimeout)
    , applyHere_(std::move(applyHere))
{
}

int TicketPusher::pushTicket(const config::Ticket &ticket, absl::Duration within)
{
    const Instant deadline = monotonicNow() + within;
    holders_.clear();
    if (applyHere_(ticket)) {
        holders_.insert(members_.self().id);
    }
    const MemberSnapshot members = members_.snapshot();
    Ids current;
    for (const membership::Member &member : members.list.members()) {
        current.push_back(member.id);
    }
    // While the list is not known to be in effect, the list before it needs its majority, too.
    const Ids previous = members.confirmed ? current : members.list.voters();
    for (;;) {
        const absl::Duration left = deadline - monotonicNow();
        const bool enough =
            isMajority(countHolders(current), current.size()) && isMajority(countHolders(previous), previous.size());
        if (enough || left <= absl::ZeroDuration()) {
            break;
        }
        pushToMissing(ticket, members.list, std::min(left, callTimeout_));
        std::this_thread::sleep_for(RoundPause);
    }

    // The filer compares with one list: the one whose majority is further away.
    const int currentMargin = 2 * countHolders(current) - static_cast<int>(current.size());
    const int previousMargin = 2 * countHolders(previous) - static_cast<int>(previous.size());
    const Ids &counted = currentMargin <= previousMargin ? current : previous;
    size_ = static_cast<int>(counted.size());
    return countHolders(counted);
}

void TicketPusher::pushToMissing(const config::Ticket &ticket, const membership::MemberList &list,
                                 absl::Duration timeout)
{
    Ids missing;
    for (const DaemonId &id : members_.others()) {
        if (!holders_.contains(id)) {
            missing.push_back(id);
        }
    }
    const Json body{{"ticket", config::toJson(ticket)}};
    for (const MeshAnswer &answer : callAll(mesh_, missing, "ticket_push", body, timeout)) {
        if (!answer.body.ok() || fieldOr<std::uint64_t>(*answer.body, "head", 0) < ticket.number) {
            continue;
        }
        // A member counts only under the incarnation that is in the list: another one may forget what it acknowledged.
        const membership::Member *member = list.find(answer.from);
        if (member == nullptr || fieldOr<std::string>(*answer.body, "incarnation", "") == member->incarnation) {
            holders_.insert(answer.from);
        }
    }
}

int TicketPusher::countHolders(const Ids &ids) const
{
    return static_cast<int>(
        std::count_if(ids.begin(), ids.end(), [this](const DaemonId &id) { return holders_.contains(id); }));
}

int TicketPusher::memberCount()
{
    if (size_ > 0) {
        return size_;
    }
    const MemberSnapshot members = members_.snapshot();
    return members.confirmed ? static_cast<int>(members.list.members().size()) : 0;
}

} // namespace currantlug::services
