// Which attempts a guard takes for its host's target, as lists change.
#include <catch2/catch.hpp>

#include "node/admission.h"

using namespace dandelionridge;
using namespace dandelionridge::node;

namespace {

config::settings host_settings() {
    config::settings settings;
    settings.host_ = "10.0.0.1";
    settings.target_address_ = {"10.0.0.1", 8080};
    settings.target_service_ = "orders";
    return settings;
}

config::hosts_ptr list_with(const std::vector<std::string>& names, bool leaving) {
    std::vector<config::host_entry> hosts;
    config::host_entry own{"10.0.0.1", "z1", {"10.0.0.1", 7000}, leaving, {}};
    for (const std::string& name : names) {
        own.targets_.push_back({name, "orders", {"10.0.0.1", 8080}, 5, false});
    }
    if (!names.empty()) {
        hosts.push_back(own);
    }
    return *config::make_host_list(1, std::move(hosts));
}

wire::attempt_begin attempt_for(const std::string& target) {
    wire::attempt_begin begin;
    begin.target_name = target;
    begin.service_name = "orders";
    return begin;
}

}  // namespace

TEST_CASE("a target that the list has no more is leaving, one that it has not yet is not",
          "[node][promise-leaving]") {
    const config::settings settings = host_settings();
    const config::rule_set rules;
    std::set<std::string> before;
    const auto look = [&](const config::hosts_ptr& hosts, const std::string& target) {
        return find_target({rules, *hosts, settings, {}, before}, attempt_for(target));
    };
    const config::hosts_ptr first = list_with({"i-1"}, false);
    record_listed(before, *first, settings.host_);
    REQUIRE(look(first, "i-1"));
    CHECK_FALSE(look(first, "i-1")->leaving_);
    CHECK(look(first, "i-1")->slots_ == 5);
    // Started a moment ago: the list lags.
    REQUIRE(look(first, "i-2"));
    CHECK_FALSE(look(first, "i-2")->leaving_);
    // It said that it leaves.
    CHECK(look(list_with({"i-1"}, true), "i-1")->leaving_);
    // Its entry was removed without a word.
    const config::hosts_ptr none = list_with({}, false);
    record_listed(before, *none, settings.host_);
    CHECK(look(none, "i-1")->leaving_);
    // Another service's work is not for this host.
    wire::attempt_begin other = attempt_for("i-1");
    other.service_name = "archive";
    CHECK_FALSE(find_target({rules, *first, settings, {}, before}, other));
}
