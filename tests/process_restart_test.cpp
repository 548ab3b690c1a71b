// The targets beside processes that are restarted, under more load than the other targets take.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <vector>

#include "support/plans.h"
#include "support/store_fleet.h"

using namespace dandelionridge::support;

namespace {

constexpr std::size_t caller_host = 3;
constexpr int caller_count = 4;
constexpr std::chrono::milliseconds run(200);

struct load_counts {
    int served_ = 0;
    int refused_ = 0;
    int other_ = 0;
};

// Sends requests one after the other until `done`.
load_counts send_until(const store_fleet& fleet, const std::string& name,
                       const std::atomic<bool>& done) {
    load_counts counts;
    caller caller;
    for (int i = 0; !done; ++i) {
        const caller_response response = caller.send(fleet.request_to(
            "orders", caller_host, name + "-" + std::to_string(i), i % 4 == 0 ? "GET" : "POST"));
        const bool refused = response.complete_ && response.outcome() == "not_run";
        counts.served_ += response.status_ == 200 ? 1 : 0;
        counts.refused_ += refused ? 1 : 0;
        counts.other_ += response.status_ == 200 || refused ? 0 : 1;
    }
    return counts;
}

}  // namespace

// Guards against: a target whose process was being restarted got no request from the signal on,
// although the process lived for seconds and all other targets were full.
TEST_CASE("the target beside a stopping process is used while all others are full",
          "[planned-restart]") {
    store_fleet fleet({"orders", "orders", "catalogue"}, 1, "drain_bound = 6s\n");
    fleet.start_all();
    fleet.set_target(1, {.delay_ = run});
    fleet.set_target(2, {.delay_ = run});
    std::atomic<bool> done = false;
    std::vector<std::future<load_counts>> callers;
    callers.reserve(caller_count);
    for (int i = 0; i < caller_count; ++i) {
        callers.push_back(std::async(std::launch::async, [&fleet, &done, i] {
            return send_until(fleet, "caller" + std::to_string(i), done);
        }));
    }
    REQUIRE(wait_for([&] { return fleet.target(1).total_runs() >= 10; }));
    fleet.host(1).send_signal(SIGTERM);
    REQUIRE(wait_for([&] { return fleet.log_of(1).find("draining") != std::string::npos; }));
    const std::size_t runs_before = fleet.target(1).total_runs();
    CHECK(fleet.host(1).wait() == 0);
    // The run in progress and what was already queued for the target's slot do not count.
    CHECK(fleet.target(1).total_runs() > runs_before + caller_count);
    fleet.start(1);
    const std::size_t runs_at_start = fleet.target(1).total_runs();
    CHECK(wait_for([&] { return fleet.target(1).total_runs() > runs_at_start + 2; }));
    done = true;
    load_counts total;
    for (std::future<load_counts>& caller : callers) {
        const load_counts counts = caller.get();
        total.served_ += counts.served_;
        total.refused_ += counts.refused_;
        total.other_ += counts.other_;
    }
    INFO(total.served_ << " served, " << total.refused_ << " refused");
    CHECK(total.served_ > 0);
    CHECK(total.other_ == 0);
}
