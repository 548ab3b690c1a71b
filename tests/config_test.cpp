// Settings, rules, host lists and their versions: what is accepted, and the remedies in the errors
// for what is not.
#include <catch2/catch.hpp>

#include "base/hash.h"
#include "config/host_list.h"
#include "config/host_list_changes.h"
#include "config/rule_fields.h"
#include "config/rule_parser.h"
#include "config/settings.h"
#include "config/versioned_lines.h"
#include "control/configuration.h"

using namespace dandelionridge;
using namespace dandelionridge::config;

namespace {

const std::string valid_settings =
    "[host]\nname = h1\nzone = z1\n"
    "[listen]\ncallers = 127.0.0.1:8080\npeers = 127.0.0.1:7070\nadmin = 127.0.0.1:6060\n"
    "[platform]\naddress = 127.0.0.1:5050\n";

struct text_case {
    const char* name_;
    std::string text_;
    // Fragments that the error message must contain.
    std::vector<std::string> expected_fragments_;
};

const std::string sha256 = std::string(64, 'a');

std::vector<std::string> base_rules() {
    return {"zone z1 region=r1 # ops", "service orders floor_percent=40 timeout=500ms # ops",
            "route orders match=*/orders service=orders # ops",
            "organisation bends rate=2.5/s burst=4 # sales",
            "key bends-1 sha256=" + sha256 + " organisation=bends # sales"};
}

}  // namespace

TEST_CASE("valid settings are parsed", "[config]") {
    const auto parsed = parse_settings(valid_settings + "[times]\nwatch_wait = 3s\n", "a.ini");
    REQUIRE(parsed);
    CHECK(parsed->host_ == "h1");
    CHECK(parsed->platform_address_.port_ == 5050);
    CHECK(parsed->watch_wait_ == base::seconds(3));
}

TEST_CASE("errors in settings name the file, the key and a remedy", "[config]") {
    const std::vector<text_case> cases = {
        {"unknown key", valid_settings + "[times]\nleese = 3s\n", {"[times] leese", "remove it"}},
        {"unknown section", valid_settings + "[extra]\na = b\n", {"[extra] a", "remove it"}},
        {"wrong type",
         valid_settings + "[limits]\nqueued_requests = many\n",
         {"queued_requests", "whole number"}},
        {"zero", valid_settings + "[limits]\nqueued_requests = 0\n", {"queued_requests"}},
        {"no pipelined request",
         valid_settings + "[limits]\npipelined_requests = 0\n",
         {"pipelined_requests"}},
        {"too little memory",
         valid_settings + "[limits]\nmemory_mb = 8\n",
         {"[limits] memory_mb", "32 to"}},
        {"no link", valid_settings + "[limits]\nlink_mbps = 0\n", {"[limits] link_mbps", "1 to"}},
        {"invalid duration",
         valid_settings + "[times]\nwatch_wait = 3\n",
         {"[times] watch_wait", "500ms"}},
        {"ratio above 1",
         valid_settings + "[retries]\nratio = 1.5\n",
         {"[retries] ratio", "0 to 1"}},
        {"too many copies",
         valid_settings + "[hedging]\nmax_share = 0.5\n",
         {"[hedging] max_share", "0 to 0.2"}},
        {"spill share above 1",
         valid_settings + "[locality]\nmax_spill_share = 1.1\n",
         {"[locality] max_spill_share", "0 to 1"}},
        {"negative cost of distance",
         valid_settings + "[locality]\nregion_cost_ms_per_mb = -1\n",
         {"[locality] region_cost_ms_per_mb", "number from 0"}},
        {"unknown word",
         valid_settings + "[times]\nfreshness = some\n",
         {"[times] freshness", "strict or lenient"}},
        {"region without a name",
         valid_settings.substr(0, valid_settings.find("[listen]")) + "regions = z1\n" +
             valid_settings.substr(valid_settings.find("[listen]")),
         {"[host] regions", "zone:region"}},
        {"missing value", "[host]\nname = h1\n", {"[host] zone", "add"}},
        {"empty value",
         valid_settings + "[times]\nwatch_wait =\n",
         {"[times] watch_wait", "has no value"}},
        {"bad address",
         valid_settings + "[listen]\ncallers = localhost:80\n",
         {"[listen] callers", "IP:PORT"}},
        {"not an INI line", valid_settings + "what is this\n", {"line", "key = value"}},
    };
    for (const text_case& test_case : cases) {
        INFO(test_case.name_);
        const auto parsed = parse_settings(test_case.text_, "a.ini");
        REQUIRE_FALSE(parsed);
        CHECK(parsed.error().message_.find("a.ini") != std::string::npos);
        for (const std::string& fragment : test_case.expected_fragments_) {
            CHECK_THAT(parsed.error().message_, Catch::Contains(fragment));
        }
    }
}

TEST_CASE("locality settings are in force if the file has their section", "[config]") {
    CHECK_FALSE(parse_settings(valid_settings, "a.ini")->locality_);
    const auto parsed =
        parse_settings(valid_settings + "[locality]\nmax_spill_share = 0.25\n", "a.ini");
    REQUIRE(parsed);
    REQUIRE(parsed->locality_);
    CHECK(parsed->locality_->max_spill_share_ == 0.25);
    CHECK(parsed->locality_->region_cost_ms_per_mb_ ==
          policy::locality_limits{}.region_cost_ms_per_mb_);
}

TEST_CASE("valid rules are parsed", "[config]") {
    const auto parsed = parse_rules(7, base_rules());
    REQUIRE(parsed.rules_ != nullptr);
    const rule_set& rules = *parsed.rules_;
    CHECK(rules.version_ == 7);
    CHECK(rules.services_.at("orders").timeout_ == base::milliseconds(500));
    CHECK(rules.organisations_.at("bends").rate_ == 2.5);
    CHECK(key_in_force(rules, "bends-1", "bends"));
    CHECK_FALSE(key_in_force(rules, "bends-1", "other"));
}

TEST_CASE("an invalid rule line is rejected with its line number and a remedy", "[config]") {
    const std::vector<text_case> cases = {
        {"no requester", "zone z2", {"names nobody as its requester"}},
        {"empty comment", "zone z2 #", {"names nobody as its requester"}},
        {"unknown verb", "zoone z2 # ops", {"'zoone' is not a verb"}},
        {"no name", "zone # ops", {"no name"}},
        {"unknown key", "zone z2 colour=red # ops", {"'colour' is not a key"}},
        {"key twice", "zone z2 region=a region=b # ops", {"occurs twice"}},
        {"no value", "zone z2 region= # ops", {"give the key a value"}},
        {"zone twice", "zone z1 # ops", {"defined twice"}},
        {"rate without unit", "organisation o rate=5 burst=1 # ops", {"10/s"}},
        {"negative rate", "organisation o rate=-5/s burst=1 # ops", {"10/s"}},
        {"no burst", "organisation o rate=5/s # ops", {"'burst' is missing"}},
        {"burst of zero", "organisation o rate=5/s burst=0 # ops", {"from 1"}},
        {"key in plain text",
         "key k sha256=secret organisation=bends # ops",
         {"never write the key"}},
        {"same key",
         "key k sha256=" + sha256 + " organisation=bends # ops",
         {"generate a new key"}},
        {"route without host", "route r match=/orders service=orders # ops", {"HOST/PATH"}},
        {"access", "route r match=*/x service=orders access=all # ops", {"open or key"}},
        {"floor", "service s floor_percent=101 # ops", {"from 0 to 100"}},
        {"duration", "service s timeout=fast # ops", {"500ms"}},
        {"reserved header", "service s headers=authorization # ops", {"never forwarded"}},
        {"unknown service", "route r match=*/x service=none # ops", {"no line declares"}},
        {"unknown organisation",
         "key k sha256=" + std::string(64, 'b') + " organisation=x # ops",
         {"no line declares"}},
    };
    for (const text_case& test_case : cases) {
        INFO(test_case.name_);
        std::vector<std::string> lines = base_rules();
        lines.push_back(test_case.text_);
        const auto parsed = parse_rules(1, lines);
        CHECK(parsed.rules_ == nullptr);
        REQUIRE(parsed.errors_.size() == 1);
        const std::string message = to_string(parsed.errors_.front());
        for (const std::string& fragment : test_case.expected_fragments_) {
            CHECK_THAT(message, Catch::Contains(fragment));
        }
        if (parsed.errors_.front().line_ != 0) {
            CHECK_THAT(message, Catch::StartsWith("line 6: "));
        }
    }
}

TEST_CASE("a request takes the route with the longest matching prefix of whole segments",
          "[config]") {
    std::vector<std::string> lines = base_rules();
    lines.push_back("route deep match=*/orders/special service=orders # ops");
    lines.push_back("route shop match=shop.example/ service=orders access=open # ops");
    const auto rules = parse_rules(1, lines).rules_;
    REQUIRE(rules != nullptr);
    const auto name_of = [&](const char* host, const char* path) -> std::string {
        const route_rule* route = find_route(*rules, host, path);
        return route == nullptr ? "" : route->name_;
    };
    CHECK(name_of("any", "/orders") == "orders");
    CHECK(name_of("any:8080", "/orders/7?x=/orders/special") == "orders");
    CHECK(name_of("any", "/orders/special/1") == "deep");
    CHECK(name_of("any", "/orders/specials").compare("orders") == 0);
    CHECK(name_of("any", "/ordersx").empty());
    CHECK(name_of("shop.example", "/orders/special") == "shop");
    CHECK(name_of("any", "/").empty());
}

TEST_CASE("an invalid host line is rejected with a remedy", "[config]") {
    const std::string valid_line =
        R"({"host":"h1","zone":"z1","address":"127.0.0.1:1","state":"live","targets":[]})";
    REQUIRE(parse_hosts(1, {valid_line}));
    const std::vector<text_case> cases = {
        {"not JSON", "host h1", {"JSON object"}},
        {"no zone",
         R"({"host":"h1","address":"127.0.0.1:1","state":"live","targets":[]})",
         {"'zone'"}},
        {"bad address",
         R"({"host":"h1","zone":"z","address":"x","state":"live","targets":[]})",
         {"IP:PORT"}},
        {"bad state",
         R"({"host":"h1","zone":"z","address":"127.0.0.1:1","state":3,"targets":[]})",
         {"live or leaving"}},
        {"no targets",
         R"({"host":"h1","zone":"z","address":"127.0.0.1:1","state":"live"})",
         {"'targets'"}},
    };
    for (const text_case& test_case : cases) {
        INFO(test_case.name_);
        const auto parsed = parse_hosts(1, {test_case.text_});
        REQUIRE_FALSE(parsed);
        CHECK_THAT(parsed.error().message_, Catch::Contains(test_case.expected_fragments_.front()));
    }
    CHECK_FALSE(parse_hosts(1, {valid_line, valid_line}));
}

TEST_CASE("a delta yields the lines that match its digest or is rejected", "[config]") {
    const auto first = make_versioned_lines(1, {"b", "a", "# note", "", "c"});
    const auto second = make_versioned_lines(2, {"c", "d", "a"});
    const line_delta delta = make_delta(first, second);
    CHECK(delta.added_ == std::vector<std::string>{"d"});
    CHECK(delta.removed_ == std::vector<std::string>{"b"});
    const auto applied = apply_delta(first, delta);
    REQUIRE(applied);
    CHECK(applied->lines_ == second.lines_);
    line_delta altered = delta;
    altered.added_.clear();
    CHECK_FALSE(apply_delta(first, altered));
    altered = delta;
    altered.base_ = 5;
    CHECK_FALSE(apply_delta(first, altered));
}

TEST_CASE("an offered version is accepted only if it is newer than the one in force",
          "[config][promise-configuration]") {
    control::configuration held_configuration;
    using control::config_value_kind;
    using control::offer_outcome;
    std::vector<std::string> lines = base_rules();
    CHECK(held_configuration.offer_lines(config_value_kind::rules, 5, lines) ==
          offer_outcome::accepted);
    CHECK(held_configuration.offer_lines(config_value_kind::rules, 4, lines) ==
          offer_outcome::stale);
    CHECK(held_configuration.offer_lines(config_value_kind::rules, 5, lines) ==
          offer_outcome::stale);
    lines.push_back("zone z2");
    CHECK(held_configuration.offer_lines(config_value_kind::rules, 6, lines) ==
          offer_outcome::rejected);
    CHECK(held_configuration.version(config_value_kind::rules) == 5);
    CHECK(held_configuration.rules()->version_ == 5);
    CHECK(held_configuration.state(config_value_kind::rules).rejected_->version_ == 6);
    CHECK(held_configuration.state(config_value_kind::rules).ignored_stale_ == 2);
    lines.back() += " # ops";
    CHECK(held_configuration.offer_lines(config_value_kind::rules, 7, lines) ==
          offer_outcome::accepted);
    const line_delta delta_with_other_base{3, 8, {}, {"zone z3 # ops"}, 0};
    CHECK(held_configuration.offer_delta(config_value_kind::rules, delta_with_other_base) ==
          offer_outcome::delta_mismatch);
    CHECK(held_configuration.version(config_value_kind::rules) == 7);
}

TEST_CASE("changes between host lists tell a target that left from one that came back",
          "[config]") {
    const auto make_list = [](const std::vector<std::pair<std::string, bool>>& hosts) {
        std::vector<host_entry> entries;
        entries.reserve(hosts.size());
        for (const auto& [name, leaving] : hosts) {
            entries.push_back({name,
                               "z1",
                               {"10.0.0.1", 7000},
                               leaving,
                               {{"t" + name, "orders", {}, 0, false, 0}}});
        }
        return *make_host_list(1, std::move(entries));
    };
    const hosts_ptr before =
        make_list({{"1", false}, {"2", false}, {"3", true}, {"4", false}, {"6", true}});
    const hosts_ptr after =
        make_list({{"1", false}, {"2", true}, {"3", false}, {"5", false}, {"6", true}});
    const host_list_changes changes = changes_between(*before, *after);
    CHECK(changes.leaving_ == std::vector<std::string>{"t2"});
    CHECK(changes.returned_ == std::vector<std::string>{"t3"});
    CHECK(changes.removed_ == std::vector<std::string>{"t4"});
    CHECK(changes.added_ == std::vector<std::string>{"t5"});
    CHECK_FALSE(is_empty(changes));
    CHECK(is_empty(changes_between(*after, *after)));
}

TEST_CASE("during a hold missing targets stay in use here and the host list is not shared",
          "[config]") {
    const auto line = [](const std::string& number) {
        return R"({"host":"h)" + number + R"(","zone":"z1","address":"10.0.0.)" + number +
               R"(:7000","state":"live","targets":[{"target":"t)" + number +
               R"(","service":"orders","address":"10.0.0.)" + number + R"(:9000"}]})";
    };
    const auto is_listed = [](const control::configuration& values, const char* host) {
        return find_host(*values.hosts(), host) != nullptr;
    };
    constexpr auto hosts = control::config_value_kind::hosts;
    control::configuration values;
    int notices = 0;
    values.on_accepted([&](control::config_value_kind) { ++notices; });
    values.offer_lines(hosts, 5, {line("1"), line("2"), line("3")});
    // Host 3 was removed before the hold, so the hold does not bring it back.
    values.offer_lines(hosts, 6, {line("1"), line("2")});
    values.set_hold({true, {"t2", "t3"}});
    values.offer_lines(hosts, 7, {line("1")});
    CHECK(is_listed(values, "h2"));
    CHECK(values.hosts()->by_service_.at("orders").size() == 2);
    CHECK_FALSE(is_listed(values, "h3"));
    CHECK(values.version(hosts) == 7);
    CHECK(values.shared_version(hosts) == 0);
    CHECK_FALSE(values.is_shared(hosts));
    CHECK(values.is_shared(control::config_value_kind::rules));
    SECTION("a target that comes back is listed once") {
        values.set_hold({true, {}});
        values.offer_lines(hosts, 8, {line("1"), line("2")});
        CHECK(values.hosts()->hosts_.size() == 2);
        const int notices_before = notices;
        values.set_hold({});
        CHECK(is_listed(values, "h2"));
        CHECK(notices == notices_before);
        CHECK(values.shared_version(hosts) == 8);
    }
    SECTION("a target that is still missing when the hold ends is gone") {
        const int notices_before = notices;
        values.set_hold({});
        CHECK_FALSE(is_listed(values, "h2"));
        CHECK(notices == notices_before + 1);
        CHECK(values.shared_version(hosts) == 7);
    }
}

TEST_CASE("the time for which changes are gathered follows the bounds of the deployment",
          "[settings]") {
    settings parsed;
    parsed.rules_bound_ = base::seconds(2);
    parsed.leaving_bound_ = base::seconds(3);
    const base::duration gather = gather_time(parsed);
    CHECK(gather <= base::seconds(1));
    parsed.rules_bound_ *= 2;
    parsed.leaving_bound_ *= 2;
    CHECK(gather_time(parsed) == 2 * gather);
}

// Guards against: a deployment whose bounds are not whole seconds, where no process started.
TEST_CASE("durations may have a fraction", "[settings]") {
    CHECK(parse_duration("2.5s") == base::duration(base::milliseconds(2500)));
    CHECK(parse_duration("0.25s") == base::duration(base::milliseconds(250)));
    CHECK(parse_duration("6s") == base::duration(base::seconds(6)));
    for (const char* text : {"", "s", "2", ".5s", "-1s", "+1s", "1e3s", "2.5.1s", "nans", "infs",
                             "0s", "0.0s", "1 s", "9999999s"}) {
        INFO(text);
        CHECK_FALSE(parse_duration(text));
    }
}
