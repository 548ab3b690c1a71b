// Hosts that watch the store for their zone, on the users' platform, with relaxed reads that are
// too old to help.
#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "support/local.h"
#include "support/store_fleet.h"

using namespace dandelionridge;
using namespace dandelionridge::support;

namespace {

constexpr std::size_t host_count = 9;
constexpr std::size_t hosts_per_zone = 3;
// Longer than any wait of a test: what a host learns in it, it has from current reads or peers.
constexpr base::duration relaxed_lag = base::seconds(600);
// A watch that its store does not answer fails after the test only.
constexpr const char* long_watches = "watch_wait = 600s\n";

// Returns true if the host's watch that was sent last is current.
bool watches_with_current_reads(store_fleet& fleet, std::size_t host) {
    const std::vector<std::string> calls = fleet.store_of(host).calls();
    return !calls.empty() && calls.back().find("kv-watch") != std::string::npos &&
           calls.back().find("serializable") == std::string::npos;
}

// Returns the hosts 1 to 3, which are in zone z1, the one that watches first.
std::vector<std::size_t> zone_hosts_watcher_first(store_fleet& fleet) {
    std::vector<std::size_t> hosts = {1, 2, 3};
    std::stable_partition(hosts.begin(), hosts.end(), [&](std::size_t host) {
        return watches_with_current_reads(fleet, host);
    });
    return hosts;
}

std::size_t count_watchers(store_fleet& fleet) {
    std::size_t count = 0;
    for (std::size_t host = 1; host <= host_count; ++host) {
        count += watches_with_current_reads(fleet, host) ? 1 : 0;
    }
    return count;
}

bool knows_as_leaving(const store_fleet& fleet, std::size_t host, std::size_t target) {
    const std::string leaving = "\"leaving\":\"i-" + std::to_string(target) + "\"";
    return fleet.log_of(host).find(leaving) != std::string::npos;
}

}  // namespace

// Guards against: a whole zone kept sending requests to a target that had left, because the only
// host that watched the store for the zone got no answers and its links were up.
TEST_CASE("a zone learns of changes although the store is silent for its watching host",
          "[store-watch]") {
    store_fleet fleet(std::vector<std::string>(host_count, "orders"), 20, long_watches);
    for (std::size_t host = 1; host <= host_count; ++host) {
        fleet.set_zone(host, "z" + std::to_string(1 + (host - 1) / hosts_per_zone));
        fleet.store_of(host).set_relaxed_lag(relaxed_lag);
    }
    fleet.start_all();
    REQUIRE(wait_for([&] { return count_watchers(fleet) == 3; }));
    const std::vector<std::size_t> hosts = zone_hosts_watcher_first(fleet);
    fleet.store_of(hosts[0]).set_fault(store_fault::silent);
    fleet.write_entry(hosts[1], "draining");
    CHECK(wait_for([&] { return knows_as_leaving(fleet, hosts[2], hosts[1]); }));
    CHECK(wait_for([&] { return knows_as_leaving(fleet, hosts[0], hosts[1]); }));
    const std::int64_t version = fleet.status_number(hosts[2], "/configuration/rules/version");
    fleet.put("op/config", fleet.configuration("00000100", "added"));
    CHECK(wait_for(
        [&] { return fleet.status_number(hosts[2], "/configuration/rules/version") > version; }));
}
