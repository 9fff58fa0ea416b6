// Tests of what two attempts at one call of the object store prove together.
#include "node/relayedstore.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::node;
using objects::StoreOutcome;

// Guards against a job that is refused with 503 and run later: the direct call that created it had lost its answer, and
// the store then refused the same call of a peer.
TEST_CASE("a refusal through a peer says nothing about a direct call without an answer")
{
    CHECK(joinedOutcome(StoreOutcome::Unknown, StoreOutcome::Refused) == StoreOutcome::Unknown);
    CHECK(joinedOutcome(StoreOutcome::Refused, StoreOutcome::Refused) == StoreOutcome::Refused);
    CHECK(joinedOutcome(StoreOutcome::Refused, StoreOutcome::Unknown) == StoreOutcome::Unknown);
    for (const StoreOutcome direct : {StoreOutcome::Unknown, StoreOutcome::Refused}) {
        for (const StoreOutcome reply : {StoreOutcome::Done, StoreOutcome::Conflict, StoreOutcome::NotFound}) {
            CHECK(joinedOutcome(direct, reply) == reply);
        }
    }
}
