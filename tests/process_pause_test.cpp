// Processes that stand still and wake again, with links that are idle meanwhile.
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "net/event_loop.h"
#include "support/plans.h"

using namespace dandelionridge;
using namespace dandelionridge::support;

namespace {

constexpr auto frozen_time = net::pause_threshold + std::chrono::milliseconds(500);

// One target beside h2, no retry of an attempt that may have run, and no traffic on idle links.
fleet_plan plan_without_retries() {
    fleet_plan plan = orders_plan({"z1", "z2"}, {"h2"}, "slots=5 timeout=20s");
    plan.extra_settings_ = "freshness = lenient\n[retries]\nratio = 0\nslack = 0\n";
    return plan;
}

// Longer than the pings on a link go on after its last frame.
constexpr auto idle_time = std::chrono::milliseconds(1000);

// Freezes a host, whose links have become idle, for as long as it then counts as a pause.
void freeze(fleet& fleet, const std::string& host) {
    std::this_thread::sleep_for(idle_time);
    fleet.host(host).send_signal(SIGSTOP);
    std::this_thread::sleep_for(frozen_time);
}

bool log_contains(const fleet& fleet, const std::string& host, const std::string& text) {
    return fleet.log_of(host).find(text) != std::string::npos;
}

// Returns true if no attempt of a host was on a link when that was lost.
bool no_attempt_in_doubt(const fleet& fleet, const std::string& host) {
    return !log_contains(fleet, host, R"("in_doubt":"1")");
}

}  // namespace

// Guards against: a request was sent on a link of before a freeze of its host and lost with it, and
// a read of it was answered with 504.
TEST_CASE("a request that arrives when its host wakes is sent on a new link", "[pause]") {
    fleet fleet(plan_without_retries());
    fleet.start_all();
    const std::string method = GENERATE("GET", "POST");
    freeze(fleet, "h1");
    auto request = send_in_background(order_request(fleet, "h1", "a", method));
    fleet.host("h1").send_signal(SIGCONT);
    CHECK(request.get().status_ == 200);
    CHECK(fleet.runs_of("a") == 1);
    CHECK(no_attempt_in_doubt(fleet, "h1"));
}

// Guards against: links to a host that had been frozen stayed open until their next request, which
// was lost with them.
TEST_CASE("a host that wakes ends the links to it before the next request", "[pause]") {
    fleet fleet(plan_without_retries());
    fleet.start_all();
    freeze(fleet, "h2");
    fleet.host("h2").send_signal(SIGCONT);
    REQUIRE(wait_for([&] { return log_contains(fleet, "h1", R"("event":"link_lost")"); }));
    REQUIRE(wait_for([&] { return fleet.has_links_to_all("h1"); }));
    caller caller;
    CHECK(caller.send(order_request(fleet, "h1", "a", "GET")).status_ == 200);
    CHECK(fleet.runs_of("a") == 1);
    CHECK(no_attempt_in_doubt(fleet, "h1"));
}

// Guards against: each of several hosts that stand still was found only by a request that was lost
// to it.
TEST_CASE("a silent host is a reason to check the links to the others", "[pause]") {
    const std::vector<std::string> silent_hosts = {"h2", "h3", "h4"};
    fleet_plan plan = orders_plan({"z1", "z2", "z2", "z2"}, silent_hosts, "slots=5 timeout=20s");
    plan.extra_settings_ = "freshness = lenient\n";
    fleet fleet(plan);
    fleet.start_all();
    std::this_thread::sleep_for(idle_time);
    for (const std::string& host : silent_hosts) {
        fleet.host(host).send_signal(SIGSTOP);
    }
    auto request = send_in_background(order_request(fleet, "h1", "a", "POST"));
    CHECK(wait_for([&] { return fleet.status_number("h1", "/links_open") == 1; }));
    for (const std::string& host : silent_hosts) {
        fleet.host(host).send_signal(SIGCONT);
    }
    request.get();
    CHECK(fleet.runs_of("a") <= 1);
}

// Guards against: a process that stood still ejected its own targets when it woke, because their
// runs seemed to have taken too long.
TEST_CASE("a host that wakes does not eject its targets for runs of before", "[pause]") {
    fleet fleet(plan_without_retries());
    fleet.start_all();
    caller caller;
    fleet.target("t1").set({.delay_ = std::chrono::milliseconds(300)});
    for (int i = 0; i < 5; ++i) {
        CHECK(caller.send(order_request(fleet, "h1", "r" + std::to_string(i), "GET")).status_ ==
              200);
    }
    fleet.target("t1").set({.delay_ = std::chrono::seconds(1)});
    auto request = send_in_background(order_request(fleet, "h1", "a", "POST"));
    REQUIRE(wait_for([&] { return fleet.runs_of("a") == 1; }));
    fleet.host("h2").send_signal(SIGSTOP);
    std::this_thread::sleep_for(frozen_time);
    fleet.host("h2").send_signal(SIGCONT);
    request.get();
    REQUIRE(wait_for([&] { return fleet.has_links_to_all("h1"); }));
    CHECK_FALSE(log_contains(fleet, "h2", "target_ejected"));
}
