// Planned stops under load, and hosts and targets that leave.
#include <catch2/catch.hpp>
#include <csignal>

#include "support/plans.h"
#include "support/traffic.h"

using namespace dandelionridge::support;

namespace {

constexpr std::uint64_t requests_per_phase = 300;

bool wait_for_requests(const traffic& traffic) {
    const std::uint64_t min_requests = traffic.requests() + requests_per_phase;
    return wait_for([&] { return traffic.requests() >= min_requests; });
}

traffic_plan orders_traffic(const std::vector<std::string>& caller_proxies) {
    traffic_plan plan;
    plan.keys_ = {bends_key, bends_key};
    plan.caller_proxies_ = caller_proxies;
    plan.read_service_ = "orders";
    plan.post_service_ = "orders";
    plan.download_service_ = "orders";
    return plan;
}

// Stops h2 under that traffic. Every request must be completed, and none may run twice.
void check_stop_interrupts_nothing(fleet& fleet, traffic& traffic) {
    REQUIRE(wait_for_requests(traffic));
    fleet.host("h2").send_signal(SIGTERM);
    CHECK(fleet.host("h2").wait() == 0);
    REQUIRE(wait_for_requests(traffic));
    const traffic_counts counts = traffic.finish();
    std::string refusals;
    for (const auto& [reason, count] : traffic.refusals_by_reason()) {
        refusals += reason + ": " + std::to_string(count) + "; ";
    }
    CAPTURE(traffic.violations(), refusals);
    CHECK(counts.unknown_ == 0);
    CHECK(counts.incorrect_responses_ == 0);
    CHECK(counts.ran_twice_ == 0);
    CHECK(counts.not_run_ == 0);
}

fleet_plan short_stop_plan(const std::string& target_host) {
    fleet_plan plan = orders_plan({"z1", "z2"}, {target_host}, "slots=5 timeout=20s");
    plan.extra_settings_ += "drain_bound = 4s\n";
    return plan;
}

bool refused_as_stopping(const caller_response& response) {
    return response.outcome() == "not_run" && response.reason() == "stopping";
}

// Begins a stop of h1 while a run that outlasts it is open, and sends h1 requests until a response
// satisfies `last`. Each is passed to `check` before. The request of the run gets its response, and
// h1 ends.
template <typename check_response, typename is_last>
void send_during_stop(fleet& fleet, check_response check, is_last last) {
    fleet.start_all();
    caller caller;
    // The run that outlasts the stop counts as one failure of its target. A target that has hardly
    // served yet would be ejected for it, and the requests below would be refused for that reason.
    constexpr int earlier_requests = 5;
    for (int i = 0; i < earlier_requests; ++i) {
        const std::string id = "earlier-" + std::to_string(i);
        REQUIRE(caller.send(order_request(fleet, "h1", id, "POST")).status_ == 200);
    }
    fleet.target("t1").set({.delay_ = std::chrono::seconds(8)});
    auto held_response = send_in_background(order_request(fleet, "h1", "a", "POST"));
    REQUIRE(wait_for([&] { return fleet.runs_of("a") == 1; }));
    fleet.target("t1").set({});
    fleet.host("h1").send_signal(SIGTERM);
    int sent = 0;
    REQUIRE(wait_for([&] {
        const auto response =
            caller.send(order_request(fleet, "h1", "n" + std::to_string(sent++), "POST"));
        check(response);
        return last(response);
    }));
    CHECK(held_response.get().outcome() == "unknown");
    CHECK(fleet.host("h1").wait() == 0);
}

}  // namespace

TEST_CASE("a planned stop under load interrupts no request", "[promise-planned-stop]") {
    fleet fleet(orders_plan({"z1", "z1", "z2"}, {"h1", "h2", "h3"}, "slots=20 timeout=20s"));
    fleet.start_all();
    for (const char* target : {"t1", "t2", "t3"}) {
        fleet.target(target).set({.delay_ = std::chrono::milliseconds(20)});
    }
    traffic traffic(fleet, orders_traffic({"h1", "h2", "h3"}));
    check_stop_interrupts_nothing(fleet, traffic);
}

TEST_CASE("a planned stop of a host that is never idle interrupts no request",
          "[promise-planned-stop]") {
    fleet fleet(orders_plan({"z1", "z1", "z2"}, {"h1", "h2", "h3"}, "slots=20 timeout=20s"));
    fleet.start_all();
    for (const char* target : {"t1", "t2", "t3"}) {
        fleet.target(target).set({.delay_ = std::chrono::milliseconds(100)});
    }
    // Callers that cannot connect to h2 go on to h3.
    traffic_plan plan = orders_traffic({"h2", "h3"});
    plan.keys_.assign(8, bends_key);
    traffic traffic(fleet, plan);
    check_stop_interrupts_nothing(fleet, traffic);
}

TEST_CASE("a signal during startup does not end the process", "[promise-planned-stop]") {
    fleet fleet(orders_plan({"z1"}, {"h1"}, "slots=5 timeout=5s"));
    fleet.start_with_signal("h1", SIGHUP);
    CHECK(wait_for([&] { return fleet.log_of("h1").find("reloaded") != std::string::npos; }));
    caller caller;
    CHECK(caller.send(order_request(fleet, "h1", "a", "GET")).status_ == 200);
    fleet.host("h1").send_signal(SIGTERM);
    CHECK(fleet.host("h1").wait() == 0);
}

TEST_CASE("a running request completes after a planned stop has begun", "[promise-planned-stop]") {
    fleet fleet(orders_plan({"z1", "z2"}, {"h2"}, "slots=5 timeout=20s"));
    fleet.start_all();
    fleet.target("t1").set({.delay_ = std::chrono::seconds(3)});
    auto through_target_proxy = send_in_background(order_request(fleet, "h1", "a", "POST"));
    auto through_caller_proxy = send_in_background(order_request(fleet, "h2", "b", "POST"));
    REQUIRE(wait_for([&] { return fleet.runs_of("a") + fleet.runs_of("b") == 2; }));
    fleet.host("h2").send_signal(SIGTERM);
    CHECK(through_target_proxy.get().status_ == 200);
    CHECK(through_caller_proxy.get().status_ == 200);
    CHECK(fleet.host("h2").wait() == 0);
}

TEST_CASE("a host that the host list shows as leaving gets no new requests", "[promise-leaving]") {
    fleet fleet(orders_plan({"z1", "z1", "z2"}, {"h2", "h3"}, "slots=20 timeout=20s"));
    fleet.start_all();
    traffic traffic(fleet, orders_traffic({"h1"}));
    REQUIRE(wait_for_requests(traffic));
    fleet.publish_hosts({"h2"});
    REQUIRE(
        wait_for([&] { return fleet.status_number("h1", "/configuration/hosts/version") == 2; }));
    REQUIRE(wait_for([&] { return fleet.status_number("h2", "/guard/open") == 0; }));
    const std::size_t runs_before = fleet.target("t1").total_runs();
    REQUIRE(wait_for_requests(traffic));
    CHECK(fleet.target("t1").total_runs() == runs_before);
    const traffic_counts counts = traffic.finish();
    CHECK(counts.complete_ == counts.requests_);
}

TEST_CASE("a stopping host gets no new requests although the host list shows it as live",
          "[promise-leaving]") {
    fleet fleet(orders_plan({"z1", "z1", "z2"}, {"h2", "h3"}, "slots=20 timeout=20s"));
    fleet.start_all();
    fleet.target("t1").set({.delay_ = std::chrono::seconds(2)});
    auto held_response = send_in_background(order_request(fleet, "h1", "held", "POST"));
    REQUIRE(wait_for([&] { return fleet.runs_of("held") == 1; }));
    fleet.host("h2").send_signal(SIGTERM);
    REQUIRE(wait_for([&] {
        return fleet.admin("h2", "/status").find("\"draining\": true") != std::string::npos;
    }));
    caller caller;
    for (int i = 0; i < 20; ++i) {
        const auto response =
            caller.send(order_request(fleet, "h1", "n" + std::to_string(i), "POST"));
        CHECK(response.body_.starts_with("t2 "));
    }
    CHECK(held_response.get().status_ == 200);
    CHECK(fleet.target("t1").total_runs() == 1);
    CHECK(fleet.host("h2").wait() == 0);
}

TEST_CASE("a draining target completes its requests and new ones go to another target",
          "[promise-leaving]") {
    fleet fleet(orders_plan({"z1", "z1", "z2"}, {"h2", "h3"}, "slots=20 timeout=20s"));
    fleet.start_all();
    fleet.target("t1").set({.delay_ = std::chrono::seconds(1)});
    auto held_response = send_in_background(order_request(fleet, "h1", "held", "POST"));
    REQUIRE(wait_for([&] { return fleet.runs_of("held") == 1; }));
    fleet.target("t1").drain();
    caller caller;
    for (int i = 0; i < 5; ++i) {
        const auto response =
            caller.send(order_request(fleet, "h1", "d" + std::to_string(i), "POST"));
        CHECK(response.body_.starts_with("t2 "));
    }
    CHECK(held_response.get().status_ == 200);
    CHECK(fleet.target("t1").total_runs() == 1);
}

TEST_CASE("a request that outlasts drain_bound gets a response", "[promise-planned-stop]") {
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, "slots=5 timeout=20s");
    plan.extra_settings_ += "drain_bound = 2s\n";
    fleet fleet(plan);
    fleet.start_all();
    fleet.target("t1").set({.delay_ = std::chrono::seconds(8)});
    auto held_response = send_in_background(order_request(fleet, "h1", "a", "POST"));
    REQUIRE(wait_for([&] { return fleet.runs_of("a") == 1; }));
    fleet.host("h1").send_signal(SIGTERM);
    const auto response = held_response.get();
    CHECK(response.complete_);
    CHECK(response.outcome() == "unknown");
    CHECK(fleet.host("h1").wait() == 0);
}

TEST_CASE("late in a planned stop new requests are refused, not accepted and abandoned",
          "[promise-planned-stop]") {
    // The run on the stopping host keeps it listening, for the requests that the run makes.
    fleet fleet(short_stop_plan("h1"));
    send_during_stop(
        fleet, [](const caller_response&) {}, refused_as_stopping);
}

TEST_CASE("a stopping host without runs completes what it accepted and then accepts nothing",
          "[promise-planned-stop]") {
    fleet fleet(short_stop_plan("h2"));
    send_during_stop(
        fleet,
        [](const caller_response& response) {
            CHECK((response.connect_failed_ || response.status_ == 200 ||
                   refused_as_stopping(response)));
        },
        [](const caller_response& response) { return response.connect_failed_; });
}
