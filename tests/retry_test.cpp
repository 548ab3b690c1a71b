// Tests of the decisions on retries and of their budget, on a paused clock.
#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "base/random.h"
#include "policy/retry.h"
#include "policy/run_estimate.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

struct retry_case {
    const char* name_;
    attempt_outcome outcome_;
    bool idempotent_;
    bool replayable_;
    bool may_have_run_before_;
    bool other_target_;
    retry_decision decision_;
};

constexpr auto not_run = attempt_outcome::not_run;
constexpr auto in_doubt = attempt_outcome::in_doubt;
constexpr auto unknown = attempt_outcome::unknown;
constexpr auto failed = attempt_outcome::failed;

const base::instant start{base::seconds(100)};

}  // namespace

TEST_CASE("a retry never causes a second run of a request that is not idempotent",
          "[policy][promise-at-most-once]") {
    const retry_case cases[] = {
        {"non-idempotent, did not run", not_run, false, true, false, true, retry_decision::retry},
        {"non-idempotent, body no longer available", not_run, false, false, false, true,
         retry_decision::refuse_not_run},
        {"non-idempotent, no other target", not_run, false, true, false, false,
         retry_decision::refuse_not_run},
        {"non-idempotent, in doubt", in_doubt, false, true, false, true, retry_decision::wait},
        {"non-idempotent, may have run", unknown, false, true, false, true,
         retry_decision::refuse_unknown},
        {"non-idempotent, an earlier attempt may have run", not_run, false, true, true, true,
         retry_decision::refuse_unknown},
        {"non-idempotent, target failed it", failed, false, true, false, true,
         retry_decision::forward_failure},
        {"idempotent, may have run", unknown, true, true, false, true, retry_decision::retry},
        {"idempotent, in doubt", in_doubt, true, true, false, true, retry_decision::retry},
        {"idempotent, in doubt, no other target", in_doubt, true, true, false, false,
         retry_decision::wait},
        {"idempotent, in doubt, body no longer available", in_doubt, true, false, false, true,
         retry_decision::wait},
        {"idempotent, may have run, no other target", unknown, true, true, false, false,
         retry_decision::refuse_unknown},
        {"idempotent, target failed it", failed, true, true, false, true, retry_decision::retry},
        {"idempotent, target failed it, no other target", failed, true, true, false, false,
         retry_decision::forward_failure},
    };
    for (const retry_case& test_case : cases) {
        INFO(test_case.name_);
        retry_budget budget;
        retry_context context;
        context.outcome_ = test_case.outcome_;
        context.idempotent_ = test_case.idempotent_;
        context.replayable_ = test_case.replayable_;
        context.may_have_run_before_ = test_case.may_have_run_before_;
        context.other_target_ = test_case.other_target_;
        context.time_left_ = base::seconds(1);
        CHECK(decide_retry(budget, {}, context, start) == test_case.decision_);
        // The route allows no more attempts.
        context.attempts_ = context.max_attempts_;
        CHECK(decide_retry(budget, {}, context, start) != retry_decision::retry);
        // There is no time for another run.
        context.attempts_ = 1;
        context.run_duration_ = base::seconds(2);
        CHECK(decide_retry(budget, {}, context, start) != retry_decision::retry);
    }
}

TEST_CASE("retries in any window stay within ratio and slack", "[policy]") {
    const retry_limits limits{0.2, 5, base::seconds(10)};
    retry_budget budget;
    retry_context context;
    context.outcome_ = not_run;
    context.replayable_ = true;
    context.other_target_ = true;
    context.time_left_ = base::seconds(1);
    context.nested_ = true;
    std::vector<base::instant> retries;
    std::vector<base::instant> requests;
    base::random_engine random(5);
    base::instant now = start;
    for (int i = 0; i < 3000; ++i) {
        // Periods of low and high load alternate.
        now += base::milliseconds(base::random_below(random, i % 1000 < 500 ? 200 : 5));
        record_request(budget, limits, 0, now);
        requests.push_back(now);
        for (int attempt = 0; attempt < 3; ++attempt) {
            if (decide_retry(budget, limits, context, now) == retry_decision::retry) {
                retries.push_back(now);
            }
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
              limits.ratio_ * static_cast<double>(request_count) + limits.slack_);
    }
    // The last part of the budget is reserved for nested requests.
    const auto count_retries = [&](bool nested) {
        retry_budget fresh;
        record_request(fresh, limits, 0, now);
        context.nested_ = nested;
        int granted = 0;
        while (decide_retry(fresh, limits, context, now) == retry_decision::retry) {
            ++granted;
        }
        return granted;
    };
    CHECK(count_retries(true) == 5);
    CHECK(count_retries(false) == 3);
    // Requests made by repeated runs use up the budget.
    retry_budget repeated;
    for (int i = 0; i < 20; ++i) {
        record_request(repeated, limits, 0.5, now);
    }
    CHECK_FALSE(has_budget(repeated, limits, 1, now));
    // A retry of an attempt that reached no target does not use the budget.
    context.budget_exempt_ = true;
    CHECK(decide_retry(budget, limits, context, now) == retry_decision::retry);
}

// Nested requests are short compared with the requests that make them, on the same targets.
// Guards against: a run that ended within the time left was answered with 504, because its link had
// been lost two seconds before.
TEST_CASE("a request that must not run twice is awaited until its deadline", "[policy][retry]") {
    CHECK(resolution_wait(false, base::seconds(9)) == base::seconds(9));
    CHECK(resolution_wait(true, base::seconds(9)) == base::seconds(2));
    CHECK(resolution_wait(true, base::seconds(1)) == base::seconds(1));
}

// Guards against: a stopping host gave up a request whose link was lost, although its target was at
// work, as soon as no time was left for another run.
TEST_CASE("a request in doubt is awaited when no time is left for another run", "[policy][retry]") {
    retry_budget budget;
    retry_context context;
    context.outcome_ = in_doubt;
    context.idempotent_ = true;
    context.replayable_ = true;
    context.other_target_ = true;
    context.time_left_ = base::milliseconds(200);
    context.reserved_time_ = base::milliseconds(240);
    context.run_duration_ = base::milliseconds(100);
    CHECK(decide_retry(budget, {}, context, start) == retry_decision::wait);
    context.reserved_time_ = {};
    CHECK(decide_retry(budget, {}, context, start) == retry_decision::retry);
}

// Guards against: an idempotent request whose link was lost was ended without another decision,
// even if the budget had grown by then or the attempt had certainly not run.
TEST_CASE("a request in doubt is sent to another target once the budget allows it",
          "[policy][retry]") {
    const retry_limits limits{0.5, 0, base::seconds(10)};
    retry_budget budget;
    retry_context context;
    context.outcome_ = in_doubt;
    context.idempotent_ = true;
    context.replayable_ = true;
    context.other_target_ = true;
    context.time_left_ = base::seconds(9);
    record_request(budget, limits, 0, start);
    CHECK(decide_retry(budget, limits, context, start) == retry_decision::wait);
    CHECK(next_decision_after(true, base::seconds(2)) < base::seconds(1));
    CHECK(next_decision_after(true, base::milliseconds(5)) == base::milliseconds(5));
    // Neither the budget nor another target matters to a request that must not run twice.
    CHECK(next_decision_after(false, base::seconds(9)) == base::seconds(9));
    // The wait is over: nothing is known of the attempt, and only the budget is waited for.
    context.outcome_ = unknown;
    CHECK(decide_retry(budget, limits, context, start) == retry_decision::await_budget);
    // It certainly did not run, so another attempt is no retry.
    context.outcome_ = not_run;
    context.budget_exempt_ = true;
    CHECK(decide_retry(budget, limits, context, start) == retry_decision::retry);
    context.budget_exempt_ = false;
    for (int i = 0; i < 3; ++i) {
        record_request(budget, limits, 0, start);
    }
    for (const attempt_outcome outcome : {in_doubt, unknown}) {
        retry_budget grown = budget;
        context.outcome_ = outcome;
        CHECK(decide_retry(grown, limits, context, start) == retry_decision::retry);
    }
}

// Guards against: an attempt was begun so late that its refusal came after the deadline, so that
// the caller could not be told that the request did not run.
TEST_CASE("no attempt begins too late for its refusal to arrive", "[policy][retry]") {
    retry_budget budget;
    retry_context context;
    context.outcome_ = not_run;
    context.replayable_ = true;
    context.other_target_ = true;
    context.budget_exempt_ = true;
    context.min_time_left_ = base::milliseconds(100);
    context.time_left_ = base::milliseconds(101);
    CHECK(decide_retry(budget, {}, context, start) == retry_decision::retry);
    context.time_left_ = base::milliseconds(100);
    CHECK(decide_retry(budget, {}, context, start) == retry_decision::refuse_not_run);
    context.may_have_run_before_ = true;
    CHECK(decide_retry(budget, {}, context, start) == retry_decision::refuse_unknown);
}

TEST_CASE("a request is overdue only beyond what chance explains", "[policy][retry]") {
    CHECK(policy::overdue_after(base::milliseconds(700)) == base::milliseconds(2800));
    CHECK(policy::overdue_after(base::milliseconds(5)) == base::milliseconds(200));
}

// Guards against: beside load, a run of 16 ms where 3 ms were expected counted as a failure of its
// target, which then was ejected although it was the only one of its service.
TEST_CASE("a short run is overdue only beyond what a busy host explains", "[policy]") {
    CHECK(policy::overdue_run_time(base::milliseconds(3), 5) == base::milliseconds(200));
    CHECK(policy::overdue_run_time(base::milliseconds(300), 5) == base::milliseconds(1500));
}

// Pattern: rolling replacement. Within one window, each host's process is replaced by another one
// that does not know what the first has used.
TEST_CASE("processes that replace others do not use the retry slack twice", "[policy][retry]") {
    const base::duration window = base::seconds(10);
    // What the caller proxies of a fleet use of the slack is below this share.
    constexpr double budget_share = 0.75;
    // A process starts at the beginning of the window, its predecessor used the whole share.
    double used = budget_share;
    used += budget_share * policy::usable_slack_share(base::duration::zero(), window);
    CHECK(used <= 1);
    CHECK(policy::usable_slack_share(window / 2, window) == Approx(0.5));
    CHECK(policy::usable_slack_share(window, window) == 1);
    CHECK(policy::usable_slack_share(2 * window, window) == 1);
}

// Guards against: a read whose response was lost was ended as no budget was left, although time and
// another target were left.
TEST_CASE("an idempotent request is not ended while only the budget is missing",
          "[policy][retry]") {
    const retry_limits limits{0.5, 0, base::seconds(10)};
    retry_budget budget;
    record_request(budget, limits, 0, start);
    retry_context context;
    context.outcome_ = unknown;
    context.idempotent_ = true;
    context.replayable_ = true;
    context.other_target_ = true;
    context.time_left_ = base::seconds(9);
    context.run_duration_ = base::seconds(2);
    context.min_time_left_ = base::milliseconds(100);
    CHECK(decide_retry(budget, limits, context, start) == retry_decision::await_budget);
    const auto ended = [&](const retry_context& changed) {
        return decide_retry(budget, limits, changed, start) == retry_decision::refuse_unknown;
    };
    // Another attempt could not end in time.
    retry_context changed = context;
    changed.time_left_ = context.run_duration_;
    CHECK(ended(changed));
    // A planned stop leaves less time.
    changed = context;
    changed.reserved_time_ = base::seconds(7);
    CHECK(ended(changed));
    changed = context;
    changed.run_duration_ = {};
    changed.time_left_ = changed.min_time_left_;
    CHECK(ended(changed));
    // No retry will ever be allowed.
    changed = context;
    changed.attempts_ = changed.max_attempts_;
    CHECK(ended(changed));
    changed = context;
    changed.other_target_ = false;
    CHECK(ended(changed));
    changed = context;
    changed.replayable_ = false;
    CHECK(ended(changed));
    changed = context;
    changed.idempotent_ = false;
    CHECK(ended(changed));
    const retry_limits none{0, 0.9, base::seconds(10)};
    CHECK(decide_retry(budget, none, context, start) == retry_decision::refuse_unknown);
    const retry_limits slack_only{0, 2, base::seconds(10)};
    retry_budget used_up;
    CHECK(decide_retry(used_up, slack_only, context, start) == retry_decision::retry);
    CHECK(decide_retry(used_up, slack_only, context, start) == retry_decision::await_budget);
    // The target broke the attempt off.
    changed = context;
    changed.target_failed_ = true;
    CHECK(ended(changed));
    // A target's own failure is a response, and a request that did not run may be sent again by its
    // caller.
    changed = context;
    changed.outcome_ = failed;
    CHECK(decide_retry(budget, limits, changed, start) == retry_decision::forward_failure);
    changed.outcome_ = not_run;
    CHECK(decide_retry(budget, limits, changed, start) == retry_decision::refuse_not_run);
}

// Guards against: all reads of a lost host waited for a budget that served few of them, and the
// others were ended only when no time was left.
TEST_CASE("no more requests wait for the budget than it can serve in their time",
          "[policy][retry]") {
    const retry_limits limits{0, 6, base::seconds(10)};
    retry_budget budget;
    const double share = usable_budget_share(false);
    while (claim_retry(budget, limits, share, start)) {
    }
    retry_context context;
    context.outcome_ = unknown;
    context.idempotent_ = true;
    context.replayable_ = true;
    context.other_target_ = true;
    context.run_duration_ = base::seconds(1);
    context.min_time_left_ = base::milliseconds(100);
    const auto decide = [&](std::size_t waiters, base::duration time_left) {
        context.budget_waiters_ = waiters;
        context.time_left_ = time_left;
        return decide_retry(budget, limits, context, start);
    };
    // The retries leave the window after ten seconds.
    CHECK(retries_allowed_within(budget, limits, share, base::seconds(9), start) < 1);
    CHECK(retries_allowed_within(budget, limits, share, base::seconds(10), start) >= 4);
    CHECK(decide(0, base::seconds(8)) == retry_decision::await_budget);
    CHECK(decide(1, base::seconds(8)) == retry_decision::refuse_unknown);
    CHECK(decide(3, base::seconds(12)) == retry_decision::await_budget);
    CHECK(decide(4, base::seconds(12)) == retry_decision::refuse_unknown);
}

// Guards against: on a route that allows one attempt, a read whose response was lost was ended with
// most of its time left, although its target was idle again.
TEST_CASE("a request may be sent again to the target that lost its response", "[policy][retry]") {
    const retry_limits limits{0.5, 0, base::seconds(10)};
    retry_budget budget;
    for (int i = 0; i < 3; ++i) {
        record_request(budget, limits, 0, start);
    }
    retry_context context;
    context.outcome_ = unknown;
    context.idempotent_ = true;
    context.replayable_ = true;
    context.same_target_ = true;
    context.max_attempts_ = 1;
    context.time_left_ = base::seconds(9);
    CHECK(decide_retry(budget, limits, context, start) == retry_decision::retry);
    // The budget bounds it like any other retry.
    CHECK(decide_retry(budget, limits, context, start) == retry_decision::await_budget);
    context.same_target_ = false;
    CHECK(decide_retry(budget, limits, context, start) == retry_decision::refuse_unknown);
    context.same_target_ = true;
    context.idempotent_ = false;
    CHECK(decide_retry(budget, limits, context, start) == retry_decision::refuse_unknown);
}

// Guards against: when the link to a sound host broke, the budget was used up by retries of runs
// that went on there.
TEST_CASE("the status of a run that most likely goes on comes before a retry", "[policy][retry]") {
    retry_budget budget;
    retry_context context;
    context.outcome_ = in_doubt;
    context.idempotent_ = true;
    context.replayable_ = true;
    context.other_target_ = true;
    context.time_left_ = base::seconds(9);
    context.run_duration_ = base::seconds(1);
    context.status_due_in_ = usual_status_delay;
    CHECK(decide_retry(budget, {}, context, start) == retry_decision::wait);
    // Afterwards no other run could end in time.
    context.time_left_ = context.run_duration_ + usual_status_delay;
    CHECK(decide_retry(budget, {}, context, start) == retry_decision::retry);
    context.time_left_ = base::seconds(9);
    context.status_due_in_ = {};
    CHECK(decide_retry(budget, {}, context, start) == retry_decision::retry);
    // The status is known.
    context.status_due_in_ = usual_status_delay;
    context.outcome_ = unknown;
    CHECK(decide_retry(budget, {}, context, start) == retry_decision::retry);
}

// Guards against: in an overload, reads retried with the budget of other hosts take the slots of
// requests that were not tried yet.
TEST_CASE("a retry is borrowed only for a target with a free slot", "[policy][retry]") {
    retry_context context;
    context.outcome_ = attempt_outcome::failed;
    context.idempotent_ = true;
    context.replayable_ = true;
    context.other_target_ = true;
    context.time_left_ = base::seconds(9);
    CHECK_FALSE(may_borrow_retry(context, retry_decision::forward_failure));
    context.slot_free_ = true;
    CHECK(may_borrow_retry(context, retry_decision::forward_failure));
    CHECK_FALSE(may_borrow_retry(context, retry_decision::wait));
    context.idempotent_ = false;
    CHECK_FALSE(may_borrow_retry(context, retry_decision::forward_failure));
}
