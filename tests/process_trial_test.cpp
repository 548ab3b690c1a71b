// Targets that fail their requests, and what that costs their callers once this is known.
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "support/plans.h"
#include "support/store_fleet.h"

using namespace dandelionridge::support;

namespace {

// Retry budget of a fleet that never allows a retry.
const std::string no_retries = "[retries]\nratio = 0\nslack = 0\nwindow = 10s\n";

// Time that a run takes on the target of host 2, which is sound.
constexpr auto run_duration = dandelionridge::base::milliseconds(50);

// Makes the target of host 1 fail all its runs, and sends reads, two at a time, until it has failed
// one. Each target has one slot, so that both get reads.
void fail_first_target(store_fleet& fleet) {
    fleet.set_target(1, {.mode_ = target_mode::server_error});
    fleet.set_target(2, {.delay_ = run_duration});
    for (int i = 0; i < 50 && fleet.target(1).total_runs() == 0; ++i) {
        const std::string id = "first-" + std::to_string(i);
        auto one = send_in_background(fleet.request_to("orders", 1, id + "a", "GET"));
        auto other = send_in_background(fleet.request_to("orders", 1, id + "b", "GET"));
        one.wait();
        other.wait();
    }
    REQUIRE(fleet.target(1).total_runs() > 0);
}

}  // namespace

// Guards against: while no retry was left, reads tested a target that had been failing, and their
// callers got its failures.
TEST_CASE("a read that cannot be retried does not test a target on trial", "[trial]") {
    store_fleet fleet({"orders", "orders"}, 1, no_retries);
    fleet.start_all();
    fail_first_target(fleet);
    // Far longer than an ejection.
    constexpr int reads = 40;
    constexpr std::chrono::milliseconds interval(100);
    caller caller;
    int served = 0;
    for (int i = 0; i < reads; ++i) {
        const std::string id = "read-" + std::to_string(i);
        served += caller.send(fleet.request_to("orders", 1, id, "GET")).status_ == 200 ? 1 : 0;
        std::this_thread::sleep_for(interval);
    }
    CHECK(served == reads);
}
