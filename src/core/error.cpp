// Stores the error context as a payload of absl::Status.
#include "core/error.h"

#include <absl/strings/cord.h>
#include <absl/strings/string_view.h>
#include <fmt/format.h>

namespace currantlug {

namespace {

constexpr const char *PayloadUrl = "currantlug/error-context";
constexpr char FieldSeparator = '\n';

} // namespace

absl::Status makeError(absl::StatusCode code, Step step, std::string_view peer, Outcome outcome,
                       std::string_view message)
{
    absl::Status status(code, absl::string_view(message.data(), message.size()));
    const std::string payload =
        fmt::format("{}{}{}{}{}", nameOf(step), FieldSeparator, nameOf(outcome), FieldSeparator, peer);
    status.SetPayload(PayloadUrl, absl::Cord(payload));
    return status;
}

ErrorContext errorContext(const absl::Status &status)
{
    ErrorContext context;
    const auto payload = status.GetPayload(PayloadUrl);
    if (!payload) {
        return context;
    }
    const std::string text(*payload);
    const std::size_t stepEnd = text.find(FieldSeparator);
    const std::size_t outcomeEnd = text.find(FieldSeparator, stepEnd + 1);
    context.step = parseEnum<Step>(text.substr(0, stepEnd)).value_or(Step::ReadRequest);
    context.outcome =
        parseEnum<Outcome>(text.substr(stepEnd + 1, outcomeEnd - stepEnd - 1)).value_or(Outcome::MayHaveRun);
    context.peer = text.substr(outcomeEnd + 1);
    return context;
}

std::string describeError(const absl::Status &status)
{
    const ErrorContext context = errorContext(status);
    return fmt::format("{}: {} (step {}, peer {}, {})", absl::StatusCodeToString(status.code()),
                       std::string(status.message()), nameOf(context.step),
                       context.peer.empty() ? "none" : context.peer, nameOf(context.outcome));
}

} // namespace currantlug
