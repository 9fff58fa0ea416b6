// Errors that carry the step and the peer at which they arose, and whether the request they concern has run.
#ifndef CURRANTLUG_CORE_ERROR_H
#define CURRANTLUG_CORE_ERROR_H

#include "core/enumnames.h"

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace currantlug {

/// Where in the handling of a request, message or store call an error arose.
enum class Step {
    Settings,
    ReadRequest,
    CheckKey,
    CheckRoute,
    Queue,
    Claim,
    Connect,
    Send,
    ReadAnswer,
    Label,
    Deliver,
    Store,
    Mesh,
    Ticket,
    Lease,
    Order,
    Usage,
};

template<>
struct EnumNames<Step>
{
    static constexpr std::array<std::pair<Step, std::string_view>, 17> Table{{
        {Step::Settings, "settings"},
        {Step::ReadRequest, "read_request"},
        {Step::CheckKey, "check_key"},
        {Step::CheckRoute, "check_route"},
        {Step::Queue, "queue"},
        {Step::Claim, "claim"},
        {Step::Connect, "connect"},
        {Step::Send, "send"},
        {Step::ReadAnswer, "read_answer"},
        {Step::Label, "label"},
        {Step::Deliver, "deliver"},
        {Step::Store, "store"},
        {Step::Mesh, "mesh"},
        {Step::Ticket, "ticket"},
        {Step::Lease, "lease"},
        {Step::Order, "order"},
        {Step::Usage, "usage"},
    }};
};

/// What is known about the execution of the request that failed.
enum class Outcome {
    NotRun, ///< No byte of the request has left this process for an endpoint.
    Ran, ///< The endpoint answered.
    MayHaveRun, ///< Bytes were sent and no complete answer came back.
};

template<>
struct EnumNames<Outcome>
{
    static constexpr std::array<std::pair<Outcome, std::string_view>, 3> Table{{
        {Outcome::NotRun, "not_run"},
        {Outcome::Ran, "ran"},
        {Outcome::MayHaveRun, "may_have_run"},
    }};
};

/// The part of an error that is not its code and message.
struct ErrorContext
{
    Step step = Step::ReadRequest;
    std::string peer;
    Outcome outcome = Outcome::MayHaveRun;
};

/// Builds a status with its context. `peer` names the other side, or is empty where there is none.
absl::Status makeError(absl::StatusCode code, Step step, std::string_view peer, Outcome outcome,
                       std::string_view message);

/// The context of a status made by makeError. A status from elsewhere claims nothing: its outcome is MayHaveRun.
ErrorContext errorContext(const absl::Status &status);

/// One line with code, step, peer, outcome and message.
std::string describeError(const absl::Status &status);

} // namespace currantlug

#endif
