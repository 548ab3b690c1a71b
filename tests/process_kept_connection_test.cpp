// Kept connections of callers: a request that was passed on to a target is always answered before
// its connection ends.
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "net/event_loop.h"
#include "support/kept_traffic.h"
#include "support/plans.h"

using namespace dandelionridge;
using namespace dandelionridge::support;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t callers = 12;
constexpr std::size_t requests_per_phase = 600;

const std::vector<std::string> all_hosts = {"h1", "h2", "h3"};

fleet_plan three_hosts_plan() {
    fleet_plan plan = orders_plan({"z1", "z1", "z2"}, all_hosts, "slots=40 timeout=20s");
    plan.extra_settings_ = "drain_bound = 8s\n";
    return plan;
}

std::string idle_timeout_line(milliseconds timeout) {
    return "limits callers idle_timeout=" + std::to_string(timeout.count()) + "ms # the test";
}

// Reads and posts in turn, each caller at one of the hosts.
kept_traffic_plan traffic_at(const fleet& fleet, const std::vector<std::string>& hosts) {
    kept_traffic_plan plan;
    plan.callers_ = callers;
    plan.request_ = [&fleet, hosts](std::size_t caller, const std::string& id) {
        const char* method = id.back() % 2 == 0 ? "GET" : "POST";
        return order_request(fleet, hosts[caller % hosts.size()], id, method);
    };
    return plan;
}

// Checks that no request was passed on whose connection then ended without an answer. Returns how
// many requests got no answer.
std::size_t check_none_lost(const fleet& fleet, const std::vector<kept_exchange>& exchanges) {
    const std::vector<std::string> cut = ids_ended(exchanges, exchange_end::cut);
    std::vector<std::string> lost;
    for (const std::string& id : cut) {
        if (fleet.runs_of(id) > 0) {
            lost.push_back(id);
        }
    }
    const auto timed_out = ids_ended(exchanges, exchange_end::timed_out);
    CAPTURE(lost, timed_out);
    CHECK(lost.empty());
    CHECK(timed_out.empty());
    return cut.size();
}

void freeze_and_wake(fleet& fleet, const std::vector<std::string>& hosts) {
    for (const std::string& host : hosts) {
        fleet.host(host).send_signal(SIGSTOP);
    }
    std::this_thread::sleep_for(net::pause_threshold + milliseconds(500));
    for (const std::string& host : hosts) {
        fleet.host(host).send_signal(SIGCONT);
    }
}

}  // namespace

// Guards against: a connection was closed as idle although a request had come on it and was passed
// on (LOST).
TEST_CASE("a connection that closes as idle takes no request with it", "[kept-connection]") {
    constexpr milliseconds idle_timeout(60);
    constexpr milliseconds deviation(6);
    fleet_plan plan = three_hosts_plan();
    plan.rules_.push_back(idle_timeout_line(idle_timeout));
    fleet fleet(plan);
    fleet.start_all();
    kept_traffic_plan callers_plan = traffic_at(fleet, all_hosts);
    callers_plan.min_pause_ = idle_timeout - deviation;
    callers_plan.max_pause_ = idle_timeout + deviation;
    kept_traffic traffic(callers_plan);
    REQUIRE(traffic.wait_for_requests(2 * requests_per_phase));
    const auto exchanges = traffic.finish();
    const std::size_t unanswered = check_none_lost(fleet, exchanges);
    CHECK(traffic.connections() > callers);
    CHECK(unanswered < exchanges.size() / 2);
}

// Guards against: a stopping host passed a request of a kept connection on and ended before it had
// answered (LOST).
TEST_CASE("a planned stop takes no request on a kept connection with it", "[kept-connection]") {
    fleet fleet(three_hosts_plan());
    fleet.start_all();
    for (const char* target : {"t1", "t2", "t3"}) {
        fleet.target(target).set({.delay_ = milliseconds(50)});
    }
    // The callers of h2 keep on using their connections until the process is gone.
    kept_traffic traffic(traffic_at(fleet, all_hosts));
    REQUIRE(traffic.wait_for_requests(requests_per_phase));
    fleet.host("h2").send_signal(SIGTERM);
    CHECK(fleet.host("h2").wait() == 0);
    REQUIRE(traffic.wait_for_requests(requests_per_phase));
    check_none_lost(fleet, traffic.finish());
}

// Guards against: requests on kept connections of calm hosts ended without an answer because other
// hosts stood still and woke (LOST).
TEST_CASE("kept connections outlive the freezes of other hosts", "[kept-connection]") {
    fleet_plan plan = three_hosts_plan();
    plan.extra_settings_ += "freshness = lenient\n";
    fleet fleet(plan);
    fleet.start_all();
    kept_traffic traffic(traffic_at(fleet, {"h1"}));
    for (int freezes = 0; freezes < 2; ++freezes) {
        REQUIRE(traffic.wait_for_requests(requests_per_phase));
        freeze_and_wake(fleet, {"h2", "h3"});
    }
    REQUIRE(traffic.wait_for_requests(requests_per_phase));
    const std::size_t unanswered = check_none_lost(fleet, traffic.finish());
    CHECK(unanswered == 0);
    CHECK(traffic.connections() == callers);
}

// Guards against: a host that had stood still for longer than the idle timeout closed connections
// whose next requests had arrived.
TEST_CASE("a request that arrives in a freeze is answered on its connection", "[kept-connection]") {
    fleet_plan plan = three_hosts_plan();
    plan.extra_settings_ += "freshness = lenient\n";
    plan.rules_.push_back(idle_timeout_line(milliseconds(1000)));
    fleet fleet(plan);
    fleet.start_all();
    kept_caller caller;
    REQUIRE(caller.send(order_request(fleet, "h1", "before", "GET")).status_ == 200);
    fleet.host("h1").send_signal(SIGSTOP);
    std::thread waking([&] {
        std::this_thread::sleep_for(net::pause_threshold + milliseconds(500));
        fleet.host("h1").send_signal(SIGCONT);
    });
    const kept_response response = caller.send(order_request(fleet, "h1", "in-freeze", "GET"));
    waking.join();
    CHECK(response.end_ == exchange_end::answered);
    CHECK(caller.connections() == 1);
}
