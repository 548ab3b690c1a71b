// Reads whose response was lost, while the retry budget is used up or their target lives on.
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "support/plans.h"

using namespace dandelionridge::support;

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Longer than the wait for the status of an attempt whose link was lost.
constexpr milliseconds past_status_wait(2500);

// Longer than the pings on a link go on after its last frame.
constexpr milliseconds idle_time(1000);

bool log_contains(const fleet& fleet, const std::string& host, const std::string& text) {
    return fleet.log_of(host).find(text) != std::string::npos;
}

// Returns a plan with a caller proxy h1 and two targets, which it reaches through relays.
fleet_plan two_targets(const std::string& options, const std::string& retries) {
    fleet_plan plan = orders_plan({"z1", "z1", "z1"}, {"h2", "h3"}, options);
    plan.relayed_hosts_ = {"h2", "h3"};
    plan.extra_settings_ = "freshness = lenient\n[retries]\n" + retries;
    return plan;
}

// Where a read runs, and the target that does not run it.
struct read_place {
    std::string host_;
    std::string other_target_;
};

read_place place_of_first_read(fleet& fleet) {
    const bool at_first = fleet.target("t1").total_runs() > 0;
    return at_first ? read_place{"h2", "t2"} : read_place{"h3", "t1"};
}

// Sends a read through h1 that hangs at its target, and puts that host out of reach during the run.
std::future<caller_response> lose_read(fleet& fleet, const std::string& id) {
    fleet.target("t1").set({.mode_ = target_mode::hang});
    fleet.target("t2").set({.mode_ = target_mode::hang});
    auto read = send_in_background(order_request(fleet, "h1", id, "GET"));
    REQUIRE(wait_for([&] { return fleet.runs_of(id) > 0; }));
    const read_place place = place_of_first_read(fleet);
    fleet.target(place.other_target_).set({});
    fleet.relay_of(place.host_).refuse_new_links(true);
    fleet.relay_of(place.host_).hold_open_links(relay_direction::to_caller_proxy);
    REQUIRE(wait_for([&] { return log_contains(fleet, "h1", "link_lost"); }));
    return read;
}

}  // namespace

// Guards against: a read whose response was lost was answered with 504 after two seconds, as no
// budget was left then, although it grew soon after and another target was idle.
TEST_CASE("a read whose response is lost waits for the retry budget", "[retry-wait]") {
    // Each read adds less than one retry to the budget, which is empty at first.
    fleet fleet(two_targets("slots=5 timeout=20s", "ratio = 1\nslack = 0\n"));
    fleet.start_all();
    auto read = lose_read(fleet, "a");
    const std::string other_target = place_of_first_read(fleet).other_target_;
    std::this_thread::sleep_for(past_status_wait);
    CHECK(fleet.runs_of("a") == 1);
    caller caller;
    for (int i = 0; i < 8; ++i) {
        CHECK(caller.send(order_request(fleet, "h1", std::to_string(i), "GET")).status_ == 200);
    }
    const caller_response response = read.get();
    CHECK(response.status_ == 200);
    CHECK(response.body_.starts_with(other_target + " "));
    CHECK(fleet.runs_of("a") == 2);
}

// Guards against: a read whose target's process was killed was answered with 504 as soon as the
// process was back without a record of it, as no budget was left then.
TEST_CASE("a read whose target proxy was restarted waits for the retry budget", "[retry-wait]") {
    fleet fleet(two_targets("slots=5 timeout=20s", "ratio = 1\nslack = 0\n"));
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::hang});
    fleet.target("t2").set({.mode_ = target_mode::hang});
    auto read = send_in_background(order_request(fleet, "h1", "a", "GET"));
    REQUIRE(wait_for([&] { return fleet.runs_of("a") > 0; }));
    const read_place place = place_of_first_read(fleet);
    fleet.kill(place.host_);
    fleet.start(place.host_);
    fleet.target("t1").set({});
    fleet.target("t2").set({});
    std::this_thread::sleep_for(past_status_wait);
    caller caller;
    for (int i = 0; i < 8; ++i) {
        CHECK(caller.send(order_request(fleet, "h1", std::to_string(i), "GET")).status_ == 200);
    }
    CHECK(read.get().status_ == 200);
    CHECK(fleet.runs_of("a") == 2);
}

// Guards against: a read that waits for the retry budget was held to its deadline, although another
// attempt could no longer end in time.
TEST_CASE("a read that waits for the retry budget ends when no attempt can", "[retry-wait]") {
    constexpr milliseconds run(1500);
    constexpr milliseconds timeout(6000);
    // The budget never allows a whole retry within the test.
    fleet fleet(two_targets("slots=5 timeout=6s", "ratio = 0.01\nslack = 0\n"));
    fleet.start_all();
    fleet.target("t1").set({.delay_ = run});
    fleet.target("t2").set({.delay_ = run});
    // The processes learn how long runs take.
    constexpr int read_count = 6;
    std::vector<std::future<caller_response>> reads;
    reads.reserve(read_count);
    for (int i = 0; i < read_count; ++i) {
        reads.push_back(send_in_background(order_request(fleet, "h1", std::to_string(i), "GET")));
    }
    for (std::future<caller_response>& pending : reads) {
        CHECK(pending.get().status_ == 200);
    }
    REQUIRE(fleet.target("t1").total_runs() > 0);
    REQUIRE(fleet.target("t2").total_runs() > 0);
    const auto begin = steady_clock::now();
    auto read = send_in_background(order_request(fleet, "h1", "a", "GET"));
    REQUIRE(wait_for([&] { return fleet.runs_of("a") > 0; }));
    const std::string host = fleet.target("t1").in_flight() > 0 ? "h2" : "h3";
    fleet.relay_of(host).refuse_new_links(true);
    fleet.relay_of(host).hold_open_links(relay_direction::to_caller_proxy);
    const caller_response response = read.get();
    const auto elapsed = steady_clock::now() - begin;
    CHECK(response.status_ == 504);
    CHECK(elapsed > timeout - run - std::chrono::seconds(1));
    CHECK(elapsed < timeout - run / 2);
    CHECK(fleet.runs_of("a") == 1);
}

// Guards against: a read was held to its deadline although no retry could ever be allowed.
TEST_CASE("a read whose response is lost is not held if no retry is allowed", "[retry-wait]") {
    fleet fleet(two_targets("slots=5 timeout=20s", "ratio = 0\nslack = 0\n"));
    fleet.start_all();
    const auto begin = steady_clock::now();
    CHECK(lose_read(fleet, "a").get().status_ == 504);
    CHECK(steady_clock::now() - begin < std::chrono::seconds(8));
}

// Guards against: a host that was to stop held a read that waited for the retry budget past the
// time by which it must have responded.
TEST_CASE("a stopping host answers a read that waits for the retry budget", "[retry-wait]") {
    fleet_plan plan = two_targets("slots=5 timeout=30s", "ratio = 0.01\nslack = 0\n");
    plan.extra_settings_ = "drain_bound = 6s\n" + plan.extra_settings_;
    fleet fleet(plan);
    fleet.start_all();
    auto read = lose_read(fleet, "a");
    const auto begin = steady_clock::now();
    fleet.host("h1").send_signal(SIGTERM);
    const caller_response response = read.get();
    CHECK(response.status_ == 504);
    CHECK(response.complete_);
    CHECK(steady_clock::now() - begin < std::chrono::seconds(6));
    CHECK(fleet.host("h1").wait() == 0);
}

// Guards against: as soon as the link to a sound host was lost, a retry was claimed for each read
// on it, whose response that host still had.
TEST_CASE("the response to a read whose link breaks is requested before a retry is claimed",
          "[retry-wait]") {
    fleet fleet(two_targets("slots=5 timeout=20s", "ratio = 1\nslack = 100\n"));
    fleet.start_all();
    caller caller;
    REQUIRE(caller.send(order_request(fleet, "h1", "warm", "GET")).status_ == 200);
    // The frame that begins a response is far longer than all others together, and does not pass.
    const target_behaviour long_head{.headers_ = {{"content-type", std::string(8000, 'x')}}};
    fleet.target("t1").set(long_head);
    fleet.target("t2").set(long_head);
    std::this_thread::sleep_for(idle_time);
    fleet.relay_of("h2").cut_open_links_after(4000);
    fleet.relay_of("h3").cut_open_links_after(4000);
    CHECK(caller.send(order_request(fleet, "h1", "a", "GET")).status_ == 200);
    CHECK(log_contains(fleet, "h1", R"("in_doubt":"1")"));
    CHECK_FALSE(log_contains(fleet, "h1", R"("event":"retried")"));
    CHECK(fleet.runs_of("a") == 1);
}

// Guards against: a read on a route that allows one attempt was answered with 504 when its response
// was lost with its link, although its target was idle again and the budget allowed a retry.
TEST_CASE("a read whose only attempt was lost is sent to the same target once more",
          "[retry-wait]") {
    fleet_plan plan = orders_plan({"z1", "z1"}, {"h2"}, "slots=5 timeout=20s");
    plan.rules_.back() = "route orders match=*/orders service=orders attempts=1 # the test";
    plan.extra_settings_ = "[retries]\nratio = 1\nslack = 100\n";
    fleet fleet(plan);
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::hang});
    auto read = send_in_background(order_request(fleet, "h1", "a", "GET"));
    REQUIRE(wait_for([&] { return fleet.runs_of("a") > 0; }));
    fleet.target("t1").set({});
    fleet.kill("h2");
    fleet.start("h2");
    CHECK(read.get().status_ == 200);
    CHECK(fleet.runs_of("a") == 2);
}
