// A target that names the rate of requests that it takes is kept to it.
#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "base/random.h"
#include "policy/balance.h"
#include "policy/slot_queue.h"
#include "policy/target_rate.h"

using namespace dandelionridge;
using namespace dandelionridge::policy;

namespace {

const base::instant start{base::seconds(1000)};

// What operators allow a target to get in any window: one and a half times its limit, and 5.
constexpr base::duration window = base::seconds(4);
std::size_t allowed_in_window(double limit) {
    return static_cast<std::size_t>(1.5 * limit * 4 + 5);
}

std::size_t most_in_window(const std::vector<base::instant>& times) {
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto last = std::upper_bound(first, times.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

// Sends whatever may be sent, every 10 ms from `from` to `to`.
void send_all(target_rate& rate, base::instant from, base::instant to,
              std::vector<base::instant>& sent) {
    for (base::instant now = from; now < to; now += base::milliseconds(10)) {
        while (rate.limit_ && may_send(rate, now)) {
            record_sent(rate, now);
            sent.push_back(now);
        }
    }
}

}  // namespace

TEST_CASE("a target gets no more than the rate that it names, and not much less", "[policy]") {
    for (const double limit : {0.0, 0.3, 1.0, 2.2, 4.2, 30.0, 500.0}) {
        INFO(limit);
        target_rate rate;
        CHECK(may_send(rate, start));
        CHECK(apply_response(rate, limit, start));
        CHECK_FALSE(apply_response(rate, limit, start));
        std::vector<base::instant> sent;
        send_all(rate, start, start + base::seconds(20), sent);
        CHECK(most_in_window(sent) <= allowed_in_window(limit));
        CHECK(static_cast<double>(sent.size()) >= 0.95 * limit * 20);
        // It always gets some, since only a response can end the limit.
        CHECK(sent.size() >= 10);
    }
}

TEST_CASE("a limit that changes, or comes and goes, gives no further burst", "[policy]") {
    base::random_engine random(7);
    target_rate rate;
    std::vector<base::instant> sent;
    base::instant now = start;
    for (int step = 0; step < 400; ++step) {
        apply_response(rate, std::nullopt, now);
        const double limit = 2 + static_cast<double>(base::random_below(random, 100)) / 100;
        apply_response(rate, limit, now);
        send_all(rate, now, now + base::milliseconds(50), sent);
        now += base::milliseconds(50);
    }
    CHECK(most_in_window(sent) <= allowed_in_window(2));
    CHECK(apply_response(rate, std::nullopt, now));
    CHECK(may_send(rate, now));
    CHECK(rate_wait(rate, 100, now) == base::duration::zero());
}

TEST_CASE("a hint applies until the target's first response", "[policy]") {
    target_rate rate;
    CHECK(apply_hint(rate, 2, start));
    CHECK(rate.limit_ == 2);
    CHECK(apply_response(rate, 3, start));
    CHECK_FALSE(apply_hint(rate, 2, start));
    CHECK(apply_response(rate, std::nullopt, start));
    CHECK_FALSE(apply_hint(rate, 2, start));
    CHECK_FALSE(rate.limit_);
}

TEST_CASE("the wait for the rate grows with the requests ahead", "[policy]") {
    target_rate rate;
    apply_response(rate, 2, start);
    CHECK(rate_wait(rate, 0, start) == base::duration::zero());
    record_sent(rate, start);
    CHECK(rate_wait(rate, 0, start) == base::milliseconds(500));
    CHECK(rate_wait(rate, 3, start) == base::milliseconds(2000));
    CHECK(rate_wait(rate, 3, start + base::milliseconds(500)) == base::milliseconds(1500));
}

TEST_CASE("a limit leaves as many slots in use as requests run at that rate", "[policy]") {
    CHECK(usable_slots(std::nullopt, 5, base::seconds(1)) == 5);
    CHECK(usable_slots(2, 5, base::seconds(1)) == 2);
    CHECK(usable_slots(2, 5, base::milliseconds(100)) == 1);
    CHECK(usable_slots(100, 5, base::seconds(1)) == 5);
    CHECK(usable_slots(2, 5, base::duration::zero()) == 5);
}

// Answers a few slow targets among many: requests go where the rate leaves room, and do not wait
// until their deadline at a target whose slots look free.
TEST_CASE("the expected delay at a target grows as its rate says", "[policy]") {
    candidate target;
    target.slots_ = 1;
    const choice_criteria criteria;
    const base::duration run = base::milliseconds(500);
    const base::duration idle = expected_delay(target, criteria, run);
    target.rate_limit_ = 1;
    CHECK(expected_delay(target, criteria, run) == idle);
    target.load_ = 4;
    CHECK(expected_delay(target, criteria, run) >= base::seconds(4));
    target.rate_limit_ = 100;
    CHECK(expected_delay(target, criteria, run) < base::seconds(4));
}

// Answers the load of a target that falls far behind its queue: what it cannot serve in time is
// refused at once.
TEST_CASE("waiting requests that the rate makes late are removed, the last ones first",
          "[policy]") {
    slot_queue queue;
    for (std::uint64_t id = 1; id <= 6; ++id) {
        waiting_request request;
        request.id_ = id;
        request.organisation_ = "o" + std::to_string(id);
        request.arrived_at_ = start + base::milliseconds(id);
        request.deadline_at_ = start + base::seconds(3);
        request.run_duration_ = base::milliseconds(500);
        push(queue, request);
    }
    target_rate rate;
    apply_response(rate, 1, start);
    record_sent(rate, start);
    const auto wait_of = [&](std::size_t ahead) { return rate_wait(rate, ahead, start); };
    // The first two wait 1 s and 2 s, the third would wait 3 s.
    CHECK(remove_late(queue, wait_of, start) == std::vector<std::uint64_t>{3, 4, 5, 6});
    CHECK(queue.waiting_.size() == 2);
    CHECK(remove_late(queue, wait_of, start).empty());
}
