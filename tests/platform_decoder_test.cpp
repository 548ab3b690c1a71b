// Contract of the platform's values: what configurations and targets' entries become.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/hash.h"
#include "platform/config_decoder.h"
#include "platform/server_decoder.h"
#include "platform/store_messages.h"

using namespace dandelionridge;
using namespace dandelionridge::platform;

namespace {

const std::map<std::string, std::string> regions = {{"thess-a", "thess"}, {"thess-b", "thess"}};

const std::string route =
    R"({"type":"routes","metadata":{"name":"r1"},"spec":{"host":"a.example","prefix":"/x/",)"
    R"("kind":"non_idempotent","timeoutS":6.5,"targetLatencyS":2,"priority":1,"service":"s1",)"
    R"("maxAttempts":2,"public":false}})";
const std::string service =
    R"({"type":"services","metadata":{"name":"s1"},"spec":{"healthPath":"/health"}})";
const std::string other_service = R"({"type":"services","metadata":{"name":"s2"},"spec":{}})";
const std::string organisation =
    R"({"type":"tenants","metadata":{"name":"t1"},"spec":{"apiKeys":["k1","k2"],"priority":3,)"
    R"("ratePerS":18,"burst":20}})";
const std::string limits =
    R"({"type":"limits","metadata":{},"spec":{"maxHeaderBytes":9000,"maxBodyBytes":100,)"
    R"("headerTimeoutS":3,"idleTimeoutS":15}})";

std::string config_of(const std::vector<std::string>& resources,
                      const std::string& version = "0000000c") {
    std::string text = R"({"version":")" + version + R"(","resources":[)";
    for (std::size_t i = 0; i < resources.size(); ++i) {
        text += (i == 0 ? "" : ",") + resources[i];
    }
    return text + "]}";
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

const std::string entry =
    R"({"service":"s1","address":"10.1.0.9:8080","zone":"thess-a","version":"v1","slots":5,)"
    R"("state":"ready","warmupLeftS":0,"seq":4,"born":1700000000000})";

}  // namespace

TEST_CASE("a configuration becomes rules", "[platform][contract]") {
    const auto rules =
        decode_config(config_of({route, service, other_service, organisation, limits}), regions);
    REQUIRE(rules);
    CHECK((*rules)->version_ == 12);
    const config::route_rule* found = config::find_route(**rules, "a.example", "/x/2f?q=1");
    REQUIRE(found != nullptr);
    CHECK(config::find_route(**rules, "a.example", "/y/") == nullptr);
    CHECK(found->timeout_ == base::milliseconds(6500));
    CHECK(found->latency_objective_ == base::seconds(2));
    CHECK(found->attempts_ == 2);
    CHECK(found->priority_ == 1);
    CHECK_FALSE(found->open_);
    CHECK(found->idempotency_ == config::idempotency::non_idempotent);
    const config::key_rule* key = config::find_key(**rules, "k2");
    REQUIRE(key != nullptr);
    CHECK(key->organisation_ == "t1");
    CHECK(config::find_key(**rules, "k3") == nullptr);
    CHECK((*rules)->organisations_.at("t1").priority_ == 3);
    CHECK((*rules)->organisations_.at("t1").burst_ == 20);
    CHECK((*rules)->limits_.head_bytes_ == 9000);
    CHECK((*rules)->limits_.idle_timeout_ == base::seconds(15));
}

TEST_CASE("kinds, weights and open routes of a configuration", "[platform][contract]") {
    const std::string weighted = replaced(
        route, R"("service":"s1")",
        R"("weightedServices":[{"service":"s1","weight":90},{"service":"s2","weight":10}])");
    const auto rules = decode_config(
        config_of({replaced(weighted, "non_idempotent", "download"), service, other_service}),
        regions);
    REQUIRE(rules);
    const config::route_rule* found = config::find_route(**rules, "a.example", "/x/");
    REQUIRE(found != nullptr);
    CHECK(found->download_);
    CHECK(found->idempotency_ == config::idempotency::idempotent);
    // Without organisations no key is needed.
    CHECK(found->open_);
    CHECK(config::pick_service(*found, 0.0).service_ == "s1");
    CHECK(config::pick_service(*found, 0.89).service_ == "s1");
    CHECK(config::pick_service(*found, 0.91).service_ == "s2");
    // What is not known to be repeatable is not repeated.
    const auto unknown =
        decode_config(config_of({replaced(route, "non_idempotent", "new_kind"), service}), regions);
    REQUIRE(unknown);
    CHECK(config::find_route(**unknown, "a.example", "/x/")->idempotency_ ==
          config::idempotency::non_idempotent);
}

TEST_CASE("a configuration that cannot be used says why", "[platform][contract]") {
    struct bad_config {
        const char* name_;
        std::string text_;
        std::string says_;
    };
    const std::vector<bad_config> cases = {
        {"no JSON", "{\"version\":", "JSON"},
        {"no object", "[1]", "JSON"},
        {"no version", R"({"resources":[]})", "version"},
        {"wrong version", config_of({}, "xyz"), "hexadecimal"},
        {"no resources", R"({"version":"0000000c"})", "resources"},
        {"unknown service", config_of({route}), "s1"},
        {"bare route", config_of({replaced(route, R"("host":"a.example",)", ""), service}), "host"},
        {"no weight",
         config_of(
             {replaced(route, R"("service":"s1")", R"("weightedServices":[{"service":"s1"}])"),
              service}),
         "weight"},
        {"below zero", config_of({replaced(route, "6.5", "-1"), service}), "timeoutS"},
        {"key of another type", config_of({replaced(organisation, R"("k2")", "7")}), "apiKeys"},
        {"spec of another type", config_of({R"({"type":"routes","metadata":{},"spec":4})"}),
         "spec"},
    };
    for (const bad_config& one : cases) {
        INFO(one.name_);
        const auto rules = decode_config(one.text_, regions);
        REQUIRE_FALSE(rules);
        CHECK(rules.error().message_.find(one.says_) != std::string::npos);
    }
}

TEST_CASE("entries become hosts, and bad ones spoil no other", "[platform][contract]") {
    const std::vector<std::string> bad = {
        "cut " + entry.substr(0, 40),
        "bytes \x01\xff",
        "no-service " + replaced(entry, R"("service":"s1",)", ""),
        "slots-text " + replaced(entry, R"("slots":5)", R"("slots":"5")"),
        "no-slots " + replaced(entry, R"("slots":5)", R"("slots":0)"),
        "state " + replaced(entry, "ready", "resting"),
        "address " + replaced(entry, "10.1.0.9:8080", "here"),
        "warmup " + replaced(entry, R"("warmupLeftS":0)", R"("warmupLeftS":"0")"),
        "born " + replaced(entry, "1700000000000", "17.5"),
        "seq " + replaced(entry, R"("seq":4)", R"("seq":null)"),
        "empty ",
        "nothing",
    };
    std::vector<std::string> lines = bad;
    lines.push_back("good " + entry);
    lines.push_back("leaving " +
                    replaced(replaced(entry, "10.1.0.9", "10.1.0.7"), "ready", "draining"));
    const auto decoded = decode_servers(3, lines, 7640);
    REQUIRE(decoded);
    CHECK(decoded->rejected_.size() == bad.size());
    REQUIRE(decoded->hosts_->hosts_.size() == 2);
    const config::host_entry* host = config::find_host(*decoded->hosts_, "10.1.0.9");
    REQUIRE(host != nullptr);
    CHECK(host->address_ == base::address{"10.1.0.9", 7640});
    CHECK(host->zone_ == "thess-a");
    CHECK_FALSE(host->leaving_);
    CHECK(host->targets_.front().name_ == "good");
    CHECK(host->targets_.front().slots_ == 5);
    CHECK(config::find_host(*decoded->hosts_, "10.1.0.7")->leaving_);
}

TEST_CASE("of two entries at one address the one started last holds", "[platform][contract]") {
    const std::string later =
        replaced(replaced(entry, "1700000000000", "1700000009000"), "\"s1\"", "\"s2\"");
    for (const bool first : {true, false}) {
        const std::vector<std::string> lines =
            first ? std::vector<std::string>{"a " + later, "b " + entry}
                  : std::vector<std::string>{"a " + entry, "b " + later};
        const auto decoded = decode_servers(1, lines, 1);
        REQUIRE(decoded);
        REQUIRE(decoded->hosts_->hosts_.size() == 1);
        CHECK(decoded->hosts_->hosts_.front().targets_.front().service_ == "s2");
    }
}

TEST_CASE("answers of the store are read, or say what is wrong", "[platform][contract]") {
    const auto range = decode_range(
        R"({"items":[{"key":"op/config","value":"YWI=","revision":4,"created":4,"lease":0}],)"
        R"("hasMore":true,"storeRevision":9})");
    REQUIRE(range);
    CHECK(range->items_.front().value_ == "ab");
    CHECK(range->has_more_);
    CHECK(range->revision_ == 9);
    const auto events =
        decode_watch(R"({"events":[{"key":"servers/a","revision":5,"deleted":true},)"
                     R"({"key":"servers/b","value":"%%","revision":6}],"storeRevision":6})");
    REQUIRE(events);
    CHECK(events->items_[0].deleted_);
    // An encoding that cannot be read leaves an entry without bytes, which names no target.
    CHECK(events->items_[1].value_.empty());
    for (const char* bad : {"", "[]", R"({"items":[]})", R"({"storeRevision":1})",
                            R"({"items":[{"revision":1}],"storeRevision":1})",
                            R"({"items":[{"key":"a"}],"storeRevision":1})"}) {
        INFO(bad);
        CHECK_FALSE(decode_range(bad));
    }
    CHECK(range_path("servers/a b") == "/api/kv-range?prefix=&after=servers/a%20b");
    CHECK(watch_path(4, 2000, true) == "/api/kv-watch?prefix=&after=4&waitMs=2000&serializable=1");
}
