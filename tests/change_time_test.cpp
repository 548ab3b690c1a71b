// The time from the acknowledgement of a change until each host has it, where configurations are
// large and links take time.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <vector>

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

bool has(const platform_fleet& fleet, std::size_t host, std::int64_t version) {
    return fleet.configuration_of(host).version(config_value_kind::rules) >= version;
}

bool all_have(const platform_fleet& fleet, std::int64_t version) {
    for (std::size_t host = 0; host < fleet.size(); ++host) {
        if (fleet.is_running(host) && !has(fleet, host, version)) {
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

struct sized_fleet {
    std::size_t zones_ = 1;
    std::size_t hosts_per_zone_ = 1;
    double host_megabits_ = 0;
};

constexpr sized_fleet small_fleet{3, 2, 10};
constexpr sized_fleet middle_fleet{6, 18, 10};
constexpr sized_fleet large_fleet{5, 47, 12};

platform_fleet make_fleet(const sized_fleet& size) {
    return {size.zones_,
            size.hosts_per_zone_,
            1,
            {},
            {.host_ = size.host_megabits_ * bytes_per_megabit, .store_ = 1000 * bytes_per_megabit}};
}

// Returns the longest time, in milliseconds, in which a change of one of several sizes reaches the
// last host of a calm fleet.
std::int64_t longest_time(const sized_fleet& size) {
    platform_fleet fleet = make_fleet(size);
    pass(fleet, settling_time);
    time_to_all(fleet, fleet.change_rules(1400));
    base::duration longest{};
    for (const std::size_t routes : {1U, 100U, 1400U}) {
        pass(fleet, base::seconds(3));
        const std::int64_t version = fleet.change_rules(routes);
        longest = std::max(longest, time_to_all(fleet, version));
    }
    return base::whole_ms(longest);
}

// Returns the time, in milliseconds, in which a large change reaches all others, while those that
// read it are killed as soon as they have it.
std::int64_t time_without_readers(const sized_fleet& size) {
    platform_fleet fleet = make_fleet(size);
    pass(fleet, settling_time);
    time_to_all(fleet, fleet.change_rules(1400));
    pass(fleet, base::seconds(3));
    std::vector<std::size_t> readers;
    for (std::size_t host = 0; host < fleet.size(); ++host) {
        if (fleet.reads_currently(host)) {
            readers.push_back(host);
        }
    }
    const std::int64_t version = fleet.change_rules(1400);
    const base::instant start = fleet.now();
    while (!all_have(fleet, version) && fleet.now() - start < longest_play) {
        fleet.step();
        for (const std::size_t reader : readers) {
            if (fleet.is_running(reader) && has(fleet, reader, version)) {
                fleet.kill(reader);
            }
        }
    }
    return base::whole_ms(fleet.now() - start);
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

// Guards against: a change took as long as the whole configuration takes on a narrow link, or as
// many steps from host to host as the fleet has hosts.
TEST_CASE("a change reaches the last host of a calm fleet within half of its bound", "[size]") {
    CHECK(longest_time(small_fleet) <= base::whole_ms(apply_bound / 2));
    CHECK(longest_time(middle_fleet) <= base::whole_ms(apply_bound / 2));
    CHECK(longest_time(large_fleet) <= base::whole_ms(apply_bound));
}

TEST_CASE("a change reaches the last host of a large calm fleet within half of its bound",
          "[size]") {
    CHECK(longest_time(large_fleet) <= base::whole_ms(apply_bound / 2));
}

// Guards against: a host that was told "busy", or whose copy is lost with its sender, is left
// behind.
TEST_CASE("a large change reaches all others in time while those that read it are lost", "[size]") {
    CHECK(time_without_readers(small_fleet) <= base::whole_ms(apply_bound));
    CHECK(time_without_readers(middle_fleet) <= base::whole_ms(apply_bound));
}

TEST_CASE("a large change reaches all others of a large fleet while those that read it are lost",
          "[size]") {
    CHECK(time_without_readers(large_fleet) <= base::whole_ms(apply_bound));
}

// Guards against: the store's answers to all hosts that watch it were lost, and the others relied
// on them for longer than the bound, as their watches seemed to wait.
TEST_CASE(
    "a change reaches the others in time although the store is silent for all that watch it") {
    constexpr base::duration small_apply_bound = base::seconds(2);
    for (const std::size_t hosts_per_zone : {2U, 7U, 29U}) {
        for (int phase = 0; phase < 20; ++phase) {
            platform_fleet fleet(3, hosts_per_zone, 1, {});
            pass(fleet, settling_time + phase * platform_fleet::tick);
            std::vector<bool> reads;
            for (std::size_t host = 0; host < fleet.size(); ++host) {
                reads.push_back(fleet.reads_currently(host));
                if (reads.back()) {
                    fleet.set_store_path(host, store_path::silent);
                }
            }
            // Half of the phases: the change comes later than the fault.
            pass(fleet, phase % 2 == 0 ? base::duration{} : base::milliseconds(700));
            const std::int64_t version = fleet.change_rules();
            pass(fleet, small_apply_bound);
            INFO(fleet.size() << " hosts, phase " << phase);
            std::size_t late = 0;
            for (std::size_t host = 0; host < fleet.size(); ++host) {
                late += reads[host] || has(fleet, host, version) ? 0 : 1;
            }
            CHECK(late == 0);
        }
    }
}
