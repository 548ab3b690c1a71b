// Targets that write bytes which are no response to the request that waits, on the users' platform.
#include <catch2/catch.hpp>

#include "support/plans.h"
#include "support/store_fleet.h"

using namespace dandelionridge::support;

namespace {

// Far more than a process needs to collect one response, far less than an endless one fills.
constexpr std::size_t max_growth_bytes = 24 * 1024 * 1024;

}  // namespace

// Guards against: callers were told "not run, try again" about a request that the target had run,
// because the target wrote a refusal that belongs to no request (REFUSED), or the request ran at a
// second target (TWICE).
TEST_CASE("a refusal that names no request is not taken for the answer to one",
          "[promise-not-run]") {
    store_fleet fleet({"orders", "orders"});
    fleet.start_all();
    for (const std::size_t host : {1, 2}) {
        fleet.set_target(host, {.mode_ = target_mode::stray_refusal});
    }
    caller caller;
    int runs = 0;
    for (int i = 0; i < 10; ++i) {
        const std::string id = "order-" + std::to_string(i);
        const auto response = caller.send(fleet.request_to("orders", 1, id, "POST"));
        const int runs_of_order = fleet.target(1).runs()[id] + fleet.target(2).runs()[id];
        INFO(id);
        CHECK(runs_of_order <= 1);
        // Once the targets are ejected, orders are refused without a run.
        CHECK(response.outcome() == (runs_of_order == 1 ? "unknown" : "not_run"));
        runs += runs_of_order;
    }
    CHECK(runs > 0);
}

// Guards against: a target writes bytes that are no response without end, which a process collects
// until its memory is used up, or passes on to its caller for ever.
TEST_CASE("bytes without end that are no response end the run", "[promise-whole-answer]") {
    const auto mode = GENERATE(target_mode::endless_body, target_mode::endless_error);
    const char* method = GENERATE("GET", "POST");
    INFO(static_cast<int>(mode) << " " << method);
    store_fleet fleet({"orders"});
    fleet.start_all();
    fleet.set_target(1, {.mode_ = mode});
    const std::size_t bytes_before = fleet.host(1).resident_bytes();
    caller caller;
    const auto response = caller.send(fleet.request_to("orders", 1, "request", method));
    CHECK(response.complete_);
    CHECK_FALSE(response.timed_out_);
    CHECK(response.outcome() == "unknown");
    CHECK(wait_for([&] { return fleet.target(1).in_flight() == 0; }));
    CHECK(fleet.host(1).resident_bytes() < bytes_before + max_growth_bytes);
}
