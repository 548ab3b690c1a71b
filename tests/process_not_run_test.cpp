// Requests that reach no target, whose callers must learn that they did not run.
#include <catch2/catch.hpp>
#include <chrono>

#include "support/plans.h"

using namespace dandelionridge::support;

// Guards against: a request that waited for a slot until its deadline got 504 and an unknown
// outcome, because the target proxy refused it only at the deadline itself.
TEST_CASE("a request that gets no slot before its deadline is answered as not run",
          "[promise-not-run]") {
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, "slots=1 timeout=20s");
    plan.relayed_hosts_ = {"h2"};
    fleet fleet(plan);
    fleet.start_all();
    fleet.relay_of("h2").set_delay(std::chrono::milliseconds(20));
    fleet.target("t1").set({.mode_ = target_mode::hang});
    auto running = send_in_background(order_request(fleet, "h1", "runs", "POST"));
    REQUIRE(wait_for([&] { return fleet.runs_of("runs") == 1; }));
    std::vector<std::future<caller_response>> waiting;
    for (const std::string method : {"POST", "GET"}) {
        caller_request request = order_request(fleet, "h1", "waits-" + method, method);
        request.headers_.push_back("X-Deadline-Ms: 2000");
        waiting.push_back(send_in_background(request));
    }
    for (std::future<caller_response>& pending : waiting) {
        const caller_response response = pending.get();
        CHECK(response.status_ == 503);
        CHECK(response.outcome() == "not_run");
        CHECK(!response.header("retry-after").empty());
    }
    CHECK(fleet.target("t1").total_runs() == 1);
    fleet.kill("h1");
}
