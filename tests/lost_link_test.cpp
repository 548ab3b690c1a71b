// Tests of how long the idempotent runs of a lost link go on, on a paused clock.
#include <catch2/catch.hpp>

#include "policy/lost_link.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

const base::instant start{base::seconds(100)};

}  // namespace

TEST_CASE("runs of a lost link wait for the caller proxy to come back", "[lost-link]") {
    CHECK(give_up_at({start, {}}) == start + max_reconnect_wait);
}

// Guards against: a caller proxy that was back, and did not ask for a run, kept its target at work.
TEST_CASE("runs of a lost link do not wait long for a caller proxy that is back", "[lost-link]") {
    const base::instant replaced = start + base::milliseconds(100);
    CHECK(give_up_at({start, replaced}) == replaced + max_resolve_wait);
}

// Guards against: a link that was lost and opened again and again kept a target at work.
TEST_CASE("a later link does not extend the wait for the caller proxy", "[lost-link]") {
    const base::instant replaced = start + max_reconnect_wait - base::milliseconds(1);
    CHECK(give_up_at({start, replaced}) == start + max_reconnect_wait);
}
