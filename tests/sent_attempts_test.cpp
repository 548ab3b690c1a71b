// Tests of a caller proxy's record of the attempts that it has sent.
#include <catch2/catch.hpp>

#include "policy/sent_attempts.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

constexpr std::int64_t boot = 7;

void open_next_link(sent_attempts& state) {
    allocate_link_number(state);
    confirm_link(state, boot);
}

}  // namespace

// Guards against: a target proxy said that an attempt runs and was killed. The second loss of a
// link was not reported, and the read was held to its deadline.
TEST_CASE("an attempt whose response is expected on a new link is in doubt if that is lost",
          "[retry]") {
    sent_attempts state;
    open_next_link(state);
    const attempt_id attempt = *register_attempt(state);
    CHECK(mark_link_lost(state) == std::vector{attempt});
    open_next_link(state);
    // Its status was not reported yet: it is in doubt already.
    CHECK(mark_link_lost(state).empty());
    open_next_link(state);
    record_response_expected(state, attempt);
    CHECK(mark_link_lost(state) == std::vector{attempt});
    // Its status is queried again.
    allocate_link_number(state);
    const link_opening opening = confirm_link(state, boot);
    REQUIRE(opening.resolve_requests_.size() == 1);
    CHECK(opening.resolve_requests_.front().sequences_ == std::vector{attempt.sequence_});
    settle_attempt(state, attempt);
    record_response_expected(state, attempt);
    CHECK(state.unsettled_.empty());
}
