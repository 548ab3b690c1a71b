// Planned stops beside a link between processes that stands still or is lost.
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

// The caller proxy h1 reaches the target proxy on h2 through a relay.
fleet_plan relayed_plan() {
    fleet_plan plan = orders_plan({"z1", "z1"}, {"h2"}, "slots=20 timeout=8s");
    plan.relayed_hosts_ = {"h2"};
    plan.extra_settings_ += "drain_bound = 10s\n";
    return plan;
}

}  // namespace

// Guards against: a stopping host ended while the kernel still held responses for a link that stood
// still for half a second. The next ping reset the link, and orders that had run were answered as
// unknown.
TEST_CASE("a stopping host ends only once its responses have left the kernel",
          "[planned-stop-link]") {
    constexpr int request_count = 8;
    constexpr std::chrono::milliseconds run(3000);
    // The link stands still from before the end of the runs, for less than the time after which it
    // counts as silent.
    constexpr std::chrono::milliseconds hold_before_end(100);
    constexpr std::chrono::milliseconds hold(550);
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.delay_ = run});
    std::vector<std::future<caller_response>> responses;
    responses.reserve(request_count);
    for (int i = 0; i < request_count; ++i) {
        caller_request request = order_request(fleet, "h1", "o" + std::to_string(i), "POST");
        // More than the relay's socket takes, but less than that of the host.
        request.url_ += "?bytes=100000";
        responses.push_back(send_in_background(request));
    }
    REQUIRE(wait_for([&] { return fleet.target("t1").total_runs() == request_count; }));
    const auto first_end = fleet.target("t1").run_times().front() + run;
    fleet.host("h2").send_signal(SIGTERM);
    std::this_thread::sleep_until(first_end - hold_before_end);
    fleet.relay_of("h2").hold_open_links(relay_direction::to_caller_proxy);
    std::this_thread::sleep_for(hold);
    fleet.relay_of("h2").release();
    for (std::future<caller_response>& pending : responses) {
        const caller_response response = pending.get();
        CAPTURE(response.status_, response.outcome(), response.reason());
        CHECK(response.status_ == 200);
        CHECK(response.body_bytes_ == 100'000);
    }
    CHECK(fleet.host("h2").wait() == 0);
}

// Guards against: a stopping host ended right after a link was lost, before the caller proxy could
// open a new one and ask for the responses, and orders that had run were answered as unknown.
TEST_CASE("a stopping host waits for a caller proxy that has lost its link",
          "[planned-stop-link]") {
    constexpr int request_count = 3;
    constexpr std::chrono::milliseconds refused_for(400);
    fleet fleet(relayed_plan());
    fleet.start_all();
    fleet.target("t1").set({.delay_ = std::chrono::seconds(3)});
    std::vector<std::future<caller_response>> responses;
    responses.reserve(request_count);
    for (int i = 0; i < request_count; ++i) {
        responses.push_back(
            send_in_background(order_request(fleet, "h1", "o" + std::to_string(i), "POST")));
    }
    REQUIRE(wait_for([&] { return fleet.target("t1").total_runs() == request_count; }));
    fleet.host("h2").send_signal(SIGTERM);
    REQUIRE(wait_for([&] { return fleet.log_of("h2").find("draining") != std::string::npos; }));
    // The runs end on a link that is lost, and for a while no new one can be opened.
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    fleet.relay_of("h2").refuse_new_links(true);
    fleet.relay_of("h2").hold_open_links(relay_direction::to_caller_proxy);
    REQUIRE(wait_for([&] { return fleet.log_of("h1").find("link_lost") != std::string::npos; }));
    REQUIRE(wait_for([&] { return fleet.target("t1").in_flight() == 0; }));
    std::this_thread::sleep_for(refused_for);
    fleet.relay_of("h2").refuse_new_links(false);
    for (std::future<caller_response>& pending : responses) {
        const caller_response response = pending.get();
        CAPTURE(response.status_, response.outcome(), response.reason());
        CHECK(response.status_ == 200);
    }
    CHECK(fleet.host("h2").wait() == 0);
}
