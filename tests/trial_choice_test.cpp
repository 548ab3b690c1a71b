// Targets on trial are tested also while the retry budget is spent, by requests for which a retry
// is reserved.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <vector>

#include "base/random.h"
#include "policy/balance.h"
#include "policy/retry.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

const base::instant start{base::seconds(100)};

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
        CHECK(chosen->trial_ == (chosen->index_ == 0));
        if (chosen->index_ == 0) {
            return true;
        }
    }
    return false;
}

// Criteria of an idempotent request to a service of that budget, as its first attempt.
choice_criteria criteria_within(const retry_budget& budget, const retry_limits& limits) {
    choice_criteria criteria;
    criteria.idempotent_ = true;
    criteria.can_retry_ = has_budget(budget, limits, usable_budget_share(false), start);
    criteria.can_reserve_retry_ = has_budget(budget, limits, trial_budget_share, start);
    return criteria;
}

// A budget of which requests that are not trials, nested ones included, have left nothing.
retry_budget spent_budget(const retry_limits& limits) {
    retry_budget budget;
    const double nested_share = usable_budget_share(true);
    while (claim_retry(budget, limits, nested_share, start)) {
    }
    return budget;
}

// What decides on another attempt after a target has failed an idempotent request.
retry_context failed_trial() {
    retry_context context;
    context.outcome_ = attempt_outcome::failed;
    context.idempotent_ = true;
    context.replayable_ = true;
    context.other_target_ = true;
    context.time_left_ = base::seconds(1);
    context.retry_reserved_ = true;
    return context;
}

}  // namespace

// Guards against: while many hosts were lost and the retry budget was spent, no request could test
// the targets on trial, so that sound ones got nothing for seconds.
TEST_CASE("a target on trial that asks for a probe is tested while the retry budget is spent") {
    const retry_limits limits{0, 10, base::seconds(10)};
    const choice_criteria criteria = criteria_within(spent_budget(limits), limits);
    REQUIRE_FALSE(criteria.can_retry_);
    CHECK(gets_request(targets_with_trial(true), criteria));
}

// Guards against: a request that could not be sent again tested a target on trial, which failed it,
// and its caller got that failure.
TEST_CASE("a target on trial is tested only if a retry can be reserved") {
    const retry_limits limits{0, 10, base::seconds(10)};
    retry_budget budget = spent_budget(limits);
    while (claim_retry(budget, limits, trial_budget_share, start)) {
    }
    CHECK_FALSE(gets_request(targets_with_trial(true), criteria_within(budget, limits)));
}

// Guards against: requests use the retries that are reserved for targets that were idle for long
// on any target on trial, although others that can be retried would test it.
TEST_CASE("a target on trial that asks for no probe is tested only within the ordinary budget") {
    const retry_limits limits{0, 10, base::seconds(10)};
    CHECK_FALSE(
        gets_request(targets_with_trial(false), criteria_within(spent_budget(limits), limits)));
    CHECK(gets_request(targets_with_trial(false), criteria_within({}, limits)));
}

// Guards against: a request that is not idempotent tests a target that probably fails.
TEST_CASE("only requests that are idempotent test a target on trial") {
    const retry_limits limits{0, 10, base::seconds(10)};
    choice_criteria criteria = criteria_within({}, limits);
    criteria.idempotent_ = false;
    CHECK_FALSE(gets_request(targets_with_trial(true), criteria));
}

// Guards against: between the start of a trial and its failure other requests used up the budget,
// so that the failure was passed on.
TEST_CASE("a failed trial is retried although the budget has been spent since it began") {
    const retry_limits limits{0, 10, base::seconds(10)};
    retry_budget budget;
    retry_reservation reservation(budget, limits, trial_budget_share, start);
    REQUIRE(reservation.held());
    while (claim_retry(budget, limits, trial_budget_share, start)) {
    }
    CHECK(decide_retry(budget, limits, failed_trial(), start) == retry_decision::retry);
    retry_context ordinary = failed_trial();
    ordinary.retry_reserved_ = false;
    CHECK(decide_retry(budget, limits, ordinary, start) == retry_decision::forward_failure);
}

// Guards against: trials that succeed use up the budget, or those that fail are not charged to it.
TEST_CASE("a reserved retry is charged to the budget only if it is used") {
    const retry_limits limits{0, 1, base::seconds(10)};
    retry_budget budget;
    {
        const retry_reservation unused(budget, limits, 1, start);
        CHECK(unused.held());
        CHECK_FALSE(has_budget(budget, limits, 1, start));
    }
    CHECK(has_budget(budget, limits, 1, start));
    {
        retry_reservation used(budget, limits, 1, start);
        used.use(limits, start);
    }
    CHECK_FALSE(has_budget(budget, limits, 1, start));
    CHECK_FALSE(retry_reservation(budget, limits, 1, start).held());
}

// Guards against: reserved retries that are used late add to those of other requests.
TEST_CASE("retries in any window stay within the budget with reserved ones") {
    const retry_limits limits{0.2, 5, base::seconds(10)};
    constexpr std::uint64_t most_open = 4;
    retry_budget budget;
    std::deque<retry_reservation> open;
    std::vector<base::instant> retries;
    std::vector<base::instant> requests;
    base::random_engine random(5);
    base::instant now = start;
    for (int i = 0; i < 3000; ++i) {
        // Periods of low and high load alternate.
        now += base::milliseconds(base::random_below(random, i % 1000 < 500 ? 200 : 5));
        record_request(budget, limits, 0, now);
        requests.push_back(now);
        if (claim_retry(budget, limits, usable_budget_share(true), now)) {
            retries.push_back(now);
        }
        open.emplace_back(budget, limits, trial_budget_share, now);
        if (open.size() > base::random_below(random, most_open)) {
            if (open.front().held() && base::random_below(random, 2) == 0) {
                open.front().use(limits, now);
                retries.push_back(now);
            }
            open.pop_front();
        }
    }
    CHECK(retries.size() > 100);
    for (const base::instant end : retries) {
        const auto in_window = [&](base::instant time) {
            return time <= end && time > end - limits.window_;
        };
        const auto retry_count = std::count_if(retries.begin(), retries.end(), in_window);
        const auto request_count = std::count_if(requests.begin(), requests.end(), in_window);
        CHECK(static_cast<double>(retry_count) <=
              trial_budget_share *
                  (limits.ratio_ * static_cast<double>(request_count) + limits.slack_));
    }
}
