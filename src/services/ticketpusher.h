// Pushes a ticket to the members and counts who holds it.
#ifndef CURRANTLUG_SERVICES_TICKETPUSHER_H
#define CURRANTLUG_SERVICES_TICKETPUSHER_H

#include "config/ticketfiler.h"
#include "services/memberservice.h"

#include <functional>
#include <set>
#include <vector>

namespace currantlug::services {

/// TicketMembers over the mesh, for one filing. Not thread-safe.
class TicketPusher
{
public:
    /// Applies the ticket in this daemon; true if this daemon holds it then.
    using ApplyHere = std::function<bool(const config::Ticket &)>;

    TicketPusher(mesh::Mesh &mesh, MemberService &members, absl::Duration callTimeout, ApplyHere applyHere);

    int pushTicket(const config::Ticket &ticket, absl::Duration within);
    int memberCount();

private:
    using Ids = std::vector<DaemonId>;

    void pushToMissing(const config::Ticket &ticket, const membership::MemberList &list, absl::Duration timeout);
    int countHolders(const Ids &ids) const;

    mesh::Mesh &mesh_;
    MemberService &members_;
    absl::Duration callTimeout_;
    ApplyHere applyHere_;
    std::set<DaemonId> holders_;
    int size_ = 0; ///< Size of the list that the last push was counted against; 0 before the first.
};

static_assert(config::TicketMembers<TicketPusher>);

} // namespace currantlug::services

#endif
