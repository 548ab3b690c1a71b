// Configurations as lines: what a change costs between hosts, and that no text is changed by it.
#include "platform/config_lines.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <numeric>

#include "config/settings.h"
#include "config/versioned_lines.h"
#include "control/configuration.h"
#include "platform/environment.h"

using namespace dandelionridge;
using namespace dandelionridge::platform;

namespace {

std::string make_text(int version, int routes) {
    std::string text =
        "{\"version\":\"0000000" + std::to_string(version) + "\",\n \"resources\" : [";
    for (int route = 0; route < routes; ++route) {
        text += route == 0 ? "" : " , ";
        text += R"({"type":"routes","metadata":{"name":"r)" + std::to_string(route) +
                R"("},"spec":{"host":"a]b","prefix":"/x\"/"}})";
    }
    return text + "], \"note\": [1] }";
}

std::size_t bytes_of(const std::vector<std::string>& lines) {
    return std::accumulate(
        lines.begin(), lines.end(), std::size_t{0},
        [](std::size_t sum, const std::string& line) { return sum + line.size(); });
}

}  // namespace

// Guards against: each change was passed on as the old text and the new one, a megabyte where a few
// routes were added to thousands.
TEST_CASE("a change of a large configuration is as large as what it changes", "[platform]") {
    const auto before = config::make_versioned_lines(1, config_lines(make_text(1, 2800)));
    const auto after = config::make_versioned_lines(2, config_lines(make_text(2, 2801)));
    const config::line_delta delta = config::make_delta(before, after);
    CHECK(bytes_of(delta.removed_) + bytes_of(delta.added_) < 1000);
    const auto applied = config::apply_delta(before, delta);
    REQUIRE(applied);
    CHECK(applied->lines_ == after.lines_);
}

TEST_CASE("lines of a configuration give the same configuration", "[platform][contract]") {
    for (const int routes : {0, 1, 7}) {
        const std::string text = make_text(3, routes);
        const std::vector<std::string> lines =
            config::make_versioned_lines(3, config_lines(text)).lines_;
        CHECK(lines.size() == static_cast<std::size_t>(routes) + 1);
        CHECK(nlohmann::json::parse(config_text(lines)) == nlohmann::json::parse(text));
    }
}

// Guards against: hosts with the program before this one rejected each version that they were sent
// by hosts with this one.
TEST_CASE("older programs are sent a configuration as one line", "[platform][contract]") {
    config::settings settings;
    settings.peer_listen_address_ = {"10.0.0.1", 7070};
    control::configuration configuration(make_environment(settings).parsers_);
    const std::string text =
        R"({"version":"00000003","resources":[{"type":"services","metadata":{"name":"s"}}]})";
    REQUIRE(configuration.offer_lines(control::config_value_kind::rules, 3, config_lines(text)) ==
            control::offer_outcome::accepted);
    const config::line_delta delta =
        configuration.all_lines_for_older(control::config_value_kind::rules);
    CHECK(delta.base_ == 0);
    CHECK(delta.added_ == std::vector<std::string>{text});
    CHECK(config::apply_delta({}, delta));
}

TEST_CASE("a text that is no configuration stays as it is", "[platform][odd-entry]") {
    for (const std::string& text :
         {std::string("not a configuration"), std::string("{\"version\":\"1\"}"),
          std::string("{\"resources\":[# x]}"), std::string("{\"resources\":[1,{}]}"),
          std::string("{\"a\x1f\":1,\"resources\":[{}]}"), std::string("{\"resources\":[{}")}) {
        CHECK(config_lines(text) == std::vector<std::string>{text});
        CHECK(config_text(config_lines(text)) == text);
    }
    CHECK(config_text({}).empty());
    CHECK(config_text(std::vector<std::string>{"=", "{}"}) == "{}");
}
