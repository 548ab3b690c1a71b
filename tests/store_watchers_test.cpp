// A host that watches the platform for its zone fails in one way or another, and the others of the
// zone still learn of a change within the bound, although their own reads are too old.
#include "policy/store_watchers.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "support/gossip_fleet.h"

using namespace dandelionridge;
using namespace dandelionridge::support;

namespace {

using control::config_value_kind;

constexpr std::size_t zone_count = 3;
constexpr std::size_t host_count = 30;
// Within which a change is in force, from the platform's acknowledgement on.
constexpr base::duration bound = base::seconds(2);
// Time from a fault to the change that follows it.
constexpr base::duration fault_lead = base::milliseconds(100);
// Time until a watching host reads a change: it reads changes that come together at once.
constexpr base::duration gather = base::milliseconds(250);

struct watcher_fault {
    std::string name_;
    std::function<void(gossip_fleet& fleet, std::size_t watcher)> begin_;
    // The change takes the host off the list.
    bool unlists_ = false;
    // The platform still shows the change to the host, this long after the others.
    std::optional<base::duration> reads_after_;
};

watcher_fault link_case(const std::string& name, link_fault fault) {
    return {
        name,
        [fault](gossip_fleet& fleet, std::size_t watcher) { fleet.set_link_fault(watcher, fault); },
        false, base::duration{}};
}

std::vector<watcher_fault> watcher_faults() {
    const auto nothing = [](gossip_fleet&, std::size_t) {};
    const auto silence = [](gossip_fleet& fleet, std::size_t watcher) {
        fleet.silence_platform(watcher);
    };
    return {
        {"none", nothing, false, base::duration{}},
        {"the platform is silent for it", silence, false, {}},
        {"the platform is slow for it", silence, false, base::milliseconds(1100)},
        {"the platform resets its calls",
         [](gossip_fleet& fleet, std::size_t watcher) { fleet.refuse_platform(watcher); },
         false,
         {}},
        {"frozen",
         [](gossip_fleet& fleet, std::size_t watcher) { fleet.freeze(watcher); },
         false,
         {}},
        {"killed",
         [](gossip_fleet& fleet, std::size_t watcher) {
             fleet.freeze(watcher);
             fleet.set_link_fault(watcher, link_fault::closed);
         },
         false,
         {}},
        {"rejects the change",
         [](gossip_fleet& fleet, std::size_t watcher) { fleet.reject_versions(watcher); }, false,
         base::duration{}},
        {"taken off the list by the change", nothing, true, base::duration{}},
        link_case("what it sends is lost", link_fault::loses_sent),
        link_case("what it is sent is lost", link_fault::loses_received),
        link_case("its links are silent", link_fault::loses_all),
        link_case("its links send every second message again", link_fault::repeats_half),
    };
}

std::vector<std::size_t> watchers_of(const gossip_fleet& fleet) {
    std::vector<std::size_t> watchers;
    for (std::size_t number = 0; number < fleet.size(); ++number) {
        if (fleet.watches_platform(number)) {
            watchers.push_back(number);
        }
    }
    return watchers;
}

std::vector<std::string> rules_lines(std::int64_t version) {
    return {"organisation o" + std::to_string(version) + " rate=1/s burst=1 # the test"};
}

bool contains(const std::vector<std::size_t>& hosts, std::size_t host) {
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

struct planned_read {
    base::duration at_{};
    std::size_t watcher_ = 0;
};

// Offers the second version to the watching hosts when each of them reads it, and returns after the
// bound.
void publish_change(gossip_fleet& fleet, const std::vector<std::size_t>& watchers,
                    const std::vector<std::size_t>& faulty, const watcher_fault& fault) {
    std::vector<std::string> hosts = gossip_host_lines(host_count, zone_count);
    if (fault.unlists_) {
        hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(faulty.front()));
    } else {
        hosts.back() += "x";
    }
    std::vector<planned_read> reads;
    for (const std::size_t watcher : watchers) {
        if (!contains(faulty, watcher)) {
            reads.push_back({gather, watcher});
        } else if (fault.reads_after_) {
            reads.push_back({gather + *fault.reads_after_, watcher});
        }
    }
    for (base::duration passed{}; passed < bound; passed += gossip_tick) {
        for (const planned_read& read : reads) {
            if (read.at_ == passed) {
                fleet.offer_to(read.watcher_, config_value_kind::rules, 2, rules_lines(2));
                fleet.offer_to(read.watcher_, config_value_kind::hosts, 2, hosts);
            }
        }
        fleet.run(gossip_tick);
    }
}

// Returns how many sound hosts lack the second version of a value after the bound.
std::size_t count_late(const std::vector<std::size_t>& faulty, const gossip_fleet& fleet,
                       config_value_kind kind) {
    std::size_t late = 0;
    for (std::size_t number = 0; number < host_count; ++number) {
        late += !contains(faulty, number) && !fleet.has(number, kind, 2) ? 1 : 0;
    }
    return late;
}

// Runs a fleet in which the first `faulty_count` watching hosts have a fault. `phase` shifts the
// fault against the rounds of the hosts.
void check_fault(const watcher_fault& fault, std::size_t faulty_count, base::duration phase) {
    INFO(fault.name_ << ", phase " << base::whole_ms(phase) << " ms, hosts " << faulty_count);
    gossip_fleet fleet(host_count, {.zones_ = zone_count,
                                    .interval_ = base::milliseconds(500),
                                    .platform_lead_ = base::milliseconds(500)});
    for (std::size_t number = 0; number < host_count; ++number) {
        fleet.offer_to(number, config_value_kind::rules, 1, rules_lines(1));
        fleet.offer_to(number, config_value_kind::hosts, 1,
                       gossip_host_lines(host_count, zone_count));
    }
    const std::vector<std::size_t> watchers = watchers_of(fleet);
    REQUIRE(watchers.size() == zone_count);
    fleet.run(base::seconds(3) + phase);
    const std::vector<std::size_t> faulty(
        watchers.begin(), watchers.begin() + static_cast<std::ptrdiff_t>(faulty_count));
    for (const std::size_t watcher : faulty) {
        fault.begin_(fleet, watcher);
    }
    fleet.run(fault_lead);
    publish_change(fleet, watchers, faulty, fault);
    CHECK(count_late(faulty, fleet, config_value_kind::rules) == 0);
    CHECK(count_late(faulty, fleet, config_value_kind::hosts) == 0);
}

}  // namespace

// Guards against: requests went to a target that had left, or with a dropped key, from a whole zone
// for longer than the bound, because the one host that watched the store for it learnt nothing.
TEST_CASE("the others of a zone keep the bounds whatever its watching host suffers") {
    for (const watcher_fault& fault : watcher_faults()) {
        for (base::duration phase{}; phase < base::milliseconds(500); phase += gossip_tick) {
            check_fault(fault, 1, phase);
        }
    }
}

// Guards against: a second fault at the same time took the bound from all zones.
TEST_CASE("the sound hosts keep the bounds while two of three watching hosts suffer the same") {
    for (const watcher_fault& fault : watcher_faults()) {
        for (base::duration phase{}; phase < base::milliseconds(500); phase += gossip_tick) {
            check_fault(fault, 2, phase);
        }
    }
}
