// Why a target is not available to a request is told apart and counted.
#include <catch2/catch.hpp>
#include <vector>

#include "policy/target_availability.h"

using namespace dandelionridge::policy;

// Guards against: a target that is lost or ejected is counted under another reason, so that an
// operator looks at the wrong place.
TEST_CASE("the first of several reasons against a target counts") {
    candidate target;
    CHECK(availability_of(target) == target_availability::available);
    target.load_ = 1;
    CHECK(availability_of(target) == target_availability::busy);
    target.stopping_ = true;
    CHECK(availability_of(target) == target_availability::stopping);
    target.on_trial_ = true;
    CHECK(availability_of(target) == target_availability::on_trial);
    target.ejected_ = true;
    CHECK(availability_of(target) == target_availability::ejected);
    target.disconnected_ = true;
    CHECK(availability_of(target) == target_availability::reconnecting);
    target.unreachable_ = true;
    CHECK(availability_of(target) == target_availability::unreachable);
    target.tried_ = true;
    CHECK(availability_of(target) == target_availability::tried);
    target.excluded_ = true;
    CHECK(availability_of(target) == target_availability::excluded);
}

// Guards against: a service counts as short of targets because some of them leave or are busy.
TEST_CASE("a service is short of targets if too few of those in use are available") {
    std::vector<candidate> targets(10);
    targets[0].excluded_ = true;
    targets[1].excluded_ = true;
    targets[2].load_ = 1;
    for (std::size_t i = 3; i < 7; ++i) {
        targets[i].ejected_ = true;
    }
    CHECK(count_of(count_availability(targets), target_availability::excluded) == 2);
    CHECK(count_of(count_availability(targets), target_availability::ejected) == 4);
    CHECK_FALSE(is_short(count_availability(targets), 0.5));
    targets[7].unreachable_ = true;
    CHECK(is_short(count_availability(targets), 0.5));
}
