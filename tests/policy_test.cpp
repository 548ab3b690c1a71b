// Decisions on the paused clock, in tables: retries, queues, choice of targets, views.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "policy/balance.h"
#include "policy/idle_target.h"
#include "policy/quota.h"
#include "policy/retry.h"
#include "policy/run_estimate.h"
#include "policy/slot_queue.h"
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
    bool maybe_ran_before_;
    bool other_target_;
    retry_decision decision_;
};

constexpr auto not_run = attempt_outcome::not_run;
constexpr auto in_doubt = attempt_outcome::in_doubt;
constexpr auto unknown = attempt_outcome::unknown;
constexpr auto failed = attempt_outcome::failed;

const base::instant start{base::seconds(100)};

waiting_request waiting(std::uint64_t id, const char* organisation) {
    waiting_request one;
    one.id_ = id;
    one.organisation_ = organisation;
    one.arrived_at_ = start + base::milliseconds(static_cast<std::int64_t>(id));
    return one;
}

std::vector<std::uint64_t> order_of(slot_queue queue, base::instant now) {
    std::vector<std::uint64_t> ids;
    while (const auto next = pop(queue, now)) {
        ids.push_back(next->id_);
    }
    return ids;
}

}  // namespace

TEST_CASE("a retry never risks a second run", "[policy][promise-at-most-once]") {
    const retry_case cases[] = {
        {"order that did not run", not_run, false, true, false, true, retry_decision::retry},
        {"order, body gone", not_run, false, false, false, true, retry_decision::refuse_not_run},
        {"order, no other target", not_run, false, true, false, false,
         retry_decision::refuse_not_run},
        {"order in doubt", in_doubt, false, true, false, true, retry_decision::wait},
        {"order that may have run", unknown, false, true, false, true,
         retry_decision::refuse_unknown},
        {"order that may have run before", not_run, false, true, true, true,
         retry_decision::refuse_unknown},
        {"order that its target failed", failed, false, true, false, true,
         retry_decision::forward_failure},
        {"read that may have run", unknown, true, true, false, true, retry_decision::retry},
        {"read in doubt", in_doubt, true, true, false, true, retry_decision::retry},
        {"read in doubt, nowhere else", in_doubt, true, true, false, false, retry_decision::wait},
        {"read, nowhere else", unknown, true, true, false, false, retry_decision::refuse_unknown},
        {"read that its target failed", failed, true, true, false, true, retry_decision::retry},
        {"read that its target failed, nowhere else", failed, true, true, false, false,
         retry_decision::forward_failure},
    };
    for (const retry_case& one : cases) {
        INFO(one.name_);
        retry_budget budget;
        retry_context question;
        question.outcome_ = one.outcome_;
        question.idempotent_ = one.idempotent_;
        question.replayable_ = one.replayable_;
        question.maybe_ran_before_ = one.maybe_ran_before_;
        question.other_target_ = one.other_target_;
        question.time_left_ = base::seconds(1);
        CHECK(decide_retry(budget, {}, question, start) == one.decision_);
        // The route allows no more targets.
        question.attempts_ = question.max_attempts_;
        CHECK(decide_retry(budget, {}, question, start) != retry_decision::retry);
        // There is no time for another run.
        question.attempts_ = 1;
        question.run_duration_ = base::seconds(2);
        CHECK(decide_retry(budget, {}, question, start) != retry_decision::retry);
    }
}

TEST_CASE("retries in any window stay within ratio and slack", "[policy]") {
    const retry_limits limits{0.2, 5, base::seconds(10)};
    retry_budget budget;
    retry_context question;
    question.outcome_ = not_run;
    question.replayable_ = true;
    question.other_target_ = true;
    question.time_left_ = base::seconds(1);
    question.nested_ = true;
    std::vector<base::instant> retries;
    std::vector<base::instant> requests;
    base::random_engine random(5);
    base::instant now = start;
    for (int i = 0; i < 3000; ++i) {
        // Quiet times and crowds in turn.
        now += base::milliseconds(base::random_below(random, i % 1000 < 500 ? 200 : 5));
        record_request(budget, limits, 0, now);
        requests.push_back(now);
        for (int more = 0; more < 3; ++more) {
            if (decide_retry(budget, limits, question, now) == retry_decision::retry) {
                retries.push_back(now);
            }
        }
    }
    CHECK(retries.size() > 100);
    for (const base::instant end : retries) {
        const auto in_window = [&](base::instant at) {
            return at <= end && at > end - limits.window_;
        };
        const auto made = std::count_if(retries.begin(), retries.end(), in_window);
        const auto asked = std::count_if(requests.begin(), requests.end(), in_window);
        CHECK(static_cast<double>(made) <=
              limits.ratio_ * static_cast<double>(asked) + limits.slack_);
    }
    // What is left is for nested requests.
    const auto count = [&](bool nested) {
        retry_budget fresh;
        record_request(fresh, limits, 0, now);
        question.nested_ = nested;
        int made = 0;
        while (decide_retry(fresh, limits, question, now) == retry_decision::retry) {
            ++made;
        }
        return made;
    };
    CHECK(count(true) == 5);
    CHECK(count(false) == 3);
    // Requests that repeated runs make use the budget up.
    retry_budget repeated;
    for (int i = 0; i < 20; ++i) {
        record_request(repeated, limits, 0.5, now);
    }
    CHECK_FALSE(has_budget(repeated, limits, 1, now));
    // What reached no target costs nothing.
    question.budget_exempt_ = true;
    CHECK(decide_retry(budget, limits, question, now) == retry_decision::retry);
}

// Pattern: nested calls are short beside the requests that make them, on the same targets.
TEST_CASE("the time of a run is told by the kind of its request", "[policy]") {
    run_estimates runs;
    for (int i = 0; i < 50; ++i) {
        record_run(runs, run_kind::nested, base::milliseconds(200));
        record_run(runs, run_kind::non_idempotent, base::milliseconds(1000));
    }
    const auto usual = current_run_durations(runs, runs.overall_);
    CHECK(usual[static_cast<std::size_t>(run_kind::nested)] == base::milliseconds(200));
    CHECK(usual[static_cast<std::size_t>(run_kind::non_idempotent)] == base::milliseconds(1000));
    CHECK(usual[static_cast<std::size_t>(run_kind::download)] == base::duration::zero());
    // Runs under way that hang make every kind look slow.
    const auto slow = current_run_durations(runs, runs.overall_ * 3);
    CHECK(slow[static_cast<std::size_t>(run_kind::nested)] > base::milliseconds(590));
}

TEST_CASE("weighted fair sharing: each organisation gets its turn, background waits", "[policy]") {
    slot_queue queue;
    std::uint64_t id = 1;
    std::map<std::uint64_t, std::string> names;
    const auto add = [&](const char* organisation, bool background) {
        waiting_request one = waiting(id, organisation);
        one.background_ = background;
        names[id] = organisation;
        push(queue, one);
        ++id;
    };
    for (int i = 0; i < 100; ++i) {
        add("large", false);
    }
    for (int i = 0; i < 8; ++i) {
        add("small", false);
        add("stock", true);
    }
    std::map<std::string, int> first;
    for (int i = 0; i < 16; ++i) {
        ++first[names[pop(queue, start)->id_]];
    }
    CHECK(first["small"] == 8);
    CHECK(first["large"] == 8);
    CHECK(first["stock"] == 0);
    CHECK(remove(queue, 20));
    CHECK_FALSE(remove(queue, 20));
    CHECK(order_of(queue, start).size() == 99);
}

TEST_CASE("deadline-aware priority: who goes first in a full queue", "[policy]") {
    const base::instant now = start + base::seconds(1);
    const auto usual = [&](std::uint64_t id) {
        waiting_request one = waiting(id, "a");
        one.run_duration_ = base::milliseconds(500);
        one.objective_at_ = now + base::seconds(1);
        one.deadline_at_ = now + base::seconds(9);
        return one;
    };
    slot_queue queue;
    waiting_request late = usual(1);
    late.objective_at_ = now + base::milliseconds(100);
    push(queue, late);
    waiting_request less_urgent = usual(2);
    less_urgent.priority_ = 2;
    push(queue, less_urgent);
    push(queue, usual(3));
    waiting_request nested = usual(4);
    nested.nested_ = true;
    nested.priority_ = 7;
    push(queue, nested);
    waiting_request background = usual(5);
    background.background_ = true;
    push(queue, background);
    CHECK(order_of(queue, now) == std::vector<std::uint64_t>{4, 3, 2, 1, 5});
    // A call waits behind calls only; what is late waits behind all but background work.
    CHECK(expected_wait(queue, nested, 1, base::seconds(1), now) == base::seconds(2));
    CHECK(expected_wait(queue, late, 2, base::seconds(1), now) == base::milliseconds(2500));
}

TEST_CASE("what cannot end in time is refused while it waits", "[policy]") {
    const base::instant now = start + base::seconds(1);
    slot_queue queue;
    waiting_request hopeless = waiting(1, "a");
    hopeless.run_duration_ = base::milliseconds(500);
    hopeless.deadline_at_ = now + base::milliseconds(499);
    push(queue, hopeless);
    waiting_request in_time = hopeless;
    in_time.id_ = 2;
    in_time.deadline_at_ = now + base::milliseconds(500);
    push(queue, in_time);
    CHECK(remove_infeasible(queue, now) == std::vector<std::uint64_t>{1});
    CHECK(order_of(queue, now) == std::vector<std::uint64_t>{2});
}

TEST_CASE("least expected finish: near targets first, farther ones when the near are full",
          "[policy]") {
    base::random_engine random(7);
    const choice_criteria order;
    std::vector<candidate> targets(3);
    for (candidate& one : targets) {
        one.run_duration_ = base::milliseconds(20);
        one.slots_ = 2;
    }
    targets[1].distance_ = distance::same_region;
    targets[2].distance_ = distance::other_region;
    CHECK(choose_target(targets, order, random)->index_ == 0U);
    targets[0].load_ = 4;
    CHECK(choose_target(targets, order, random)->index_ == 1U);
    targets[1].load_ = 12;
    targets[0].load_ = 12;
    CHECK(choose_target(targets, order, random)->index_ == 2U);
    // A slow one is passed over, one in its warm-up too.
    targets[0].load_ = targets[1].load_ = 0;
    targets[0].run_duration_ = base::milliseconds(200);
    CHECK(choose_target(targets, order, random)->index_ == 1U);
    targets[0].run_duration_ = base::milliseconds(45);
    CHECK(choose_target(targets, order, random)->index_ == 0U);
    targets[0].warming_ = true;
    CHECK(choose_target(targets, order, random)->index_ == 1U);
    targets[1].disconnected_ = true;
    CHECK(choose_target(targets, order, random)->index_ == 0U);
    // A path that is not open may have to do, one that cannot be opened never.
    targets[0].disconnected_ = true;
    targets[2].disconnected_ = true;
    CHECK(choose_target(targets, order, random));
    for (candidate& one : targets) {
        one.unreachable_ = true;
    }
    CHECK_FALSE(choose_target(targets, order, random));
    for (candidate& one : targets) {
        one.unreachable_ = false;
    }
    targets[0].excluded_ = targets[1].excluded_ = targets[2].excluded_ = true;
    CHECK_FALSE(choose_target(targets, order, random));
}

// Pattern: herding on stale reports. Many entries hold the same old view of a large service whose
// targets differ by chance only.
TEST_CASE("entries with the same old view spread their requests over a large service", "[policy]") {
    constexpr std::size_t target_count = 41;
    constexpr int requests = 400;
    constexpr int fair_share = requests / static_cast<int>(target_count);
    base::random_engine random(11);
    std::vector<candidate> targets(target_count);
    for (candidate& one : targets) {
        one.run_duration_ =
            base::milliseconds(700 + static_cast<int>(base::random_below(random, 600)));
        one.slots_ = 13;
        one.suspicion_ = 0.05;
    }
    const choice_criteria order;
    std::vector<int> chosen(target_count);
    for (int i = 0; i < requests; ++i) {
        ++chosen[choose_target(targets, order, random)->index_];
    }
    const auto [least, most] = std::minmax_element(chosen.begin(), chosen.end());
    CHECK(*least > 0);
    CHECK(*most <= 4 * fair_share);
    // One that is slow beyond chance gets next to nothing.
    targets[0].run_duration_ = base::milliseconds(4000);
    int slow = 0;
    for (int i = 0; i < requests; ++i) {
        slow += choose_target(targets, order, random)->index_ == 0U ? 1 : 0;
    }
    CHECK(slow <= 1);
}

TEST_CASE("outlier ejection stops at the floor", "[policy][promise-floor]") {
    base::random_engine random(7);
    choice_criteria criteria;
    criteria.min_share_ = 0.7;
    std::vector<candidate> targets(10);
    for (candidate& one : targets) {
        one.run_duration_ = base::milliseconds(20);
    }
    const auto chosen_ejected = [&](int ejected) {
        for (std::size_t i = 0; i < targets.size(); ++i) {
            targets[i].ejected_ = i < static_cast<std::size_t>(ejected);
            // Those in use have much to do.
            targets[i].load_ = targets[i].ejected_ ? 0 : 20;
        }
        const auto choice = choose_target(targets, criteria, random);
        CHECK(choice->allow_ejected_ == targets[choice->index_].ejected_);
        return choice->allow_ejected_;
    };
    CHECK_FALSE(chosen_ejected(1));
    CHECK_FALSE(chosen_ejected(3));
    CHECK(chosen_ejected(4));
    // With all of them out there is nothing better.
    CHECK(chosen_ejected(10));
    // Targets that surely fail are no capacity: an order is refused sooner than sent there.
    for (candidate& one : targets) {
        one.suspicion_ = 0.95;
    }
    CHECK_FALSE(choose_target(targets, criteria, random));
    criteria.idempotent_ = true;
    CHECK(choose_target(targets, criteria, random));
    targets[9].ejected_ = false;
    targets[9].load_ = 1000;
    CHECK(choose_target(targets, criteria, random)->index_ == 9U);
}

TEST_CASE("an idle target that asks for work gets idempotent requests only", "[policy]") {
    base::random_engine random(7);
    std::vector<candidate> targets(2);
    for (candidate& one : targets) {
        one.run_duration_ = base::milliseconds(500);
    }
    targets[0].needs_probe_ = true;
    targets[0].distance_ = distance::same_region;
    choice_criteria criteria;
    CHECK(choose_target(targets, criteria, random)->index_ == 1U);
    criteria.idempotent_ = true;
    CHECK(choose_target(targets, criteria, random)->index_ == 0U);
}

TEST_CASE("a target that nobody uses asks for a request, also while one hangs there", "[policy]") {
    base::runtime_clock clock;
    clock.pause();
    idle_target target{clock.now(), {}};
    constexpr int all_free = 7;
    constexpr int one_hangs = 6;
    CHECK_FALSE(needs_probe(target, all_free, clock.now()));
    clock.advance(base::seconds(1));
    CHECK(needs_probe(target, all_free, clock.now()));
    CHECK(needs_probe(target, one_hangs, clock.now()));
    CHECK_FALSE(needs_probe(target, 0, clock.now()));
    // Those that were asked are given time.
    target.requested_at_ = clock.now();
    CHECK_FALSE(needs_probe(target, all_free, clock.now()));
    clock.advance(base::milliseconds(500));
    CHECK(needs_probe(target, all_free, clock.now()));
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

// Pattern: outlier ejection with trials. A retry that is spent on a trial fails its caller.
TEST_CASE("a request without another attempt goes where it most likely succeeds", "[policy]") {
    base::random_engine random(7);
    std::vector<candidate> targets(3);
    for (candidate& one : targets) {
        one.run_duration_ = base::milliseconds(500);
        one.slots_ = 7;
    }
    targets[0].on_trial_ = true;
    targets[0].suspicion_ = 0.9;
    // Idle because it fails at once, and not ejected yet.
    targets[1].suspicion_ = 0.45;
    targets[2].suspicion_ = 0.01;
    targets[2].load_ = 4;
    choice_criteria criteria;
    criteria.idempotent_ = true;
    CHECK(choose_target(targets, criteria, random)->index_ == 0U);
    criteria.can_retry_ = false;
    CHECK(choose_target(targets, criteria, random)->index_ == 2U);
    // If only a target on trial is left, it gets the request.
    targets[1].excluded_ = targets[2].excluded_ = true;
    CHECK(choose_target(targets, criteria, random)->index_ == 0U);
}

// Pattern: traffic shaping. A burst beyond the rate waits while that serves it in time; a refused
// caller of the platform rarely comes back.
TEST_CASE("a request waits for its organisation's rate within its objective", "[policy]") {
    struct patience_case {
        int objective_ms_;
        int time_left_ms_;
        int patience_ms_;
    };
    const std::vector<patience_case> cases = {
        {3000, 10000, 1000},  // a third of the objective leaves two for the run
        {600, 10000, 200},   {3000, 1000, 500}, {0, 10000, 500}, {0, 300, 150}, {3000, 0, 0},
    };
    for (const patience_case& one : cases) {
        CAPTURE(one.objective_ms_, one.time_left_ms_);
        CHECK(quota_max_wait(base::milliseconds(one.objective_ms_),
                             base::milliseconds(one.time_left_ms_)) ==
              base::milliseconds(one.patience_ms_));
    }
    // Ten at once at ten a second: all are served within the second; half of it serves six.
    base::runtime_clock clock;
    clock.pause();
    token_bucket bucket = make_bucket(10, 1, clock.now());
    int admitted = 0;
    const base::instant until = clock.now() + quota_max_wait(base::seconds(3), base::seconds(10));
    while (clock.now() <= until) {
        refill(bucket, 1, clock.now());
        admitted += admitted < 10 ? static_cast<int>(take(bucket, 1, clock.now())) : 0;
        clock.advance(base::milliseconds(20));
    }
    CHECK(admitted == 10);
}

TEST_CASE("a bucket admits its burst and then its rate", "[policy]") {
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

TEST_CASE("a majority's word is as old as its oldest needed exchange", "[policy]") {
    zone_view view;
    view.self_ = "a";
    set_members(view, 3, {"a", "b", "c", "d", "e"});
    const base::instant now = start + base::seconds(10);
    CHECK(latest_majority_contact(view, now) == base::instant{});
    record_exchange(view, "b", {start + base::seconds(9), 3});
    record_exchange(view, "c", {start + base::seconds(4), 2});
    CHECK(latest_majority_contact(view, now) == start + base::seconds(4));
    // c has an older list: it agrees with nothing.
    CHECK(latest_majority_agreement(view, now) == base::instant{});
    record_exchange(view, "d", {start + base::seconds(8), 3});
    CHECK(latest_majority_agreement(view, now) == start + base::seconds(8));
    // An older answer that comes late changes nothing.
    record_exchange(view, "d", {start + base::seconds(1), 3});
    CHECK(latest_majority_agreement(view, now) == start + base::seconds(8));
    // A newer list is about: this host's is out of date.
    observe_version(view, 4);
    CHECK(latest_majority_agreement(view, now) == base::instant{});
}
