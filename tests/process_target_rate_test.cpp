// Targets that name, in their responses, the rate of requests that they take from the whole fleet.
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "support/plans.h"
#include "support/store_fleet.h"

using namespace dandelionridge;
using namespace dandelionridge::support;

namespace {

// From this time on after its first naming the limit binds, in any window of that length.
constexpr base::duration notice = base::seconds(3);
constexpr base::duration window = base::seconds(4);
// One and a half times what a limit of 2 a second allows in a window, and 5.
constexpr std::size_t allowed_in_window = 17;

// Returns the highest number of runs that started within one window from `from` on.
std::size_t most_in_window(const std::vector<base::instant>& times, base::instant from) {
    std::size_t most = 0;
    for (auto first = std::lower_bound(times.begin(), times.end(), from); first != times.end();
         ++first) {
        const auto last = std::upper_bound(first, times.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

// Sends requests from several threads through caller proxies until it is destroyed.
class load {
public:
    load(const store_fleet& fleet, const std::vector<std::size_t>& caller_proxies,
         std::size_t threads_each) {
        for (const std::size_t caller_proxy : caller_proxies) {
            for (std::size_t i = 0; i < threads_each; ++i) {
                threads_.emplace_back([this, &fleet, caller_proxy] { run(fleet, caller_proxy); });
            }
        }
    }
    load(const load&) = delete;
    load& operator=(const load&) = delete;
    ~load() {
        stopped_ = true;
        for (std::thread& thread : threads_) {
            thread.join();
        }
    }

    std::uint64_t responses() const { return responses_; }

private:
    void run(const store_fleet& fleet, std::size_t caller_proxy) {
        caller caller;
        while (!stopped_) {
            const std::string id = "load-" + std::to_string(next_id_++);
            const char* method = next_id_ % 2 == 0 ? "GET" : "POST";
            const auto response = caller.send(fleet.request_to("orders", caller_proxy, id, method));
            responses_ += response.status_ == 200 ? 1 : 0;
        }
    }

    std::atomic<bool> stopped_ = false;
    std::atomic<std::uint64_t> next_id_ = 0;
    std::atomic<std::uint64_t> responses_ = 0;
    std::vector<std::thread> threads_;
};

}  // namespace

// Guards against: a target got far more requests than the rate that it had named in its responses,
// from several caller proxies together.
TEST_CASE("a target that names a rate gets no more than that from all caller proxies",
          "[promise-target-rate]") {
    store_fleet fleet({"orders", "orders", "orders"}, 5);
    fleet.start_all();
    for (const std::size_t host : {1, 2, 3}) {
        fleet.set_target(host, {.delay_ = base::milliseconds(100)});
    }
    load load(fleet, {1, 2, 3}, 4);
    REQUIRE(wait_for([&] { return fleet.target(2).total_runs() >= 20; }));
    fleet.set_target(2, {.delay_ = base::milliseconds(100), .headers_ = {{"server-limit", "2.0"}}});
    REQUIRE(wait_for(
        [&] { return fleet.log_of(2).find("\"target_rate_limit\"") != std::string::npos; }));
    const base::instant named_at = base::runtime_clock().now();
    REQUIRE(wait_for([&] { return base::runtime_clock().now() > named_at + notice + 2 * window; }));
    const std::vector<base::instant> times = fleet.target(2).run_times();
    CHECK(most_in_window(times, named_at + notice) <= allowed_in_window);
    // It is not left without requests either.
    CHECK(times.back() > named_at + notice + window);
    SECTION("and as many as before once its responses name none") {
        fleet.set_target(2, {.delay_ = base::milliseconds(100)});
        const std::size_t runs = fleet.target(2).total_runs();
        REQUIRE(wait_for(
            [&] { return fleet.log_of(2).find("\"per_s\":\"none\"") != std::string::npos; }));
        REQUIRE(wait_for([&] { return fleet.target(2).total_runs() > runs + 100; }));
    }
}

// Guards against: the target proxy forgot the rate when it was started again, so that all slots of
// the target were filled at once.
TEST_CASE("a target proxy that is started again keeps to the rate that its target had named",
          "[promise-target-rate]") {
    store_fleet fleet({"orders", "orders", "orders"}, 20);
    fleet.start_all();
    fleet.set_target(1, {.delay_ = base::seconds(1)});
    fleet.set_target(2, {.delay_ = base::milliseconds(2500), .headers_ = {{"server-limit", "2"}}});
    fleet.set_target(3, {.delay_ = base::seconds(1)});
    load load(fleet, {1, 3}, 30);
    REQUIRE(wait_for(
        [&] { return fleet.log_of(2).find("\"target_rate_limit\"") != std::string::npos; }));
    const base::instant named_at = base::runtime_clock().now();
    REQUIRE(wait_for([&] { return base::runtime_clock().now() > named_at + notice; }));
    fleet.kill(2);
    fleet.start(2);
    const base::instant restarted_at = base::runtime_clock().now();
    const std::size_t runs = fleet.target(2).total_runs();
    REQUIRE(wait_for([&] {
        return fleet.target(2).total_runs() > runs &&
               base::runtime_clock().now() > restarted_at + window;
    }));
    CHECK(most_in_window(fleet.target(2).run_times(), named_at + notice) <= allowed_in_window);
}
