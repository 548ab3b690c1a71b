// Several hosts whose store comes back from a copy: what they know better stays in force, and what
// is written after it takes effect.
#include <catch2/catch.hpp>

#include "support/store_fleet.h"

using namespace dandelionridge::support;

namespace {

constexpr std::size_t host_count = 3;
constexpr const char* rules_version = "/configuration/rules/version";
constexpr const char* hosts_version = "/configuration/hosts/version";

bool in_force_everywhere(const store_fleet& fleet, std::int64_t version) {
    for (std::size_t host = 1; host <= host_count; ++host) {
        if (fleet.status_number(host, rules_version) != version) {
            return false;
        }
    }
    return true;
}

bool logged_everywhere(const store_fleet& fleet, const std::string& text) {
    for (std::size_t host = 1; host <= host_count; ++host) {
        if (fleet.log_of(host).find(text) == std::string::npos) {
            return false;
        }
    }
    return true;
}

// Sends a request to a route of the service "orders" through a host, and returns the status.
int status_of(std::size_t host, const std::string& prefix, const std::string& id) {
    caller caller;
    caller_request request = store_fleet::nested_request_to("orders", host, id);
    request.url_.replace(request.url_.find("/calls/"), std::string("/calls/").size(), prefix);
    return caller.send(request).status_;
}

}  // namespace

// Guards against an acknowledged configuration that a restore takes out of force, on hosts that
// know it and on one that is started when only its peers do.
TEST_CASE("a configuration that the copy lacks is in force on all hosts", "[restore]") {
    store_fleet fleet({"orders", "orders", "orders"});
    fleet.start_all();
    const auto copies = fleet.copy_stores();
    fleet.put("op/config", fleet.configuration("00000002", "/added/"));
    REQUIRE(wait_for([&] { return in_force_everywhere(fleet, 2); }));
    fleet.restore_stores(copies);
    fleet.kill(3);
    fleet.start(3);
    CHECK(wait_for([&] { return fleet.status_number(3, rules_version) == 2; }));
    REQUIRE(wait_for([&] { return logged_everywhere(fleet, "platform_restored"); }));
    CHECK(in_force_everywhere(fleet, 2));
    for (std::size_t host = 1; host <= host_count; ++host) {
        CHECK(status_of(host, "/added/", "added-" + std::to_string(host)) == 200);
    }
    fleet.put("op/config", fleet.configuration("00000004", "/later/"));
    REQUIRE(wait_for([&] { return in_force_everywhere(fleet, 4); }));
    for (std::size_t host = 1; host <= host_count; ++host) {
        CHECK(status_of(host, "/later/", "later-" + std::to_string(host)) == 200);
        CHECK(status_of(host, "/added/", "gone-" + std::to_string(host)) == 404);
    }
}

// Guards against a route that is not served, since it was added under a revision that was given out
// before and no watch reports it.
TEST_CASE("a route added under revisions given out again is served", "[restore]") {
    store_fleet fleet({"orders", "orders", "orders"});
    fleet.start_all();
    const auto copies = fleet.copy_stores();
    fleet.put("op/config", fleet.configuration("00000002"));
    REQUIRE(wait_for([&] { return in_force_everywhere(fleet, 2); }));
    fleet.restore_stores(copies, {{"op/config", fleet.configuration("00000003", "/added/")},
                                  {"op/note", "raises the revision above that of before"}});
    REQUIRE(wait_for([&] { return in_force_everywhere(fleet, 3); }));
    for (std::size_t host = 1; host <= host_count; ++host) {
        CHECK(status_of(host, "/added/", "added-" + std::to_string(host)) == 200);
    }
}

// Guards against requests to a target that has said that it is leaving, since the copy shows it as
// ready, and against changes that are missed when the revisions pass those of before the restore.
TEST_CASE("a leaving target that the copy shows as ready gets no requests", "[restore]") {
    store_fleet fleet({"orders", "orders", "orders"});
    fleet.start_all();
    const auto copies = fleet.copy_stores();
    fleet.write_entry(2, "draining");
    REQUIRE(wait_for([&] { return logged_everywhere(fleet, "\"leaving\":\"i-2\""); }));
    const std::size_t runs_before = fleet.target(2).total_runs();
    const std::int64_t version_before = fleet.status_number(1, hosts_version);
    fleet.restore_stores(copies);
    for (std::size_t host = 1; host <= host_count; ++host) {
        REQUIRE(
            wait_for([&] { return fleet.status_number(host, hosts_version) > version_before; }));
    }
    for (int i = 0; i < 60; ++i) {
        CHECK(status_of(1, "/calls/", "one-" + std::to_string(i)) == 200);
        CHECK(status_of(3, "/calls/", "three-" + std::to_string(i)) == 200);
    }
    CHECK(fleet.target(2).total_runs() == runs_before);
    // The revisions pass those of before the restore, and changes go on taking effect.
    fleet.remove_entry(2);
    for (int i = 0; i < 5; ++i) {
        fleet.write_entry(1, "ready");
    }
    const std::size_t runs_of_third = fleet.target(3).total_runs();
    fleet.write_entry(3, "draining");
    REQUIRE(wait_for([&] { return logged_everywhere(fleet, "\"leaving\":\"i-3\""); }));
    const std::size_t runs_at_leaving = fleet.target(3).total_runs();
    CHECK(runs_of_third > 0);
    for (int i = 0; i < 60; ++i) {
        CHECK(status_of(1, "/calls/", "last-" + std::to_string(i)) == 200);
    }
    CHECK(fleet.target(3).total_runs() == runs_at_leaving);
}
