// Leaving targets and planned stops under load.
#include <catch2/catch.hpp>
#include <csignal>

#include "support/plans.h"
#include "support/traffic.h"

using namespace dandelionridge::support;

namespace {

constexpr std::uint64_t requests_a_phase = 300;

bool let_pass(const traffic& traffic) {
    const std::uint64_t until = traffic.requests() + requests_a_phase;
    return wait_for([&] { return traffic.requests() >= until; });
}

traffic_plan orders_traffic(const std::vector<std::string>& entries) {
    traffic_plan plan;
    plan.keys_ = {bends_key, bends_key};
    plan.caller_proxies_ = entries;
    plan.read_service_ = "orders";
    plan.post_service_ = "orders";
    plan.download_service_ = "orders";
    return plan;
}

}  // namespace

TEST_CASE("a planned stop under load cuts no request", "[promise-planned-stop]") {
    fleet fleet(orders_plan({"z1", "z1", "z2"}, {"h1", "h2", "h3"}, "slots=20 timeout=20s"));
    fleet.start_all();
    for (const char* target : {"t1", "t2", "t3"}) {
        fleet.target(target).set({.delay_ = std::chrono::milliseconds(20)});
    }
    traffic traffic(fleet, orders_traffic({"h1", "h2", "h3"}));
    REQUIRE(let_pass(traffic));
    fleet.host("h2").send_signal(SIGTERM);
    CHECK(fleet.host("h2").wait() == 0);
    REQUIRE(let_pass(traffic));
    const traffic_counts counts = traffic.finish();
    for (const std::string& complaint : traffic.violations()) {
        UNSCOPED_INFO(complaint);
    }
    CHECK(counts.unknown_ == 0);
    CHECK(counts.incorrect_responses_ == 0);
    CHECK(counts.ran_twice_ == 0);
    CHECK(counts.not_run_ == 0);
}

TEST_CASE("a signal that comes while a process starts does not end it", "[promise-planned-stop]") {
    fleet fleet(orders_plan({"z1"}, {"h1"}, "slots=5 timeout=5s"));
    fleet.start_with_signal("h1", SIGHUP);
    CHECK(wait_for([&] { return fleet.log_of("h1").find("reloaded") != std::string::npos; }));
    caller caller;
    CHECK(caller.send(order_request(fleet, "h1", "a", "GET")).status_ == 200);
    fleet.host("h1").send_signal(SIGTERM);
    CHECK(fleet.host("h1").wait() == 0);
}

TEST_CASE("a long request outlives the beginning of a planned stop", "[promise-planned-stop]") {
    fleet fleet(orders_plan({"z1", "z2"}, {"h2"}, "slots=5 timeout=20s"));
    fleet.start_all();
    fleet.target("t1").set({.delay_ = std::chrono::seconds(3)});
    auto at_guard = send_in_background(order_request(fleet, "h1", "a", "POST"));
    auto at_entry = send_in_background(order_request(fleet, "h2", "b", "POST"));
    REQUIRE(wait_for([&] { return fleet.runs_of("a") + fleet.runs_of("b") == 2; }));
    fleet.host("h2").send_signal(SIGTERM);
    CHECK(at_guard.get().status_ == 200);
    CHECK(at_entry.get().status_ == 200);
    CHECK(fleet.host("h2").wait() == 0);
}

TEST_CASE("a host that the list shows as leaving gets no new work", "[promise-leaving]") {
    fleet fleet(orders_plan({"z1", "z1", "z2"}, {"h2", "h3"}, "slots=20 timeout=20s"));
    fleet.start_all();
    traffic traffic(fleet, orders_traffic({"h1"}));
    REQUIRE(let_pass(traffic));
    fleet.publish_hosts({"h2"});
    REQUIRE(
        wait_for([&] { return fleet.status_number("h1", "/configuration/hosts/version") == 2; }));
    REQUIRE(wait_for([&] { return fleet.status_number("h2", "/guard/open") == 0; }));
    const std::size_t runs = fleet.target("t1").total_runs();
    REQUIRE(let_pass(traffic));
    CHECK(fleet.target("t1").total_runs() == runs);
    const traffic_counts counts = traffic.finish();
    CHECK(counts.complete_ == counts.requests_);
}

TEST_CASE("a stopping host gets no new work though the list calls it live", "[promise-leaving]") {
    fleet fleet(orders_plan({"z1", "z1", "z2"}, {"h2", "h3"}, "slots=20 timeout=20s"));
    fleet.start_all();
    fleet.target("t1").set({.delay_ = std::chrono::seconds(2)});
    auto held = send_in_background(order_request(fleet, "h1", "held", "POST"));
    REQUIRE(wait_for([&] { return fleet.runs_of("held") == 1; }));
    fleet.host("h2").send_signal(SIGTERM);
    REQUIRE(wait_for([&] {
        return fleet.admin("h2", "/status").find("\"draining\": true") != std::string::npos;
    }));
    caller caller;
    for (int i = 0; i < 20; ++i) {
        const auto answer =
            caller.send(order_request(fleet, "h1", "n" + std::to_string(i), "POST"));
        CHECK(answer.body_.starts_with("t2 "));
    }
    CHECK(held.get().status_ == 200);
    CHECK(fleet.target("t1").total_runs() == 1);
    CHECK(fleet.host("h2").wait() == 0);
}

TEST_CASE("a draining target ends its work and its new work goes elsewhere", "[promise-leaving]") {
    fleet fleet(orders_plan({"z1", "z1", "z2"}, {"h2", "h3"}, "slots=20 timeout=20s"));
    fleet.start_all();
    fleet.target("t1").set({.delay_ = std::chrono::seconds(1)});
    auto held = send_in_background(order_request(fleet, "h1", "held", "POST"));
    REQUIRE(wait_for([&] { return fleet.runs_of("held") == 1; }));
    fleet.target("t1").drain();
    caller caller;
    for (int i = 0; i < 5; ++i) {
        const auto answer =
            caller.send(order_request(fleet, "h1", "d" + std::to_string(i), "POST"));
        CHECK(answer.body_.starts_with("t2 "));
    }
    CHECK(held.get().status_ == 200);
    CHECK(fleet.target("t1").total_runs() == 1);
}

TEST_CASE("a request that outlasts the bound of a planned stop is answered",
          "[promise-planned-stop]") {
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, "slots=5 timeout=20s");
    plan.extra_settings_ += "drain_bound = 2s\n";
    fleet fleet(plan);
    fleet.start_all();
    fleet.target("t1").set({.delay_ = std::chrono::seconds(8)});
    auto held = send_in_background(order_request(fleet, "h1", "a", "POST"));
    REQUIRE(wait_for([&] { return fleet.runs_of("a") == 1; }));
    fleet.host("h1").send_signal(SIGTERM);
    const auto answer = held.get();
    CHECK(answer.complete_);
    CHECK(answer.outcome() == "unknown");
    CHECK(fleet.host("h1").wait() == 0);
}

TEST_CASE("late in a planned stop new requests are refused, not taken and given up",
          "[promise-planned-stop]") {
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, "slots=5 timeout=20s");
    plan.extra_settings_ += "drain_bound = 4s\n";
    fleet fleet(plan);
    fleet.start_all();
    fleet.target("t1").set({.delay_ = std::chrono::seconds(8)});
    auto held = send_in_background(order_request(fleet, "h1", "a", "POST"));
    REQUIRE(wait_for([&] { return fleet.runs_of("a") == 1; }));
    fleet.target("t1").set({});
    fleet.host("h1").send_signal(SIGTERM);
    caller caller;
    int sent = 0;
    REQUIRE(wait_for([&] {
        const auto answer =
            caller.send(order_request(fleet, "h1", "n" + std::to_string(sent++), "POST"));
        return answer.outcome() == "not_run" && answer.reason() == "stopping";
    }));
    CHECK(held.get().outcome() == "unknown");
    CHECK(fleet.host("h1").wait() == 0);
}
