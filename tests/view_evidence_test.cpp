// The hosts that read the platform currently for others hold back what they know, or were never
// there, while all relaxed reads are too old to help.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/gossip_fleet.h"

using namespace dandelionridge;
using namespace dandelionridge::support;

namespace {

using control::config_value_kind;

constexpr std::size_t zone_count = 3;
// Within which a change is in force, from the platform's acknowledgement on.
constexpr base::duration bound = base::seconds(2);
// Time until a host with current reads has read a change that the platform acknowledged.
constexpr base::duration gather = base::milliseconds(250);

gossip_fleet_options options() {
    return {.zones_ = zone_count,
            .interval_ = base::milliseconds(500),
            .platform_lead_ = base::milliseconds(500),
            .finds_missing_hosts_ = true};
}

std::vector<std::string> rules_lines(std::int64_t version) {
    return {"organisation o" + std::to_string(version) + " rate=1/s burst=1 # the test"};
}

// A fleet with one version of both values in force. The list names further hosts of which there is
// no process.
struct calm_fleet {
    explicit calm_fleet(std::size_t count, std::size_t missing = 0)
        : fleet_(count, options()), lines_(gossip_host_lines(count + missing, zone_count)) {
        for (std::size_t number = 0; number < count; ++number) {
            fleet_.offer_to(number, config_value_kind::rules, 1, rules_lines(1));
            fleet_.offer_to(number, config_value_kind::hosts, 1, lines_);
        }
        fleet_.run(base::seconds(3));
    }

    gossip_fleet fleet_;
    std::vector<std::string> lines_;
};

// Lets time pass until the bound after a change, which all hosts with current reads get from the
// platform. Those in `late` do not.
void run_change(calm_fleet& calm, const std::vector<bool>& unable) {
    calm.lines_.back() += "x";
    for (base::duration passed{}; passed < bound; passed += gossip_tick) {
        for (std::size_t number = 0; number < calm.fleet_.size(); ++number) {
            if (passed >= gather && !unable[number] && calm.fleet_.reads_currently(number)) {
                calm.fleet_.offer_to(number, config_value_kind::rules, 2, rules_lines(2));
                calm.fleet_.offer_to(number, config_value_kind::hosts, 2, calm.lines_);
            }
        }
        calm.fleet_.run(gossip_tick);
    }
}

// Returns how many able hosts lack the second version of a value.
std::size_t count_late(const gossip_fleet& fleet, const std::vector<bool>& unable,
                       config_value_kind kind) {
    std::size_t late = 0;
    for (std::size_t number = 0; number < fleet.size(); ++number) {
        late += !unable[number] && !fleet.has(number, kind, 2) ? 1 : 0;
    }
    return late;
}

}  // namespace

// Guards against review/11: entries of a service that no configuration names were taken for hosts
// that watch the platform for their zones, so no host did.
TEST_CASE("entries with no process behind them do not take the place of watching hosts") {
    constexpr std::size_t count = 6;
    calm_fleet calm(count, 60);
    std::size_t watchers = 0;
    for (std::size_t number = 0; number < count; ++number) {
        watchers += calm.fleet_.watches_platform(number) ? 1 : 0;
    }
    CHECK(watchers == zone_count);
    const std::vector<bool> unable(count);
    run_change(calm, unable);
    CHECK(count_late(calm.fleet_, unable, config_value_kind::rules) == 0);
    CHECK(count_late(calm.fleet_, unable, config_value_kind::hosts) == 0);
}

// Guards against review/12: a host that had been cut off from the platform held its list back, and
// its zone took what it passed on for recent.
TEST_CASE("a host list that its reader holds back comes from another zone in time") {
    for (base::duration phase{}; phase < base::milliseconds(500); phase += gossip_tick) {
        calm_fleet calm(9);
        std::vector<bool> holding(9);
        std::size_t watcher = 0;
        while (!calm.fleet_.watches_platform(watcher)) {
            ++watcher;
        }
        holding[watcher] = true;
        calm.fleet_.run(phase);
        calm.fleet_.configuration_of(watcher).set_hold({true, {}, false});
        calm.fleet_.offer_to(watcher, config_value_kind::hosts, 2, calm.lines_);
        run_change(calm, holding);
        CHECK(count_late(calm.fleet_, holding, config_value_kind::hosts) == 0);
    }
}
