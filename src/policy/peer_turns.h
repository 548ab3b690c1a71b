// The order in which a process sends its peers what spreads from host to host.
//
// Pattern: SWIM's randomized round robin. Each round takes all peers once, in an order of its own,
// so that no peer is left out by chance for longer than two rounds, as one that is drawn anew each
// time may be.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"

namespace dandelionridge::policy {

struct peer_turns {
    // Peers that this round has not taken yet; the next one is at the end.
    std::vector<std::string> left_;
};

// Returns the next peer that `eligible` accepts, or nothing if a whole round has none. `list_peers`
// returns the present peers and is called when a round begins.
std::optional<std::string> next_peer(peer_turns& turns,
                                     const std::function<std::vector<std::string>()>& list_peers,
                                     const std::function<bool(const std::string& peer)>& eligible,
                                     base::random_engine& random);

}  // namespace dandelionridge::policy
