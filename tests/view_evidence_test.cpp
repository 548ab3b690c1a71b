// The hosts that read the platform currently for others are lost, hold back what they know, or were
// never there, while all relaxed reads are too old to help.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "policy/view_evidence.h"
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

std::vector<bool> all_watchers(const gossip_fleet& fleet) {
    std::vector<bool> watchers(fleet.size());
    for (std::size_t number = 0; number < fleet.size(); ++number) {
        watchers[number] = fleet.watches_platform(number);
    }
    return watchers;
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

// Guards against review/13: all hosts that watch the platform lost power at once, and the others
// went on with relaxed reads until the entries of the lost ones expired.
TEST_CASE("the others keep the bounds after the loss of all hosts that watch") {
    for (const link_fault loss : {link_fault::closed, link_fault::loses_all}) {
        for (const std::size_t count : {6U, 36U, 234U}) {
            for (base::duration phase{}; phase < base::milliseconds(500); phase += gossip_tick) {
                INFO(count << " hosts, phase " << base::whole_ms(phase) << " ms");
                calm_fleet calm(count);
                const std::vector<bool> lost = all_watchers(calm.fleet_);
                calm.fleet_.run(phase);
                for (std::size_t number = 0; number < count; ++number) {
                    if (lost[number]) {
                        calm.fleet_.freeze(number);
                        calm.fleet_.set_link_fault(number, loss);
                    }
                }
                run_change(calm, lost);
                CHECK(count_late(calm.fleet_, lost, config_value_kind::rules) == 0);
                CHECK(count_late(calm.fleet_, lost, config_value_kind::hosts) == 0);
            }
        }
    }
}

// Guards against: each host reads currently in a small disturbance, or all of a large fleet at
// once, above the rate that the platform takes.
TEST_CASE("hosts begin to read currently by and by in a large fleet, and not after a short gap") {
    constexpr base::duration interval = base::milliseconds(500);
    const base::instant start = base::instant{} + base::seconds(100);
    base::random_engine random(1);
    policy::view_evidence evidence;
    evidence.by_peers_ = {start, start};
    for (int check = 0; check < 2 * policy::checks_before_own_reads; ++check) {
        policy::check_evidence(evidence, start, 6, random);
    }
    CHECK_FALSE(evidence.reads_currently_);
    // A process that stood still finds its question old at the first check, with the reply unread.
    policy::check_evidence(evidence, start + interval, 6, random);
    CHECK_FALSE(evidence.reads_currently_);

    constexpr std::size_t fleet = 5000;
    constexpr int checks_per_second = 20;
    std::vector<policy::view_evidence> hosts(fleet);
    std::size_t readers = 0;
    for (int check = 1; check < checks_per_second + policy::checks_before_own_reads; ++check) {
        for (policy::view_evidence& host : hosts) {
            policy::check_evidence(host, start, fleet, random);
        }
    }
    for (const policy::view_evidence& host : hosts) {
        readers += host.reads_currently_ ? 1 : 0;
    }
    CHECK(readers > 500);
    CHECK(readers < 2000);
}
