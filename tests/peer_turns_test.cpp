// The order in which peers are notified of silent hosts.
#include "policy/peer_turns.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

using namespace dandelionridge;

namespace {

const std::vector<std::string> peers = {"h2", "h3", "h4", "h5"};

std::vector<std::string> list_peers() {
    return peers;
}

}  // namespace

// Guards against: one of few hosts was never notified of a silent one. Each of a limited number of
// notices went to a random peer, and the same peers were picked again.
TEST_CASE("as many notices as there are peers reach all of them") {
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
        base::random_engine random(seed);
        policy::peer_turns turns;
        const auto is_alive = [](const std::string& peer) { return peer != "h2"; };
        std::set<std::string> notified;
        for (int notice = 0; notice < 3; ++notice) {
            notified.insert(policy::next_peer(turns, list_peers, is_alive, random).value());
        }
        CHECK(notified == std::set<std::string>{"h3", "h4", "h5"});
    }
}

TEST_CASE("peers that come and go have their turns from the next round on") {
    base::random_engine random(1);
    policy::peer_turns turns;
    std::vector<std::string> present = {"h2"};
    const auto list = [&] { return present; };
    const auto any = [](const std::string&) { return true; };
    CHECK(policy::next_peer(turns, list, any, random) == "h2");
    present = {"h3"};
    CHECK(policy::next_peer(turns, list, any, random) == "h3");
    present.clear();
    CHECK_FALSE(policy::next_peer(turns, list, any, random));
    present = {"h4"};
    const auto none = [](const std::string&) { return false; };
    CHECK_FALSE(policy::next_peer(turns, list, none, random));
    CHECK(policy::next_peer(turns, list, any, random) == "h4");
}
