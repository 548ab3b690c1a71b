// Tests of the order in which the loop runs posted tasks and destroys them.
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "net/event_loop.h"

using namespace dandelionridge;

// Guards against: a stub's handlers were destroyed after the stub, because its destructor's task
// had been taken from the queue together with their deferred destruction.
TEST_CASE("run_deferred() runs and destroys the tasks that were posted before it", "[net]") {
    const base::runtime_clock clock;
    const auto loop = std::move(net::event_loop::create(clock).value());
    auto owned = std::make_shared<int>(7);
    const std::weak_ptr<int> alive = owned;
    bool second_ran = false;
    bool destroyed = false;
    loop->post([&] {
        loop->run_deferred();
        destroyed = alive.expired();
    });
    loop->post([&second_ran, held = std::move(owned)] { second_ran = true; });
    loop->run_once();
    CHECK(second_ran);
    CHECK(destroyed);
}

TEST_CASE("tasks run in the order in which they were posted", "[net]") {
    const base::runtime_clock clock;
    const auto loop = std::move(net::event_loop::create(clock).value());
    std::vector<int> order;
    loop->post([&] {
        order.push_back(1);
        loop->defer([&] { order.push_back(3); });
    });
    loop->post([&] { order.push_back(2); });
    loop->run_deferred();
    CHECK(order == std::vector<int>{1, 2, 3});
}
