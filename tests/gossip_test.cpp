// Hosts that exchange versions of the configuration over links that deliver at once.
#include "control/gossip.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "policy/store_watchers.h"
#include "support/gossip_fleet.h"

using namespace dandelionridge;
using namespace dandelionridge::support;

namespace {

constexpr auto hosts_kind = control::config_value_kind::hosts;
constexpr double link_bytes_per_second = gossip_fleet_options{}.link_bytes_per_second_;
constexpr base::duration platform_lead = gossip_fleet_options{}.platform_lead_;

}  // namespace

// Guards against a restarted host that is unreachable for seconds: it read the same list at a later
// revision, and all others took all lines from it.
TEST_CASE("a version with the same lines is taken without a copy of them") {
    constexpr std::size_t count = 234;
    constexpr std::size_t restarted = 21;
    gossip_fleet fleet(count);
    const std::vector<std::string> lines = gossip_host_lines(count);
    for (std::size_t number = 0; number < count; ++number) {
        fleet.offer_to(number, hosts_kind, number == restarted ? 2000 : 1000, lines);
    }
    fleet.greet_all(restarted);
    fleet.run(base::seconds(3));
    CHECK(fleet.count_with(hosts_kind, 2000) == count);
    // 233 short replies; one copy of the lines is 40 kB.
    CHECK(fleet.bytes_sent_by(restarted) < 40'000);
}

// Guards against a whole list for a change of one entry: hosts read the same lines at different
// revisions, so the version of a delta's base is rarely one that the sender has had.
TEST_CASE("a host with the lines before the last change gets only the change") {
    gossip_fleet fleet(2);
    std::vector<std::string> lines = gossip_host_lines(200);
    fleet.offer_to(0, hosts_kind, 1000, lines);
    fleet.offer_to(1, hosts_kind, 1001, lines);
    lines.back() += "y";
    fleet.offer_to(1, hosts_kind, 2000, lines);
    fleet.greet_all(1);
    fleet.run(base::seconds(3));
    CHECK(fleet.configuration_of(0).version(hosts_kind) == 2000);
    CHECK(fleet.configuration_of(0).state(hosts_kind).lines_.lines_ ==
          fleet.configuration_of(1).state(hosts_kind).lines_.lines_);
    CHECK(fleet.bytes_sent_by(1) < 1'000);
}

// Guards against a host that is unreachable for seconds because it sends other lines to all others,
// which the platform has not given them.
TEST_CASE("no host sends more copies than a part of its link carries") {
    constexpr std::size_t count = 234;
    constexpr std::size_t restarted = 21;
    constexpr int seconds = 3;
    gossip_fleet fleet(count);
    std::vector<std::string> lines = gossip_host_lines(count);
    for (std::size_t number = 0; number < count; ++number) {
        fleet.offer_to(number, hosts_kind, 1000, lines);
    }
    // Two changes ago, so that no delta starts from the lines of the others.
    lines.front() += "y";
    fleet.offer_to(restarted, hosts_kind, 1500, lines);
    lines.front() += "y";
    fleet.offer_to(restarted, hosts_kind, 2000, lines);
    fleet.greet_all(restarted);
    fleet.run(base::seconds(seconds));
    CHECK(fleet.count_with(hosts_kind, 2000) == count);
    // A quarter of the link, a quarter of a second of that at once, a copy and short messages.
    constexpr double max_bytes = (seconds + 0.25) * link_bytes_per_second / 4 + 2 * 40'000;
    for (std::size_t number = 0; number < count; ++number) {
        CHECK(fleet.bytes_sent_by(number) < max_bytes);
    }
}

// Guards against pulls that queue up at a peer that does not answer, while another one could.
TEST_CASE("a pull without a reply is repeated at another peer") {
    gossip_fleet fleet(3);
    std::vector<std::string> lines = gossip_host_lines(100);
    for (std::size_t number = 0; number < 3; ++number) {
        fleet.offer_to(number, hosts_kind, 1000, lines);
    }
    lines.pop_back();
    fleet.offer_to(1, hosts_kind, 2000, lines);
    fleet.offer_to(2, hosts_kind, 2000, lines);
    fleet.set_link_fault(2, link_fault::loses_received);
    fleet.greet_all(1);
    fleet.greet_all(2);
    fleet.run(base::seconds(5));
    CHECK(fleet.configuration_of(0).version(hosts_kind) == 2000);
    CHECK(fleet.pulls_at(2) <= 1);
}

// Guards against a queue of pulls at the only peer that has a version, while that peer is cut off.
TEST_CASE("the only source of a version is asked at a falling rate") {
    gossip_fleet fleet(2);
    std::vector<std::string> lines = gossip_host_lines(100);
    fleet.offer_to(0, hosts_kind, 1000, lines);
    lines.pop_back();
    fleet.offer_to(1, hosts_kind, 2000, lines);
    fleet.set_link_fault(1, link_fault::loses_received);
    fleet.greet_all(1);
    fleet.run(base::seconds(20));
    CHECK(fleet.pulls_at(1) >= 2);
    CHECK(fleet.pulls_at(1) <= 6);
}

// Guards against a new host whose version is not taken, since the others can only reply to it.
TEST_CASE("a version is pulled with a reply from a host that is not listed") {
    // Both hosts watch the platform, which may still deliver the version: the first greeting is too
    // early. In a large list the host that is greeted does not watch, and has nothing to wait for.
    for (const std::size_t listed : {2U, 100U}) {
        gossip_fleet fleet(2);
        std::vector<std::string> lines = gossip_host_lines(listed);
        fleet.offer_to(0, hosts_kind, 1000, lines);
        const bool watches = fleet.watches_platform(0);
        CHECK(watches == (listed == 2));
        lines.pop_back();
        fleet.offer_to(1, hosts_kind, 2000, lines);
        fleet.set_link_fault(1, link_fault::closed);
        fleet.greet_all(1);
        CHECK(fleet.pulls_at(1) == (watches ? 0 : 1));
        CHECK(fleet.configuration_of(0).version(hosts_kind) == (watches ? 1000 : 2000));
        fleet.run(base::seconds(1));
        CHECK(fleet.pulls_at(1) == (watches ? 0 : 1));
        fleet.greet_all(1);
        CHECK(fleet.configuration_of(0).version(hosts_kind) == 2000);
    }
}

// Guards against a newer version that is forgotten when an older one is put in force.
TEST_CASE("a version known from a peer is pulled after an older one from the platform") {
    gossip_fleet fleet(2);
    std::vector<std::string> lines = gossip_host_lines(100);
    fleet.offer_to(0, hosts_kind, 1000, lines);
    lines.pop_back();
    fleet.offer_to(1, hosts_kind, 3000, lines);
    fleet.greet_all(1);
    lines.pop_back();
    fleet.offer_to(0, hosts_kind, 2000, lines);
    fleet.run(base::seconds(2));
    CHECK(fleet.configuration_of(0).version(hosts_kind) == 3000);
}

// Guards against: all hosts read the store with reads that may be seconds old, so that none of them
// knows of a newer version and none asks.
TEST_CASE("a host with old reads learns a version from the hosts that watch the platform") {
    constexpr std::size_t host_count = 60;
    gossip_fleet fleet(host_count);
    for (std::size_t number = 0; number < host_count; ++number) {
        fleet.offer_to(number, hosts_kind, 1, gossip_host_lines(host_count));
    }
    std::vector<std::size_t> watchers;
    for (std::size_t number = 0; number < host_count; ++number) {
        if (fleet.watches_platform(number)) {
            watchers.push_back(number);
        }
    }
    REQUIRE(watchers.size() == policy::min_fleet_watchers);
    std::vector<std::string> changed = gossip_host_lines(host_count);
    changed.back() += "x";
    for (const std::size_t watcher : watchers) {
        fleet.offer_to(watcher, hosts_kind, 2, changed);
    }
    // One round of requests, the time that the platform is given, and a step for each message.
    fleet.run(base::seconds(1) + platform_lead + 4 * gossip_tick);
    CHECK(fleet.count_with(hosts_kind, 2) == host_count);
}

// Guards against: each host of a fleet made current reads, ten times the cost of relaxed ones, or a
// fleet had a single host that makes them.
TEST_CASE("a few hosts of a fleet watch the platform with current reads") {
    CHECK(policy::watchers_per_zone(1) == 3);
    CHECK(policy::watchers_per_zone(2) == 2);
    CHECK(policy::watchers_per_zone(3) == 1);
    CHECK(policy::watchers_per_zone(14) == 1);
    const auto none_absent = [](const std::string&) { return false; };
    const std::vector<std::string> zone = {"h1", "h2", "h3", "h4"};
    policy::watcher_view view;
    policy::set_hosts(view, {{"z1", zone}, {"z2", {"h5"}}}, "z1", "h9", none_absent);
    CHECK_FALSE(view.watches_);
    const std::vector<std::string> watchers = view.zone_;
    REQUIRE(watchers.size() == 2);
    policy::set_hosts(view, {{"z1", zone}, {"z2", {"h5"}}}, "z1", watchers.front(), none_absent);
    CHECK(view.watches_);
    CHECK(view.zone_ == std::vector<std::string>{watchers.back()});
    CHECK(view.others_ == std::vector<std::string>{"h5"});
    policy::set_hosts(view, {{"z1", {"h1", "h2"}}}, "z1", "h9", none_absent);
    CHECK(view.zone_.size() == 2);
}
