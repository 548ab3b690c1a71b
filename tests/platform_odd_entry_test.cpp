// Odd content from other writers of the platform's store: each odd part is left out and named, and
// everything else is read as if it were not there.
#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "platform/config_decoder.h"
#include "platform/json_text.h"
#include "platform/server_decoder.h"
#include "platform/store_messages.h"
#include "platform/store_view.h"

using namespace dandelionridge;
using namespace dandelionridge::platform;

namespace {

constexpr std::uint16_t peer_port = 7640;

struct entry_fields {
    std::string address_ = R"("10.1.0.9:8080")";
    std::string service_ = R"("s1")";
    std::string slots_ = "5";
    std::string sequence_ = "4";
    std::string born_ = "1700000000000";
    std::string warmup_ = "0";
    std::string extra_{};
};

std::string entry_of(const entry_fields& fields) {
    return R"({"service":)" + fields.service_ + R"(,"address":)" + fields.address_ +
           R"(,"zone":"z1","version":"v1","slots":)" + fields.slots_ +
           R"(,"state":"ready","warmupLeftS":)" + fields.warmup_ + R"(,"seq":)" + fields.sequence_ +
           R"(,"born":)" + fields.born_ + fields.extra_ + "}";
}

std::string nested(std::size_t depth, char open, char close) {
    return std::string(depth, open) + std::string(depth, close);
}

struct odd_entry {
    const char* name_;
    std::string text_;
};

std::vector<odd_entry> odd_entries() {
    constexpr std::size_t depth = 100'000;
    return {
        {"nested arrays only", nested(depth, '[', ']')},
        {"unclosed nesting", std::string(depth, '[')},
        {"nested objects",
         [] {
             std::string text;
             for (std::size_t i = 0; i < depth; ++i) {
                 text += R"({"a":)";
             }
             return text;
         }()},
        {"service is nested", entry_of({.service_ = nested(depth, '[', ']')})},
        {"slots beyond 64 bits", entry_of({.slots_ = "36893488147419103232"})},
        {"slots beyond a double", entry_of({.slots_ = "1e999"})},
        {"slots of 2^63", entry_of({.slots_ = "9223372036854775808"})},
        {"negative slots", entry_of({.slots_ = "-5"})},
        {"fractional slots", entry_of({.slots_ = "5.5"})},
        {"sequence beyond 64 bits", entry_of({.sequence_ = "18446744073709551616"})},
        {"sequence of 2^64 - 1", entry_of({.sequence_ = "18446744073709551615"})},
        {"start of 2^64 - 1", entry_of({.born_ = "18446744073709551615"})},
        {"negative start", entry_of({.born_ = "-1"})},
        {"warm-up beyond a double", entry_of({.warmup_ = "1e999"})},
        {"negative warm-up", entry_of({.warmup_ = "-1e300"})},
        {"port 0", entry_of({.address_ = R"("10.1.0.9:0")"})},
        {"port 65536", entry_of({.address_ = R"("10.1.0.9:65536")"})},
        {"port of many digits", entry_of({.address_ = R"("10.1.0.9:99999999999999999999")"})},
        {"port with a plus", entry_of({.address_ = R"("10.1.0.9:+80")"})},
        {"port with a minus", entry_of({.address_ = R"("10.1.0.9:-80")"})},
        {"no port", entry_of({.address_ = R"("10.1.0.9:")"})},
        {"no address", entry_of({.address_ = R"("")"})},
        {"a very long service", entry_of({.service_ = "\"" + std::string(100'000, 's') + "\""})},
        {"bytes that are not UTF-8", entry_of({.service_ = "\"\xff\xfe\""})},
        {"a megabyte of text", std::string(1'000'000, 'x')},
        {"nothing", ""},
    };
}

std::vector<std::string> host_names(const config::host_list& hosts) {
    std::vector<std::string> names;
    for (const config::host_entry& host : hosts.hosts_) {
        names.push_back(host.name_);
    }
    return names;
}

// Decodes the lines of a first version.
base::result<decoded_servers> decode(const std::vector<std::string>& lines,
                                     const std::set<std::string>& known_services) {
    decoded_lines none;
    return decode_servers(1, lines, peer_port, known_services, none);
}

}  // namespace

TEST_CASE("an odd entry is rejected by name and the others hold", "[platform][odd-entry]") {
    for (const odd_entry& odd : odd_entries()) {
        INFO(odd.name_);
        store_view view;
        const std::vector<store_item> items = {{"servers/good-1", entry_of({}), 3, false},
                                               {"servers/odd", odd.text_, 4, false}};
        apply_snapshot(view, items, first_era, 4, {});
        const auto decoded = decode(server_lines(view), {"s1"});
        REQUIRE(decoded);
        CHECK(host_names(*decoded->hosts_) == std::vector<std::string>{"10.1.0.9"});
        REQUIRE(decoded->rejected_.size() == 1);
        CHECK(decoded->rejected_.front().id_ == "odd");
    }
}

TEST_CASE("a deeply nested field that nothing reads does not cost the entry",
          "[platform][odd-entry]") {
    const std::string text = entry_of({.extra_ = R"(,"note":)" + nested(3000, '[', ']')});
    const auto decoded = decode({"good " + text}, {});
    REQUIRE(decoded);
    CHECK(decoded->rejected_.empty());
    CHECK(host_names(*decoded->hosts_) == std::vector<std::string>{"10.1.0.9"});
}

TEST_CASE("an id that is no single word names no target", "[platform][odd-entry]") {
    for (const std::string& id : std::vector<std::string>{"", "good-1 ", "good-1\n", " good-1",
                                                          "a b", std::string(300, 'i')}) {
        INFO(id);
        store_view view;
        const std::vector<store_item> items = {
            {"servers/good-1", entry_of({}), 3, false},
            {"servers/" + id, entry_of({.address_ = R"("10.1.0.8:8080")"}), 4, false}};
        apply_snapshot(view, items, first_era, 4, {});
        const auto decoded = decode(server_lines(view), {});
        REQUIRE(decoded);
        CHECK(host_names(*decoded->hosts_) == std::vector<std::string>{"10.1.0.9"});
        CHECK(decoded->rejected_.size() == 1);
    }
}

TEST_CASE("an entry of an unknown service does not displace one at the same address",
          "[platform][odd-entry]") {
    const std::string forged = entry_of({.service_ = R"("nobody")", .born_ = "9000000000000"});
    for (const bool forged_first : {true, false}) {
        const std::vector<std::string> lines =
            forged_first ? std::vector<std::string>{"a " + forged, "b " + entry_of({})}
                         : std::vector<std::string>{"a " + entry_of({}), "b " + forged};
        const auto decoded = decode(lines, {"s1", "s2"});
        REQUIRE(decoded);
        REQUIRE(decoded->hosts_->hosts_.size() == 1);
        CHECK(decoded->hosts_->hosts_.front().targets_.front().service_ == "s1");
    }
}

TEST_CASE("odd numbers and deep nesting in a configuration do no harm", "[platform][odd-entry]") {
    const auto config_with = [](const std::string& spec_field, const std::string& metadata_field) {
        return R"({"version":"0000000c","resources":[{"type":"services","metadata":{"name":"s1"},)"
               R"("spec":{}},{"type":"routes","metadata":{"name":"r1")" +
               metadata_field +
               R"(},"spec":{"host":"a.example","prefix":"/x/","kind":"idempotent",)"
               R"("service":"s1")" +
               spec_field + "}}]}";
    };
    constexpr std::size_t depth = 100'000;
    const std::string deep = R"(,"note":)" + nested(depth, '[', ']');
    for (const std::string& text :
         {config_with(deep, ""), config_with("", deep), config_with(deep, deep),
          config_with(R"(,"maxAttempts":1e300,"priority":1e300)", ""),
          config_with(R"(,"maxAttempts":18446744073709551616)", "")}) {
        const auto rules = decode_config(text, {});
        REQUIRE(rules);
        const config::route_rule* route = config::find_route(**rules, "a.example", "/x/1");
        REQUIRE(route != nullptr);
        CHECK(route->attempts_ >= 1);
        CHECK(route->priority_ >= 0);
    }
    // A number that no double holds is no JSON number for the decoder.
    const auto overflow = decode_config(config_with(R"(,"priority":1e999)", ""), {});
    REQUIRE_FALSE(overflow);
    CHECK(overflow.error().message_.find("JSON") != std::string::npos);
}

TEST_CASE("an odd item of a store response is left out and the others are read",
          "[platform][odd-entry]") {
    const std::string good = R"({"key":"servers/a","value":"YWI=","revision":5})";
    const std::string deep = nested(100'000, '[', ']');
    const std::vector<odd_entry> odd_items = {
        {"deeply nested", deep},
        {"key beyond UTF-8", "{\"key\":\"servers/\xff\",\"value\":\"\",\"revision\":5}"},
        {"revision beyond a double", R"({"key":"servers/b","value":"","revision":1e999})"},
        {"revision beyond 64 bits",
         R"({"key":"servers/b","value":"","revision":36893488147419103232})"},
        {"negative revision", R"({"key":"servers/b","value":"","revision":-4})"},
        {"revision that overflows a version",
         R"({"key":"servers/b","value":"","revision":9223372036854775807})"},
        {"no object", "7"},
        {"empty key", R"({"key":"","value":"","revision":5})"},
        {"key that is a number", R"({"key":7,"value":"","revision":5})"},
    };
    for (const odd_entry& odd : odd_items) {
        INFO(odd.name_);
        for (const std::string& items : {odd.text_ + "," + good, good + " , " + odd.text_}) {
            const auto watch =
                decode_watch(R"({"storeRevision":9,"events":[)" + items + R"(],"hasMore":false})");
            REQUIRE(watch);
            CHECK(watch->revision_ == 9);
            CHECK(watch->rejected_.size() == 1);
            REQUIRE(watch->items_.size() == 1);
            CHECK(watch->items_.front().value_ == "ab");
        }
    }
}

TEST_CASE("split_array finds the array whatever stands around it", "[platform][odd-entry]") {
    const auto split = split_array(
        R"( {"a":"]},\"events\":[1]", "b":[{"events":[2]}],"events" : [ 1, "x,]" ,{"y":[3]}] ,"c":4})",
        "events");
    REQUIRE(split);
    CHECK(split->elements_ == std::vector<std::string_view>{"1", R"("x,]" )", R"({"y":[3]})"});
    const nlohmann::json rest = parse_json(split->rest_);
    CHECK(rest["c"] == 4);
    CHECK(rest["events"].empty());
    for (const char* text :
         {"", "{", "[]", R"({"events":7})", R"({"events":[1)", R"({"events":[1 2)", R"({"events")",
          R"({"events)", R"({"a":[}],"b)", "}"}) {
        INFO(text);
        CHECK_FALSE(split_array(text, "events"));
    }
}

// Each seed changes, removes or repeats a few bytes of valid content. Whatever comes out, the
// decoders return, and an entry that was not touched is still used.
TEST_CASE("decoders return whatever bytes they get", "[platform][odd-entry][fuzz]") {
    constexpr unsigned seeds = 20'000;
    const std::string response = R"({"events":[{"key":"servers/a","value":"YWI=","revision":5},)"
                                 R"({"key":"servers/b","revision":6,"deleted":true}],)"
                                 R"("storeRevision":6})";
    const std::string configuration =
        R"({"version":"0000000c","resources":[{"type":"services","metadata":{"name":"s1"},)"
        R"("spec":{}},{"type":"tenants","metadata":{"name":"t"},"spec":{"apiKeys":["k"],)"
        R"("ratePerS":18,"burst":20}}]})";
    for (unsigned seed = 0; seed < seeds; ++seed) {
        std::mt19937 random(seed);
        const auto mutate = [&](std::string text) {
            for (unsigned i = 0; i < 1 + seed % 4; ++i) {
                const std::size_t at = random() % text.size();
                switch (random() % 4) {
                    case 0:
                        text[at] = static_cast<char>(random());
                        break;
                    case 1:
                        text.erase(at, 1 + random() % 5);
                        break;
                    case 2:
                        text.insert(at, text.substr(random() % text.size(), random() % 20));
                        break;
                    default:
                        text.insert(at, std::string(1 + random() % 40, "[{\"9e-"[random() % 6]));
                }
                if (text.empty()) {
                    text = "{";
                }
            }
            return text;
        };
        INFO("seed " << seed);
        static_cast<void>(decode_watch(mutate(response)));
        static_cast<void>(decode_config(mutate(configuration), {}));
        const std::string odd = mutate(entry_of({.address_ = R"("10.1.0.7:8080")"}));
        const auto decoded = decode({"good " + entry_of({}), "odd " + odd}, {"s1"});
        REQUIRE(decoded);
        REQUIRE(config::find_host(*decoded->hosts_, "10.1.0.9") != nullptr);
        CHECK(config::find_host(*decoded->hosts_, "10.1.0.9")->targets_.front().name_ == "good");
    }
}
