// Targets on trial are tested also while the retry budget is spent.
#include <catch2/catch.hpp>
#include <vector>

#include "base/random.h"
#include "policy/balance.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

// A service of healthy targets and one on trial, which is the first.
std::vector<candidate> targets_with_trial(bool needs_probe) {
    std::vector<candidate> targets(12);
    for (candidate& target : targets) {
        target.suspicion_ = 0.01;
        target.run_duration_ = base::milliseconds(100);
        target.slots_ = 4;
    }
    targets[0].on_trial_ = true;
    targets[0].needs_probe_ = needs_probe;
    targets[0].suspicion_ = 0.9;
    return targets;
}

bool gets_request(const std::vector<candidate>& targets, const choice_criteria& criteria) {
    base::random_engine random(1);
    for (int i = 0; i < 100; ++i) {
        const auto chosen = choose_target(targets, criteria, random);
        REQUIRE(chosen);
        if (chosen->index_ == 0) {
            return true;
        }
    }
    return false;
}

choice_criteria first_attempt_without_budget() {
    choice_criteria criteria;
    criteria.idempotent_ = true;
    criteria.can_retry_ = false;
    criteria.first_attempt_ = true;
    return criteria;
}

}  // namespace

// Guards against: while many hosts were lost and the retry budget was spent, no request could test
// the targets on trial, so that sound ones got nothing for seconds.
TEST_CASE("a target on trial that asks for a probe is tested without a retry left") {
    CHECK(gets_request(targets_with_trial(true), first_attempt_without_budget()));
}

// Guards against: requests that no retry protects test every target on trial, although others that
// can be retried would do so.
TEST_CASE("a target on trial that asks for no probe is tested only with a retry left") {
    choice_criteria criteria = first_attempt_without_budget();
    CHECK_FALSE(gets_request(targets_with_trial(false), criteria));
    criteria.can_retry_ = true;
    CHECK(gets_request(targets_with_trial(false), criteria));
}

// Guards against: a request that is not idempotent, or that one target failed already, tests
// another target that probably fails.
TEST_CASE("only first attempts that are idempotent test a target on trial") {
    choice_criteria criteria = first_attempt_without_budget();
    criteria.first_attempt_ = false;
    CHECK_FALSE(gets_request(targets_with_trial(true), criteria));
    criteria.first_attempt_ = true;
    criteria.idempotent_ = false;
    CHECK_FALSE(gets_request(targets_with_trial(true), criteria));
}
