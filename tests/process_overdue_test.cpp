// Targets that stop responding to the requests that they run, while everything else looks fine.
#include <catch2/catch.hpp>

#include <csignal>
#include <string>

#include "support/plans.h"
#include "support/store_fleet.h"

using namespace dandelionridge::support;

// Guards against: a target that hangs was found only when its runs reached their deadlines, and
// reads waited there although another target was idle.
TEST_CASE("reads at a target that hangs are served by another one, which gets the next ones",
          "[overdue]") {
    store_fleet fleet({"orders", "orders"});
    fleet.start_all();
    caller caller;
    int sent = 0;
    const auto read = [&] {
        return caller.send(fleet.request_to("orders", 1, "read-" + std::to_string(sent++), "GET"))
            .status_;
    };
    fleet.set_target(1, {.delay_ = std::chrono::milliseconds(50)});
    fleet.set_target(2, {.delay_ = std::chrono::milliseconds(50)});
    // The processes learn how long runs take.
    REQUIRE(wait_for([&] {
        return read() == 200 && fleet.target(1).total_runs() >= 5 &&
               fleet.target(2).total_runs() >= 5;
    }));
    fleet.set_target(2, {.mode_ = target_mode::hang});
    const std::size_t runs_before = fleet.target(2).total_runs();
    constexpr int read_count = 40;
    for (int i = 0; i < read_count; ++i) {
        CHECK(read() == 200);
    }
    const std::size_t hung_runs = fleet.target(2).total_runs() - runs_before;
    CHECK(hung_runs < read_count / 2);
    REQUIRE(wait_for([&] { return read() == 200 && fleet.target(2).total_runs() > runs_before; }));
    CHECK(fleet.log_of(2).find("target_ejected") != std::string::npos);
}

// Guards against: a request was broken off during a planned stop although its target was at work,
// and then refused.
TEST_CASE("during a planned stop an overdue read stays at its target", "[overdue]") {
    store_fleet fleet({"orders", "orders", "catalogue"}, 20,
                      "drain_bound = 20s\ndrain_idle = 5s\n");
    fleet.start_all();
    const auto read = [&](const std::string& id) {
        return send_in_background(fleet.request_to("orders", 3, id, "GET"));
    };
    fleet.set_target(1, {.delay_ = std::chrono::milliseconds(50)});
    fleet.set_target(2, {.delay_ = std::chrono::milliseconds(50)});
    int sent = 0;
    REQUIRE(wait_for([&] {
        return read("first-" + std::to_string(sent++)).get().status_ == 200 &&
               fleet.target(1).total_runs() >= 5 && fleet.target(2).total_runs() >= 5;
    }));
    fleet.set_target(1, {.delay_ = std::chrono::seconds(2)});
    fleet.set_target(2, {.delay_ = std::chrono::seconds(2)});
    const std::size_t runs_before = fleet.target(1).total_runs() + fleet.target(2).total_runs();
    fleet.host(3).send_signal(SIGTERM);
    REQUIRE(wait_for([&] { return fleet.log_of(3).find("draining") != std::string::npos; }));
    CHECK(read("overdue").get().status_ == 200);
    CHECK(fleet.target(1).total_runs() + fleet.target(2).total_runs() == runs_before + 1);
    CHECK(fleet.host(3).wait() == 0);
}
