// Settings, rules, host lists and their versions: what is accepted, and the remedy for what isn't.
#include <catch2/catch.hpp>

#include "base/hash.h"
#include "config/host_list.h"
#include "config/rule_parser.h"
#include "config/settings.h"
#include "config/versioned_lines.h"
#include "control/configuration.h"

using namespace dandelionridge;
using namespace dandelionridge::config;

namespace {

const std::string good_settings =
    "[host]\nname = h1\nzone = z1\n"
    "[listen]\ncallers = 127.0.0.1:8080\npeers = 127.0.0.1:7070\nadmin = 127.0.0.1:6060\n"
    "[platform]\naddress = 127.0.0.1:5050\n";

struct text_case {
    const char* name_;
    std::string text_;
    // What the error must name.
    std::vector<std::string> named_;
};

const std::string sha = std::string(64, 'a');

std::vector<std::string> base_rules() {
    return {"zone z1 region=r1 # ops", "service orders floor_percent=40 timeout=500ms # ops",
            "route orders match=*/orders service=orders # ops",
            "organisation bends rate=2.5/s burst=4 # sales",
            "key bends-1 sha256=" + sha + " organisation=bends # sales"};
}

}  // namespace

TEST_CASE("settings that are right are read", "[config]") {
    const auto read = parse_settings(good_settings + "[times]\nwatch_wait = 3s\n", "a.ini");
    REQUIRE(read);
    CHECK(read->host_ == "h1");
    CHECK(read->platform_address_.port_ == 5050);
    CHECK(read->watch_wait_ == base::seconds(3));
}

TEST_CASE("settings that are wrong name file, key and remedy", "[config]") {
    const std::vector<text_case> cases = {
        {"unknown key", good_settings + "[times]\nleese = 3s\n", {"[times] leese", "remove it"}},
        {"unknown section", good_settings + "[extra]\na = b\n", {"[extra] a", "remove it"}},
        {"wrong type",
         good_settings + "[limits]\nqueued_requests = many\n",
         {"queued_requests", "whole number"}},
        {"zero", good_settings + "[limits]\nqueued_requests = 0\n", {"queued_requests"}},
        {"wrong time",
         good_settings + "[times]\nwatch_wait = 3\n",
         {"[times] watch_wait", "500ms"}},
        {"ratio above 1",
         good_settings + "[retries]\nratio = 1.5\n",
         {"[retries] ratio", "0 to 1"}},
        {"unknown word",
         good_settings + "[times]\nfreshness = some\n",
         {"[times] freshness", "strict or lenient"}},
        {"region without a name",
         good_settings.substr(0, good_settings.find("[listen]")) + "regions = z1\n" +
             good_settings.substr(good_settings.find("[listen]")),
         {"[host] regions", "zone:region"}},
        {"missing value", "[host]\nname = h1\n", {"[host] zone", "add"}},
        {"empty value",
         good_settings + "[times]\nwatch_wait =\n",
         {"[times] watch_wait", "has no value"}},
        {"bad address",
         good_settings + "[listen]\ncallers = localhost:80\n",
         {"[listen] callers", "IP:PORT"}},
        {"not a line", good_settings + "what is this\n", {"line", "key = value"}},
    };
    for (const text_case& one : cases) {
        INFO(one.name_);
        const auto read = parse_settings(one.text_, "a.ini");
        REQUIRE_FALSE(read);
        CHECK(read.error().message_.find("a.ini") != std::string::npos);
        for (const std::string& part : one.named_) {
            CHECK_THAT(read.error().message_, Catch::Contains(part));
        }
    }
}

TEST_CASE("rules that are right are read", "[config]") {
    const auto parsed = parse_rules(7, base_rules());
    REQUIRE(parsed.rules_ != nullptr);
    const rule_set& rules = *parsed.rules_;
    CHECK(rules.version_ == 7);
    CHECK(rules.services_.at("orders").timeout_ == base::milliseconds(500));
    CHECK(rules.organisations_.at("bends").rate_ == 2.5);
    CHECK(key_in_force(rules, "bends-1", "bends"));
    CHECK_FALSE(key_in_force(rules, "bends-1", "other"));
}

TEST_CASE("a rule line that is wrong is refused with its number and a remedy", "[config]") {
    const std::vector<text_case> cases = {
        {"nobody asked", "zone z2", {"names nobody"}},
        {"empty comment", "zone z2 #", {"names nobody"}},
        {"unknown verb", "zoone z2 # ops", {"'zoone' is not a verb"}},
        {"no name", "zone # ops", {"no name"}},
        {"unknown key", "zone z2 colour=red # ops", {"'colour' is not a key"}},
        {"key twice", "zone z2 region=a region=b # ops", {"stands twice"}},
        {"no value", "zone z2 region= # ops", {"give the key a value"}},
        {"zone twice", "zone z1 # ops", {"given before"}},
        {"rate without unit", "organisation o rate=5 burst=1 # ops", {"10/s"}},
        {"negative rate", "organisation o rate=-5/s burst=1 # ops", {"10/s"}},
        {"no burst", "organisation o rate=5/s # ops", {"'burst' is missing"}},
        {"burst of nothing", "organisation o rate=5/s burst=0 # ops", {"from 1"}},
        {"key in clear", "key k sha256=secret organisation=bends # ops", {"never write the key"}},
        {"same key", "key k sha256=" + sha + " organisation=bends # ops", {"draw a new one"}},
        {"route without host", "route r match=/orders service=orders # ops", {"HOST/PATH"}},
        {"access", "route r match=*/x service=orders access=all # ops", {"open or key"}},
        {"floor", "service s floor_percent=101 # ops", {"from 0 to 100"}},
        {"time", "service s timeout=fast # ops", {"500ms"}},
        {"reserved header", "service s headers=authorization # ops", {"never passes"}},
        {"unknown service", "route r match=*/x service=none # ops", {"no line declares"}},
        {"unknown organisation",
         "key k sha256=" + std::string(64, 'b') + " organisation=x # ops",
         {"no line declares"}},
    };
    for (const text_case& one : cases) {
        INFO(one.name_);
        std::vector<std::string> lines = base_rules();
        lines.push_back(one.text_);
        const auto parsed = parse_rules(1, lines);
        CHECK(parsed.rules_ == nullptr);
        REQUIRE(parsed.errors_.size() == 1);
        const std::string message = to_string(parsed.errors_.front());
        for (const std::string& part : one.named_) {
            CHECK_THAT(message, Catch::Contains(part));
        }
        if (parsed.errors_.front().line_ != 0) {
            CHECK_THAT(message, Catch::StartsWith("line 6: "));
        }
    }
}

TEST_CASE("the longest matching prefix of whole segments routes a request", "[config]") {
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

TEST_CASE("a host line that is wrong is refused with a remedy", "[config]") {
    const std::string good =
        R"({"host":"h1","zone":"z1","address":"127.0.0.1:1","state":"live","targets":[]})";
    REQUIRE(parse_hosts(1, {good}));
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
    for (const text_case& one : cases) {
        INFO(one.name_);
        const auto parsed = parse_hosts(1, {one.text_});
        REQUIRE_FALSE(parsed);
        CHECK_THAT(parsed.error().message_, Catch::Contains(one.named_.front()));
    }
    CHECK_FALSE(parse_hosts(1, {good, good}));
}

TEST_CASE("a delta gives the lines it promised or is refused", "[config]") {
    const auto one = make_versioned_lines(1, {"b", "a", "# note", "", "c"});
    const auto two = make_versioned_lines(2, {"c", "d", "a"});
    const line_delta delta = make_delta(one, two);
    CHECK(delta.added_ == std::vector<std::string>{"d"});
    CHECK(delta.removed_ == std::vector<std::string>{"b"});
    const auto applied = apply_delta(one, delta);
    REQUIRE(applied);
    CHECK(applied->lines_ == two.lines_);
    line_delta wrong = delta;
    wrong.added_.clear();
    CHECK_FALSE(apply_delta(one, wrong));
    wrong = delta;
    wrong.base_ = 5;
    CHECK_FALSE(apply_delta(one, wrong));
}

TEST_CASE("versions in force only rise", "[config][promise-configuration]") {
    control::configuration held;
    using control::config_value_kind;
    using control::offer_outcome;
    std::vector<std::string> lines = base_rules();
    CHECK(held.offer_lines(config_value_kind::rules, 5, lines) == offer_outcome::accepted);
    CHECK(held.offer_lines(config_value_kind::rules, 4, lines) == offer_outcome::stale);
    CHECK(held.offer_lines(config_value_kind::rules, 5, lines) == offer_outcome::stale);
    lines.push_back("zone z2");
    CHECK(held.offer_lines(config_value_kind::rules, 6, lines) == offer_outcome::rejected);
    CHECK(held.version(config_value_kind::rules) == 5);
    CHECK(held.rules()->version_ == 5);
    CHECK(held.state(config_value_kind::rules).rejected_->version_ == 6);
    CHECK(held.state(config_value_kind::rules).ignored_old_ == 2);
    lines.back() += " # ops";
    CHECK(held.offer_lines(config_value_kind::rules, 7, lines) == offer_outcome::accepted);
    const line_delta stray{3, 8, {}, {"zone z3 # ops"}, 0};
    CHECK(held.offer_delta(config_value_kind::rules, stray) == offer_outcome::missing_base);
    CHECK(held.version(config_value_kind::rules) == 7);
}
