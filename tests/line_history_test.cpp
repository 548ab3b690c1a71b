// Deltas from any of the last versions of a configuration value, and their packed form.
#include "config/line_history.h"

#include <catch2/catch.hpp>

#include "base/random.h"
#include "control/packed_update.h"

using namespace dandelionridge;
using namespace dandelionridge::config;

namespace {

constexpr std::size_t base_lines = 300;

std::vector<std::string> numbered_lines(std::size_t count) {
    std::vector<std::string> lines;
    for (std::size_t line = 0; line < count; ++line) {
        lines.push_back("a line of some length with the number " + std::to_string(line));
    }
    return lines;
}

// Removes or adds one of a few lines, so that lines come and go.
std::vector<std::string> change_one(std::vector<std::string> lines, base::random_engine& random) {
    const std::string line = "changing " + std::to_string(base::random_below(random, 4));
    if (std::erase(lines, line) == 0) {
        lines.push_back(line);
    }
    return lines;
}

wire::config_update make_update(std::size_t lines) {
    wire::config_update update;
    update.removed = {"one"};
    update.added = numbered_lines(lines);
    return update;
}

}  // namespace

// Guards against: a host that was two versions behind was sent all lines.
TEST_CASE("each of the last versions has a delta to the newest one", "[config]") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        base::random_engine random(seed);
        std::vector<versioned_lines> versions = {
            make_versioned_lines(1, numbered_lines(base_lines))};
        line_history history;
        for (std::int64_t version = 2; version <= 30; ++version) {
            versions.push_back(
                make_versioned_lines(version, change_one(versions.back().lines_, random)));
            record_change(history, versions[versions.size() - 2], versions.back());
            for (const versioned_lines& known : versions) {
                if (known.digest_ == versions.back().digest_) {
                    continue;
                }
                const auto delta =
                    delta_since(history, known.version_, known.digest_, versions.back());
                REQUIRE(delta);
                CHECK(delta->removed_.size() + delta->added_.size() <= 4);
                const auto applied = apply_delta(known, *delta);
                REQUIRE(applied);
                CHECK(applied->lines_ == versions.back().lines_);
            }
        }
    }
}

TEST_CASE("changes that are larger than all lines are forgotten", "[config]") {
    line_history history;
    const auto first = make_versioned_lines(1, {"first"});
    const auto second = make_versioned_lines(2, {"second"});
    const auto third = make_versioned_lines(3, {"second", "third"});
    record_change(history, first, second);
    CHECK_FALSE(delta_since(history, 1, first.digest_, second));
    CHECK(history.bytes_ == 0);
    record_change(history, second, third);
    CHECK(delta_since(history, 2, second.digest_, third));
    CHECK(delta_since(history, 2, std::nullopt, third));
    CHECK_FALSE(delta_since(history, 1, std::nullopt, third));
}

TEST_CASE("packed lines of an update are the same after unpacking", "[config][contract]") {
    const wire::config_update original = make_update(500);
    wire::config_update update = original;
    control::pack_lines(update);
    CHECK(update.added.empty());
    CHECK(update.packed.size() * 4 < total_bytes(original.added));
    REQUIRE(control::unpack_lines(update));
    CHECK(update.removed == original.removed);
    CHECK(update.added == original.added);

    wire::config_update small = make_update(2);
    control::pack_lines(small);
    CHECK_FALSE(small.__isset.packed);
    CHECK(small.added.size() == 2);
    CHECK(control::unpack_lines(small));
}

TEST_CASE("packed lines that cannot be read are a protocol error", "[config][contract]") {
    wire::config_update update = make_update(500);
    control::pack_lines(update);
    const auto rejected = [](wire::config_update broken) {
        const auto outcome = control::unpack_lines(broken);
        return !outcome && outcome.error().kind_ == base::error_kind::protocol;
    };
    for (const std::int32_t bytes :
         {-1, 0, 1, update.unpacked_bytes - 1, update.unpacked_bytes + 1, 2'000'000'000}) {
        wire::config_update resized = update;
        resized.unpacked_bytes = bytes;
        CHECK(rejected(resized));
    }
    wire::config_update cut = update;
    cut.packed.resize(cut.packed.size() / 2);
    CHECK(rejected(cut));
    wire::config_update garbage = update;
    garbage.packed.assign(100, 'x');
    CHECK(rejected(garbage));
}
