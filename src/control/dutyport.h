// Calls that only the holder of the controller lease may make. The platform folder implements them; tests pass fakes.
#ifndef CURRANTLUG_CONTROL_DUTYPORT_H
#define CURRANTLUG_CONTROL_DUTYPORT_H

#include "core/enumnames.h"
#include "serving/replica.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace currantlug::control {

/// The sender of a call. The receiver may check that the fencing token never decreases.
struct LeaseHolder
{
    std::string node;
    std::uint64_t fencingToken = 0;
};

/// What running requests do while weights change.
enum class SwapMode {
    Wait, ///< The load starts after running requests have finished.
    Truncate, ///< Streams are reset; the requests resume at other replicas from their last event.
};

struct WeightOrder
{
    std::string replica;
    std::string model;
    std::uint64_t version = 0;
    SwapMode mode = SwapMode::Truncate;
    std::uint64_t expectedOrdersAccepted = 0; ///< The replica refuses if it has accepted another number.
    std::uint64_t id = 0; ///< Unique among the orders of a plan.
};

enum class OrderReply {
    Started,
    AlreadyDone,
    Busy, ///< Another order is in progress, or another number of orders was accepted.
    Refused, ///< Stale fencing token, unknown version, or another replica at the address.
    Unknown, ///< The order may have been accepted, and may still be carried out.
};

struct ReplicaReport
{
    std::map<std::string, std::uint64_t> weightVersions;
    std::uint64_t ordersAccepted = 0;
    bool busy = false; ///< An order is being carried out.
    bool leaving = false; ///< The replica is about to end.
};

struct ScaleOrder
{
    std::string service;
    std::string availabilityZone;
    int desired = 0;
};

enum class DutyReply {
    Done,
    Unavailable, ///< Replica orders: the zone has no capacity now.
    Refused,
    Unknown,
};

} // namespace currantlug::control

template<>
struct currantlug::EnumNames<currantlug::control::OrderReply>
{
    using OrderReply = currantlug::control::OrderReply;
    static constexpr std::array<std::pair<OrderReply, std::string_view>, 5> Table{{
        {OrderReply::Started, "started"},
        {OrderReply::AlreadyDone, "already_done"},
        {OrderReply::Busy, "busy"},
        {OrderReply::Refused, "refused"},
        {OrderReply::Unknown, "unknown"},
    }};
};

template<>
struct currantlug::EnumNames<currantlug::control::DutyReply>
{
    using DutyReply = currantlug::control::DutyReply;
    static constexpr std::array<std::pair<DutyReply, std::string_view>, 4> Table{{
        {DutyReply::Done, "done"},
        {DutyReply::Unavailable, "unavailable"},
        {DutyReply::Refused, "refused"},
        {DutyReply::Unknown, "unknown"},
    }};
};

namespace currantlug::control {

struct DutyPort
{
    std::function<void(const serving::Replica &, const WeightOrder &, const LeaseHolder &,
                       std::function<void(OrderReply)>)>
        orderWeights;
    std::function<void(const serving::Replica &, std::function<void(std::optional<ReplicaReport>)>)> report;
    std::function<void(const ScaleOrder &, const LeaseHolder &, std::function<void(DutyReply)>)> scale;
    std::function<void(std::uint64_t window, const std::map<std::string, std::uint64_t> &counts, const LeaseHolder &,
                       std::function<void(DutyReply)>)>
        reportUsage;
};

} // namespace currantlug::control

#endif
