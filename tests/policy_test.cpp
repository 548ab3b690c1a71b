// Decisions on the paused clock, in tables: retries, queues, choice of targets, views, spreading.
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "policy/balance.h"
#include "policy/fair_queue.h"
#include "policy/retry.h"
#include "policy/spread.h"
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
        {"read that may have run", unknown, true, true, false, true, retry_decision::retry},
        {"read in doubt", in_doubt, true, true, false, true, retry_decision::retry},
        {"read in doubt, nowhere else", in_doubt, true, true, false, false, retry_decision::wait},
        {"read, nowhere else", unknown, true, true, false, false, retry_decision::refuse_unknown},
    };
    for (const retry_case& one : cases) {
        INFO(one.name_);
        retry_budget budget;
        retry_question question;
        question.outcome_ = one.outcome_;
        question.idempotent_ = one.idempotent_;
        question.replayable_ = one.replayable_;
        question.maybe_ran_before_ = one.maybe_ran_before_;
        question.other_target_ = one.other_target_;
        question.time_left_ = base::seconds(1);
        CHECK(decide_retry(budget, question) == one.decision_);
    }
}

TEST_CASE("retries stay a fixed share of the traffic", "[policy]") {
    retry_budget budget;
    retry_question question;
    question.outcome_ = not_run;
    question.replayable_ = true;
    question.other_target_ = true;
    question.time_left_ = base::seconds(1);
    int retries = 0;
    constexpr int requests = 1000;
    for (int i = 0; i < requests; ++i) {
        earn_retry(budget);
        retries += decide_retry(budget, question) == retry_decision::retry ? 1 : 0;
    }
    CHECK(retries <= requests * retry_share + retry_reserve);
}

TEST_CASE("each organisation gets its turn, and background waits", "[policy]") {
    fair_queue queue;
    std::uint64_t id = 1;
    for (int i = 0; i < 100; ++i) {
        push(queue, {id++, "large", false, 1});
    }
    for (int i = 0; i < 8; ++i) {
        push(queue, {id++, "small", false, 1});
        push(queue, {id++, "stock", true, 1});
    }
    std::map<std::string, int> first;
    for (int i = 0; i < 16; ++i) {
        ++first[pop(queue)->organisation_];
    }
    CHECK(first["small"] == 8);
    CHECK(first["large"] == 8);
    CHECK(first["stock"] == 0);
    CHECK(remove(queue, 20));
    CHECK_FALSE(remove(queue, 20));
    std::size_t rest = 0;
    while (pop(queue)) {
        ++rest;
    }
    CHECK(rest == 99);
    CHECK(queue.size_ == 0);
}

TEST_CASE("near targets first, farther ones when the near are full", "[policy]") {
    base::random_engine random(7);
    std::vector<candidate> targets(3);
    targets[1].distance_ = distance::same_region;
    targets[2].distance_ = distance::other_region;
    CHECK(choose_target(targets, random) == 0U);
    targets[0].in_flight_ = 1;
    CHECK(choose_target(targets, random) == 1U);
    targets[1].in_flight_ = 1;
    targets[2].in_flight_ = 1;
    CHECK(choose_target(targets, random) == 0U);
    targets[0].avoided_ = true;
    CHECK(choose_target(targets, random) == 1U);
    targets[0].excluded_ = targets[1].excluded_ = targets[2].excluded_ = true;
    CHECK_FALSE(choose_target(targets, random));
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
    const base::instant start{base::seconds(100)};
    zone_view view;
    view.self_ = "a";
    set_members(view, 3, {"a", "b", "c", "d", "e"});
    const base::instant now = start + base::seconds(10);
    CHECK(majority_heard(view, now) == base::instant{});
    note_exchange(view, "b", {start + base::seconds(9), 3});
    note_exchange(view, "c", {start + base::seconds(4), 2});
    CHECK(majority_heard(view, now) == start + base::seconds(4));
    // c has an older list: it agrees with nothing.
    CHECK(majority_agreed(view, now) == base::instant{});
    note_exchange(view, "d", {start + base::seconds(8), 3});
    CHECK(majority_agreed(view, now) == start + base::seconds(8));
    // An older answer that comes late changes nothing.
    note_exchange(view, "d", {start + base::seconds(1), 3});
    CHECK(majority_agreed(view, now) == start + base::seconds(8));
    // A newer list is about: this host's is out of date.
    note_version(view, 4);
    CHECK(majority_agreed(view, now) == base::instant{});
}

TEST_CASE("a version reaches each host of a zone once by its tree", "[policy]") {
    for (const std::size_t size : {1U, 2U, 5U, 21U, 360U}) {
        std::vector<std::string> hosts;
        for (std::size_t i = 0; i < size; ++i) {
            hosts.push_back("h" + std::to_string(1000 + i));
        }
        const std::string origin = hosts[size / 2];
        std::map<std::string, int> reached;
        for (const std::string& host : hosts) {
            for (const std::string& child : spread_children(hosts, origin, host)) {
                ++reached[child];
            }
        }
        CHECK(reached.size() == size - 1);
        CHECK_FALSE(reached.contains(origin));
        const bool once = std::all_of(reached.begin(), reached.end(),
                                      [](const auto& entry) { return entry.second == 1; });
        CHECK(once);
        const auto readers = std::count_if(hosts.begin(), hosts.end(), [&](const std::string& h) {
            return is_reader("z1", hosts, h);
        });
        CHECK(readers == static_cast<std::ptrdiff_t>(std::min<std::size_t>(size, readers_a_zone)));
    }
}
