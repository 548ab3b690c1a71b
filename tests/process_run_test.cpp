// Requests run at most once and "not_run" is always correct, with real processes that are killed or
// frozen and links that stall.
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <thread>

#include "support/plans.h"

using namespace dandelionridge::support;

namespace {

constexpr const char* long_timeout_options = "slots=5 timeout=20s";
constexpr const char* one_slot_options = "slots=1 timeout=20s";
constexpr const char* short_timeout_options = "slots=5 timeout=4s";

bool has_run(const fleet& fleet, const std::string& id) {
    return fleet.runs_of(id) > 0;
}

// Opens the link from h1 to the target's host by a first request.
void warm_up(const fleet& fleet) {
    caller caller;
    REQUIRE(caller.send(order_request(fleet, "h1", "warm", "GET")).status_ == 200);
}

}  // namespace

TEST_CASE("requests whose target proxy is killed have outcome unknown and are not retried",
          "[promise-at-most-once]") {
    fleet fleet(orders_plan({"z1", "z2", "z3"}, {"h2"}, one_slot_options));
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::hang});
    auto first = send_in_background(order_request(fleet, "h1", "a", "POST"));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    auto waiting = send_in_background(order_request(fleet, "h1", "b", "POST"));
    REQUIRE(wait_for([&] { return fleet.status_number("h2", "/guard/open") == 2; }));
    fleet.kill("h2");
    fleet.target("t1").set({});
    fleet.start("h2");
    CHECK(first.get().outcome() == "unknown");
    // The record of the target proxy is lost with it, so nothing can prove that the request did not
    // run.
    CHECK(waiting.get().outcome() == "unknown");
    CHECK(fleet.runs_of("a") == 1);
    CHECK(fleet.runs_of("b") == 0);
}

TEST_CASE("a request is not retried if its target proxy is killed before the response",
          "[promise-at-most-once]") {
    fleet fleet(orders_plan({"z1", "z1", "z2"}, {"h2", "h3"}, long_timeout_options));
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::hang});
    auto pending_response = send_in_background(order_request(fleet, "h1", "a", "POST"));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    fleet.kill("h2");
    fleet.start("h2");
    // Another target is available, but the request may have run, so it is not retried.
    CHECK(pending_response.get().outcome() == "unknown");
    CHECK(fleet.runs_of("a") == 1);
}

TEST_CASE("a running request whose caller proxy is killed runs once", "[promise-at-most-once]") {
    fleet fleet(orders_plan({"z1", "z2"}, {"h2"}, long_timeout_options));
    fleet.start_all();
    fleet.target("t1").set({.delay_ = std::chrono::milliseconds(500)});
    auto pending_response = send_in_background(order_request(fleet, "h1", "a", "POST"));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    fleet.kill("h1");
    CHECK_FALSE(pending_response.get().complete_);
    CHECK(wait_for([&] { return fleet.status_number("h2", "/guard/open") == 0; }));
    CHECK(fleet.runs_of("a") == 1);
}

TEST_CASE("a target proxy that was frozen does not run a request that has timed out",
          "[promise-at-most-once]") {
    fleet fleet(orders_plan({"z1", "z2"}, {"h2"}, short_timeout_options));
    fleet.start_all();
    warm_up(fleet);
    fleet.host("h2").send_signal(SIGSTOP);
    caller caller;
    const auto response = caller.send(order_request(fleet, "h1", "late", "POST"));
    CHECK(response.outcome() == "unknown");
    fleet.host("h2").send_signal(SIGCONT);
    REQUIRE(wait_for([&] { return fleet.status_number("h2", "/pauses") >= 1; }));
    REQUIRE(wait_for(
        [&] { return caller.send(order_request(fleet, "h1", "after", "GET")).status_ == 200; }));
    CHECK(fleet.status_number("h2", "/guard/open") == 0);
    CHECK(fleet.runs_of("late") == 0);
}

TEST_CASE("a target proxy that was frozen past all deadlines survives and runs no queued request",
          "[promise-at-most-once]") {
    fleet fleet(orders_plan({"z1", "z2"}, {"h2"}, "slots=1 timeout=4s"));
    constexpr auto service_timeout = std::chrono::seconds(4);
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::hang});
    std::vector<std::future<caller_response>> pending_responses;
    pending_responses.push_back(send_in_background(order_request(fleet, "h1", "runs", "POST")));
    REQUIRE(wait_for([&] { return has_run(fleet, "runs"); }));
    const std::vector<std::string> waiting = {"a", "b", "c"};
    for (const std::string& id : waiting) {
        pending_responses.push_back(send_in_background(order_request(fleet, "h1", id, "POST")));
    }
    REQUIRE(wait_for([&] { return fleet.status_number("h2", "/guard/open") == 4; }));
    fleet.host("h2").send_signal(SIGSTOP);
    const auto max_deadline = std::chrono::steady_clock::now() + service_timeout;
    for (auto& pending_response : pending_responses) {
        CHECK(pending_response.get().outcome() == "unknown");
    }
    std::this_thread::sleep_until(max_deadline);
    fleet.host("h2").send_signal(SIGCONT);
    fleet.target("t1").set({});
    REQUIRE(wait_for([&] { return fleet.status_number("h2", "/pauses") >= 1; }));
    CHECK_FALSE(fleet.host("h2").ended());
    caller caller;
    REQUIRE(wait_for(
        [&] { return caller.send(order_request(fleet, "h1", "after", "GET")).status_ == 200; }));
    CHECK(fleet.status_number("h2", "/guard/open") == 0);
    for (const std::string& id : waiting) {
        CHECK(fleet.runs_of(id) == 0);
    }
}

TEST_CASE("a request on a link stalled towards the target proxy is not_run", "[promise-not-run]") {
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, long_timeout_options);
    plan.relayed_hosts_ = {"h2"};
    fleet fleet(plan);
    fleet.start_all();
    warm_up(fleet);
    fleet.relay_of("h2").hold_open_links(relay_direction::to_target_proxy);
    caller caller;
    const auto response = caller.send(order_request(fleet, "h1", "a", "POST"));
    // The target proxy no longer accepts attempts of the stalled link, so the request certainly did
    // not run.
    CHECK(response.outcome() == "not_run");
    fleet.relay_of("h2").release();
    CHECK(caller.send(order_request(fleet, "h1", "b", "POST")).status_ == 200);
    CHECK(fleet.runs_of("a") == 0);
    CHECK(fleet.runs_of("b") == 1);
}

TEST_CASE("a response on a link stalled towards the caller proxy is sent on a new link",
          "[promise-at-most-once]") {
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, long_timeout_options);
    plan.relayed_hosts_ = {"h2"};
    fleet fleet(plan);
    fleet.start_all();
    warm_up(fleet);
    fleet.relay_of("h2").hold_open_links(relay_direction::to_caller_proxy);
    caller caller;
    const auto response = caller.send(order_request(fleet, "h1", "a", "POST"));
    // The request ran; its response is sent again on a new link.
    CHECK(response.status_ == 200);
    CHECK(response.body_.starts_with("t1 POST /orders/a "));
    CHECK(fleet.runs_of("a") == 1);
    fleet.relay_of("h2").release();
    CHECK(caller.send(order_request(fleet, "h1", "b", "POST")).status_ == 200);
}

// Guards against: a run that ended well was answered with 504, because its link had been lost two
// seconds before.
TEST_CASE("the response of a run whose link was lost is awaited until the deadline",
          "[promise-at-most-once]") {
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, long_timeout_options);
    plan.relayed_hosts_ = {"h2"};
    fleet fleet(plan);
    fleet.start_all();
    warm_up(fleet);
    fleet.target("t1").set({.delay_ = std::chrono::seconds(5)});
    auto order = send_in_background(order_request(fleet, "h1", "a", "POST"));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    fleet.relay_of("h2").hold_open_links(relay_direction::to_caller_proxy);
    CHECK(order.get().status_ == 200);
    CHECK(fleet.runs_of("a") == 1);
    fleet.relay_of("h2").release();
}

TEST_CASE("a request has outcome unknown if its link stalls and no new one can be opened",
          "[promise-at-most-once]") {
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, short_timeout_options);
    plan.relayed_hosts_ = {"h2"};
    fleet fleet(plan);
    fleet.start_all();
    warm_up(fleet);
    fleet.relay_of("h2").hold_open_links(relay_direction::to_target_proxy);
    fleet.relay_of("h2").refuse_new_links(true);
    caller caller;
    CHECK(caller.send(order_request(fleet, "h1", "a", "POST")).outcome() == "unknown");
    fleet.relay_of("h2").refuse_new_links(false);
    fleet.relay_of("h2").release();
    REQUIRE(wait_for(
        [&] { return caller.send(order_request(fleet, "h1", "b", "GET")).status_ == 200; }));
    CHECK(fleet.runs_of("a") <= 1);
}

TEST_CASE("a stalled link does not delay an idempotent request", "[promise-whole-answer]") {
    fleet_plan plan = orders_plan({"z1", "z2", "z1"}, {"h2", "h3"}, long_timeout_options);
    plan.relayed_hosts_ = {"h3"};
    fleet fleet(plan);
    fleet.start_all();
    warm_up(fleet);
    fleet.relay_of("h3").hold_open_links(relay_direction::to_target_proxy);
    fleet.relay_of("h3").refuse_new_links(true);
    caller caller;
    const auto response = caller.send(order_request(fleet, "h1", "a", "GET"));
    CHECK(response.status_ == 200);
    CHECK(response.body_.starts_with("t1 "));
}

// Guards against: a read whose link was lost while the retry budget was used up got a 504 two
// seconds later, although the budget had grown by then and another target was idle.
TEST_CASE("a read whose link is lost goes to another target once the retry budget allows it",
          "[promise-whole-answer][retry-budget]") {
    fleet_plan plan = orders_plan({"z1", "z1", "z1"}, {"h2", "h3"}, long_timeout_options);
    plan.relayed_hosts_ = {"h2", "h3"};
    // Each read adds less than one retry to the budget, which is empty at first.
    plan.extra_settings_ = "[retries]\nratio = 1\nslack = 0\n";
    fleet fleet(plan);
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::hang});
    fleet.target("t2").set({.mode_ = target_mode::hang});
    auto read = send_in_background(order_request(fleet, "h1", "a", "GET"));
    REQUIRE(wait_for([&] { return has_run(fleet, "a"); }));
    const bool first_runs_it = fleet.target("t1").total_runs() > 0;
    const std::string lost_host = first_runs_it ? "h2" : "h3";
    const std::string other_target = first_runs_it ? "t2" : "t1";
    fleet.target(other_target).set({});
    fleet.relay_of(lost_host).refuse_new_links(true);
    fleet.relay_of(lost_host).hold_open_links(relay_direction::to_caller_proxy);
    REQUIRE(wait_for([&] { return fleet.log_of("h1").find("link_lost") != std::string::npos; }));
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

// Guards against: a read that was sent to another target after a wait for the status of its attempt
// was ended with 504 when that wait would have ended, long before its own deadline.
TEST_CASE("a read keeps its deadline after a wait for the status of an attempt",
          "[promise-whole-answer]") {
    fleet_plan plan = orders_plan({"z1", "z2", "z1"}, {"h2", "h3"}, long_timeout_options);
    plan.relayed_hosts_ = {"h3"};
    // Without a retry budget, only an attempt that did not run is followed by another one.
    plan.extra_settings_ = "[retries]\nratio = 0\nslack = 0\n";
    fleet fleet(plan);
    fleet.start_all();
    warm_up(fleet);
    fleet.relay_of("h3").hold_open_links(relay_direction::to_target_proxy);
    fleet.target("t1").set({.delay_ = std::chrono::seconds(4)});
    caller caller;
    const auto response = caller.send(order_request(fleet, "h1", "a", "GET"));
    REQUIRE(fleet.log_of("h1").find("attempt_resolved") != std::string::npos);
    CHECK(response.status_ == 200);
    CHECK(response.body_.starts_with("t1 "));
    CHECK(fleet.runs_of("a") == 1);
}

TEST_CASE("a request whose target closes the connection during the run is not retried",
          "[promise-at-most-once]") {
    fleet fleet(orders_plan({"z1", "z2"}, {"h2", "h1"}, long_timeout_options));
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::close_after_run});
    fleet.target("t2").set({.mode_ = target_mode::close_after_run});
    caller caller;
    CHECK(caller.send(order_request(fleet, "h1", "a", "POST")).outcome() == "unknown");
    CHECK(fleet.runs_of("a") == 1);
}

TEST_CASE("without a reachable target the outcome is not_run", "[promise-not-run]") {
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, short_timeout_options);
    fleet fleet(plan);
    fleet.start("h1");
    caller caller;
    const auto response = caller.send(order_request(fleet, "h1", "a", "POST"));
    CHECK(response.outcome() == "not_run");
    CHECK(response.reason() == "no_target");
    CHECK(fleet.runs_of("a") == 0);
}
