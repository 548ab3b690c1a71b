// The whole path through real processes: entry on one host, guard on another, target.
#include <catch2/catch.hpp>

#include "support/fleet.h"

using namespace dandelionridge::support;

namespace {

fleet_plan two_hosts() {
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

TEST_CASE("a request goes from an entry through another host's guard to a target", "[path]") {
    fleet fleet(two_hosts());
    fleet.start_all();
    caller caller;
    const auto answer = caller.send({.url_ = fleet.caller_address_of("h1") + "/orders/7?a=b%20c",
                                     .headers_ = {authorization, "X-Request-Id: r1"}});
    CHECK(answer.complete_);
    CHECK(answer.status_ == 200);
    CHECK(answer.header("x-request-id") == "r1");
    CHECK(answer.body_.starts_with("t1 GET /orders/7?a=b%20c "));
    CHECK(fleet.runs_of("r1") == 1);
    CHECK(fleet.target("t1").transcript().find("x-organisation: bends") != std::string::npos);

    const auto posted = caller.send({.method_ = "POST",
                                     .url_ = fleet.caller_address_of("h1") + "/orders",
                                     .headers_ = {authorization, "X-Request-Id: r2"},
                                     .body_ = std::string(100'000, 'x')});
    CHECK(posted.complete_);
    CHECK(posted.status_ == 200);
    CHECK(posted.body_.find(sha256_of(std::string(100'000, 'x'))) != std::string::npos);
    CHECK(fleet.runs_of("r2") == 1);
}

TEST_CASE("a slow target is given the whole timeout of its service", "[path]") {
    fleet_plan plan = two_hosts();
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
    const auto answer = caller.send(
        {.url_ = fleet.caller_address_of("h1") + "/orders/slow", .headers_ = {authorization}});
    CHECK(answer.status_ == 200);
}

TEST_CASE("a large download passes both processes without growing them", "[path]") {
    fleet fleet(two_hosts());
    fleet.start_all();
    caller caller;
    caller_request request{.url_ = fleet.caller_address_of("h1") + "/orders/d?bytes=1000000",
                           .headers_ = {authorization},
                           .discard_body_ = true};
    CHECK(caller.send(request).complete_);
    const std::size_t entry_before = fleet.host("h1").resident_bytes();
    const std::size_t guard_before = fleet.host("h2").resident_bytes();
    constexpr std::uint64_t size = 200'000'000;
    constexpr std::size_t allowed_growth = 16 * 1024 * 1024;
    request.url_ = fleet.caller_address_of("h1") + "/orders/d?bytes=" + std::to_string(size);
    const auto answer = caller.send(request);
    CHECK(answer.complete_);
    CHECK(answer.body_bytes_ == size);
    CHECK(answer.body_sha256_ == sha256_of(download_bytes("/orders/d?bytes=200000000", 0, size)));
    CHECK(fleet.host("h1").resident_bytes() < entry_before + allowed_growth);
    CHECK(fleet.host("h2").resident_bytes() < guard_before + allowed_growth);
}
