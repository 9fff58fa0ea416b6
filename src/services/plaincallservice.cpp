// Attempts of one call to a plain service.
#include "services/plaincallservice.h"

#include "core/error.h"
#include "core/hash.h"

#include <utility>

namespace currantlug::services {

namespace {

constexpr std::size_t RequestIdBytes = 12;
constexpr std::uint32_t CallTokenCost = 32; ///< Cost of a plain call in the fair queue, in tokens.
constexpr absl::Duration Deadline = absl::Seconds(120);

routing::FailureCause causeOf(const absl::Status &status, bool moved)
{
    if (moved) {
        return routing::FailureCause::Moved;
    }
    return errorContext(status).outcome == Outcome::NotRun ? routing::FailureCause::ConnectFailed
                                                           : routing::FailureCause::Cut;
}

} // namespace

PlainCallService::PlainCallService(DispatchGate &gate, ActiveCalls &active, ClaimService &claims,
                                   endpoints::ServiceClient &client, OnRecord onRecord)
    : gate_(gate)
    , active_(active)
    , claims_(claims)
    , client_(client)
    , onRecord_(std::move(onRecord))
{
}

absl::StatusOr<endpoints::ServiceAnswer> PlainCallService::run(PlainCall call)
{
    const Instant startedAt = monotonicNow();
    const auto cancel = std::make_shared<endpoints::CancelFlag>();
    const ActiveCallId active = active_.add(call.authorization, call.route, cancel);
    absl::StatusOr<Attempt> attempt = admit(call, cancel);
    absl::StatusOr<endpoints::ServiceAnswer> answer = attempt.ok()
        ? runAttempts(call, *attempt, *cancel)
        : absl::StatusOr<endpoints::ServiceAnswer>(attempt.status());
    const absl::Status ended = active_.remove(active);
    if (attempt.ok() && !answer.ok() && !ended.ok()) {
        answer = ended;
    }
    onRecord_({call.authorization.workspace, call.route, 0, monotonicNow() - startedAt, answer.ok()});
    return answer;
}

absl::StatusOr<Attempt> PlainCallService::admit(const PlainCall &call,
                                                const std::shared_ptr<endpoints::CancelFlag> &cancel)
{
    const bool repeatable = call.authorization.route.repeatable;
    if (!repeatable && call.idempotencyKey.empty()) {
        return makeError(absl::StatusCode::kInvalidArgument, Step::ReadRequest, "", Outcome::NotRun,
                         "calls on this route may not be repeated: an Idempotency-Key header is needed");
    }
    routing::WorkItem item;
    item.workspace = call.authorization.workspace;
    item.key = call.authorization.key;
    item.route = call.route;
    item.pool = call.authorization.route.pool;
    item.repeatable = repeatable;
    item.expectedTokens = CallTokenCost;
    item.deadline = monotonicNow() + Deadline;
    absl::StatusOr<Attempt> attempt = gate_.submit(std::move(item), cancel);
    if (!attempt.ok() || repeatable) {
        return attempt;
    }
    // The claim comes after the queue, so that a refusal by the queue leaves the Idempotency-Key unused.
    absl::Status claimed = claims_.claim(call.authorization.workspace, call.route, call.idempotencyKey);
    if (!claimed.ok()) {
        gate_.cancel(attempt->work);
        return claimed;
    }
    return attempt;
}

absl::StatusOr<endpoints::ServiceAnswer> PlainCallService::runAttempts(PlainCall &call, Attempt attempt,
                                                                       const endpoints::CancelFlag &cancel)
{
    for (;;) {
        call.request.address = attempt.address;
        call.request.requestId = randomHex(RequestIdBytes);
        absl::StatusOr<endpoints::ServiceAnswer> answer = client_.call(call.request, attempt.cancel.get());
        if (answer.ok()) {
            gate_.finished(attempt);
            return answer;
        }
        if (cancel.cancelled()) {
            gate_.cancel(attempt.work);
            return answer;
        }
        if (gate_.failed(attempt, causeOf(answer.status(), gate_.isMoved(attempt))) == FailedAttempt::GivenUp) {
            return answer;
        }
        absl::StatusOr<Attempt> next = gate_.next(attempt.work);
        if (!next.ok()) {
            // An attempt was sent, so the outcome of the whole call is that of the last attempt.
            return answer;
        }
        attempt = *std::move(next);
    }
}

} // namespace currantlug::services
