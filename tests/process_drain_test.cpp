// Requests that arrive at any time of a planned stop: what is accepted is answered, and what cannot
// end in time is refused with a true "not run".
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "support/plans.h"
#include "support/store_fleet.h"

using namespace dandelionridge::support;

// Guards against: requests that came late in the time of a planned stop were accepted and passed
// on, and given up at its end, among them some that may not be repeated.
TEST_CASE("a request that arrives during a planned stop is answered or refused as not run",
          "[planned-stop]") {
    constexpr std::chrono::milliseconds interval(300);
    constexpr int request_count = 22;
    store_fleet fleet({"orders", "orders", "orders"}, 50, "drain_bound = 6s\n");
    fleet.start_all();
    for (std::size_t host = 1; host <= 3; ++host) {
        fleet.set_target(host, {.delay_ = std::chrono::seconds(3)});
    }
    // The processes learn how long runs take.
    std::vector<std::future<caller_response>> responses;
    responses.reserve(request_count);
    for (int i = 0; i < 12; ++i) {
        responses.push_back(send_in_background(fleet.request_to(
            "orders", 1, "first-" + std::to_string(i), i % 2 == 0 ? "GET" : "POST")));
    }
    for (std::future<caller_response>& response : responses) {
        CHECK(response.get().status_ == 200);
    }
    responses.clear();
    fleet.host(1).send_signal(SIGTERM);
    for (int i = 0; i < request_count; ++i) {
        responses.push_back(send_in_background(fleet.request_to(
            "orders", 1, "late-" + std::to_string(i), i % 2 == 0 ? "POST" : "GET")));
        std::this_thread::sleep_for(interval);
    }
    int served = 0;
    int refused = 0;
    for (int i = 0; i < request_count; ++i) {
        INFO("request " << i);
        const caller_response response = responses[static_cast<std::size_t>(i)].get();
        const bool refused_as_not_run =
            response.connect_failed_ || (response.complete_ && response.outcome() == "not_run");
        CHECK((response.status_ == 200 || refused_as_not_run));
        served += response.status_ == 200 ? 1 : 0;
        refused += response.outcome() == "not_run" ? 1 : 0;
    }
    CHECK(served > 0);
    CHECK(refused > 0);
    CHECK(fleet.host(1).wait() == 0);
}

TEST_CASE("a run's own calls are answered during a planned stop of its host", "[planned-stop]") {
    store_fleet fleet({"orders", "catalogue", "catalogue"}, 50, "drain_bound = 6s\n");
    fleet.start_all();
    fleet.set_target(1, {.delay_ = std::chrono::seconds(4)});
    auto order = send_in_background(fleet.request_to("orders", 2, "order", "POST"));
    REQUIRE(wait_for([&] { return fleet.target(1).total_runs() == 1; }));
    fleet.host(1).send_signal(SIGTERM);
    int answered = 0;
    for (int i = 0; order.wait_for(std::chrono::milliseconds(50)) != std::future_status::ready;
         ++i) {
        INFO("call " << i);
        // A new connection for each call, as a run makes it.
        caller run;
        const caller_response response =
            run.send(store_fleet::nested_request_to("catalogue", 1, "call-" + std::to_string(i)));
        if (order.wait_for(std::chrono::seconds(0)) == std::future_status::ready) {
            break;
        }
        CHECK(response.status_ == 200);
        ++answered;
    }
    CHECK(order.get().status_ == 200);
    CHECK(answered > 0);
    CHECK(fleet.host(1).wait() == 0);
}

// Guards against: a call that a run made late in a planned stop was given up by the stopping host
// although its target was still at work on it.
TEST_CASE("a call whose target turns slow late in a planned stop gets the target's own response",
          "[planned-stop]") {
    constexpr std::chrono::seconds call_delay(20);
    constexpr std::chrono::milliseconds response_lag(20);
    store_fleet fleet({"orders", "catalogue", "catalogue"}, 50, "drain_bound = 10s\n");
    fleet.start_all();
    const auto call = [&](const std::string& id) {
        caller run;
        return run.send(store_fleet::nested_request_to("catalogue", 1, id));
    };
    for (int i = 0; i < 10; ++i) {
        CHECK(call("first-" + std::to_string(i)).status_ == 200);
    }
    // The run on the stopping host keeps it listening.
    fleet.set_target(1, {.delay_ = call_delay});
    auto order = send_in_background(fleet.request_to("orders", 2, "order", "POST"));
    REQUIRE(wait_for([&] { return fleet.target(1).total_runs() == 1; }));
    fleet.host(1).send_signal(SIGTERM);
    for (const std::size_t host : {std::size_t{2}, std::size_t{3}}) {
        fleet.set_target(host, {.delay_ = call_delay, .deadline_response_lag_ = response_lag});
    }
    REQUIRE(wait_for([&] { return fleet.log_of(1).find("draining") != std::string::npos; }));
    const caller_response response = call("late");
    CHECK(response.complete_);
    CHECK(response.status_ == 504);
    CHECK(response.header("x-response-seal") == "seal");
    CHECK(response.outcome().empty());
    CHECK(order.get().outcome() == "unknown");
    CHECK(fleet.host(1).wait() == 0);
}

// Guards against: a request that waited for a slot of the target of a stopping host was sent to it
// so late that its run was cut when the process ended.
TEST_CASE("a request that waits at a stopping host is not begun there too late", "[planned-stop]") {
    constexpr std::size_t request_count = 6;
    store_fleet fleet({"orders", "orders", "catalogue"}, 1, "drain_bound = 6s\n");
    fleet.start_all();
    const auto send = [&](const std::string& id) {
        return send_in_background(fleet.request_to("orders", 3, id, "POST"));
    };
    const auto set_delay = [&](std::chrono::milliseconds delay) {
        fleet.set_target(1, {.delay_ = delay});
        fleet.set_target(2, {.delay_ = delay});
    };
    // The processes learn how long runs take.
    set_delay(std::chrono::milliseconds(1500));
    auto first = send("first-0");
    auto second = send("first-1");
    CHECK(first.get().status_ == 200);
    CHECK(second.get().status_ == 200);
    set_delay(std::chrono::seconds(4));
    std::vector<std::future<caller_response>> responses;
    for (std::size_t i = 0; i < request_count; ++i) {
        responses.push_back(send("held-" + std::to_string(i)));
    }
    REQUIRE(wait_for([&] { return fleet.status_number(1, "/guard/open") >= 2; }));
    fleet.host(1).send_signal(SIGTERM);
    std::size_t served = 0;
    for (std::size_t i = 0; i < request_count; ++i) {
        INFO("request " << i);
        const caller_response response = responses[i].get();
        const std::size_t runs = fleet.target(1).runs().count("held-" + std::to_string(i)) +
                                 fleet.target(2).runs().count("held-" + std::to_string(i));
        served += response.status_ == 200 ? 1 : 0;
        CHECK((response.status_ == 200 || response.outcome() == "not_run"));
        CHECK(runs == (response.status_ == 200 ? 1 : 0));
    }
    // The runs in progress at the time of the signal are completed.
    CHECK(served >= 2);
    CHECK(fleet.host(1).wait() == 0);
}

// Guards against: a stopping host ended while responses of its target were still queued for a
// caller proxy that read slowly, so that requests that had run were answered with a failure.
TEST_CASE("responses reach a slow caller proxy before a stopping host ends", "[planned-stop]") {
    constexpr std::size_t request_count = 20;
    constexpr std::uint64_t response_bytes = 900'000;
    store_fleet fleet({"orders", "catalogue"}, 30, "drain_bound = 15s\n");
    fleet.start_all();
    // Longer than the host listens after the signal.
    fleet.set_target(1, {.delay_ = std::chrono::seconds(3)});
    std::vector<std::future<caller_response>> responses;
    for (std::size_t i = 0; i < request_count; ++i) {
        const std::string id =
            "download-" + std::to_string(i) + "?bytes=" + std::to_string(response_bytes);
        responses.push_back(send_in_background(fleet.request_to("orders", 2, id, "GET")));
    }
    REQUIRE(wait_for([&] { return fleet.target(1).total_runs() == request_count; }));
    fleet.host(1).send_signal(SIGTERM);
    // Host 2 does not read while the responses arrive.
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    fleet.host(2).send_signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    fleet.host(2).send_signal(SIGCONT);
    for (std::size_t i = 0; i < request_count; ++i) {
        INFO("request " << i);
        const caller_response response = responses[i].get();
        CHECK(response.status_ == 200);
        CHECK(response.body_bytes_ == response_bytes);
    }
    CHECK(fleet.host(1).wait() == 0);
}

// Guards against: neither the response nor the logs told whether a planned stop or the deadline had
// ended a request.
TEST_CASE("what a planned stop ends is named as such", "[planned-stop]") {
    store_fleet fleet({"orders", "catalogue"}, 20, "drain_bound = 3s\n");
    fleet.start_all();
    fleet.set_target(1, {.mode_ = target_mode::hang});
    fleet.set_target(2, {.mode_ = target_mode::hang});
    auto run_on_host = send_in_background(fleet.request_to("orders", 2, "run", "POST"));
    auto call_of_host = send_in_background(fleet.request_to("catalogue", 1, "call", "POST"));
    REQUIRE(wait_for(
        [&] { return fleet.target(1).total_runs() == 1 && fleet.target(2).total_runs() == 1; }));
    fleet.host(1).send_signal(SIGTERM);
    const caller_response response = call_of_host.get();
    CHECK(response.outcome() == "unknown");
    CHECK(response.reason() == "stopping");
    CHECK(response.body_.find("check whether the work was done") != std::string::npos);
    CHECK(fleet.host(1).wait() == 0);
    CHECK(run_on_host.get().outcome() == "unknown");
    CHECK(fleet.log_of(1).find("run_cut") != std::string::npos);
}
