// Signals to reload and changes of the configuration, in series and at the same time, while callers
// use kept connections: they interrupt no request.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "support/kept_traffic.h"
#include "support/plans.h"

using namespace dandelionridge::support;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t callers = 12;
constexpr std::size_t requests_per_step = 100;
constexpr const char* reports_key = "reports-secret";

const std::vector<std::string> all_hosts = {"h1", "h2", "h3"};
const std::vector<std::string> order_targets = {"t1", "t2", "t3"};

// Beside "orders", whose rules allow all requests at all times, a service "reports" with a target
// of its own, whose rules change.
fleet_plan plan_with_reports() {
    fleet_plan plan = orders_plan({"z1", "z1", "z2"}, all_hosts, "slots=40 timeout=20s");
    plan.targets_.push_back({"t4", "reports", "h3"});
    plan.extra_settings_ = "drain_bound = 8s\n";
    return plan;
}

// Which of the rules of "reports" are in force.
struct reports_rules {
    bool route_ = true;
    bool key_ = true;
    std::string options_ = "slots=10 timeout=10s";
    std::string rate_ = "100000/s";
    std::string limits_;
};

std::vector<std::string> rules_with(const fleet& fleet, const reports_rules& reports) {
    std::vector<std::string> rules = fleet.rules();
    if (reports.key_) {
        const auto lines = organisation_lines("reports", reports_key, reports.rate_, 100);
        rules.insert(rules.end(), lines.begin(), lines.end());
    }
    if (reports.route_) {
        const auto lines = service_lines("reports", reports.options_);
        rules.insert(rules.end(), lines.begin(), lines.end());
    }
    if (!reports.limits_.empty()) {
        rules.push_back("limits callers " + reports.limits_ + " # the test");
    }
    return rules;
}

// Changes of each kind, in a random order.
std::vector<reports_rules> shuffled_changes(unsigned int seed) {
    std::vector<reports_rules> changes(9);
    changes[1].route_ = false;
    changes[2].key_ = false;
    changes[3].route_ = changes[3].key_ = false;
    changes[4].options_ = "slots=1 timeout=10s";
    changes[5].options_ = "slots=10 timeout=1s";
    changes[6].rate_ = "5/s";
    changes[7].limits_ = "idle_timeout=2s";
    changes[8].limits_ = "head_bytes=2048 body_bytes=4096";
    std::mt19937 random(seed);
    std::shuffle(changes.begin(), changes.end(), random);
    return changes;
}

caller_request reports_request(const fleet& fleet, const std::string& host, const std::string& id) {
    caller_request request;
    request.url_ = fleet.caller_address_of(host) + "/reports/" + id;
    request.headers_ = {std::string("Authorization: Bearer ") + reports_key, "X-Request-Id: " + id};
    return request;
}

// Callers of "orders", half of them with reads and half with posts.
kept_traffic_plan orders_plan_for(const fleet& fleet) {
    kept_traffic_plan plan;
    plan.callers_ = callers;
    plan.request_ = [&fleet](std::size_t caller, const std::string& id) {
        return order_request(fleet, all_hosts[caller % all_hosts.size()], id,
                             caller % 2 == 0 ? "GET" : "POST");
    };
    return plan;
}

kept_traffic_plan reports_plan_for(const fleet& fleet) {
    kept_traffic_plan plan;
    plan.callers_ = callers;
    plan.request_ = [&fleet](std::size_t caller, const std::string& id) {
        return reports_request(fleet, all_hosts[caller % all_hosts.size()], "r" + id);
    };
    plan.max_pause_ = milliseconds(10);
    return plan;
}

void signal_reload(fleet& fleet) {
    for (const std::string& host : all_hosts) {
        fleet.host(host).send_signal(SIGHUP);
    }
}

void check_all_served(const std::vector<kept_exchange>& exchanges) {
    std::vector<std::string> failed;
    for (const kept_exchange& exchange : exchanges) {
        if (exchange.end_ != exchange_end::answered || exchange.status_ != 200) {
            failed.push_back(exchange.id_ + " " + std::to_string(exchange.status_) + " " +
                             exchange.outcome_);
        }
    }
    CAPTURE(failed);
    CHECK(failed.empty());
}

// Checks that each request got a whole response, whatever it says.
void check_all_answered(const std::vector<kept_exchange>& exchanges) {
    const auto cut = ids_ended(exchanges, exchange_end::cut);
    const auto timed_out = ids_ended(exchanges, exchange_end::timed_out);
    CAPTURE(cut, timed_out);
    CHECK(cut.empty());
    CHECK(timed_out.empty());
}

}  // namespace

// Guards against: a signal to reload ended requests that were waiting, running or being answered
// (LOST).
TEST_CASE("signals to reload in series interrupt no request", "[reload]") {
    fleet fleet(plan_with_reports());
    fleet.start_all();
    for (const std::string& target : order_targets) {
        fleet.target(target).set({.delay_ = milliseconds(20)});
    }
    kept_traffic traffic(orders_plan_for(fleet));
    constexpr int signals = 20;
    for (int sent = 0; sent < signals; ++sent) {
        signal_reload(fleet);
        REQUIRE(traffic.wait_for_requests(requests_per_step));
    }
    check_all_served(traffic.finish());
    CHECK(traffic.connections() == callers);
}

// Guards against: a new configuration ended requests under way, those of the routes, keys, rates
// and limits that it changes and those of others (LOST).
TEST_CASE("changes of the configuration in series leave no request without an answer", "[reload]") {
    const unsigned int seed = GENERATE(1U, 2U, 3U);
    INFO("seed " << seed);
    fleet fleet(plan_with_reports());
    fleet.publish_rules(rules_with(fleet, {}));
    fleet.start_all();
    for (const std::string& target : order_targets) {
        fleet.target(target).set({.delay_ = milliseconds(20)});
    }
    fleet.target("t4").set({.delay_ = milliseconds(150)});
    kept_traffic orders(orders_plan_for(fleet));
    kept_traffic reports(reports_plan_for(fleet));
    for (const reports_rules& change : shuffled_changes(seed)) {
        fleet.publish_rules(rules_with(fleet, change));
        signal_reload(fleet);
        REQUIRE(orders.wait_for_requests(requests_per_step));
        REQUIRE(reports.wait_for_requests(callers));
        signal_reload(fleet);
    }
    check_all_served(orders.finish());
    check_all_answered(reports.finish());
}

// Guards against: requests at a target that the host list shows as leaving were ended, or those
// that waited for its slots (LOST).
TEST_CASE("targets that leave and return leave no request without an answer", "[reload]") {
    fleet fleet(plan_with_reports());
    fleet.start_all();
    for (const std::string& target : order_targets) {
        fleet.target(target).set({.delay_ = milliseconds(30)});
    }
    kept_traffic traffic(orders_plan_for(fleet));
    for (const char* leaving : {"h1", "h2", "h1", "h3"}) {
        REQUIRE(traffic.wait_for_requests(requests_per_step));
        fleet.publish_hosts({leaving});
        signal_reload(fleet);
        REQUIRE(traffic.wait_for_requests(requests_per_step));
        fleet.publish_hosts({});
    }
    REQUIRE(traffic.wait_for_requests(requests_per_step));
    check_all_served(traffic.finish());
}

// Guards against: a signal to reload or a new configuration during a planned stop ended the stop at
// once, or requests that it still completes (LOST).
TEST_CASE("a reload during a planned stop interrupts no request", "[reload]") {
    fleet fleet(plan_with_reports());
    fleet.publish_rules(rules_with(fleet, {}));
    fleet.start_all();
    fleet.target("t1").set({.delay_ = milliseconds(2000)});
    fleet.target("t2").set({.delay_ = milliseconds(2000)});
    fleet.target("t3").set({.delay_ = milliseconds(2000)});
    kept_traffic_plan plan;
    plan.callers_ = callers;
    plan.request_ = [&fleet](std::size_t /*caller*/, const std::string& id) {
        return order_request(fleet, "h2", id, "POST");
    };
    kept_traffic traffic(plan);
    REQUIRE(wait_for([&] { return fleet.all_runs().size() == callers; }));
    fleet.host("h2").send_signal(SIGTERM);
    for (const reports_rules& change : shuffled_changes(4)) {
        fleet.host("h2").send_signal(SIGHUP);
        fleet.publish_rules(rules_with(fleet, change));
        std::this_thread::sleep_for(milliseconds(100));
    }
    CHECK(fleet.host("h2").wait() == 0);
    std::vector<std::string> lost;
    for (const kept_exchange& exchange : traffic.finish()) {
        const bool unanswered = exchange.end_ != exchange_end::answered;
        const bool replaced = exchange.outcome_ == "unknown";
        if ((unanswered || replaced) && fleet.runs_of(exchange.id_) > 0) {
            lost.push_back(exchange.id_);
        }
    }
    CAPTURE(lost);
    CHECK(lost.empty());
}
