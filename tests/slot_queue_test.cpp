// Tests of the queue for a target's slots on a paused clock: order, and which requests are given
// up.
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "policy/refusal_margin.h"
#include "policy/slot_queue.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

const base::instant start{base::seconds(100)};

waiting_request make_waiting(std::uint64_t id, const char* organisation) {
    waiting_request request;
    request.id_ = id;
    request.organisation_ = organisation;
    request.arrived_at_ = start + base::milliseconds(static_cast<std::int64_t>(id));
    return request;
}

// Returns the ids of all requests in the queue, in the order in which they are served.
std::vector<std::uint64_t> service_order(slot_queue queue, base::instant now) {
    std::vector<std::uint64_t> ids;
    while (const auto next = pop(queue, now)) {
        ids.push_back(next->id_);
    }
    return ids;
}

// A request that arrives at `arrived_at`, with an objective of 2 s, a deadline of 5 s and a run of
// 500 ms.
waiting_request make_request(std::uint64_t id, base::instant arrived_at) {
    waiting_request request = make_waiting(id, "a");
    request.arrived_at_ = arrived_at;
    request.run_duration_ = base::milliseconds(500);
    request.objective_at_ = arrived_at + base::seconds(2);
    request.deadline_at_ = arrived_at + base::seconds(5);
    return request;
}

}  // namespace

TEST_CASE("weighted fair sharing: organisations are served in turn and background requests last",
          "[policy]") {
    slot_queue queue;
    std::uint64_t id = 1;
    std::map<std::uint64_t, std::string> organisation_by_id;
    const auto add = [&](const char* organisation, bool background) {
        waiting_request request = make_waiting(id, organisation);
        request.background_ = background;
        organisation_by_id[id] = organisation;
        push(queue, request);
        ++id;
    };
    for (int i = 0; i < 100; ++i) {
        add("large", false);
    }
    for (int i = 0; i < 8; ++i) {
        add("small", false);
        add("stock", true);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 16; ++i) {
        ++served[organisation_by_id[pop(queue, start)->id_]];
    }
    CHECK(served["small"] == 8);
    CHECK(served["large"] == 8);
    CHECK(served["stock"] == 0);
    CHECK(remove(queue, 20));
    CHECK_FALSE(remove(queue, 20));
    CHECK(service_order(queue, start).size() == 99);
}

TEST_CASE(
    "deadline-aware priority: nested requests go first, then on-time, late and background ones",
    "[policy]") {
    const base::instant now = start + base::seconds(1);
    const auto make_on_time = [&](std::uint64_t id) {
        waiting_request request = make_waiting(id, "a");
        request.run_duration_ = base::milliseconds(500);
        request.objective_at_ = now + base::seconds(1);
        request.deadline_at_ = now + base::seconds(9);
        return request;
    };
    slot_queue queue;
    waiting_request late = make_on_time(1);
    late.objective_at_ = now + base::milliseconds(100);
    push(queue, late);
    waiting_request less_urgent = make_on_time(2);
    less_urgent.priority_ = 2;
    push(queue, less_urgent);
    push(queue, make_on_time(3));
    waiting_request nested = make_on_time(4);
    nested.nested_ = true;
    nested.priority_ = 7;
    push(queue, nested);
    waiting_request background = make_on_time(5);
    background.background_ = true;
    push(queue, background);
    CHECK(service_order(queue, now) == std::vector<std::uint64_t>{4, 3, 2, 1, 5});
    // A nested request waits behind nested requests only; a late request waits behind all except
    // background requests.
    CHECK(expected_wait(queue, nested, 1, base::seconds(1), now) == base::seconds(2));
    CHECK(expected_wait(queue, late, 2, base::seconds(1), now) == base::milliseconds(2500));
}

// Guards against: urgent requests that could only end late were still taken while late ones were
// given up, waited, and were then given up as well; on the heaviest days of a busy service more
// requests ended late or refused for it.
TEST_CASE("while late requests are given up, those that would become late are refused",
          "[policy]") {
    slot_queue queue;
    waiting_request less_urgent = make_request(1, start);
    less_urgent.priority_ = 1;
    push(queue, less_urgent);
    const base::instant now = start + base::milliseconds(2300);
    REQUIRE(remove_infeasible(queue, now).size() == 1);
    push(queue, make_request(2, now));
    waiting_request arriving = make_request(3, now);
    const base::duration long_wait = base::milliseconds(1600);
    for (const int priority : {0, 1, 2}) {
        arriving.priority_ = priority;
        CHECK_FALSE(can_end_in_time(queue, arriving, long_wait, now));
        CHECK(can_end_in_time(queue, arriving, base::milliseconds(100), now));
    }
    // A late request gets a slot: some are left for late ones.
    CHECK(pop(queue, now + base::seconds(2))->id_ == 2);
    CHECK(can_end_in_time(queue, arriving, long_wait, now));
}

// Guards against: late urgent requests took the slots of requests that could still be on time.
TEST_CASE("a late urgent request waits for less urgent ones that are on time", "[policy]") {
    slot_queue queue;
    push(queue, make_request(1, start));
    std::uint64_t id = 1;
    const base::instant late_at = start + base::milliseconds(1800);
    for (int i = 0; i < 3; ++i) {
        waiting_request on_time = make_request(++id, late_at);
        on_time.priority_ = 1;
        push(queue, on_time);
    }
    CHECK(service_order(queue, late_at) == std::vector<std::uint64_t>{2, 3, 4, 1});
    // They go by priority again once all are late.
    CHECK(service_order(queue, late_at + base::seconds(2)) ==
          std::vector<std::uint64_t>{1, 2, 3, 4});
}

TEST_CASE("a queued request that cannot end before its deadline is removed", "[policy]") {
    const base::instant now = start + base::seconds(1);
    slot_queue queue;
    waiting_request infeasible = make_waiting(1, "a");
    infeasible.run_duration_ = base::milliseconds(500);
    infeasible.deadline_at_ = now + base::milliseconds(499);
    push(queue, infeasible);
    waiting_request in_time = infeasible;
    in_time.id_ = 2;
    in_time.deadline_at_ = now + base::milliseconds(500);
    push(queue, in_time);
    CHECK(remove_infeasible(queue, now) == std::vector<std::uint64_t>{1});
    CHECK(service_order(queue, now) == std::vector<std::uint64_t>{2});
}

// Guards against: a request that waited until its deadline was refused when its caller had already
// been told that its outcome is unknown.
TEST_CASE("a queued request is given up early enough for its refusal to reach the caller",
          "[policy]") {
    waiting_request request = make_waiting(1, "a");
    request.arrived_at_ = start;
    request.deadline_at_ = start + base::seconds(2);
    CHECK(latest_start(request) == request.deadline_at_ - max_refusal_margin);
    slot_queue queue;
    push(queue, request);
    CHECK(remove_infeasible(queue, latest_start(request)).empty());
    CHECK(remove_infeasible(queue, latest_start(request) + base::milliseconds(1)).size() == 1);
    SECTION("a run that takes longer than the refusal begins earlier") {
        request.run_duration_ = base::milliseconds(700);
        CHECK(latest_start(request) == request.deadline_at_ - base::milliseconds(700));
    }
    SECTION("a request with little time waits for most of it") {
        request.deadline_at_ = start + base::milliseconds(80);
        CHECK(latest_start(request) == start + base::milliseconds(60));
    }
}

TEST_CASE("a late request is given up once it has waited for longer than it still can",
          "[policy]") {
    slot_queue queue;
    push(queue, make_request(1, start));
    // The deadline leaves 4.5 s for the wait; half of that has passed at 2.25 s.
    CHECK(remove_infeasible(queue, start + base::milliseconds(2200)).empty());
    CHECK(remove_infeasible(queue, start + base::milliseconds(2300)) ==
          std::vector<std::uint64_t>{1});
    SECTION("nested and background requests, and those without an objective, wait on") {
        waiting_request nested = make_request(2, start);
        nested.nested_ = true;
        waiting_request background = make_request(3, start);
        background.background_ = true;
        waiting_request without_objective = make_request(4, start);
        without_objective.objective_at_ = base::instant::max();
        push(queue, nested);
        push(queue, background);
        push(queue, without_objective);
        CHECK(remove_infeasible(queue, start + base::seconds(4)).empty());
        CHECK(remove_infeasible(queue, start + base::milliseconds(4501)).size() == 3);
    }
}

TEST_CASE("head-of-line delay: a request is refused at once if those ahead wait for too long",
          "[policy]") {
    const base::instant now = start + base::seconds(4);
    slot_queue queue;
    waiting_request ahead = make_request(1, start);
    ahead.nested_ = true;
    push(queue, ahead);
    waiting_request arriving = make_request(2, now);
    // The one ahead has waited for 4 s; 4.5 s are left for the wait.
    CHECK(can_end_in_time(queue, arriving, base::duration::zero(), now));
    CHECK_FALSE(can_end_in_time(queue, arriving, base::milliseconds(4501), now));
    arriving.deadline_at_ = now + base::milliseconds(4400);
    CHECK_FALSE(can_end_in_time(queue, arriving, base::duration::zero(), now));
    // Nothing is ahead of a nested request but older nested ones.
    waiting_request background = make_request(3, start);
    background.background_ = true;
    slot_queue background_only;
    push(background_only, background);
    CHECK(can_end_in_time(background_only, arriving, base::duration::zero(), now));
}

TEST_CASE("a request that would become late is refused at once while late requests starve",
          "[policy]") {
    slot_queue queue;
    push(queue, make_request(1, start));
    const base::instant now = start + base::milliseconds(2300);
    const waiting_request arriving = make_request(2, now);
    const base::duration long_wait = base::milliseconds(1600);
    CHECK(can_end_in_time(queue, arriving, long_wait, now));
    REQUIRE(remove_infeasible(queue, now).size() == 1);
    push(queue, make_request(3, start + base::seconds(1)));
    CHECK_FALSE(can_end_in_time(queue, arriving, long_wait, now));
    // It may still wait for a time after which it is not late.
    CHECK(can_end_in_time(queue, arriving, base::milliseconds(1400), now));
    SECTION("until a late request is served") {
        waiting_request background = make_request(4, now);
        background.background_ = true;
        push(queue, background);
        push(queue, make_request(5, now));
        const base::instant later = start + base::milliseconds(2600);
        CHECK(pop(queue, later)->id_ == 5);
        CHECK_FALSE(can_end_in_time(queue, make_request(6, later), long_wait, later));
        CHECK(pop(queue, later)->id_ == 3);
        CHECK(can_end_in_time(queue, make_request(6, later), long_wait, later));
    }
    SECTION("until the queue is empty") {
        CHECK(pop(queue, now)->id_ == 3);
        CHECK(can_end_in_time(queue, arriving, long_wait, now));
    }
}
