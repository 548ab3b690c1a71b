// Targets that write bytes which are no response to the request that waits, on the users' platform.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <list>
#include <string>
#include <thread>

#include "support/plans.h"
#include "support/raw_caller.h"
#include "support/store_fleet.h"

using namespace dandelionridge::support;

namespace {

// Far more than a process needs to collect one response, far less than an endless one fills.
constexpr std::size_t max_growth_bytes = 24 * 1024 * 1024;

// Memory that a process may use, in megabytes, where many requests meet a faulty target at once.
constexpr std::size_t memory_mb = 96;

// Callers that each send one request on a connection of their own, and read its response or not.
class callers_at_once {
public:
    callers_at_once(const store_fleet& fleet, const std::string& service, int count, bool read) {
        for (int i = 0; i < count; ++i) {
            const auto request =
                fleet.request_to(service, 1 + i % 2, "many-" + std::to_string(i), "GET");
            callers_.emplace_back(request);
        }
        if (read) {
            reader_ = std::thread([this] { read_all(); });
        }
    }
    callers_at_once(const callers_at_once&) = delete;
    callers_at_once& operator=(const callers_at_once&) = delete;
    ~callers_at_once() {
        stopped_ = true;
        if (reader_.joinable()) {
            reader_.join();
        }
    }

private:
    void read_all() {
        while (!stopped_) {
            for (const raw_caller& caller : callers_) {
                caller.discard_received();
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    std::list<raw_caller> callers_;
    std::atomic<bool> stopped_ = false;
    std::thread reader_;
};

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

// Guards against: a target sends bytes without end at many requests at once; each of them is
// bounded, but not all together, and the process runs out of memory and ends the requests of
// others.
TEST_CASE("bytes without end at many requests leave memory for the other targets",
          "[promise-whole-answer]") {
    struct endless_case {
        const char* name_;
        target_mode mode_;
        bool callers_read_;
    };
    const auto test_case = GENERATE(
        endless_case{"errors", target_mode::endless_error, true},
        endless_case{"downloads", target_mode::endless_valid_body, true},
        endless_case{"downloads that nobody reads", target_mode::endless_valid_body, false});
    INFO(test_case.name_);
    constexpr int requests = 200;
    store_fleet fleet({"orders", "patterns"}, requests,
                      "[limits]\nmemory_mb = " + std::to_string(memory_mb) + "\n");
    fleet.start_all();
    fleet.set_target(1, {.mode_ = test_case.mode_});
    const callers_at_once callers(fleet, "orders", requests, test_case.callers_read_);
    caller caller;
    constexpr int sound_requests = 40;
    for (int i = 0; i < sound_requests; ++i) {
        const std::string id = "sound-" + std::to_string(i);
        const auto response = caller.send(fleet.request_to("patterns", 1 + i % 2, id, "GET"));
        INFO(id);
        CHECK(response.complete_);
        CHECK(response.status_ == 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    for (const std::size_t host : {1, 2}) {
        INFO("host " << host);
        const std::size_t peak = fleet.host(host).peak_resident_bytes();
        CHECK(peak > 0);
        CHECK(peak <= memory_mb * 1024 * 1024);
    }
}
