// An organisation's rate and burst are enforced across all hosts together.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <mutex>
#include <thread>

#include "support/plans.h"

using namespace dandelionridge::support;

namespace {

using clock_type = std::chrono::steady_clock;

constexpr double rate_per_s = 50;
constexpr int burst = 20;

fleet_plan small_quota_plan() {
    fleet_plan plan = orders_plan({"z1", "z1", "z1", "z2", "z3"}, {"h2", "h4"}, "slots=50");
    for (const auto& lines : {organisation_lines("small", "small-secret", "50/s", burst)}) {
        plan.rules_.insert(plan.rules_.end(), lines.begin(), lines.end());
    }
    return plan;
}

struct sent_request {
    clock_type::time_point started_at_;
    clock_type::time_point ended_at_;
    bool admitted_ = false;
    std::string reason_;
};

// Runs one caller thread for each given caller proxy. All threads send requests with the same key,
// without a pause between them.
class flood {
public:
    flood(const fleet& fleet, const std::vector<std::string>& caller_proxies,
          const std::string& key) {
        for (const std::string& caller_proxy : caller_proxies) {
            threads_.emplace_back(
                [this, &fleet, caller_proxy, key] { run(fleet, caller_proxy, key); });
        }
    }
    flood(const flood&) = delete;
    flood& operator=(const flood&) = delete;
    ~flood() { finish(); }

    std::vector<sent_request> finish() {
        stopped_ = true;
        for (std::thread& thread : threads_) {
            thread.join();
        }
        threads_.clear();
        return sent_requests_;
    }

    std::size_t admitted() const { return admitted_; }

private:
    void run(const fleet& fleet, const std::string& caller_proxy, const std::string& key) {
        caller caller;
        while (!stopped_) {
            caller_request request;
            request.url_ = fleet.caller_address_of(caller_proxy) + "/orders/x";
            request.headers_ = {"Authorization: Bearer " + key};
            sent_request record;
            record.started_at_ = clock_type::now();
            const auto response = caller.send(request);
            record.ended_at_ = clock_type::now();
            record.admitted_ = response.status_ == 200;
            record.reason_ = response.reason();
            admitted_ += record.admitted_ ? 1 : 0;
            const std::lock_guard lock(mutex_);
            sent_requests_.push_back(record);
        }
    }

    std::atomic<bool> stopped_ = false;
    std::atomic<std::size_t> admitted_ = 0;
    std::mutex mutex_;
    std::vector<sent_request> sent_requests_;
    std::vector<std::thread> threads_;
};

// Returns true if the admissions are within the rate and burst. A request is admitted at some time
// between its start and its end, so a window from the start of one request to the end of another
// contains the admissions of all requests that lie within it. There may be at most
// burst + rate * window of them.
bool within_rate(const std::vector<sent_request>& sent) {
    std::vector<sent_request> admitted;
    for (const sent_request& request : sent) {
        if (request.admitted_) {
            admitted.push_back(request);
        }
    }
    for (const sent_request& first : admitted) {
        for (const sent_request& last : admitted) {
            const std::chrono::duration<double> window = last.ended_at_ - first.started_at_;
            if (window.count() <= 0) {
                continue;
            }
            const auto admitted_in_window =
                std::count_if(admitted.begin(), admitted.end(), [&](const sent_request& request) {
                    return request.started_at_ >= first.started_at_ &&
                           request.ended_at_ <= last.ended_at_;
                });
            if (static_cast<double>(admitted_in_window) > burst + rate_per_s * window.count()) {
                return false;
            }
        }
    }
    return true;
}

}  // namespace

TEST_CASE("a flooding organisation is limited to its rate and burst", "[promise-quota]") {
    fleet fleet(small_quota_plan());
    fleet.start_all();
    flood flood(fleet, fleet.host_names(), "small-secret");
    REQUIRE(wait_for([&] { return flood.admitted() >= 150; }));
    // Meanwhile an organisation within its rate is served.
    caller caller;
    for (int i = 0; i < 20; ++i) {
        CHECK(caller.send(order_request(fleet, "h1", "g" + std::to_string(i), "GET")).status_ ==
              200);
    }
    const auto sent = flood.finish();
    CHECK(within_rate(sent));
    CHECK(std::any_of(sent.begin(), sent.end(),
                      [](const sent_request& request) { return request.reason_ == "over_rate"; }));
}

// Guards against: refusals inside the rate that no log line or counter explains, and one name for
// the delay that a caller was told and the time that its request took.
TEST_CASE("a refusal over the rate leaves its cause in the events and the metrics",
          "[promise-quota]") {
    fleet fleet(small_quota_plan());
    fleet.start_all();
    flood flood(fleet, {"h1"}, "small-secret");
    const auto refused_at_h1 = [&] {
        return fleet.admin("h1", "/events").find("\"quota_refused\"") != std::string::npos;
    };
    REQUIRE(wait_for(refused_at_h1));
    flood.finish();
    const std::string events = fleet.admin("h1", "/events");
    CHECK(events.find(R"("cause":"owner_limit")") != std::string::npos);
    CHECK(events.find(R"("retry_after_ms":)") != std::string::npos);
    CHECK(events.find(R"("elapsed_ms":)") != std::string::npos);
    CHECK(events.find(R"("ms":)") == std::string::npos);
    const std::string metrics = fleet.admin("h1", "/metrics");
    const std::string counter = "\ndandelionridge_quota_refusals_total{cause=\"owner_limit\"} ";
    REQUIRE(metrics.find(counter) != std::string::npos);
    CHECK(std::stoi(metrics.substr(metrics.find(counter) + counter.size())) > 0);
    CHECK(metrics.find("\ndandelionridge_quota_tokens_total{cause=\"granted\"} ") !=
          std::string::npos);
}

TEST_CASE("quota owners that are killed or frozen during a flood do not exceed the rate",
          "[promise-quota]") {
    fleet fleet(small_quota_plan());
    fleet.start_all();
    flood flood(fleet, {"h1", "h2", "h4"}, "small-secret");
    REQUIRE(wait_for([&] { return flood.admitted() >= 60; }));
    // Any host may own the quota. Whichever fails here, other hosts are left to take over.
    fleet.host("h3").send_signal(SIGSTOP);
    REQUIRE(wait_for([&] { return flood.admitted() >= 120; }));
    fleet.host("h3").send_signal(SIGCONT);
    fleet.kill("h5");
    REQUIRE(wait_for([&] { return flood.admitted() >= 180; }));
    fleet.start("h5");
    fleet.publish_hosts({"h3"});
    REQUIRE(wait_for([&] { return flood.admitted() >= 240; }));
    CHECK(within_rate(flood.finish()));
}
