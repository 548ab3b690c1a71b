// The whole path through real processes: the caller proxy on one host, the target proxy on another,
// and the target.
#include <catch2/catch.hpp>

#include "support/fleet.h"

using namespace dandelionridge::support;

namespace {

fleet_plan two_hosts_plan() {
    fleet_plan plan;
    plan.host_zones_ = {"z1", "z2"};
    plan.targets_ = {{"t1", "orders", "h2"}};
    plan.rules_ = {zone_line("z1"), zone_line("z2")};
    for (const auto& lines : {organisation_lines("bends", "bends-secret", "1000/s", 1000),
                              service_lines("orders", "slots=5 timeout=5s")}) {
        plan.rules_.insert(plan.rules_.end(), lines.begin(), lines.end());
    }
    return plan;
}

const std::string authorization = "Authorization: Bearer bends-secret";

}  // namespace

TEST_CASE("a request passes a caller proxy and another host's target proxy to a target", "[path]") {
    fleet fleet(two_hosts_plan());
    fleet.start_all();
    caller caller;
    const auto response = caller.send({.url_ = fleet.caller_address_of("h1") + "/orders/7?a=b%20c",
                                       .headers_ = {authorization, "X-Request-Id: r1"}});
    CHECK(response.complete_);
    CHECK(response.status_ == 200);
    CHECK(response.header("x-request-id") == "r1");
    CHECK(response.body_.starts_with("t1 GET /orders/7?a=b%20c "));
    CHECK(fleet.runs_of("r1") == 1);
    CHECK(fleet.target("t1").transcript().find("x-organisation: bends") != std::string::npos);

    const auto post_response = caller.send({.method_ = "POST",
                                            .url_ = fleet.caller_address_of("h1") + "/orders",
                                            .headers_ = {authorization, "X-Request-Id: r2"},
                                            .body_ = std::string(100'000, 'x')});
    CHECK(post_response.complete_);
    CHECK(post_response.status_ == 200);
    CHECK(post_response.body_.find(sha256_of(std::string(100'000, 'x'))) != std::string::npos);
    CHECK(fleet.runs_of("r2") == 1);
}

TEST_CASE("a slow target may use the whole timeout of its service", "[path]") {
    fleet_plan plan = two_hosts_plan();
    plan.rules_.pop_back();
    plan.rules_.pop_back();
    for (const std::string& line : service_lines("orders", "slots=5 timeout=20s")) {
        plan.rules_.push_back(line);
    }
    fleet fleet(plan);
    fleet.start_all();
    // Longer than the HTTP library's default timeout of 5 s.
    fleet.target("t1").set({.delay_ = std::chrono::seconds(6)});
    caller caller;
    const auto response = caller.send(
        {.url_ = fleet.caller_address_of("h1") + "/orders/slow", .headers_ = {authorization}});
    CHECK(response.status_ == 200);
}

TEST_CASE("a large download raises the memory of each process by less than 16 MiB", "[path]") {
    fleet fleet(two_hosts_plan());
    fleet.start_all();
    caller caller;
    caller_request request{.url_ = fleet.caller_address_of("h1") + "/orders/d?bytes=1000000",
                           .headers_ = {authorization},
                           .discard_body_ = true};
    CHECK(caller.send(request).complete_);
    const std::size_t caller_proxy_bytes_before = fleet.host("h1").resident_bytes();
    const std::size_t target_proxy_bytes_before = fleet.host("h2").resident_bytes();
    constexpr std::uint64_t download_size_bytes = 200'000'000;
    constexpr std::size_t max_growth_bytes = 16 * 1024 * 1024;
    request.url_ =
        fleet.caller_address_of("h1") + "/orders/d?bytes=" + std::to_string(download_size_bytes);
    const auto response = caller.send(request);
    CHECK(response.complete_);
    CHECK(response.body_bytes_ == download_size_bytes);
    CHECK(response.body_sha256_ ==
          sha256_of(download_bytes("/orders/d?bytes=200000000", 0, download_size_bytes)));
    CHECK(fleet.host("h1").resident_bytes() < caller_proxy_bytes_before + max_growth_bytes);
    CHECK(fleet.host("h2").resident_bytes() < target_proxy_bytes_before + max_growth_bytes);
}
