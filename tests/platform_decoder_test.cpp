// Tests the decoders of the users' platform: configurations, target entries and store responses.
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

std::string make_config(const std::vector<std::string>& resources,
                        const std::string& version = "0000000c") {
    std::string text = R"({"version":")" + version + R"(","resources":[)";
    for (std::size_t i = 0; i < resources.size(); ++i) {
        text += (i == 0 ? "" : ",") + resources[i];
    }
    return text + "]}";
}

std::string replace_text(std::string text, const std::string& from, const std::string& to) {
    const std::size_t position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

const std::string entry =
    R"({"service":"s1","address":"10.1.0.9:8080","zone":"thess-a","version":"v1","slots":5,)"
    R"("state":"ready","warmupLeftS":0,"seq":4,"born":1700000000000})";

// Decodes the lines of a first version.
base::result<decoded_servers> decode(std::int64_t version, const std::vector<std::string>& lines,
                                     std::uint16_t peer_port,
                                     const std::set<std::string>& known_services) {
    decoded_lines none;
    return decode_servers(version, lines, peer_port, known_services, none);
}

}  // namespace

TEST_CASE("decode_config turns a configuration into rules", "[platform][contract]") {
    const auto rules =
        decode_config(make_config({route, service, other_service, organisation, limits}), regions);
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

TEST_CASE("decode_config reads kinds, weights and open routes", "[platform][contract]") {
    const std::string weighted = replace_text(
        route, R"("service":"s1")",
        R"("weightedServices":[{"service":"s1","weight":90},{"service":"s2","weight":10}])");
    const auto rules = decode_config(
        make_config({replace_text(weighted, "non_idempotent", "download"), service, other_service}),
        regions);
    REQUIRE(rules);
    const config::route_rule* found = config::find_route(**rules, "a.example", "/x/");
    REQUIRE(found != nullptr);
    CHECK(found->download_);
    CHECK(found->idempotency_ == config::idempotency::idempotent);
    // Without organisations, routes need no key.
    CHECK(found->open_);
    CHECK(config::pick_service(*found, 0.0).service_ == "s1");
    CHECK(config::pick_service(*found, 0.89).service_ == "s1");
    CHECK(config::pick_service(*found, 0.91).service_ == "s2");
    // An unknown kind counts as non-idempotent, so that its requests are not repeated.
    const auto unknown = decode_config(
        make_config({replace_text(route, "non_idempotent", "new_kind"), service}), regions);
    REQUIRE(unknown);
    CHECK(config::find_route(**unknown, "a.example", "/x/")->idempotency_ ==
          config::idempotency::non_idempotent);
}

TEST_CASE("decode_config names what is wrong with an invalid configuration",
          "[platform][contract]") {
    struct invalid_config {
        const char* name_;
        std::string text_;
        std::string expected_text_;
    };
    const std::vector<invalid_config> cases = {
        {"invalid JSON", "{\"version\":", "JSON"},
        {"array in place of an object", "[1]", "JSON"},
        {"no version", R"({"resources":[]})", "version"},
        {"version that is not hexadecimal", make_config({}, "xyz"), "hexadecimal"},
        {"no resources", R"({"version":"0000000c"})", "resources"},
        {"route to an undefined service", make_config({route}), "s1"},
        {"route without a host",
         make_config({replace_text(route, R"("host":"a.example",)", ""), service}), "host"},
        {"service without a weight",
         make_config(
             {replace_text(route, R"("service":"s1")", R"("weightedServices":[{"service":"s1"}])"),
              service}),
         "weight"},
        {"negative time", make_config({replace_text(route, "6.5", "-1"), service}), "timeoutS"},
        {"key that is a number", make_config({replace_text(organisation, R"("k2")", "7")}),
         "apiKeys"},
        {"spec that is a number", make_config({R"({"type":"routes","metadata":{},"spec":4})"}),
         "spec"},
    };
    for (const invalid_config& invalid : cases) {
        INFO(invalid.name_);
        const auto rules = decode_config(invalid.text_, regions);
        REQUIRE_FALSE(rules);
        CHECK(rules.error().message_.find(invalid.expected_text_) != std::string::npos);
    }
}

TEST_CASE("decode_servers turns entries into hosts and rejects only the invalid ones",
          "[platform][contract]") {
    const std::vector<std::string> invalid_lines = {
        "cut " + entry.substr(0, 40),
        "bytes \x01\xff",
        "no-service " + replace_text(entry, R"("service":"s1",)", ""),
        "slots-text " + replace_text(entry, R"("slots":5)", R"("slots":"5")"),
        "no-slots " + replace_text(entry, R"("slots":5)", R"("slots":0)"),
        "state " + replace_text(entry, "ready", "resting"),
        "address " + replace_text(entry, "10.1.0.9:8080", "here"),
        "warmup " + replace_text(entry, R"("warmupLeftS":0)", R"("warmupLeftS":"0")"),
        "born " + replace_text(entry, "1700000000000", "17.5"),
        "seq " + replace_text(entry, R"("seq":4)", R"("seq":null)"),
        "empty ",
        "nothing",
    };
    std::vector<std::string> lines = invalid_lines;
    lines.push_back("good " + entry);
    lines.push_back("leaving " +
                    replace_text(replace_text(entry, "10.1.0.9", "10.1.0.7"), "ready", "draining"));
    const auto decoded = decode(3, lines, 7640, {});
    REQUIRE(decoded);
    CHECK(decoded->rejected_.size() == invalid_lines.size());
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

TEST_CASE("of two entries with one address the target started last is used",
          "[platform][contract]") {
    const std::string later_entry =
        replace_text(replace_text(entry, "1700000000000", "1700000009000"), "\"s1\"", "\"s2\"");
    for (const bool later_first : {true, false}) {
        const std::vector<std::string> lines =
            later_first ? std::vector<std::string>{"a " + later_entry, "b " + entry}
                        : std::vector<std::string>{"a " + entry, "b " + later_entry};
        const auto decoded = decode(1, lines, 1, {});
        REQUIRE(decoded);
        REQUIRE(decoded->hosts_->hosts_.size() == 1);
        CHECK(decoded->hosts_->hosts_.front().targets_.front().service_ == "s2");
    }
}

TEST_CASE("store responses are decoded and malformed ones are rejected", "[platform][contract]") {
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
    // Invalid Base64 gives an item with an empty value, which decode_servers rejects.
    CHECK(events->items_[1].value_.empty());
    for (const char* malformed : {"", "[]", R"({"items":[]})", R"({"storeRevision":1})",
                                  R"({"items":[],"storeRevision":-1})", R"({"items":[)"}) {
        INFO(malformed);
        CHECK_FALSE(decode_range(malformed));
    }
    // A malformed item is left out and named; the others are followed.
    for (const char* malformed : {R"({"revision":1})", R"({"key":"a"})"}) {
        INFO(malformed);
        const auto page =
            decode_range(R"({"items":[)" + std::string(malformed) +
                         R"(,{"key":"op/config","value":"","revision":4}],"storeRevision":4})");
        REQUIRE(page);
        REQUIRE(page->rejected_.size() == 1);
        REQUIRE(page->items_.size() == 1);
        CHECK(page->items_.front().key_ == "op/config");
    }
    CHECK(range_path("servers/a b") == "/api/kv-range?prefix=&after=servers/a%20b");
    CHECK(watch_path(4, 2000) == "/api/kv-watch?prefix=&after=4&waitMs=2000");
}

// Pattern: cost by the change. The list of a large fleet changes by one entry at a time.
TEST_CASE("only the lines that a version changes are decoded", "[platform][contract]") {
    decoded_lines decoded;
    REQUIRE(decode_servers(1, {"a " + entry, "odd {}"}, 1, {}, decoded));
    REQUIRE(decoded.size() == 2);
    const config::host_entry* kept = &*decoded.at("a " + entry).host_;
    const std::string added = "b " + replace_text(entry, "10.1.0.9", "10.1.0.7");
    const auto second = decode_servers(2, {"a " + entry, added, "odd {}"}, 1, {}, decoded);
    REQUIRE(second);
    CHECK(&*decoded.at("a " + entry).host_ == kept);
    CHECK(second->hosts_->hosts_.size() == 2);
    CHECK(second->rejected_.size() == 1);
    REQUIRE(decode_servers(3, {added}, 1, {}, decoded));
    CHECK(decoded.size() == 1);
}
