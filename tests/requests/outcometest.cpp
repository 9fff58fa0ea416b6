// The error answers that callers and trainers see.
#include "core/json.h"
#include "requests/requestoutcome.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::requests;

TEST_CASE("an error answer carries step, peer, outcome and retry time, and no key", "[requests]")
{
    const KeyRedactor redactor("key-of-caller");
    const auto status = makeError(absl::StatusCode::kResourceExhausted, Step::Queue, "10.0.0.1:1", Outcome::NotRun,
                                  "no room for key-of-caller \xff");
    const ErrorAnswer answer = errorAnswer(status, absl::Milliseconds(1200), redactor);
    CHECK(answer.httpStatus == 429);
    CHECK(answer.retryAfterSeconds == 2);
    const Json error = (*parseJson(answer.body))["error"];
    CHECK(error["code"] == "resource_exhausted");
    CHECK(error["step"] == "queue");
    CHECK(error["peer"] == "10.0.0.1:1");
    CHECK(error["outcome"] == "not_run");
    CHECK(error["retry_after_ms"] == 1200);
    CHECK(answer.body.find("key-of-caller") == std::string::npos);
    CHECK(errorEvent(status, redactor).find("key-of-caller") == std::string::npos);
    CHECK(errorEvent(status).starts_with("event: error\ndata: {"));
}

TEST_CASE("a status without context is never answered as not run", "[requests]")
{
    const Json error = (*parseJson(errorAnswer(absl::InternalError("x")).body))["error"];
    CHECK(error["outcome"] == "may_have_run");
    CHECK_FALSE(error.contains("retry_after_ms"));
}

TEST_CASE("only an unknown step asks for the definition again", "[requests]")
{
    const auto step = makeError(absl::StatusCode::kNotFound, Step::Deliver, "", Outcome::NotRun, "x");
    const auto route = makeError(absl::StatusCode::kNotFound, Step::CheckRoute, "", Outcome::NotRun, "x");
    CHECK(errorAnswer(step).code == "unknown_step");
    CHECK(errorAnswer(route).code == "not_found");
    CHECK(errorAnswer(route).httpStatus == 404);
}
