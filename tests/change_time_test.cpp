// The time from the acknowledgement of a change until each host has it, where configurations are
// large and links take time.
#include <catch2/catch.hpp>
#include <optional>

#include "support/platform_fleet.h"

using namespace dandelionridge;
using namespace dandelionridge::support;

namespace {

using control::config_value_kind;

constexpr double bytes_per_megabit = 1e6 / 8;
constexpr base::duration apply_bound = base::seconds(3);
constexpr base::duration settling_time = base::seconds(8);
constexpr base::duration longest_play = base::seconds(40);

void pass(platform_fleet& fleet, base::duration time) {
    const base::instant end = fleet.now() + time;
    while (fleet.now() < end) {
        fleet.step();
    }
}

bool all_have(const platform_fleet& fleet, std::int64_t version) {
    for (std::size_t host = 0; host < fleet.size(); ++host) {
        if (fleet.is_running(host) &&
            fleet.configuration_of(host).version(config_value_kind::rules) < version) {
            return false;
        }
    }
    return true;
}

// Returns the time until all hosts have the version.
base::duration time_to_all(platform_fleet& fleet, std::int64_t version) {
    const base::instant start = fleet.now();
    while (!all_have(fleet, version) && fleet.now() - start < longest_play) {
        fleet.step();
    }
    return fleet.now() - start;
}

}  // namespace

// Guards against: all hosts gave up the store's response at the same moment, shortly before it was
// complete, and kept the store's link full with attempts to read it anew. The links are those of
// 234 hosts, for a sixth of them.
TEST_CASE("a change of a large configuration reaches all hosts whenever it comes", "[size]") {
    platform_fleet fleet(5, 8, 1, base::milliseconds(5),
                         {.host_ = 12 * bytes_per_megabit, .store_ = 170 * bytes_per_megabit});
    pass(fleet, settling_time);
    time_to_all(fleet, fleet.change_rules(2800));
    for (int phase = 0; phase < 5; ++phase) {
        pass(fleet, settling_time + phase * base::milliseconds(400));
        const std::int64_t version = fleet.change_rules(100);
        INFO("phase " << phase);
        CHECK(base::whole_ms(time_to_all(fleet, version)) <= base::whole_ms(apply_bound));
    }
}
