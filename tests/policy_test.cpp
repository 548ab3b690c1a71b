// Tests of the decision modules on a paused clock: choice of targets, run estimates, quota waits,
// token buckets and zone views.
#include <algorithm>
#include <catch2/catch.hpp>

#include "policy/balance.h"
#include "policy/idle_target.h"
#include "policy/quota.h"
#include "policy/run_estimate.h"
#include "policy/token_bucket.h"
#include "policy/zone_view.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

const base::instant start{base::seconds(100)};

}  // namespace

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
