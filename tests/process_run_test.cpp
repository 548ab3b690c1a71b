// At most once, and a true "not run", through real processes under kills, freezes and cuts.
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <thread>

#include "support/plans.h"

using namespace dandelionridge::support;

namespace {

constexpr const char* patient = "slots=5 timeout=20s";
constexpr const char* one_slot = "slots=1 timeout=20s";
constexpr const char* hasty = "slots=5 timeout=4s";

bool ran(const fleet& fleet, const std::string& id) {
    return fleet.runs_of(id) > 0;
}

// Opens the link from h1 to the target's host.
void warm_up(const fleet& fleet) {
    caller caller;
    REQUIRE(caller.send(order_request(fleet, "h1", "warm", "GET")).status_ == 200);
}

}  // namespace

TEST_CASE("guard killed while the order waits for a slot", "[promise-at-most-once]") {
    fleet fleet(orders_plan({"z1", "z2", "z3"}, {"h2"}, one_slot));
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::hang});
    auto first = send_in_background(order_request(fleet, "h1", "a", "POST"));
    REQUIRE(wait_for([&] { return ran(fleet, "a"); }));
    auto waiting = send_in_background(order_request(fleet, "h1", "b", "POST"));
    REQUIRE(wait_for([&] { return fleet.status_number("h2", "/guard/open") == 2; }));
    fleet.kill("h2");
    fleet.target("t1").set({});
    fleet.start("h2");
    CHECK(first.get().outcome() == "unknown");
    // Its guard is gone with its record: nobody can vouch that it did not run.
    CHECK(waiting.get().outcome() == "unknown");
    CHECK(fleet.runs_of("a") == 1);
    CHECK(fleet.runs_of("b") == 0);
}

TEST_CASE("guard killed after the run, before the answer", "[promise-at-most-once]") {
    fleet fleet(orders_plan({"z1", "z1", "z2"}, {"h2", "h3"}, patient));
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::hang});
    auto answer = send_in_background(order_request(fleet, "h1", "a", "POST"));
    REQUIRE(wait_for([&] { return ran(fleet, "a"); }));
    fleet.kill("h2");
    fleet.start("h2");
    // Another target is at hand, but the order may have run: it is not sent again.
    CHECK(answer.get().outcome() == "unknown");
    CHECK(fleet.runs_of("a") == 1);
}

TEST_CASE("entry killed while its order runs", "[promise-at-most-once]") {
    fleet fleet(orders_plan({"z1", "z2"}, {"h2"}, patient));
    fleet.start_all();
    fleet.target("t1").set({.delay_ = std::chrono::milliseconds(500)});
    auto answer = send_in_background(order_request(fleet, "h1", "a", "POST"));
    REQUIRE(wait_for([&] { return ran(fleet, "a"); }));
    fleet.kill("h1");
    CHECK_FALSE(answer.get().complete_);
    CHECK(wait_for([&] { return fleet.status_number("h2", "/guard/open") == 0; }));
    CHECK(fleet.runs_of("a") == 1);
}

TEST_CASE("guard frozen, and thawed after the entry gave up", "[promise-at-most-once]") {
    fleet fleet(orders_plan({"z1", "z2"}, {"h2"}, hasty));
    fleet.start_all();
    warm_up(fleet);
    fleet.host("h2").send_signal(SIGSTOP);
    caller caller;
    const auto answer = caller.send(order_request(fleet, "h1", "late", "POST"));
    CHECK(answer.outcome() == "unknown");
    fleet.host("h2").send_signal(SIGCONT);
    REQUIRE(wait_for([&] { return fleet.status_number("h2", "/pauses") >= 1; }));
    REQUIRE(wait_for(
        [&] { return caller.send(order_request(fleet, "h1", "after", "GET")).status_ == 200; }));
    CHECK(fleet.status_number("h2", "/guard/open") == 0);
    CHECK(fleet.runs_of("late") == 0);
}

TEST_CASE("guard frozen past the deadlines of what runs and of what waits",
          "[promise-at-most-once]") {
    fleet fleet(orders_plan({"z1", "z2"}, {"h2"}, "slots=1 timeout=4s"));
    constexpr auto deadline = std::chrono::seconds(4);
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::hang});
    std::vector<std::future<caller_response>> answers;
    answers.push_back(send_in_background(order_request(fleet, "h1", "runs", "POST")));
    REQUIRE(wait_for([&] { return ran(fleet, "runs"); }));
    const std::vector<std::string> waiting = {"a", "b", "c"};
    for (const std::string& id : waiting) {
        answers.push_back(send_in_background(order_request(fleet, "h1", id, "POST")));
    }
    REQUIRE(wait_for([&] { return fleet.status_number("h2", "/guard/open") == 4; }));
    fleet.host("h2").send_signal(SIGSTOP);
    const auto passed = std::chrono::steady_clock::now() + deadline;
    for (auto& answer : answers) {
        CHECK(answer.get().outcome() == "unknown");
    }
    std::this_thread::sleep_until(passed);
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

TEST_CASE("a link goes silent towards the guard while new ones work", "[promise-not-run]") {
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, patient);
    plan.relayed_hosts_ = {"h2"};
    fleet fleet(plan);
    fleet.start_all();
    warm_up(fleet);
    fleet.relay_of("h2").hold_open_links(relay_direction::to_target_proxy);
    caller caller;
    const auto answer = caller.send(order_request(fleet, "h1", "a", "POST"));
    // The guard has barred it: that it did not run is certain.
    CHECK(answer.outcome() == "not_run");
    fleet.relay_of("h2").release();
    CHECK(caller.send(order_request(fleet, "h1", "b", "POST")).status_ == 200);
    CHECK(fleet.runs_of("a") == 0);
    CHECK(fleet.runs_of("b") == 1);
}

TEST_CASE("a link goes silent towards the entry while new ones work", "[promise-at-most-once]") {
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, patient);
    plan.relayed_hosts_ = {"h2"};
    fleet fleet(plan);
    fleet.start_all();
    warm_up(fleet);
    fleet.relay_of("h2").hold_open_links(relay_direction::to_caller_proxy);
    caller caller;
    const auto answer = caller.send(order_request(fleet, "h1", "a", "POST"));
    // It ran; its answer is sent again on the new link.
    CHECK(answer.status_ == 200);
    CHECK(answer.body_.starts_with("t1 POST /orders/a "));
    CHECK(fleet.runs_of("a") == 1);
    fleet.relay_of("h2").release();
    CHECK(caller.send(order_request(fleet, "h1", "b", "POST")).status_ == 200);
}

TEST_CASE("a link goes silent for good and no new one can be opened", "[promise-at-most-once]") {
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, hasty);
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

TEST_CASE("a silent link does not hold up an idempotent request", "[promise-whole-answer]") {
    fleet_plan plan = orders_plan({"z1", "z2", "z1"}, {"h2", "h3"}, patient);
    plan.relayed_hosts_ = {"h3"};
    fleet fleet(plan);
    fleet.start_all();
    warm_up(fleet);
    fleet.relay_of("h3").hold_open_links(relay_direction::to_target_proxy);
    fleet.relay_of("h3").refuse_new_links(true);
    caller caller;
    const auto answer = caller.send(order_request(fleet, "h1", "a", "GET"));
    CHECK(answer.status_ == 200);
    CHECK(answer.body_.starts_with("t1 "));
}

TEST_CASE("target dies in the middle of the run", "[promise-at-most-once]") {
    fleet fleet(orders_plan({"z1", "z2"}, {"h2", "h1"}, patient));
    fleet.start_all();
    fleet.target("t1").set({.mode_ = target_mode::close_after_run});
    fleet.target("t2").set({.mode_ = target_mode::close_after_run});
    caller caller;
    CHECK(caller.send(order_request(fleet, "h1", "a", "POST")).outcome() == "unknown");
    CHECK(fleet.runs_of("a") == 1);
}

TEST_CASE("no target listens: not run, and true", "[promise-not-run]") {
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, hasty);
    fleet fleet(plan);
    fleet.start("h1");
    caller caller;
    const auto answer = caller.send(order_request(fleet, "h1", "a", "POST"));
    CHECK(answer.outcome() == "not_run");
    CHECK(answer.reason() == "no_target");
    CHECK(fleet.runs_of("a") == 0);
}
