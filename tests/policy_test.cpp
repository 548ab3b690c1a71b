// Tests of the decision modules on a paused clock: retries, choice of targets, run
// estimates, quota waits, token buckets and zone views.
#include <algorithm>
#include <catch2/catch.hpp>

#include "policy/balance.h"
#include "policy/idle_target.h"
#include "policy/quota.h"
#include "policy/retry.h"
#include "policy/run_estimate.h"
#include "policy/token_bucket.h"
#include "policy/zone_view.h"

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
TEST_CASE("the duration of a run is estimated by the kind of its request", "[policy]") {
    run_estimates runs;
    for (int i = 0; i < 50; ++i) {
        record_run(runs, run_kind::nested, base::milliseconds(200));
        record_run(runs, run_kind::non_idempotent, base::milliseconds(1000));
    }
    const auto usual = current_run_durations(runs, runs.overall_);
    CHECK(usual[static_cast<std::size_t>(run_kind::nested)] == base::milliseconds(200));
    CHECK(usual[static_cast<std::size_t>(run_kind::non_idempotent)] == base::milliseconds(1000));
    CHECK(usual[static_cast<std::size_t>(run_kind::download)] == base::duration::zero());
    // Runs in progress that hang raise the estimates of all kinds.
    const auto slow = current_run_durations(runs, runs.overall_ * 3);
    CHECK(slow[static_cast<std::size_t>(run_kind::nested)] > base::milliseconds(590));
}

TEST_CASE("shortest expected delay: near targets first, farther ones when the near ones are full",
          "[policy]") {
    base::random_engine random(7);
    const choice_criteria criteria;
    std::vector<candidate> targets(3);
    for (candidate& target : targets) {
        target.run_duration_ = base::milliseconds(20);
        target.slots_ = 2;
    }
    targets[1].distance_ = distance::same_region;
    targets[2].distance_ = distance::other_region;
    CHECK(choose_target(targets, criteria, random)->index_ == 0U);
    targets[0].load_ = 4;
    CHECK(choose_target(targets, criteria, random)->index_ == 1U);
    targets[1].load_ = 12;
    targets[0].load_ = 12;
    CHECK(choose_target(targets, criteria, random)->index_ == 2U);
    // A slow target is passed over, and so is one that is warming up.
    targets[0].load_ = targets[1].load_ = 0;
    targets[0].run_duration_ = base::milliseconds(200);
    CHECK(choose_target(targets, criteria, random)->index_ == 1U);
    targets[0].run_duration_ = base::milliseconds(45);
    CHECK(choose_target(targets, criteria, random)->index_ == 0U);
    targets[0].warming_ = true;
    CHECK(choose_target(targets, criteria, random)->index_ == 1U);
    targets[1].disconnected_ = true;
    CHECK(choose_target(targets, criteria, random)->index_ == 0U);
    // A target whose link is not open is chosen if there is no other. A target whose link cannot be
    // opened is never chosen.
    targets[0].disconnected_ = true;
    targets[2].disconnected_ = true;
    CHECK(choose_target(targets, criteria, random));
    for (candidate& target : targets) {
        target.unreachable_ = true;
    }
    CHECK_FALSE(choose_target(targets, criteria, random));
    for (candidate& target : targets) {
        target.unreachable_ = false;
    }
    targets[0].excluded_ = targets[1].excluded_ = targets[2].excluded_ = true;
    CHECK_FALSE(choose_target(targets, criteria, random));
}

// Pattern: herding on stale reports. Many caller proxies hold the same outdated view of a large
// service whose targets differ only by chance.
TEST_CASE("caller proxies with the same outdated view spread requests over a large service",
          "[policy]") {
    constexpr std::size_t target_count = 41;
    constexpr int requests = 400;
    constexpr int fair_share = requests / static_cast<int>(target_count);
    base::random_engine random(11);
    std::vector<candidate> targets(target_count);
    for (candidate& target : targets) {
        target.run_duration_ =
            base::milliseconds(700 + static_cast<int>(base::random_below(random, 600)));
        target.slots_ = 13;
        target.suspicion_ = 0.05;
    }
    const choice_criteria criteria;
    std::vector<int> request_counts(target_count);
    for (int i = 0; i < requests; ++i) {
        ++request_counts[choose_target(targets, criteria, random)->index_];
    }
    const auto [min_count, max_count] =
        std::minmax_element(request_counts.begin(), request_counts.end());
    CHECK(*min_count > 0);
    CHECK(*max_count <= 4 * fair_share);
    // A target that is slower than chance explains gets almost no requests.
    targets[0].run_duration_ = base::milliseconds(4000);
    int slow_count = 0;
    for (int i = 0; i < requests; ++i) {
        slow_count += choose_target(targets, criteria, random)->index_ == 0U ? 1 : 0;
    }
    CHECK(slow_count <= 1);
}

TEST_CASE("outlier ejection stops at the minimum share of targets in use",
          "[policy][promise-floor]") {
    base::random_engine random(7);
    choice_criteria criteria;
    criteria.min_share_ = 0.7;
    std::vector<candidate> targets(10);
    for (candidate& target : targets) {
        target.run_duration_ = base::milliseconds(20);
    }
    const auto chooses_ejected = [&](int ejected_count) {
        for (std::size_t i = 0; i < targets.size(); ++i) {
            targets[i].ejected_ = i < static_cast<std::size_t>(ejected_count);
            // The targets in use are heavily loaded.
            targets[i].load_ = targets[i].ejected_ ? 0 : 20;
        }
        const auto choice = choose_target(targets, criteria, random);
        CHECK(choice->allow_ejected_ == targets[choice->index_].ejected_);
        return choice->allow_ejected_;
    };
    CHECK_FALSE(chooses_ejected(1));
    CHECK_FALSE(chooses_ejected(3));
    CHECK(chooses_ejected(4));
    // If all targets are ejected, one of them is chosen.
    CHECK(chooses_ejected(10));
    // Targets that fail for certain add no capacity: a request that is not idempotent is refused
    // rather than sent to one.
    for (candidate& target : targets) {
        target.suspicion_ = 0.95;
    }
    CHECK_FALSE(choose_target(targets, criteria, random));
    criteria.idempotent_ = true;
    CHECK(choose_target(targets, criteria, random));
    targets[9].ejected_ = false;
    targets[9].load_ = 1000;
    CHECK(choose_target(targets, criteria, random)->index_ == 9U);
}

TEST_CASE("a target that requests a probe gets idempotent requests only", "[policy]") {
    base::random_engine random(7);
    std::vector<candidate> targets(2);
    for (candidate& target : targets) {
        target.run_duration_ = base::milliseconds(500);
    }
    targets[0].needs_probe_ = true;
    targets[0].distance_ = distance::same_region;
    choice_criteria criteria;
    CHECK(choose_target(targets, criteria, random)->index_ == 1U);
    criteria.idempotent_ = true;
    CHECK(choose_target(targets, criteria, random)->index_ == 0U);
}

TEST_CASE("an unused target needs a probe, also while a run hangs on it", "[policy]") {
    base::runtime_clock clock;
    clock.pause();
    idle_target target{clock.now(), {}};
    constexpr int slots_all_free = 7;
    constexpr int slots_free_one_hangs = 6;
    CHECK_FALSE(needs_probe(target, slots_all_free, clock.now()));
    clock.advance(base::seconds(1));
    CHECK(needs_probe(target, slots_all_free, clock.now()));
    CHECK(needs_probe(target, slots_free_one_hangs, clock.now()));
    CHECK_FALSE(needs_probe(target, 0, clock.now()));
    // No other probe is requested until the caller proxies had time for this one.
    target.requested_at_ = clock.now();
    CHECK_FALSE(needs_probe(target, slots_all_free, clock.now()));
    clock.advance(base::milliseconds(500));
    CHECK(needs_probe(target, slots_all_free, clock.now()));
}

TEST_CASE("a target on trial gets idempotent requests only", "[policy]") {
    base::random_engine random(7);
    std::vector<candidate> targets(2);
    targets[0].on_trial_ = true;
    targets[1].load_ = 10;
    choice_criteria criteria;
    CHECK(choose_target(targets, criteria, random)->index_ == 1U);
    criteria.idempotent_ = true;
    CHECK(choose_target(targets, criteria, random)->index_ == 0U);
}

// Pattern: outlier ejection with trials. A last retry that is spent on a trial target may fail
// the caller's request.
TEST_CASE("a request that has no other attempt goes to the target most likely to succeed",
          "[policy]") {
    base::random_engine random(7);
    std::vector<candidate> targets(3);
    for (candidate& target : targets) {
        target.run_duration_ = base::milliseconds(500);
        target.slots_ = 7;
    }
    targets[0].on_trial_ = true;
    targets[0].suspicion_ = 0.9;
    // This target is idle because it fails requests at once; it is not ejected yet.
    targets[1].suspicion_ = 0.45;
    targets[2].suspicion_ = 0.01;
    targets[2].load_ = 4;
    choice_criteria criteria;
    criteria.idempotent_ = true;
    CHECK(choose_target(targets, criteria, random)->index_ == 0U);
    criteria.can_retry_ = false;
    CHECK(choose_target(targets, criteria, random)->index_ == 2U);
    // If only the target on trial is left, it gets the request.
    targets[1].excluded_ = targets[2].excluded_ = true;
    CHECK(choose_target(targets, criteria, random)->index_ == 0U);
}

// Pattern: traffic shaping. Requests in a burst beyond the rate wait as long as they can still be
// served in time, since a refused caller of the platform rarely retries.
TEST_CASE("a request waits for its organisation's rate as long as its objective allows",
          "[policy]") {
    struct wait_case {
        int objective_ms_;
        int time_left_ms_;
        int max_wait_ms_;
    };
    const std::vector<wait_case> cases = {
        {3000, 10000, 1000},  // A third of the objective leaves two thirds for the run.
        {600, 10000, 200},   {3000, 1000, 500}, {0, 10000, 500}, {0, 300, 150}, {3000, 0, 0},
    };
    for (const wait_case& test_case : cases) {
        CAPTURE(test_case.objective_ms_, test_case.time_left_ms_);
        CHECK(quota_max_wait(base::milliseconds(test_case.objective_ms_),
                             base::milliseconds(test_case.time_left_ms_)) ==
              base::milliseconds(test_case.max_wait_ms_));
    }
    // Ten requests at once at a rate of ten per second: a wait of one second serves all of them;
    // half a second would serve six.
    base::runtime_clock clock;
    clock.pause();
    token_bucket bucket = make_bucket(10, 1, clock.now());
    int admitted = 0;
    const base::instant end = clock.now() + quota_max_wait(base::seconds(3), base::seconds(10));
    while (clock.now() <= end) {
        refill(bucket, 1, clock.now());
        admitted += admitted < 10 ? static_cast<int>(take(bucket, 1, clock.now())) : 0;
        clock.advance(base::milliseconds(20));
    }
    CHECK(admitted == 10);
}

TEST_CASE("a token bucket grants its burst and then its rate", "[policy]") {
    base::runtime_clock clock;
    clock.pause();
    token_bucket bucket = make_bucket(10, 5, clock.now());
    CHECK(take(bucket, 100, clock.now()) == 5);
    CHECK(take(bucket, 1, clock.now()) == 0);
    clock.advance(base::milliseconds(250));
    CHECK(take(bucket, 100, clock.now()) == 2);
    clock.advance(base::seconds(3600));
    CHECK(take(bucket, 100, clock.now()) == 5);
}

TEST_CASE("contact with a majority is as old as the oldest exchange that it needs", "[policy]") {
    zone_view view;
    view.self_ = "a";
    set_members(view, 3, {"a", "b", "c", "d", "e"});
    const base::instant now = start + base::seconds(10);
    CHECK(latest_majority_contact(view, now) == base::instant{});
    record_exchange(view, "b", {start + base::seconds(9), 3});
    record_exchange(view, "c", {start + base::seconds(4), 2});
    CHECK(latest_majority_contact(view, now) == start + base::seconds(4));
    // Peer c has an older host list, so it does not count as agreeing.
    CHECK(latest_majority_agreement(view, now) == base::instant{});
    record_exchange(view, "d", {start + base::seconds(8), 3});
    CHECK(latest_majority_agreement(view, now) == start + base::seconds(8));
    // A late reply to an earlier query changes nothing.
    record_exchange(view, "d", {start + base::seconds(1), 3});
    CHECK(latest_majority_agreement(view, now) == start + base::seconds(8));
    // A peer has a newer host list, so this host's list is out of date.
    observe_version(view, 4);
    CHECK(latest_majority_agreement(view, now) == base::instant{});
}

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
    // The wait is over: nothing is known of the attempt, and it is not waited for any longer.
    context.outcome_ = unknown;
    CHECK(decide_retry(budget, limits, context, start) == retry_decision::refuse_unknown);
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
