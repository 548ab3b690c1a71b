// Targets that leave, on the users' platform: every way in which a process learns of it, and every
// place that still holds work for the target.
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "support/plans.h"
#include "support/store_fleet.h"

using namespace dandelionridge::support;

namespace {

// Sends reads through one caller proxy, one after the other, until it is destroyed.
class reader_thread {
public:
    reader_thread(const store_fleet& fleet, std::size_t caller_proxy)
        : thread_([this, &fleet, caller_proxy] {
              caller caller;
              while (!stopped_) {
                  const std::string id = "read-" + std::to_string(sent_);
                  static_cast<void>(
                      caller.send(fleet.request_to("orders", caller_proxy, id, "GET")));
                  ++sent_;
              }
          }) {}
    reader_thread(const reader_thread&) = delete;
    reader_thread& operator=(const reader_thread&) = delete;
    ~reader_thread() {
        stopped_ = true;
        thread_.join();
    }

    std::uint64_t sent() const { return sent_; }

private:
    std::atomic<bool> stopped_ = false;
    std::atomic<std::uint64_t> sent_ = 0;
    std::thread thread_;
};

// Makes a host's store unavailable and waits until the host treats that as an outage.
void begin_outage(store_fleet& fleet, std::size_t host) {
    constexpr std::size_t outage_calls = 4;
    const std::size_t calls_before = fleet.store_of(host).calls().size();
    fleet.store_of(host).set_fault(store_fault::unavailable);
    REQUIRE(wait_for(
        [&] { return fleet.store_of(host).calls().size() >= calls_before + outage_calls; }));
}

}  // namespace

// Guards against: a target that had left got requests again, because a host that had lost the store
// passed on its list with the entries that it keeps after an outage.
TEST_CASE("a target that left does not come back with the list of a host that lost the store",
          "[promise-leaving]") {
    store_fleet fleet({"orders", "orders", "orders"});
    fleet.start_all();
    begin_outage(fleet, 3);
    fleet.remove_entry(2);
    REQUIRE(
        wait_for([&] { return fleet.log_of(1).find("\"removed\":\"i-2\"") != std::string::npos; }));
    const std::size_t log_at_removal = fleet.log_of(1).find("\"removed\":\"i-2\"");
    const std::size_t runs_at_removal = fleet.target(2).total_runs();
    // The store of host 3 has one revision more than that of host 1.
    fleet.store_of(3).put("op/note", "changes no target");
    const std::int64_t version = fleet.status_number(1, "/configuration/hosts/version");
    reader_thread reads(fleet, 1);
    fleet.store_of(3).set_fault(store_fault::none);
    REQUIRE(
        wait_for([&] { return fleet.status_number(1, "/configuration/hosts/version") > version; }));
    const std::uint64_t sent = reads.sent();
    REQUIRE(wait_for([&] { return reads.sent() >= sent + 100; }));
    CHECK(fleet.log_of(1).find("\"added\":\"i-2\"", log_at_removal) == std::string::npos);
    CHECK(fleet.target(2).total_runs() == runs_at_removal);
}

// Guards against: requests to a target that had said in its responses that it is leaving, while the
// platform's list still showed it as ready.
TEST_CASE("a target that says in a response that it is leaving gets no further requests",
          "[promise-leaving]") {
    store_fleet fleet({"orders", "orders", "orders"});
    fleet.start_all();
    fleet.set_target(2, {.headers_ = {{"server-leaving", "1"}}});
    caller caller;
    int sent = 0;
    const auto send_through = [&](std::size_t caller_proxy, const std::string& method) {
        const std::string id = "request-" + std::to_string(sent++);
        return caller.send(fleet.request_to("orders", caller_proxy, id, method));
    };
    REQUIRE(wait_for([&] { return send_through(1, "GET").header("server-leaving") == "1"; }));
    const std::size_t runs_before = fleet.target(2).total_runs();
    for (int i = 0; i < 60; ++i) {
        CHECK(send_through(1, "GET").status_ == 200);
        CHECK(send_through(1, "POST").status_ == 200);
    }
    CHECK(fleet.target(2).total_runs() == runs_before);
    // The other caller proxies hear of it from its target proxy.
    REQUIRE(wait_for(
        [&] { return fleet.log_of(3).find("leaving_target_excluded") != std::string::npos; }));
    for (int i = 0; i < 60; ++i) {
        CHECK(send_through(3, "GET").status_ == 200);
    }
    CHECK(fleet.target(2).total_runs() == runs_before);
    SECTION("and gets requests again once it is started anew under its id") {
        fleet.set_target(2, {});
        fleet.restart_target(2);
        fleet.write_entry(2, "ready");
        REQUIRE(wait_for([&] {
            send_through(1, "GET");
            return fleet.target(2).total_runs() > runs_before;
        }));
    }
    SECTION("although its target proxy is killed and started again") {
        fleet.kill(2);
        fleet.start(2);
        REQUIRE(wait_for([&] { return fleet.status_number(1, "/links_open") >= 3; }));
        for (int i = 0; i < 60; ++i) {
            CHECK(send_through(1, "GET").status_ == 200);
        }
        CHECK(fleet.target(2).total_runs() == runs_before);
    }
}

// Guards against: requests that waited for a slot of a target reached it after it had said in a
// response that it is leaving.
TEST_CASE("requests that wait for a target when it says that it is leaving go to another one",
          "[promise-leaving]") {
    store_fleet fleet({"orders", "orders"}, 1);
    fleet.start_all();
    fleet.set_target(1, {.delay_ = std::chrono::milliseconds(300)});
    fleet.set_target(
        2, {.delay_ = std::chrono::milliseconds(1500), .headers_ = {{"server-leaving", "1"}}});
    constexpr int order_count = 8;
    std::vector<std::future<caller_response>> responses;
    responses.reserve(order_count);
    for (int i = 0; i < order_count; ++i) {
        responses.push_back(send_in_background(
            fleet.request_to("orders", 1, "order-" + std::to_string(i), "POST")));
    }
    REQUIRE(wait_for([&] { return fleet.target(2).total_runs() == 1; }));
    for (std::future<caller_response>& response : responses) {
        CHECK(response.get().status_ == 200);
    }
    CHECK(fleet.target(2).total_runs() == 1);
    CHECK(fleet.target(1).total_runs() == order_count - 1);
}

// Guards against: a request reached a leaving target a second time, because the target proxy sent
// it again when the target had closed the kept connection that carried it.
TEST_CASE("a request whose connection a leaving target closes goes to another target",
          "[promise-leaving]") {
    store_fleet fleet({"orders", "orders"});
    fleet.start_all();
    caller caller;
    int sent = 0;
    // The target proxies keep the connections that carried these requests.
    REQUIRE(wait_for([&] {
        caller.send(fleet.request_to("orders", 1, "first-" + std::to_string(sent++), "GET"));
        return fleet.target(2).total_runs() >= 1 && fleet.target(1).total_runs() >= 1;
    }));
    const std::size_t runs_before = fleet.target(2).total_runs();
    fleet.set_target(
        2, {.mode_ = target_mode::close_after_run, .delay_ = std::chrono::milliseconds(1500)});
    std::vector<std::future<caller_response>> responses;
    REQUIRE(wait_for([&] {
        const std::string id = "read-" + std::to_string(responses.size());
        responses.push_back(send_in_background(fleet.request_to("orders", 1, id, "GET")));
        return fleet.target(2).total_runs() > runs_before;
    }));
    fleet.write_entry(2, "draining");
    REQUIRE(
        wait_for([&] { return fleet.log_of(2).find("\"leaving\":\"i-2\"") != std::string::npos; }));
    for (std::future<caller_response>& response : responses) {
        CHECK(response.get().status_ == 200);
    }
    for (const auto& [id, runs] : fleet.target(2).runs()) {
        INFO(id);
        CHECK(runs == 1);
    }
}
