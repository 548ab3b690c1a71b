// The retry budget over a fleet: what arrives at the targets beyond the first time, whoever sent
// it.
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "support/plans.h"
#include "support/store_fleet.h"

using namespace dandelionridge::support;

// Guards against: target proxies sent reads again when a kept connection closed, and nobody charged
// that to the retry budget.
TEST_CASE("reads whose kept connection closes are repeated within the retry budget only",
          "[retry-budget]") {
    constexpr double ratio = 0.1;
    constexpr double slack = 4;
    constexpr int request_count = 60;
    // Longer than a connection that counts as in use, and short enough for all requests to be sent
    // within the window.
    constexpr std::chrono::milliseconds interval(120);
    store_fleet fleet({"orders", "orders"}, 20,
                      "[retries]\nratio = 0.1\nslack = 4\nwindow = 60s\n");
    fleet.start_all();
    fleet.set_target(1, {.mode_ = target_mode::close_every_other});
    fleet.set_target(2, {.mode_ = target_mode::close_every_other});
    caller caller;
    int served = 0;
    for (int i = 0; i < request_count; ++i) {
        const std::string id = "read-" + std::to_string(i);
        const std::size_t caller_proxy = 1 + static_cast<std::size_t>(i) % 2;
        served +=
            caller.send(fleet.request_to("orders", caller_proxy, id, "GET")).status_ == 200 ? 1 : 0;
        std::this_thread::sleep_for(interval);
    }
    const std::size_t arrivals = fleet.target(1).total_runs() + fleet.target(2).total_runs();
    INFO("arrivals " << arrivals << ", served " << served);
    CHECK(static_cast<double>(arrivals) <= request_count * (1 + ratio) + slack);
    // The budget is used: without any repeat, half of the requests would be lost.
    CHECK(arrivals > request_count);
    CHECK(served >= request_count / 2);
}
