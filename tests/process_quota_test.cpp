// An organisation's rate and burst over all hosts together.
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

constexpr double rate = 50;
constexpr int burst = 20;

fleet_plan limited_plan() {
    fleet_plan plan = orders_plan({"z1", "z1", "z1", "z2", "z3"}, {"h2", "h4"}, "slots=50");
    for (const auto& lines : {organisation_lines("small", "small-secret", "50/s", burst)}) {
        plan.rules_.insert(plan.rules_.end(), lines.begin(), lines.end());
    }
    return plan;
}

struct sent_request {
    clock_type::time_point began_;
    clock_type::time_point ended_;
    bool admitted_ = false;
    std::string reason_;
};

// Callers of one organisation at every entry, as fast as they can.
class flood {
public:
    flood(const fleet& fleet, const std::vector<std::string>& entries, const std::string& key) {
        for (const std::string& entry : entries) {
            threads_.emplace_back([this, &fleet, entry, key] { run(fleet, entry, key); });
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
        return sent_;
    }

    std::size_t admitted() const { return admitted_; }

private:
    void run(const fleet& fleet, const std::string& entry, const std::string& key) {
        caller caller;
        while (!stopped_) {
            caller_request request;
            request.url_ = fleet.caller_address_of(entry) + "/orders/x";
            request.headers_ = {"Authorization: Bearer " + key};
            sent_request one;
            one.began_ = clock_type::now();
            const auto answer = caller.send(request);
            one.ended_ = clock_type::now();
            one.admitted_ = answer.status_ == 200;
            one.reason_ = answer.reason();
            admitted_ += one.admitted_ ? 1 : 0;
            const std::lock_guard lock(mutex_);
            sent_.push_back(one);
        }
    }

    std::atomic<bool> stopped_ = false;
    std::atomic<std::size_t> admitted_ = 0;
    std::mutex mutex_;
    std::vector<sent_request> sent_;
    std::vector<std::thread> threads_;
};

// The oracle: an admission lies between the beginning and the end of its request, so any window
// that surely holds n admissions must be long enough for them.
bool within_rate(const std::vector<sent_request>& sent) {
    std::vector<sent_request> admitted;
    for (const sent_request& one : sent) {
        if (one.admitted_) {
            admitted.push_back(one);
        }
    }
    for (const sent_request& first : admitted) {
        for (const sent_request& last : admitted) {
            const std::chrono::duration<double> window = last.ended_ - first.began_;
            if (window.count() <= 0) {
                continue;
            }
            const auto inside =
                std::count_if(admitted.begin(), admitted.end(), [&](const sent_request& one) {
                    return one.began_ >= first.began_ && one.ended_ <= last.ended_;
                });
            if (static_cast<double>(inside) > burst + rate * window.count()) {
                return false;
            }
        }
    }
    return true;
}

}  // namespace

TEST_CASE("a flooding organisation gets its rate and burst and no more", "[promise-quota]") {
    fleet fleet(limited_plan());
    fleet.start_all();
    flood flood(fleet, fleet.host_names(), "small-secret");
    REQUIRE(wait_for([&] { return flood.admitted() >= 150; }));
    // One inside its rate is served meanwhile.
    caller caller;
    for (int i = 0; i < 20; ++i) {
        CHECK(caller.send(order_request(fleet, "h1", "g" + std::to_string(i), "GET")).status_ ==
              200);
    }
    const auto sent = flood.finish();
    CHECK(within_rate(sent));
    CHECK(std::any_of(sent.begin(), sent.end(),
                      [](const sent_request& one) { return one.reason_ == "over_rate"; }));
}

TEST_CASE("owners killed and frozen in a flood admit no more than the rate", "[promise-quota]") {
    fleet fleet(limited_plan());
    fleet.start_all();
    flood flood(fleet, {"h1", "h2", "h4"}, "small-secret");
    REQUIRE(wait_for([&] { return flood.admitted() >= 60; }));
    // Whoever of these owns a share, another host of its zone is left.
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
