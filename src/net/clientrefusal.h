// Why a server refused a request or closed a connection before a request was whole.
#ifndef CURRANTLUG_NET_CLIENTREFUSAL_H
#define CURRANTLUG_NET_CLIENTREFUSAL_H

#include "core/enumnames.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace currantlug::net {

enum class ClientRefusal {
    HeadMemory, ///< 503: the head doesn't fit the memory budget.
    BodyMemory, ///< 503: the body doesn't fit the memory budget.
    GivenUp, ///< 503: unfinished and the largest when others needed memory.
    Fields, ///< 503: many fields while the event loop is behind.
    EmptyLines, ///< 400: too many empty lines before a request.
    Unreadable, ///< 400, 413 or 431: not HTTP, or over the limits of the configuration.
    Time, ///< Closed: the request didn't arrive in time.
    Connections, ///< Closed: the listener has as many connections as it may.
    Unread, ///< Closed: the client didn't read its answer when others needed memory.
};

using RefusalCounts = std::array<std::uint64_t, 9>; ///< By ClientRefusal.

} // namespace currantlug::net

template<>
struct currantlug::EnumNames<currantlug::net::ClientRefusal>
{
    using Reason = currantlug::net::ClientRefusal;
    static constexpr std::array<std::pair<Reason, std::string_view>, 9> Table{{
        {Reason::HeadMemory, "head_memory"},
        {Reason::BodyMemory, "body_memory"},
        {Reason::GivenUp, "given_up"},
        {Reason::Fields, "fields"},
        {Reason::EmptyLines, "empty_lines"},
        {Reason::Unreadable, "unreadable"},
        {Reason::Time, "time"},
        {Reason::Connections, "connections"},
        {Reason::Unread, "unread"},
    }};
};

#endif
