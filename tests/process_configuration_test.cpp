// An accepted version of the configuration comes into force on every host and is never reverted.
#include <catch2/catch.hpp>

#include "support/plans.h"

using namespace dandelionridge::support;

namespace {

constexpr const char* rules_version_pointer = "/configuration/rules/version";

bool in_force_on_all_hosts(const fleet& fleet, std::int64_t version) {
    for (const std::string& host : fleet.host_names()) {
        if (fleet.status_number(host, rules_version_pointer) != version) {
            return false;
        }
    }
    return true;
}

fleet_plan five_hosts_per_zone_plan() {
    std::vector<std::string> zones;
    for (const char* zone : {"z1", "z2"}) {
        zones.insert(zones.end(), 5, zone);
    }
    return orders_plan(zones, {"h2"}, "slots=5");
}

}  // namespace

TEST_CASE("a published version comes into force on every host", "[promise-configuration]") {
    fleet fleet(five_hosts_per_zone_plan());
    fleet.start_all();
    std::vector<std::string> rules = fleet.rules();
    for (int version = 2; version <= 5; ++version) {
        rules.push_back("organisation o" + std::to_string(version) +
                        " rate=1/s burst=1 # the test");
        fleet.publish_rules(rules);
        CHECK(wait_for([&] { return in_force_on_all_hosts(fleet, version); }));
    }
}

TEST_CASE("a stale platform and restarts do not revert a version", "[promise-configuration]") {
    fleet fleet(five_hosts_per_zone_plan());
    fleet.start_all();
    const std::vector<std::string> old_rules = fleet.rules();
    std::vector<std::string> rules = old_rules;
    rules.push_back("organisation late rate=1/s burst=1 # the test");
    fleet.publish_rules(rules);
    REQUIRE(wait_for([&] { return in_force_on_all_hosts(fleet, 2); }));
    fleet.platform().publish_stale("rules", 1, old_rules);
    for (const char* host : {"h1", "h2", "h7"}) {
        fleet.kill(host);
        fleet.start(host);
        // A host obtains its peers' version before it reports that it serves.
        CHECK(fleet.status_number(host, rules_version_pointer) == 2);
    }
    CHECK(in_force_on_all_hosts(fleet, 2));
}

TEST_CASE("a version with an invalid rule line leaves the previous version in force",
          "[promise-configuration]") {
    fleet fleet(orders_plan({"z1", "z1"}, {"h2"}, "slots=5"));
    fleet.start_all();
    std::vector<std::string> rules = fleet.rules();
    rules.push_back("organisation nobody rate=1/s burst=1");
    fleet.publish_rules(rules);
    CHECK(wait_for([&] {
        return fleet.admin("h1", "/status").find("names nobody") != std::string::npos ||
               fleet.admin("h2", "/status").find("names nobody") != std::string::npos;
    }));
    CHECK(in_force_on_all_hosts(fleet, 1));
    caller caller;
    CHECK(caller.send(order_request(fleet, "h1", "a", "POST")).status_ == 200);
    rules.back() += " # the test";
    fleet.publish_rules(rules);
    CHECK(wait_for([&] { return in_force_on_all_hosts(fleet, 3); }));
}

TEST_CASE("requests are served while the platform is unavailable", "[promise-configuration]") {
    fleet_plan plan = five_hosts_per_zone_plan();
    plan.extra_settings_ = "freshness_bound = 2s\n";
    fleet fleet(plan);
    fleet.start_all();
    fleet.platform().set_unavailable(true);
    // Longer than freshness_bound, after which a confirmation by the platform no longer counts.
    REQUIRE(wait_for([&] { return fleet.status_number("h1", "/confirmed_age_ms") > 4000; }));
    caller caller;
    for (int i = 0; i < 20; ++i) {
        CHECK(caller.send(order_request(fleet, "h1", "p" + std::to_string(i), "POST")).status_ ==
              200);
    }
}

// Guards against: the metrics could not show that a host was busy sending its configuration.
TEST_CASE("the metrics show the bytes exchanged with peers by kind, and the open links",
          "[metrics]") {
    fleet fleet(orders_plan({"z1", "z1"}, {"h2"}, "slots=5"));
    fleet.start_all();
    caller caller;
    REQUIRE(caller.send(order_request(fleet, "h1", "a", "GET")).status_ == 200);
    const auto has_line = [&](const std::string& line) {
        return fleet.admin("h1", "/metrics").find("\n" + line) != std::string::npos;
    };
    CHECK(has_line("# TYPE dandelionridge_peer_sent_bytes_total counter\n"));
    for (const std::string direction : {"sent", "received"}) {
        const std::string name = "dandelionridge_peer_" + direction + "_bytes_total";
        for (const char* kind : {"request", "liveness"}) {
            INFO(direction << " " << kind);
            CHECK(has_line(name + "{kind=\"" + kind + "\"} "));
            CHECK_FALSE(has_line(name + "{kind=\"" + kind + "\"} 0\n"));
        }
        CHECK(has_line(name + "{kind=\"configuration\"} "));
    }
    // Each host has a link to both hosts, its own included.
    CHECK(has_line("dandelionridge_links_open 2\n"));
}
